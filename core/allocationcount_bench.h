#ifndef CACTUSDECK_CORE_ALLOCATIONCOUNT_BENCH_H
#define CACTUSDECK_CORE_ALLOCATIONCOUNT_BENCH_H

#include <cstdint>

namespace cactusdeck {

// Number of calls of operator new since the start of the program. Benchmarks subtract two values.
std::uint64_t allocationCount();

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_ALLOCATIONCOUNT_BENCH_H

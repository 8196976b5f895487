#ifndef CACTUSDECK_CORE_ALLOCATIONCOUNT_BENCH_H
#define CACTUSDECK_CORE_ALLOCATIONCOUNT_BENCH_H

#include <cstdint>

namespace cactusdeck {

// Calls of operator new since the program started; benchmarks subtract two readings.
std::uint64_t allocationCount();

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_ALLOCATIONCOUNT_BENCH_H

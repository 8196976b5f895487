#include "core/allocationcount_bench.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations{ 0 };

} // namespace

std::uint64_t cactusdeck::allocationCount()
{
    return allocations.load(std::memory_order_relaxed);
}

// Replaces the global operators. They are in a separate file, so that the compiler can't inline
// only one of a pair of new and delete.
void *operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void *memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

#ifndef CACTUSDECK_CORE_FLOWCACHE_H
#define CACTUSDECK_CORE_FLOWCACHE_H

#include <array>
#include <cstdint>
#include <vector>

#include "core/types.h"

// A balancer's cache of the agents that hold flows. A missing entry costs only some extra hops for
// one packet, so the cache has a fixed size and replaces the least recently used entry of a full
// set.
//
//     FlowCache cache(1 << 20);
//     FlowCache::Entry *entry = cache.find(flowHash);
//     FlowCache::Entry &inserted = cache.insert(flowHash, stamp);
//
// The cache is set-associative. A set has four entries of 16 bytes, so that a lookup reads one
// cache line of the processor. Nothing is allocated after construction.

namespace cactusdeck {

class FlowCache
{
public:
    // Values of Entry::attempts once an agent is known to hold the flow.
    // The agent accepted the new flow; another one may have accepted the same SYN.
    static constexpr std::uint8_t accepted = 254;
    // The caller has acknowledged packets of this agent's server, so no other agent can hold the
    // flow.
    static constexpr std::uint8_t confirmed = 255;

    struct Entry
    {
        std::uint64_t flowHash = 0; // 0: empty
        std::uint32_t stamp = 0; // last use, in ticks that the user of the cache defines
        std::uint16_t agent = 0; // slot in the AgentRegistry
        // Of the slot; shows whether the slot has been reused for another agent since.
        std::uint8_t generation = 0;
        // Number of unanswered first packets of a new flow, or accepted or confirmed.
        std::uint8_t attempts = 0;

        bool isPending() const { return this->attempts < accepted; }
        bool isConfirmed() const { return this->attempts == confirmed; }
    };

    explicit FlowCache(std::size_t entries);

    Entry *find(std::uint64_t flowHash);
    const Entry *find(std::uint64_t flowHash) const;
    // Returns the existing entry, or a new one that replaces an empty or the oldest entry of the
    // set.
    Entry &insert(std::uint64_t flowHash, std::uint32_t stamp);
    void erase(std::uint64_t flowHash);
    std::size_t capacity() const { return this->sets.size() * ways; }

private:
    static constexpr std::size_t ways = 4;
    struct alignas(64) Set
    {
        std::array<Entry, ways> entries;
    };
    static_assert(sizeof(Set) == 64);

    // The low bits select the bucket, so the set is selected by higher bits.
    std::size_t setIndex(std::uint64_t flowHash) const { return (flowHash >> 16) & this->mask; }

    std::vector<Set> sets;
    std::size_t mask;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_FLOWCACHE_H

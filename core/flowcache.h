#ifndef CACTUSDECK_CORE_FLOWCACHE_H
#define CACTUSDECK_CORE_FLOWCACHE_H

#include <array>
#include <cstdint>
#include <vector>

#include "core/types.h"

// A balancer's memory of which agent holds a flow. Losing an entry costs a few more hops for one
// packet, so the cache has a fixed size and overwrites the oldest entry of a full set.
//
//     FlowCache cache(1 << 20);
//     FlowCache::Entry *entry = cache.find(flowHash);
//     FlowCache::Entry &fresh = cache.insert(flowHash, stamp);
//
// Set-associative with four entries of 16 bytes, so that a lookup touches one cache line. Nothing
// is allocated after construction.

namespace cactusdeck {

class FlowCache
{
public:
    // An agent took the new flow; another one may have taken it as well.
    static constexpr std::uint8_t accepted = 254;
    // The caller has answered this agent's server, so no other agent can hold the flow.
    static constexpr std::uint8_t confirmed = 255;

    struct Entry
    {
        std::uint64_t flowHash = 0; // 0: empty
        std::uint32_t stamp = 0; // last use, in ticks of the owner
        std::uint16_t agent = 0; // slot in the AgentRegistry
        std::uint8_t generation = 0; // of the slot, so that a reused slot is not taken for the old
        // Unanswered first packets of a new flow, or one of the values below.
        std::uint8_t attempts = 0;

        bool isPending() const { return this->attempts < accepted; }
        bool isConfirmed() const { return this->attempts == confirmed; }
    };

    explicit FlowCache(std::size_t entries);

    Entry *find(std::uint64_t flowHash);
    const Entry *find(std::uint64_t flowHash) const;
    // Returns the existing entry, or a fresh one in place of an empty or the oldest one.
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

    // The low bits choose the bucket, so sets are chosen by higher ones.
    std::size_t setIndex(std::uint64_t flowHash) const { return (flowHash >> 16) & this->mask; }

    std::vector<Set> sets;
    std::size_t mask;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_FLOWCACHE_H

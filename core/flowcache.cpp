#include "core/flowcache.h"

#include <bit>
#include <utility>

namespace cactusdeck {

FlowCache::FlowCache(std::size_t entries)
    : sets(std::bit_ceil((entries + ways - 1) / ways))
    , mask(this->sets.size() - 1)
{ }

const FlowCache::Entry *FlowCache::find(std::uint64_t flowHash) const
{
    for (const Entry &entry : this->sets[this->setIndex(flowHash)].entries) {
        if (entry.flowHash == flowHash)
            return &entry;
    }
    return nullptr;
}

FlowCache::Entry *FlowCache::find(std::uint64_t flowHash)
{
    return const_cast<Entry *>(std::as_const(*this).find(flowHash));
}

FlowCache::Entry &FlowCache::insert(std::uint64_t flowHash, std::uint32_t stamp)
{
    Set &set = this->sets[this->setIndex(flowHash)];
    Entry *victim = &set.entries[0];
    for (Entry &entry : set.entries) {
        if (entry.flowHash == flowHash)
            return entry;
        const bool isOlder = std::int32_t(entry.stamp - victim->stamp) < 0;
        if (victim->flowHash != 0 && (entry.flowHash == 0 || isOlder))
            victim = &entry;
    }
    *victim = Entry{ .flowHash = flowHash, .stamp = stamp };
    return *victim;
}

void FlowCache::erase(std::uint64_t flowHash)
{
    if (Entry *entry = this->find(flowHash))
        *entry = Entry{};
}

} // namespace cactusdeck

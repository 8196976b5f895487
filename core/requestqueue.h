#ifndef CACTUSDECK_CORE_REQUESTQUEUE_H
#define CACTUSDECK_CORE_REQUESTQUEUE_H

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/flowtable.h"

// Packets of callers' requests that the server has no capacity for yet, in order of arrival by
// flow.
//
//     queue.push(view, now + deadline);            // false: queue full, the packet is dropped
//     while (const FlowKey *key = queue.front())
//         for (const auto &packet : queue.take(*key))
//             ...
//     queue.expire(now, [](const FlowKey &key) { ... });
//
// The TCP of the caller retransmits a dropped packet.

namespace cactusdeck {

class RequestQueue
{
public:
    static constexpr std::size_t maxFlows = 1024;
    static constexpr std::size_t maxBytes = 4 << 20;
    static constexpr std::size_t maxBytesPerFlow = 64 << 10; // an unscaled TCP window

    // Appends the packet to the flow's entry, or adds an entry with the deadline. Returns false if
    // the queue is full. A retransmission of a queued packet is not stored again; the result is
    // true.
    bool push(const PacketView &view, TimePoint deadline);
    // The flow that has waited longest, or nullptr if the queue is empty.
    const FlowKey *front();
    // Removes the flow's entry and returns its packets.
    std::vector<std::vector<std::uint8_t>> take(const FlowKey &key);
    void drop(const FlowKey &key);
    // Removes the entries whose deadline has passed, after a call of onExpired for each.
    void expire(TimePoint now, const std::function<void(const FlowKey &)> &onExpired);
    std::size_t size() const { return this->entries.size(); }
    void clear();

private:
    struct Entry
    {
        std::uint64_t number = 0;
        TimePoint deadline;
        std::size_t bytes = 0;
        std::vector<std::uint32_t> sequences;
        std::vector<std::vector<std::uint8_t>> packets;
    };
    struct QueuePosition
    {
        FlowKey key;
        // Of the entry. An entry that was removed and added again has a new number, which shows
        // that this position is outdated.
        std::uint64_t number = 0;
    };

    std::unordered_map<FlowKey, Entry, FlowKeyHash> entries;
    std::deque<QueuePosition> order;
    std::uint64_t lastNumber = 0;
    std::size_t bytes = 0;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_REQUESTQUEUE_H

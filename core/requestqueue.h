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

// Caller packets with requests that the server can't take yet, in order of arrival.
//
//     queue.push(view, now + deadline);            // false: no room, the packet is dropped
//     while (const FlowKey *key = queue.front())
//         for (const auto &packet : queue.take(*key))
//             ...
//     queue.expire(now, [](const FlowKey &key) { ... });
//
// A dropped packet isn't lost: the caller's TCP sends it again.

namespace cactusdeck {

class RequestQueue
{
public:
    static constexpr std::size_t maxFlows = 1024;
    static constexpr std::size_t maxBytes = 4 << 20;
    static constexpr std::size_t maxBytesPerFlow = 64 << 10; // an unscaled TCP window

    // Appends the packet to the flow's entry or makes one. A retransmission of a held packet is
    // dropped and counts as held.
    bool push(const PacketView &view, TimePoint deadline);
    // The flow that has waited longest.
    const FlowKey *front();
    std::vector<std::vector<std::uint8_t>> take(const FlowKey &key);
    void drop(const FlowKey &key);
    // Drops entries whose deadline has passed.
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
        std::uint64_t number = 0; // an entry that was dropped and made again has another one
    };

    std::unordered_map<FlowKey, Entry, FlowKeyHash> entries;
    std::deque<QueuePosition> order;
    std::uint64_t lastNumber = 0;
    std::size_t bytes = 0;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_REQUESTQUEUE_H

#ifndef CACTUSDECK_CORE_REQUESTQUEUE_H
#define CACTUSDECK_CORE_REQUESTQUEUE_H

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/flowtable.h"

// Packets of callers' requests that the server has no capacity for yet, by flow, in the order in
// which the server should get them.
//
//     if (!queue.push({ .key = ..., .bytes = packet }, { .deadline = now + 2s }))
//         ...                                       // queue full, the packet is dropped
//     while (const FlowKey *key = queue.front(now))
//         for (const auto &packet : queue.take(*key))
//             ...
//     queue.expire(now, [](const FlowKey &key) { ... });
//
// A request that can still be answered in time goes before one that can't, then the one with the
// higher priority, then the one whose time runs out first, then the one that came first. So under a
// lasting overload some requests are answered in time rather than all of them late. Each
// leastShare-th request is the one that has waited longest, whatever it is, so that none starves.
//
// The TCP of the caller retransmits a dropped packet.

namespace cactusdeck {

class RequestQueue
{
public:
    static constexpr std::size_t maxFlows = 1024;
    static constexpr std::size_t maxBytes = 4 << 20;
    static constexpr std::size_t maxBytesPerFlow = 64 << 10; // an unscaled TCP window
    static constexpr std::uint64_t leastShare = 8;

    struct Packet
    {
        FlowKey key;
        // A packet with the sequence number of a queued one is a retransmission.
        std::optional<std::uint32_t> sequence;
        std::span<const std::uint8_t> bytes;
    };
    // Decides on the place in the queue. That of a flow's first packet holds for the others.
    struct Rank
    {
        std::uint8_t priority = 0; // 0 is the highest
        // After this time the request can no longer be answered within its latency target.
        TimePoint inTimeUntil = TimePoint::max();
        TimePoint deadline; // after which the caller no longer waits
    };

    // Appends the packet to the flow's entry, or adds an entry. Returns false if the queue is full.
    // A retransmission of a queued packet is not stored again; the result is true.
    bool push(const Packet &packet, const Rank &rank);
    bool push(const PacketView &view, TimePoint deadline);
    // The flow whose request is next, or nullptr if the queue is empty.
    const FlowKey *front(TimePoint now) const;
    // Removes the flow's entry and returns its packets.
    std::vector<std::vector<std::uint8_t>> take(const FlowKey &key);
    void drop(const FlowKey &key);
    // Removes the entries whose deadline has passed, after a call of onExpired for each.
    void expire(TimePoint now, const std::function<void(const FlowKey &)> &onExpired);
    bool contains(const FlowKey &key) const { return this->entries.contains(key); }
    std::size_t size() const { return this->entries.size(); }
    bool isEmpty() const { return this->entries.empty(); }
    // The earliest deadline, or TimePoint::max() if the queue is empty.
    TimePoint nextDeadline() const;
    void clear();

private:
    struct Entry
    {
        std::uint64_t number = 0; // in order of arrival
        Rank rank;
        std::size_t bytes = 0;
        std::vector<std::uint32_t> sequences;
        std::vector<std::vector<std::uint8_t>> packets;
    };

    static bool goesBefore(const Entry &a, const Entry &b, TimePoint now);

    std::unordered_map<FlowKey, Entry, FlowKeyHash> entries;
    std::uint64_t lastNumber = 0;
    std::uint64_t taken = 0;
    std::size_t bytes = 0;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_REQUESTQUEUE_H

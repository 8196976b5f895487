#ifndef CACTUSDECK_MESH_REQUESTSCHEDULER_H
#define CACTUSDECK_MESH_REQUESTSCHEDULER_H

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/flowtable.h"
#include "core/frame.h"
#include "core/requestqueue.h"
#include "mesh/segment.h"

// Decides when the requests of open flows go to a backend server. The server gets as many at a time
// as it has slots, and the others wait at the agent in the order of core/requestqueue.h, not in the
// server's own queue, which is short, first come first served, and refuses what doesn't fit.
//
//     if (!scheduler.offer(segment, flow.terms, serviceTime, now))
//         return;                                     // the packet is held, or dropped if full
//     send(segment);
//     scheduler.finish(key);                          // the server has answered the flow's request
//     while (const FlowKey *key = scheduler.next(now))
//         for (const auto &packet : scheduler.take(*key, now)) send(packet);
//
// Message boundaries aren't visible at layer 4: a request begins with new data of the caller on a
// flow that has none in progress, and ends with the first byte of the server's answer.

namespace cactusdeck::mesh {

class RequestScheduler
{
public:
    // Of the server. A change takes effect with the next request.
    void setSlots(std::uint32_t slots) { this->slotCount = slots; }

    // A packet of a request that the server has not got yet. Returns true if the packet may go to
    // the server now, which then counts as working on the request. Otherwise the packet is held
    // until take(), or dropped if the queue is full; then the caller sends it again.
    // serviceTime: what the request is expected to take.
    bool offer(const Segment &segment, const RequestTerms &terms, Duration serviceTime,
               TimePoint now);
    // The server has answered, or will not answer any more: the flow has ended.
    void finish(const FlowKey &key);
    // The flow whose request goes to the server now, or nullptr if there is none or no slot is
    // free.
    const FlowKey *next(TimePoint now) const;
    std::vector<std::vector<std::uint8_t>> take(const FlowKey &key, TimePoint now);
    // Drops requests whose callers no longer wait, and stops to count those at the server. Returns
    // the flows of the former.
    std::vector<FlowKey> expire(TimePoint now);
    TimePoint nextTimer() const;
    // For a new run of the server.
    void clear();

    std::size_t waiting() const { return this->queue.size(); }
    std::size_t atServer() const { return this->running.size(); }
    std::uint64_t held() const { return this->heldRequests; }
    std::uint64_t expired() const { return this->expiredRequests; }

private:
    // Of requests whose route states none.
    static constexpr std::chrono::milliseconds defaultTimeout{ 5000 };
    // Part of a request's latency target that is spent outside the agent and the server: the ways
    // to the caller and back.
    static constexpr std::chrono::milliseconds networkTime{ 15 };

    static std::chrono::milliseconds timeoutOf(const RequestTerms &terms);
    bool hasFreeSlot() const { return this->running.size() < this->slotCount; }

    std::uint32_t slotCount = 1;
    RequestQueue queue;
    // Requests that the server works on, and when their callers no longer wait. A server that has
    // not answered by then may be working still, but must not block its other callers.
    std::unordered_map<FlowKey, TimePoint, FlowKeyHash> running;
    std::unordered_map<FlowKey, TimePoint, FlowKeyHash> deadlines; // of the queued requests
    std::uint64_t heldRequests = 0;
    std::uint64_t expiredRequests = 0;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_REQUESTSCHEDULER_H

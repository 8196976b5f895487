#ifndef CACTUSDECK_CORE_REQUESTTRACKER_H
#define CACTUSDECK_CORE_REQUESTTRACKER_H

#include <deque>

#include "core/admission.h"
#include "core/agentservices.h"
#include "core/flowtable.h"
#include "core/outbox.h"
#include "core/requestqueue.h"

// Recognises requests and responses in the packets of accepted flows, and decides when a request is
// sent to the server.
//
//     if (requests.onCallerPacket(flow, view, now) == Handling::Deliver)
//         sink.toServer(view.bytes);
//     requests.onServerPacket(flow, view, now);
//     requests.dispatch(now, sink);               // queued requests, as far as admission allows
//
// A request begins with new payload of the caller and ends when the caller has acknowledged the
// server's response. Message boundaries aren't visible at layer 4: if the caller acknowledges all
// of a response that pauses, the request ends there, and the rest of the response counts as work
// that the server has begun without a request.

namespace cactusdeck {

enum class Handling : std::uint8_t { Deliver, Hold, Drop };

class RequestTracker
{
public:
    // A new flow counts as waiting until it sends its first request, but no longer than this: a
    // flow that has sent none by then is taken for an idle session.
    static constexpr std::chrono::milliseconds firstRequestTimeout{ 250 };

    RequestTracker(FlowTable &flows, Admission &admission, const AgentServices &services);

    // Processes a packet that the flow accepts, and records it in the flow table.
    Handling onCallerPacket(Flow &flow, const PacketView &view, TimePoint now);
    void onServerPacket(Flow &flow, const PacketView &view, TimePoint now);
    void onFlowOpened(Flow &flow, TimePoint now);
    // Ends the request of a flow that was closed or will be erased, and drops its queued packets.
    void finish(Flow &flow, TimePoint now);
    void dispatch(TimePoint now, DataSink &sink);
    // Drops queued requests past their deadline. Flows without a request within firstRequestTimeout
    // no longer count as waiting.
    void onTimer(TimePoint now);
    // Ends the flow's request if the flow has been inactive for longer than the request deadline.
    void endOverdueRequest(Flow &flow, TimePoint now);
    void clear();

    // Number of queued requests and of new flows that may send one soon.
    std::size_t waiting() const { return this->queue.size() + this->awaitingCount; }
    std::size_t queued() const { return this->queue.size(); }
    std::uint64_t expired() const { return this->expiredRequests; }

private:
    struct OpenedFlow
    {
        FlowKey key;
        TimePoint openedAt;
    };

    Handling classify(Flow &flow, const PacketView &view, TimePoint now);
    Handling hold(Flow &flow, const PacketView &view, TimePoint now);
    void dropQueued(Flow &flow);
    void clearAwaitsFirstRequest(Flow &flow);
    void endIfComplete(Flow &flow, TimePoint now);
    void endRequest(Flow &flow, TimePoint now);

    FlowTable &flows;
    Admission &admission;
    const AgentServices &services;
    RequestQueue queue;
    std::deque<OpenedFlow> awaitingFirstRequest;
    std::size_t awaitingCount = 0;
    std::uint64_t expiredRequests = 0;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_REQUESTTRACKER_H

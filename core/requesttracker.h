#ifndef CACTUSDECK_CORE_REQUESTTRACKER_H
#define CACTUSDECK_CORE_REQUESTTRACKER_H

#include <deque>

#include "core/admission.h"
#include "core/agentservices.h"
#include "core/flowtable.h"
#include "core/outbox.h"
#include "core/requestqueue.h"

// Recognises requests and responses in the packets of accepted flows, and decides when a request
// goes to the server.
//
//     if (requests.onCallerPacket(flow, view, now) == Handling::Deliver)
//         sink.toServer(view.bytes);
//     requests.onServerPacket(flow, view, now);
//     requests.dispatch(now, sink);               // queued requests for which there is room
//
// A request begins with new payload of the caller and ends when the caller has acknowledged the
// server's response. Layer 4 shows no message boundaries: a response sent in several bursts with
// acknowledged gaps ends at the first gap, and its rest counts as work begun by the server.

namespace cactusdeck {

enum class Handling : std::uint8_t { Deliver, Hold, Drop };

class RequestTracker
{
public:
    // A flow that has sent no request within this time after its SYN is a session without one.
    static constexpr std::chrono::milliseconds firstRequestTimeout{ 250 };

    RequestTracker(FlowTable &flows, Admission &admission, const AgentServices &services);

    // A packet that the flow accepts; records it in the flow table.
    Handling onCallerPacket(Flow &flow, const PacketView &view, TimePoint now);
    void onServerPacket(Flow &flow, const PacketView &view, TimePoint now);
    void onFlowOpened(Flow &flow, TimePoint now);
    // The flow was closed or will be erased.
    void finish(Flow &flow, TimePoint now);
    void dispatch(TimePoint now, DataSink &sink);
    // Ends requests and queue entries that are overdue.
    void onTimer(TimePoint now);
    void endOverdueRequest(Flow &flow, TimePoint now);
    void clear();

    // Requests that wait and flows that may send one soon.
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

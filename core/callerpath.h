#ifndef CACTUSDECK_CORE_CALLERPATH_H
#define CACTUSDECK_CORE_CALLERPATH_H

#include "core/agentstate.h"

// Path of packets from callers through an agent: processes the frames of balancers and other
// agents.
//
//     CallerPath path(state);
//     path.onFrame(datagram, now, sink, outbox);
//     path.onAdopted(...) / path.onNotAdopted(...)     // when an adoption probe ends
//
// The packet of a frame is delivered to the backend server or held for it, or the frame is
// forwarded to the next hop. On the last hop a frame that can't be delivered is dropped.

namespace cactusdeck {

class CallerPath
{
public:
    explicit CallerPath(AgentState &agentState)
        : state(agentState)
    { }

    void onFrame(std::span<const std::uint8_t> datagram, TimePoint now, DataSink &sink,
                 Outbox &outbox);
    // The server has the connection. answer is its answer to the adoption probe.
    void onAdopted(const PacketView &answer, TimePoint now, DataSink &sink, Outbox &outbox);
    // The server doesn't have the connection, or hasn't answered the adoption probe.
    void onNotAdopted(const FlowKey &key, const char *reason, TimePoint now, DataSink &sink,
                      Outbox &outbox);
    // Resets the server's side of a connection that its caller doesn't use, and closes the flow.
    void resetServerSide(Flow &flow, TimePoint now, DataSink &sink);

private:
    // A received frame, its packet, and the arguments of onFrame().
    struct Context
    {
        const ForwardFrame &frame;
        const PacketView &view;
        std::span<const std::uint8_t> datagram;
        TimePoint now;
        DataSink &sink;
        Outbox &outbox;
    };

    bool isOutOfService(const ForwardFrame &frame) const;
    bool isAddressedToThisRun(const Hop &hop) const;
    void onKnownFlow(const Context &context, Flow &flow);
    void onAccepted(const Context &context, Flow &flow);
    void onMismatch(const Context &context, Flow &flow);
    void onSynOfKnownFlow(const Context &context, Flow &flow);
    void onUnknownFlow(const Context &context);
    void onNewFlow(const Context &context);
    const char *reasonToDecline(const Context &context);
    void decline(const Context &context, const char *reason);
    // Forwards a frame that isn't for this agent to the next hop. On the last hop the frame is
    // dropped, and the verdict is sent to the balancer if one is given.
    void forwardOrDrop(const Context &context, std::optional<Verdict> verdictOnLastHop);
    // Sends the frame to its current hop.
    static void sendToHop(const Context &context, const ForwardFrame &frame);
    const Hop *forwardToNextHop(const Context &context);
    const Hop *returnToFirstHop(const Context &context);
    void reply(const Context &context, Verdict verdict);
    void deliver(const Context &context);

    AgentState &state;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_CALLERPATH_H

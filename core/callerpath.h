#ifndef CACTUSDECK_CORE_CALLERPATH_H
#define CACTUSDECK_CORE_CALLERPATH_H

#include "core/agentstate.h"

// The path of an agent from frames to the backend server.
//
//     CallerPath path(state);
//     path.onFrame(datagram, now, sink, outbox);
//     path.onAdopted(...) / path.onNotAdopted(...)     // when an adoption probe ends
//
// A frame is delivered to the server, or forwarded to the next hop, or dropped on the last hop.

namespace cactusdeck {

class CallerPath
{
public:
    explicit CallerPath(AgentState &agentState)
        : state(agentState)
    { }

    void onFrame(std::span<const std::uint8_t> datagram, TimePoint now, DataSink &sink,
                 Outbox &outbox);
    // The server has the flow: answer is its answer to the probe.
    void onAdopted(const PacketView &answer, TimePoint now, DataSink &sink, Outbox &outbox);
    // The server doesn't have the flow, or hasn't answered.
    void onNotAdopted(const FlowKey &key, const char *reason, TimePoint now, DataSink &sink,
                      Outbox &outbox);
    // Resets the server's side of a connection that no caller uses.
    void resetServerSide(Flow &flow, TimePoint now, DataSink &sink);

private:
    // One frame on its way through the checks.
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
    // Forwards a frame that isn't for this agent. On the last hop it is dropped.
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

#ifndef CACTUSDECK_CORE_SERVERPATH_H
#define CACTUSDECK_CORE_SERVERPATH_H

#include "core/agentstate.h"
#include "core/callerpath.h"

// Path of packets from the backend server through an agent to callers.
//
//     ServerPath path(state, callerPath);
//     path.onPacket(packet, now, sink, outbox);
//
// A packet is sent to the caller only if it belongs to the current flow of its addresses and ports,
// not to an earlier one.

namespace cactusdeck {

class ServerPath
{
public:
    ServerPath(AgentState &agentState, CallerPath &path)
        : state(agentState)
        , callerPath(path)
    { }

    void onPacket(std::span<const std::uint8_t> packet, TimePoint now, DataSink &sink,
                  Outbox &outbox);

private:
    // Handles the answer to an adoption probe. Returns true if the packet needs no further
    // processing.
    bool onProbeAnswer(const PacketView &view, TimePoint now, DataSink &sink, Outbox &outbox);
    void onUnknownFlow(const PacketView &view, TimePoint now, DataSink &sink);
    void onUnacceptedPacket(const PacketView &view, Flow &flow, TimePoint now, DataSink &sink);
    void onFlowLostByServer(const PacketView &view, Flow &flow, TimePoint now, DataSink &sink,
                            Outbox &outbox);
    void reportReset(const PacketView &view, const Flow &flow, TimePoint now);

    AgentState &state;
    CallerPath &callerPath;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_SERVERPATH_H

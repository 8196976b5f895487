#ifndef CACTUSDECK_CORE_SERVERPATH_H
#define CACTUSDECK_CORE_SERVERPATH_H

#include "core/agentstate.h"
#include "core/callerpath.h"

// The path of an agent from the backend server to callers.
//
//     ServerPath path(state, callerPath);
//     path.onPacket(packet, now, sink, outbox);
//
// Only packets that answer the current flow of an address and port pair go to the caller.

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
    // Returns true if the packet was only the answer to an adoption probe.
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

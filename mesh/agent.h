#ifndef CACTUSDECK_MESH_AGENT_H
#define CACTUSDECK_MESH_AGENT_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/frame.h"
#include "mesh/coldstartlimiter.h"
#include "mesh/peermessage.h"
#include "mesh/peerset.h"
#include "mesh/segment.h"
#include "mesh/serverflows.h"
#include "mesh/serverrecord.h"
#include "mesh/serverwatch.h"
#include "mesh/sink.h"

// The process beside one backend server. It is the only way to the server, so it alone decides
// which flows the server gets: a drain, a cold start or an evacuation is kept here however much the
// balancers know.
//
//     Agent agent({ .name = ..., .service = ..., .codec = &codec });
//     agent.start(now, sink);
//     agent.onDatagram(bytes, from, now, sink);       // frames and messages of other nodes
//     agent.onServerPacket(bytes, now, sink);         // from the backend server
//     agent.onHeartbeat(heartbeat, now, sink);
//     while (!agent.isStopped()) wait until agent.nextTimer(), then agent.onTimer(now, sink);
//
// The class does no I/O and reads no clock. All times passed in must not go backwards.

namespace cactusdeck::mesh {

struct AgentOptions
{
    NodeId name;
    ZoneName zone;
    ServiceName service;
    Endpoint mesh; // own endpoint for frames and messages
    Endpoint server; // where the backend server takes packets
    std::vector<Endpoint> seeds; // mesh endpoints of balancers
    const SegmentCodec *codec = nullptr;
};

// Since the start of the agent; packets unless stated otherwise.
struct AgentCounters
{
    std::uint64_t admitted = 0; // opening packets given to the server
    std::uint64_t passedOn = 0; // opening packets declined and given to the next agent
    std::uint64_t passedOnBusy = 0; // of these, because another server is expected to be faster
    std::uint64_t refused = 0; // flows answered with a reset, since no agent took them
    std::uint64_t toServer = 0;
    std::uint64_t toCaller = 0;
    std::uint64_t bounced = 0;
    std::uint64_t adopted = 0; // flows from before the agent's start
    std::uint64_t resetFlows = 0; // flows that their server no longer holds
    std::uint64_t unknownFlow = 0;
    std::uint64_t droppedEvacuated = 0;
    std::uint64_t malformed = 0;
    std::uint64_t heartbeats = 0;
    std::uint64_t staleHeartbeats = 0;
    std::uint64_t rejectedHeartbeats = 0;
};

class Agent
{
public:
    explicit Agent(AgentOptions options);

    void start(TimePoint now, Sink &sink);
    void onDatagram(std::span<const std::uint8_t> datagram, Endpoint from, TimePoint now,
                    Sink &sink);
    void onServerPacket(std::span<const std::uint8_t> packet, TimePoint now, Sink &sink);
    // False if the heartbeat is not from the backend server beside this agent. A stale one is
    // acknowledged and changes nothing.
    bool onHeartbeat(const Heartbeat &heartbeat, TimePoint now, Sink &sink);
    void onDeregister(const std::string &instance, std::int64_t startedAt, TimePoint now,
                      Sink &sink);
    // Mesh endpoints found in the directory.
    void addBalancers(const std::vector<Endpoint> &balancers, TimePoint now, Sink &sink);
    // No balancer has been heard for so long that the seeds must be wrong.
    bool needsDirectory(TimePoint now) const;

    // True when the agent wants to know whether anybody listens at the server's address; the
    // outcome must follow.
    bool takeServerCheck(TimePoint now) { return this->watch.takeCheck(now); }
    void onServerCheck(ConnectOutcome outcome, TimePoint now, Sink &sink);

    TimePoint nextTimer() const;
    void onTimer(TimePoint now, Sink &sink);
    // Stops taking flows; ends when no request is in progress, after stopLimit at the latest.
    void stop(TimePoint now, Sink &sink);
    bool isStopped() const { return this->stopped; }

    const AgentCounters &counters() const { return this->counts; }
    const ServerRecord &server() const { return this->record; }
    const ServerLoad &load() const { return this->flows.load(); }
    const LatencyHistogram &answerTimes() const { return this->flows.answerTimes(); }
    const LatencyHistogram &openingTimes() const { return this->flows.openingTimes(); }
    std::size_t flowCount() const { return this->flows.openCount(); }

private:
    // Reports carry load; a server that stops is found silent after three of them.
    static constexpr std::chrono::milliseconds reportInterval{ 500 };
    // While no balancer has answered, so that a balancer that starts hears of the agent soon.
    static constexpr std::chrono::milliseconds searchInterval{ 100 };
    // Changes are told at once, but not more often than this.
    static constexpr std::chrono::milliseconds reportGap{ 50 };
    // Bytes a second for reports to all balancers; most of the control budget of 7 KB/s.
    static constexpr double reportBytesPerSecond = 5000;
    static constexpr double reportBytes = 200;
    static constexpr std::chrono::seconds expiryInterval{ 1 };
    // A stopping agent waits this long for balancers to stop placing flows, and in all no longer
    // than half of the time that the platform grants.
    static constexpr std::chrono::milliseconds stopDelay{ 150 };
    static constexpr std::chrono::milliseconds stopLimit{ 3000 };
    static constexpr std::chrono::milliseconds stopCheckInterval{ 5 };
    // A server that has deregistered exits within this time; then nobody holds its flows.
    static constexpr std::chrono::milliseconds exitDelay{ 500 };
    // Open flows of an evacuated zone are served until the promised time is nearly over.
    static constexpr std::chrono::milliseconds evacuationGrace{ 3500 };
    static constexpr std::chrono::milliseconds directoryDelay{ 1500 };
    // A packet handed over on suspicion is answered by a bounce or by the server within this time.
    static constexpr std::chrono::seconds probeTimeout{ 2 };
    // Until measured; a server that is busy before it has answered anything is slow or new.
    static constexpr std::chrono::milliseconds assumedServiceTime{ 30 };
    static constexpr std::chrono::milliseconds defaultIdleTimeout{ 60000 };
    // After this share of flows has come or gone the balancers are told at once.
    static constexpr double minFlowChangeShare = 0.2;
    static constexpr std::size_t minFlowChange = 3;

    struct Probe
    {
        Endpoint balancer;
        TimePoint sentAt;
        std::vector<Endpoint> remaining; // agents that get the packet if the server returns it
    };

    // Why the server gets no new flow now.
    struct Decline
    {
        const char *reason;
        bool isTransient; // the server may take one within the caller's time for opening
    };
    // An opening packet on its way through the agents of a service.
    struct Opening
    {
        Endpoint balancer;
        std::vector<Endpoint> remaining; // agents that may still take it
        std::chrono::milliseconds maxWait{ 0 };
        bool mayBeTakenSoon = false; // an agent declined for a transient reason
        std::span<const std::uint8_t> packet;
    };

    void onForward(const ForwardFrame &frame, TimePoint now, Sink &sink);
    void onOpening(const ForwardFrame &frame, const Segment &segment, TimePoint now, Sink &sink);
    void onEstablished(const ForwardFrame &frame, const Segment &segment, TimePoint now,
                       Sink &sink);
    // The flow's server has exited or does not hold the flow any more: nobody does.
    void resetFlow(const Segment &segment, const char *reason, TimePoint now, Sink &sink);
    void onUnknown(const ForwardFrame &frame, const Segment &segment, TimePoint now, Sink &sink);
    // The server beside this agent doesn't hold the flow: the next agent of the chain is asked, or
    // the balancer is told.
    void continueProbe(const std::vector<Endpoint> &remaining, Endpoint balancer,
                       const Segment &segment, Sink &sink);
    void onLocate(const ForwardFrame &frame, const Segment &segment, Sink &sink);
    void onBounce(const Segment &segment, TimePoint now, Sink &sink);
    void onNotice(const BalancerNotice &notice, Endpoint from, TimePoint now, Sink &sink);
    std::optional<Decline> checkAdmission(TimePoint now) const;
    // The time that a request of one more flow would wait at the server.
    Duration expectedWait() const;
    // Gives the opening packet to the next agent, or refuses the flow.
    void forwardOpening(const Opening &opening, const Segment &segment, const Decline &decline,
                        Sink &sink);
    void reply(Verdict verdict, const FlowKey &key, Endpoint balancer, Sink &sink);
    void resetCaller(const Segment &segment, const char *reason, Sink &sink);
    // The server is gone: callers of open flows are told before they send another request.
    void resetAllFlows(const char *reason, TimePoint now, Sink &sink);
    void report(TimePoint now, Sink &sink);
    void reportSoon(TimePoint now);
    bool hasFlowCountChanged() const;
    bool isOutOfService(TimePoint now) const;
    bool hasServerExited(TimePoint now) const;
    // What the server says of itself, unless it is gone without a word.
    ServerPhase serverPhase() const;
    // What balancers are told.
    ServerPhase phase() const;
    // No flow from before the agent's start can live.
    bool knowsAllFlows() const;
    void sendToServer(std::span<const std::uint8_t> packet, TimePoint now, Sink &sink);
    std::chrono::milliseconds interval() const;

    AgentOptions options;
    ServiceId service;
    PeerSet balancers;
    ServerRecord record;
    ServerWatch watch;
    ServerFlows flows;
    ColdStartLimiter coldStartLimiter;
    std::unordered_map<FlowKey, Probe, FlowKeyHash> probes;
    AgentCounters counts;
    Revision configuration = 0;
    Revision evacuation = 0;
    ServiceLimits limits;
    std::chrono::milliseconds idleTimeout = defaultIdleTimeout;
    bool isEvacuated = false;
    TimePoint evacuatedAt;
    TimePoint startedAt;
    TimePoint lastReport;
    TimePoint nextReport;
    TimePoint nextExpiry;
    std::size_t reportedFlows = 0;
    bool isStopping = false;
    bool stopped = false;
    TimePoint stoppingAt;
    TimePoint nextStopCheck;
    TimePoint deregisteredAt;
    bool mustEndFlows = false; // once the server has exited
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_AGENT_H

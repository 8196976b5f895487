#ifndef CACTUSDECK_MESH_AGENT_H
#define CACTUSDECK_MESH_AGENT_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/frame.h"
#include "mesh/coldpresumption.h"
#include "mesh/coldstartlimiter.h"
#include "mesh/peermessage.h"
#include "mesh/peerset.h"
#include "mesh/requestscheduler.h"
#include "mesh/segment.h"
#include "mesh/serverflows.h"
#include "mesh/serverrecord.h"
#include "mesh/serverwatch.h"
#include "mesh/sink.h"
#include "mesh/traffic.h"

// The agent of one backend server, running beside it. All packets to the server pass the agent, so
// it alone decides which flows the server gets: it enforces drain, cold start and evacuation even
// if a balancer's state is out of date.
//
//     Agent agent({ .name = ..., .service = ..., .codec = &codec });
//     agent.start(now, sink);
//     agent.onDatagram(bytes, from, now, sink);       // frames and messages of other nodes
//     agent.onServerPacket(bytes, now, sink);         // from the backend server
//     agent.onHeartbeat(heartbeat, now, sink);
//     while (!agent.isStopped()) wait until agent.nextTimer(), then agent.onTimer(now, sink);
//
// The class does no I/O and reads no clock. Times passed in must not decrease.

namespace cactusdeck::mesh {

struct AgentOptions
{
    NodeId name;
    ZoneName zone;
    ServiceName service;
    Endpoint mesh; // own endpoint for frames and messages
    Endpoint server; // on which the backend server receives packets
    std::vector<Endpoint> seeds; // mesh endpoints of balancers
    const SegmentCodec *codec = nullptr;
    // A server with at most this many slots is scheduled request by request; 0: none.
    std::uint32_t requestSchedulingMaxSlots = 0;
};

// Totals since the start of the agent, in packets unless stated otherwise.
struct AgentCounters
{
    std::uint64_t admitted = 0; // opening packets sent to the server
    std::uint64_t passedOn = 0; // opening packets declined and forwarded to the next agent
    std::uint64_t passedOnBusy = 0; // the part of passedOn for which another server is faster
    std::uint64_t refused = 0; // flows reset because no agent took them
    std::uint64_t toServer = 0;
    std::uint64_t toCaller = 0;
    std::uint64_t bounced = 0;
    std::uint64_t adopted = 0; // flows from before the agent's start
    std::uint64_t resetFlows = 0; // flows that the server no longer has
    std::uint64_t unknownFlow = 0;
    std::uint64_t probes = 0; // packets of unknown flows sent to the server
    std::uint64_t serverResets = 0; // resets sent by the server
    std::uint64_t droppedResets = 0; // the part of serverResets for flows not open at the server
    std::uint64_t droppedEvacuated = 0;
    std::uint64_t droppedEarlierFlow = 0; // late packets of the server
    std::uint64_t unservable =
            0; // the part of refused or declined that no one could answer in time
    std::uint64_t malformed = 0;
    std::uint64_t heartbeats = 0;
    std::uint64_t staleHeartbeats = 0;
    std::uint64_t rejectedHeartbeats = 0; // of other servers, or malformed
};

class Agent
{
public:
    explicit Agent(AgentOptions options);

    void start(TimePoint now, Sink &sink);
    void onDatagram(std::span<const std::uint8_t> datagram, Endpoint from, TimePoint now,
                    Sink &sink);
    void onServerPacket(std::span<const std::uint8_t> packet, TimePoint now, Sink &sink);
    // Returns false if the heartbeat is not from this agent's backend server. For a stale heartbeat
    // it returns true but changes nothing.
    bool onHeartbeat(const Heartbeat &heartbeat, TimePoint now, Sink &sink);
    // A heartbeat or deregistration that could not be decoded. It changes nothing.
    void onMalformedHeartbeat(const std::string &reason, Sink &sink);
    void onDeregister(const std::string &instance, std::int64_t startedAt, TimePoint now,
                      Sink &sink);
    // Adds mesh endpoints of balancers that the settings name.
    void addBalancers(const std::vector<Endpoint> &balancers, TimePoint now, Sink &sink);
    // The same for the directory, which may also name many that have gone.
    void addFound(const std::vector<Endpoint> &balancers, TimePoint now, Sink &sink);
    // True if no balancer has been heard for so long that the known endpoints are probably outdated
    // and the directory should be read.
    bool needsDirectory(TimePoint now) const;

    // Returns true if it is time to check whether the server still listens. The calling code must
    // then connect to the server's address and pass the outcome to onServerCheck.
    bool takeServerCheck(TimePoint now) { return this->watch.takeCheck(now); }
    void onServerCheck(ConnectOutcome outcome, TimePoint now, Sink &sink);

    TimePoint nextTimer() const;
    void onTimer(TimePoint now, Sink &sink);
    // The machine was paused, so that its clock stood still and packets have queued up.
    void onPaused(TimePoint now, Sink &sink);
    // Stops admitting flows. The agent is stopped once no request is in progress, and after
    // stopLimit at the latest.
    void stop(TimePoint now, Sink &sink);
    bool isStopped() const { return this->stopped; }

    const AgentCounters &counters() const { return this->counts; }
    const Traffic &traffic() const { return this->sent; }
    const ServerRecord &server() const { return this->record; }
    const ServerLoad &load() const { return this->flows.load(); }
    const LatencyHistogram &answerTimes() const { return this->flows.answerTimes(); }
    const LatencyHistogram &openingTimes() const { return this->flows.openingTimes(); }
    std::size_t flowCount() const { return this->flows.openCount(); }
    const RequestScheduler &requests() const { return this->scheduler; }
    const RouteCosts &costs() const { return this->flows.costs(); }

private:
    // Reports contain the load. An agent counts as silent after three missing reports. Balancers of
    // the own failure domain place most of the flows, so they get most of the reports.
    static constexpr std::chrono::milliseconds reportInterval{ 500 };
    // Report interval while no balancer has answered, so that a balancer that starts soon learns of
    // the agent.
    static constexpr std::chrono::milliseconds searchInterval{ 100 };
    // Minimum time between two reports. Changes are reported at once apart from this.
    static constexpr std::chrono::milliseconds reportGap{ 50 };
    // Bandwidth for the reports to the balancers of the own domain and to the others: together most
    // of the 7 KB/s allowed for control traffic.
    static constexpr double homeBytesPerSecond = 3000;
    static constexpr double remoteBytesPerSecond = 2000;
    static constexpr double minReportBytes = 200;
    // An agent that has heard no balancer for this time, or for this many report intervals if that
    // is longer, reports to all of them each searchInterval.
    static constexpr std::chrono::milliseconds aloneTime{ 2000 };
    static constexpr int aloneIntervals = 3;
    // Reports in each searchInterval to balancers that were found in the directory.
    static constexpr std::size_t foundReports = 5;
    // Several balancers tell an agent of each newcomer, which gets one report in this time.
    static constexpr std::chrono::milliseconds newcomerGap{ 500 };
    static constexpr std::chrono::seconds expiryInterval{ 1 };
    // A stopping agent waits at least stopDelay, until balancers no longer place flows on it, and
    // at most stopLimit, which is half of the time that the platform gives a process to stop.
    static constexpr std::chrono::milliseconds stopDelay{ 150 };
    static constexpr std::chrono::milliseconds stopLimit{ 3000 };
    static constexpr std::chrono::milliseconds stopCheckInterval{ 5 };
    // A server exits within this time after it has deregistered; then its flows no longer exist.
    static constexpr std::chrono::milliseconds exitDelay{ 500 };
    // After an evacuation, open flows are served for this time, which ends shortly before the zone
    // must receive no more packets.
    static constexpr std::chrono::milliseconds evacuationGrace{ 3500 };
    static constexpr std::chrono::milliseconds directoryDelay{ 1500 };
    // Time for which a probe is kept; the server answers or bounces the packet within it.
    static constexpr std::chrono::seconds probeTimeout{ 2 };
    // While there are more probes than this, their packets (1.2 KB) are not kept.
    static constexpr std::size_t maxKeptProbePackets = 512;
    // Used until there are measurements: a server that is busy before it has answered a request is
    // slow or has just started.
    static constexpr std::chrono::milliseconds assumedServiceTime{ 30 };
    static constexpr std::chrono::milliseconds defaultIdleTimeout{ 60000 };
    // If the flow count has changed by this share and by minFlowChange since the last report, a new
    // report is sent at once.
    static constexpr double minFlowChangeShare = 0.2;
    static constexpr std::size_t minFlowChange = 3;

    // A packet of an unknown flow that was sent to the server because the server may have the flow.
    struct Probe
    {
        Endpoint balancer;
        TimePoint sentAt;
        std::vector<Endpoint> remaining; // agents that get the packet if the server bounces it
        bool isClosing = false; // the packet, or one probed before it, finishes the flow
        std::uint32_t acknowledgement = 0; // of the packet
        // Kept only if there are agents remaining, since a server that resets a packet does not
        // return it.
        std::vector<std::uint8_t> packet;

        // True if the server's packet belongs to an earlier flow of the probe's addresses and
        // ports.
        bool isOfLaterFlowThan(const Segment &serverPacket) const;
    };

    // Why the agent does not admit a new flow at the moment.
    struct Decline
    {
        const char *reason;
        bool isTransient; // the server may admit it before the caller gives up opening the flow
    };
    // An opening packet that is forwarded along the agents of a service.
    struct Opening
    {
        Endpoint balancer;
        std::vector<Endpoint> remaining; // agents that may still take it
        std::chrono::milliseconds maxWait{ 0 }; // expected wait above which the next agent gets it
        RequestTerms terms; // of the flow's route
        bool mayBeTakenSoon = false; // an agent declined for a transient reason
        std::span<const std::uint8_t> packet;
    };

    void onForward(const ForwardFrame &frame, TimePoint now, Sink &sink);
    void onOpening(const ForwardFrame &frame, const Segment &segment, TimePoint now, Sink &sink);
    void onEstablished(const ForwardFrame &frame, const Segment &segment, TimePoint now,
                       Sink &sink);
    // Resets a flow whose server has exited or lost the flow; no other server can have it.
    void resetFlow(const Segment &segment, const char *reason, TimePoint now, Sink &sink);
    void onUnknown(const ForwardFrame &frame, const Segment &segment, TimePoint now, Sink &sink);
    // The server of this agent does not have the flow: forwards the packet to the next agent of the
    // chain or, if there is none, tells the balancer.
    void continueProbe(const std::vector<Endpoint> &remaining, Endpoint balancer,
                       const Segment &segment, Sink &sink);
    // The same for the probe of the flow, whose packet the server has answered without owning the
    // flow. The probe ends.
    void continueProbe(const FlowKey &key, Sink &sink);
    // The server may have acknowledged the end of an earlier flow of the same ports: the next
    // agents get the packet too, but cannot declare the flow lost.
    void continueClosing(const FlowKey &key, Sink &sink);
    // Counts and logs a packet of the server that belongs to an earlier flow of the same ports.
    void dropEarlier(const FlowKey &key, Sink &sink);
    void onLocate(const ForwardFrame &frame, const Segment &segment, Sink &sink);
    void onBounce(const Segment &segment, TimePoint now, Sink &sink);
    // True if the packet shows that the server has a flow from before the agent's start.
    bool provesOwnership(const FlowKey &key, const Segment &serverPacket) const;
    // Returns true if the reset is for the caller, which it is only if the flow is open at the
    // server.
    bool onServerReset(const FlowKey &key, const ServerFlow *flow, TimePoint now, Sink &sink);
    void onNotice(const BalancerNotice &notice, Endpoint from, TimePoint now, Sink &sink);
    void applyEvacuation(const BalancerNotice &notice, Endpoint from, TimePoint now, Sink &sink);
    void setEvacuated(bool isZoneEvacuated, TimePoint since, Endpoint balancer, TimePoint now,
                      Sink &sink);
    std::optional<Decline> checkAdmission(TimePoint now) const;
    // The time that a request of one more flow is expected to wait at the server.
    Duration expectedWait() const;
    // Forwards the opening packet to the next agent. If there is none, tells the balancer and,
    // where that is safe, resets the flow.
    void forwardOpening(const Opening &opening, const Segment &segment, const Decline &decline,
                        Sink &sink);
    void reply(Verdict verdict, const FlowKey &key, Endpoint balancer, Sink &sink);
    void resetCaller(const Segment &segment, const char *reason, Sink &sink);
    // For a server that no longer runs: resets all open flows, so that their callers learn of it
    // before they send another request.
    void resetAllFlows(const char *reason, TimePoint now, Sink &sink);
    void resetFlowsBefore(TimePoint openedBefore, const char *reason, TimePoint now, Sink &sink);
    // Reports to all balancers.
    void report(TimePoint now, Sink &sink);
    void reportHome(TimePoint now, Sink &sink);
    void reportRemote(TimePoint now, Sink &sink);
    void reportTo(const std::vector<Endpoint> &recipients, std::chrono::milliseconds interval,
                  TimePoint now, Sink &sink);
    // Reports to all balancers as soon as the gap allows it.
    void reportSoon(TimePoint now);
    void reportHomeSoon(TimePoint now);
    void reportToNewcomers(const std::vector<Endpoint> &endpoints, TimePoint now, Sink &sink);
    bool isAlone(TimePoint now) const;
    bool hasFlowCountChanged() const;
    bool isOutOfService(TimePoint now) const;
    // Called at each event of the agent.
    void onEvent(TimePoint now, Sink &sink);
    // Treats the server as cold until a later heartbeat says otherwise, if the service states a
    // limit for cold servers.
    void presumeCold(const char *reason, Duration gap, TimePoint now, Sink &sink);
    bool mayBeCold(TimePoint now) const;
    // True if the server has so few slots that its requests are scheduled one by one.
    bool isScheduling() const;
    bool hasServerExited(TimePoint now) const;
    // The phase that the server reports, or Ended if it no longer runs without having deregistered.
    ServerPhase serverPhase() const;
    // The phase that is reported to the balancers.
    ServerPhase phase() const;
    // True if no flow from before the agent's start can still exist.
    bool knowsAllFlows() const;
    void sendToServer(std::span<const std::uint8_t> packet, TimePoint now, Sink &sink);
    // Returns true if the packet of an open flow may go to the server now.
    bool schedule(ServerFlow &flow, const Segment &segment, TimePoint now);
    // Sends held requests for which the server has free slots.
    void releaseRequests(TimePoint now, Sink &sink);
    void expireRequests(TimePoint now, Sink &sink);
    std::chrono::milliseconds intervalFor(std::size_t recipients, double bytesPerSecond) const;

    AgentOptions options;
    ServiceId service;
    PeerSet balancers;
    ServerRecord record;
    ServerWatch watch;
    ServerFlows flows;
    RequestScheduler scheduler;
    ColdStartLimiter coldStartLimiter;
    ColdPresumption coldPresumption;
    std::unordered_map<FlowKey, Probe, FlowKeyHash> probes;
    AgentCounters counts;
    Traffic sent;
    ConfigurationVersion configuration = 0; // that the limits are from; 0: none known
    StorePosition evacuationsAsOf; // revision 0: nothing known
    ServiceLimits limits;
    std::chrono::milliseconds idleTimeout = defaultIdleTimeout;
    bool isEvacuated = false;
    TimePoint evacuatedAt;
    // When the zone returns unless the restored store lists its evacuation until then.
    TimePoint returnsAt = TimePoint::max();
    TimePoint startedAt;
    TimePoint lastHomeReport;
    TimePoint nextHomeReport;
    TimePoint lastRemoteReport;
    TimePoint nextRemoteReport;
    std::chrono::milliseconds homeInterval = reportInterval;
    std::chrono::milliseconds remoteInterval = reportInterval;
    std::map<Endpoint, TimePoint> newcomers; // and when they got a report
    TimePoint nextExpiry;
    std::size_t reportedFlows = 0;
    double reportBytes = minReportBytes; // of the last report
    bool isStopping = false;
    bool stopped = false;
    TimePoint stoppingAt;
    TimePoint nextStopCheck;
    TimePoint deregisteredAt;
    bool mustEndFlows = false; // flows must be reset once the deregistered server has exited
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_AGENT_H

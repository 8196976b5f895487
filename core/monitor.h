#ifndef CACTUSDECK_CORE_MONITOR_H
#define CACTUSDECK_CORE_MONITOR_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

#include "core/controlbudget.h"
#include "core/membership.h"

// A balancer's failure detector: probes other balancers and receives the heartbeats of agents.
//
//     Monitor monitor({ .seed = 1 }, sources, membership, budget);
//     monitor.onControl(message, now, outbox);   // every message; see onControl
//     monitor.onTimer(now, outbox);              // every tickInterval
//
// Balancers are probed in a random order, one per second. A probe without an answer is repeated,
// directly and through 2 other balancers. If there is none within probeTimeout, the target becomes
// suspect. Agents that are silent for longer than silenceBeforeProbe are probed in the same way, so
// that lost heartbeats or a link that fails in one direction do not raise a suspicion. A node that
// has been suspect for deadAfter is declared dead. A suspect node is sent its own record, and
// refutes by announcing a higher incarnation.
//
// If the process was paused (its timer ran more than pauseThreshold late), the messages missed
// during the pause raise no suspicion. A balancer that receives no message at all, or no answer to
// any probe, takes itself to be isolated from the network and suspects no further nodes. Before it
// has joined, a balancer monitors no agents and does not acknowledge heartbeats, since it would
// name the wrong monitors.
//
// Cost at 760 balancers and 6,200 agents (16 agents a monitor): 16 HeartbeatAcks of about 75 bytes
// and one or two probes of 40 bytes with answers a second, 1.3 KB/s. An acknowledgement names at
// most servicesPerAck services, in rotation. Member lists are sent on request only, in pieces of
// one datagram.

namespace cactusdeck {

inline constexpr std::size_t monitorsPerAgent = 2;
// Services named in one HeartbeatAck. The next acknowledgements name the others.
inline constexpr std::size_t servicesPerAck = 8;

struct MonitorOptions
{
    std::uint64_t seed = 0;
    Duration probeInterval = std::chrono::seconds(1);
    Duration probeRepeat = std::chrono::milliseconds(250);
    Duration probeTimeout = std::chrono::seconds(2);
    Duration silenceBeforeProbe = std::chrono::milliseconds(1200);
    Duration suspectAfter = std::chrono::seconds(2); // silence of an agent
    Duration deadAfter = std::chrono::seconds(4); // after becoming suspect; for both roles
    // Time in which a newly assigned agent may be silent, since it has to learn of its new monitor.
    Duration assignmentGrace = std::chrono::seconds(6);
    Duration pauseThreshold = std::chrono::seconds(1);
};

// What the monitor needs from the rest of the balancer.
struct MonitorSources
{
    std::function<bool()> isJoined; // GossipProtocol::isJoined
    std::function<ConfigurationVersion()> configuration; // newest version that this node has
    // Services that a group carries, with the digests of their tables in this node's view.
    std::function<std::vector<ServiceDigest>(const GroupName &)> services;
    // Members of a service's table; see placementMembers().
    std::function<std::vector<Member>(ServiceId)> members;
    // GossipProtocol::holdingsDigest.
    std::function<std::uint32_t(const NodeId &)> holdingsDigest;
};

class Monitor
{
public:
    // The references must outlive this object.
    Monitor(MonitorOptions options, MonitorSources sources, Membership &membership,
            ControlBudget &budget);

    // Handles Heartbeat, MembersRequest, Probe and ProbeAck. The owner passes messages of all other
    // kinds too, since each one shows that this node is not isolated.
    void onControl(const ControlMessage &message, TimePoint now, Outbox &outbox);
    void onTimer(TimePoint now, Outbox &outbox);

    // Control endpoints of the balancers that monitor the agent, by rendezvous hashing.
    std::vector<Endpoint> monitorsOf(const NodeId &agent) const;
    bool isMonitorOf(const NodeId &agent) const;
    // Agents that this node monitors.
    std::vector<NodeId> monitored() const;
    // Lowest configuration version among the usable agents that this node monitors; UINT64_MAX if
    // there are none.
    ConfigurationVersion lowestConfiguration() const;

private:
    struct MonitoredAgent // an agent that this node monitors
    {
        TimePoint lastContact;
        TimePoint nextProbe{};
        int probes = 0; // sent since lastContact
        bool knowsMonitor = false; // has been told that this node is its monitor
    };
    struct PendingProbe // a probe of a balancer that has not been answered yet
    {
        NodeId target;
        TimePoint started;
        TimePoint nextRepeat;
    };
    struct Relay // a probe sent on behalf of another balancer
    {
        Endpoint origin;
        std::uint32_t originNumber = 0;
        TimePoint expires;
    };

    void onHeartbeat(const NodeRecord &heartbeat, TimePoint now, Outbox &outbox);
    void recordContact(const NodeId &agent, TimePoint now);
    HeartbeatAck acknowledge(const NodeRecord &record);
    std::vector<ServiceDigest> nextServices(const GroupName &group);
    void onMembersRequest(const MembersRequest &request, TimePoint now, Outbox &outbox);
    void onProbe(const Probe &probe, TimePoint now, Outbox &outbox);
    void onProbeAck(const ProbeAck &ack, TimePoint now, Outbox &outbox);
    void forwardAck(const ProbeAck &ack, TimePoint now, Outbox &outbox);
    void resumeAfterPause(TimePoint now, Outbox &outbox);
    std::vector<const NodeRecord *> chooseMonitors(const NodeId &agent) const;
    void updateAssignment(TimePoint now);
    void checkAgents(TimePoint now, Outbox &outbox);
    void checkAgent(const NodeRecord &agent, MonitoredAgent &agentState, TimePoint now,
                    Outbox &outbox);
    void startProbe(TimePoint now, Outbox &outbox);
    void repeatProbes(TimePoint now, Outbox &outbox);
    bool sendProbe(const NodeRecord &target, bool indirect, TimePoint now, Outbox &outbox);
    void suspect(const NodeId &id, TimePoint now, Outbox &outbox);
    void declareDead(const NodeRecord &record, TimePoint now, Outbox &outbox);
    void sendRecord(const NodeRecord &record, Endpoint control, TimePoint now, Outbox &outbox);
    bool isIsolated(TimePoint since, TimePoint now) const;

    MonitorOptions options;
    MonitorSources sources;
    Membership &membership;
    ControlBudget &budget;
    std::mt19937_64 random;
    std::map<NodeId, MonitoredAgent> monitoredAgents;
    std::unordered_map<NodeId, bool> assignments; // by agent: whether this node monitors it
    std::uint64_t assignedBalancers = 0; // table generations at the last updateAssignment
    std::uint64_t assignedAgents = 0;
    std::vector<NodeId> probeOrder;
    std::deque<PendingProbe> pendingProbes;
    std::unordered_map<std::uint32_t, Relay> relays;
    std::uint32_t lastNumber = 0;
    std::size_t serviceRotation = 0;
    TimePoint lastTimer{};
    TimePoint lastHeard{}; // last message of any kind
    TimePoint lastAnswer{}; // last answer to a probe
    TimePoint nextProbe{};
    TimePoint nextAssignment{};
    bool started = false;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_MONITOR_H

#ifndef CACTUSDECK_CORE_ANNOUNCER_H
#define CACTUSDECK_CORE_ANNOUNCER_H

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "core/controlbudget.h"
#include "core/message.h"
#include "core/types.h"

// The agent's side of membership: announces the agent to balancers by heartbeats, and learns from
// them the members of its services.
//
//     ControlBudget budget;
//     Announcer announcer({ .self = record, .seeds = seeds, .seed = 1 }, budget);
//     announcer.start(now, outbox);
//     announcer.onControl(message, now, outbox);     // HeartbeatAck, Members, Probe, Gossip
//     announcer.onTimer(now, outbox);                // every tickInterval; also flushes the budget
//     announcer.setPhase(Phase::Draining, now, outbox);
//     announcer.report(holdingsReport, now, outbox);
//     frame.incarnation == announcer.self().incarnation
//
// Heartbeats are sent to the monitors named in the newest HeartbeatAck, and to a seed while no
// monitor answers. A change of phase or weight is sent at once and repeated every resendAfter until
// each monitor has acknowledged it.
//
// Cost: 2 heartbeats a second of about 75 bytes. The size of acknowledgements does not grow with
// the fleet. A member list, of 20 bytes a member, is requested only when its digest changed.

namespace cactusdeck {

struct AnnouncerOptions
{
    NodeRecord self; // role Agent; the incarnation must be higher than in any earlier run
    std::vector<Endpoint> seeds; // control endpoints of balancers
    std::uint64_t seed = 0;
    Duration heartbeatInterval = std::chrono::seconds(1);
    Duration resendAfter = std::chrono::milliseconds(250);
    Duration seedAfter = std::chrono::milliseconds(2000); // without an answer from any monitor
    Duration isolatedAfter = std::chrono::seconds(3);
    int leaveCopies = 4; // sent of the Left record to each monitor, at intervals of resendAfter
};

class Announcer
{
public:
    // The budget must outlive this object.
    Announcer(AnnouncerOptions options, ControlBudget &budget);

    void start(TimePoint now, Outbox &outbox);
    // Handles HeartbeatAck, Members, Probe and Gossip (for a suspicion of this agent). Ignores
    // other messages.
    void onControl(const ControlMessage &message, TimePoint now, Outbox &outbox);
    void onTimer(TimePoint now, Outbox &outbox);

    // The agent's own record. Its incarnation is raised when the agent refutes a suspicion.
    const NodeRecord &self() const { return this->record; }
    void setPhase(Phase phase, TimePoint now, Outbox &outbox);
    void setWeight(std::uint16_t weight, TimePoint now, Outbox &outbox);
    void setConfiguration(ConfigurationVersion version, TimePoint now, Outbox &outbox);
    // Sends Liveness::Left leaveCopies times. After that no more heartbeats are sent.
    void leave(TimePoint now, Outbox &outbox);
    // True if leave() was called, and a monitor acknowledged it or all copies were sent.
    bool hasLeft() const;

    // Members of the service's placement table, sorted by id. Empty while they are unknown.
    const std::vector<Member> &members(ServiceId service) const;
    bool knowsMembers(ServiceId service) const;
    // Incremented when a member list changes.
    std::uint64_t membersGeneration() const { return this->generation; }

    // Sends the newest report of a service to all monitors, and repeats it until each has
    // acknowledged it. Sets the report's agent, incarnation and sequence.
    void report(HoldingsReport report, TimePoint now, Outbox &outbox);
    // True if at least one monitor has not acknowledged all reports.
    bool hasUndeliveredReports() const;

    // True if no monitor has answered for isolatedAfter.
    bool isIsolated(TimePoint now) const;
    // Newest configuration version that a monitor named, and the control endpoint of that monitor,
    // from which the version can be requested.
    ConfigurationVersion newestConfiguration() const { return this->newestVersion; }
    Endpoint newestConfigurationFrom() const { return this->newestVersionSource; }
    // Control endpoints that the agent sends its heartbeats to.
    std::vector<Endpoint> monitors() const;

private:
    struct MonitorState
    {
        Endpoint control;
        TimePoint lastAck; // initially the time at which it became a monitor
        TimePoint nextHeartbeat;
        bool current = false; // has acknowledged the newest record of this agent
        bool reportsCurrent = true; // has acknowledged all reports
        TimePoint nextReports;
    };
    struct MemberList
    {
        std::vector<Member> members;
        TableDigest digest = 0;
        bool known = false;
        TimePoint nextRequest{};
        Duration requestDelay{}; // doubled with each request that is not answered
        TableDigest partialDigest = 0; // of the list that is being received in pieces
        std::map<std::uint16_t, std::vector<Member>> pieces;
    };

    void onAck(const HeartbeatAck &ack, TimePoint now, Outbox &outbox);
    void onMembers(const Members &members);
    void adoptMonitors(const std::vector<Endpoint> &endpoints, TimePoint now);
    void compareDigests(const HeartbeatAck &ack, TimePoint now, Outbox &outbox);
    void refute(Incarnation incarnation, TimePoint now, Outbox &outbox);
    void announceChange(TimePoint now, Outbox &outbox);
    void heartbeat(MonitorState &monitor, TimePoint now, Outbox &outbox);
    void sendHeartbeat(Endpoint to, TimePoint now, Outbox &outbox);
    void sendReports(MonitorState &monitor, TimePoint now, Outbox &outbox);
    void heartbeatSeeds(TimePoint now, Outbox &outbox);
    std::uint32_t ownReportDigest() const;

    AnnouncerOptions options;
    ControlBudget &budget;
    std::mt19937_64 random;
    NodeRecord record;
    std::vector<MonitorState> monitorStates;
    std::size_t nextSeed = 0;
    TimePoint nextSeedHeartbeat{};
    TimePoint lastAnswer{};
    std::map<ServiceId, MemberList> memberLists;
    std::uint64_t generation = 0;
    std::map<ServiceId, HoldingsReport> reports;
    std::uint32_t reportSequence = 0;
    ConfigurationVersion newestVersion = 0;
    Endpoint newestVersionSource;
    int leaveCopiesLeft = 0;
    TimePoint nextLeave{};
    bool leaveAcknowledged = false;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_ANNOUNCER_H

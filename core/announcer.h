#ifndef CACTUSDECK_CORE_ANNOUNCER_H
#define CACTUSDECK_CORE_ANNOUNCER_H

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "core/controlbudget.h"
#include "core/message.h"
#include "core/types.h"

// The agent's side of membership: makes the agent known and learns the members of its services.
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
// Heartbeats go to the monitors named in the newest HeartbeatAck, and to a seed while no monitor
// answers. A change of phase or weight is sent at once and repeated every resendAfter until each
// monitor has acknowledged it.
//
// Cost: 2 heartbeats a second of about 75 bytes. Answers do not grow with the fleet; a member list
// is requested only when its digest changed, 20 bytes a member.

namespace cactusdeck {

struct AnnouncerOptions
{
    NodeRecord self; // role Agent; incarnation higher than in any earlier run
    std::vector<Endpoint> seeds; // control endpoints of balancers
    std::uint64_t seed = 0;
    Duration heartbeatInterval = std::chrono::seconds(1);
    Duration resendAfter = std::chrono::milliseconds(250);
    Duration seedAfter = std::chrono::milliseconds(2000); // without an answer of any monitor
    Duration isolatedAfter = std::chrono::seconds(3);
    int leaveCopies = 4; // of the Left record to each monitor, resendAfter apart
};

class Announcer
{
public:
    // The budget must outlive this object.
    Announcer(AnnouncerOptions options, ControlBudget &budget);

    void start(TimePoint now, Outbox &outbox);
    // Handles HeartbeatAck, Members, Probe and Gossip (a suspicion of this agent); ignores others.
    void onControl(const ControlMessage &message, TimePoint now, Outbox &outbox);
    void onTimer(TimePoint now, Outbox &outbox);

    // The agent's own record. Its incarnation rises when the agent refutes a suspicion.
    const NodeRecord &self() const { return this->record; }
    void setPhase(Phase phase, TimePoint now, Outbox &outbox);
    void setWeight(std::uint16_t weight, TimePoint now, Outbox &outbox);
    void setConfiguration(ConfigurationVersion version, TimePoint now, Outbox &outbox);
    // Sends Liveness::Left a few times. Afterwards the agent no longer announces itself.
    void leave(TimePoint now, Outbox &outbox);
    // True when leave() was called and all copies were sent, or a monitor acknowledged it.
    bool hasLeft() const;

    // Members of the service's placement table, sorted by id; empty while unknown.
    const std::vector<Member> &members(ServiceId service) const;
    bool knowsMembers(ServiceId service) const;
    // Rises when a member list changed.
    std::uint64_t membersGeneration() const { return this->generation; }

    // Sends the newest report of a service to all monitors and repeats it until they have it. The
    // announcer sets agent, incarnation and sequence.
    void report(HoldingsReport report, TimePoint now, Outbox &outbox);
    // True if some monitor does not have all reports yet.
    bool hasUndeliveredReports() const;

    // No monitor answered for isolatedAfter.
    bool isIsolated(TimePoint now) const;
    // Newest configuration version that a monitor named, and that monitor's control endpoint, for
    // ConfigurationRequest.
    ConfigurationVersion newestConfiguration() const { return this->newest; }
    Endpoint newestConfigurationFrom() const { return this->newestFrom; }
    // Control endpoints that the agent sends its heartbeats to.
    std::vector<Endpoint> monitors() const;

private:
    struct MonitorState
    {
        Endpoint control;
        TimePoint lastAck; // or since when it is a monitor
        TimePoint nextHeartbeat;
        bool current = false; // has acknowledged the present record
        bool reportsCurrent = true; // has all reports
        TimePoint nextReports;
    };
    struct MemberList
    {
        std::vector<Member> members;
        TableDigest digest = 0;
        bool known = false;
        TimePoint nextRequest{};
        Duration requestDelay{}; // doubled while the monitors do not answer
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
    std::map<ServiceId, MemberList> lists;
    std::uint64_t generation = 0;
    std::map<ServiceId, HoldingsReport> reports;
    std::uint32_t reportSequence = 0;
    ConfigurationVersion newest = 0;
    Endpoint newestFrom;
    int leaveCopiesLeft = 0;
    TimePoint nextLeave{};
    bool leaveAcknowledged = false;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_ANNOUNCER_H

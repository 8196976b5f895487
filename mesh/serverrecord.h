#ifndef CACTUSDECK_MESH_SERVERRECORD_H
#define CACTUSDECK_MESH_SERVERRECORD_H

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "core/types.h"
#include "mesh/peermessage.h"

// The state of an agent's backend server as its heartbeats report it. One run of a server is
// identified by its instance id and start time. Heartbeats may arrive late, even after their run
// has crashed, so a run that states an earlier start than the current one does not replace it. Only
// if the current run is silent and the other one repeats itself has the clock been set back.
//
//     switch (record.onHeartbeat(heartbeat, now)) {
//     case HeartbeatVerdict::NewServer:
//         resetFlowsOfEarlierRun();
//     ...
//     if (record.phase() == ServerPhase::Ready) ...

namespace cactusdeck::mesh {

struct Heartbeat
{
    std::string instance;
    std::int64_t startedAt = 0; // the server's own clock, in Unix milliseconds; 0: not stated
    std::uint64_t sequence = 0; // increases with each heartbeat of one run
    ServiceName service;
    Endpoint address; // on which the server receives packets
    std::uint32_t slots = 1;
    bool isDraining = false;
    std::chrono::milliseconds coldFor{ 0 };
    // How long the server has run by the clock of its machine, which is the agent's too. Not set if
    // the start is not stated.
    std::optional<std::chrono::milliseconds> age;
};

enum class HeartbeatVerdict : std::uint8_t {
    Updated,
    NewServer, // from another run than before; the flows of the earlier run no longer exist
    Stale, // older than the last heartbeat, or from a run that has been replaced
};

class ServerRecord
{
public:
    // A run that seems to be an earlier one is accepted only if the current run has been silent for
    // this time, and the other one has meanwhile sent earlierRunHeartbeats. Heartbeats come every
    // 1.2 s, so the current run has then missed two.
    static constexpr std::chrono::milliseconds replacedRunSilence{ 3000 };
    static constexpr int earlierRunHeartbeats = 2;

    // A server that has sent no more heartbeats than this, and that had run for no longer than
    // earlierAgentTime when the agent started, has no flows from before: an earlier process of the
    // agent could not have heard it, admitted a flow, ended and been replaced so soon. The number
    // of heartbeats bounds the age too, so that a clock which was set back does not mislead.
    static constexpr std::uint64_t maxYoungSequence = 3;
    static constexpr std::chrono::milliseconds earlierAgentTime{ 250 };

    // The agent has started.
    void start(TimePoint now) { this->agentStartedAt = now; }
    HeartbeatVerdict onHeartbeat(const Heartbeat &heartbeat, TimePoint now);
    // The server announces that it is about to exit. Returns false if that is not the current run.
    // If startedAt is 0 (not stated), only the instance id is compared.
    bool onDeregister(const std::string &instance, std::int64_t startedAt);

    ServerPhase phase() const { return this->currentPhase; }
    bool isCold(TimePoint now) const { return now < this->coldUntil; }
    std::uint32_t slots() const { return this->slotCount; }
    // The last heartbeat of the current run; the epoch if there has been none.
    TimePoint lastHeard() const { return this->current.lastHeard; }
    // Identifies the current run; 0 until the first heartbeat.
    std::uint64_t incarnation() const { return this->current.id; }
    // True if the server cannot have flows that were opened before the agent started.
    bool startedAfterAgent() const { return this->hasNoEarlierFlows; }

private:
    static constexpr std::size_t maxReplacedRuns = 8;
    static constexpr std::uint64_t firstSequence = 1; // sequence of a run's first heartbeat

    struct Run
    {
        std::uint64_t id = 0; // hash of instance id and start time
        std::int64_t startedAt = 0;
        std::uint64_t sequence = 0;
        TimePoint lastHeard{};
    };

    // A run that seems to be an earlier one, as heard since the current run's last heartbeat.
    struct Claim
    {
        std::uint64_t run = 0;
        std::uint64_t sequence = 0; // the highest
        int heartbeats = 0; // with rising sequences
    };

    // The id of the heartbeat's run. A heartbeat that states no start is of the current run if it
    // has its instance id.
    std::uint64_t runFor(const Heartbeat &heartbeat) const;
    // True if the heartbeat seems to be from a run before the current one. An agent that has
    // started after the current run has not heard the runs before.
    bool isFromEarlierRun(const Heartbeat &heartbeat, std::uint64_t run) const;
    // True if the heartbeat's run has no flows from before the agent's start.
    bool isFreeOfEarlierFlows(const Heartbeat &heartbeat, TimePoint now) const;
    // Returns true if the run that seems to be an earlier one must be believed.
    bool isProven(const Heartbeat &heartbeat, std::uint64_t run, TimePoint now);

    TimePoint agentStartedAt{};
    Run current;
    Claim claim;
    std::string instance;
    std::deque<std::uint64_t> replaced; // ids of earlier runs, newest last
    ServerPhase currentPhase = ServerPhase::Unknown;
    std::uint32_t slotCount = 1;
    TimePoint coldUntil;
    bool hasNoEarlierFlows = false;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_SERVERRECORD_H

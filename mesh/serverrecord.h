#ifndef CACTUSDECK_MESH_SERVERRECORD_H
#define CACTUSDECK_MESH_SERVERRECORD_H

#include <cstdint>
#include <deque>
#include <string>

#include "core/types.h"
#include "mesh/peermessage.h"

// What the backend server beside an agent says of itself. One run of a server is named by its
// instance id and the time of its start; the time is only compared for equality, since clocks may
// jump.
//
//     switch (record.onHeartbeat(heartbeat, now)) {
//     case HeartbeatVerdict::NewServer:
//         forgetFlows();
//     ...
//     if (record.phase() == ServerPhase::Ready) ...

namespace cactusdeck::mesh {

struct Heartbeat
{
    std::string instance;
    std::int64_t startedAt = 0; // the server's own clock, in Unix milliseconds; 0: not stated
    std::uint64_t sequence = 0; // rises with each heartbeat of one run
    ServiceName service;
    Endpoint address; // where the server takes packets
    std::uint32_t slots = 1;
    bool isDraining = false;
    std::chrono::milliseconds coldFor{ 0 };
};

enum class HeartbeatVerdict : std::uint8_t {
    Updated,
    NewServer, // another run than before; flows of the earlier one are gone
    Stale, // older than what is known, or of a run that has been replaced
};

class ServerRecord
{
public:
    // A run that was replaced is believed again only after the present one was silent for this
    // time: a delayed heartbeat must not replace its successor. Two heartbeats of 1.2 s are missed.
    static constexpr std::chrono::milliseconds replacedRunSilence{ 3000 };

    HeartbeatVerdict onHeartbeat(const Heartbeat &heartbeat, TimePoint now);
    // The server says that it is about to exit. False for a run that is not the present one. Where
    // the start is not stated (0) the instance decides.
    bool onDeregister(const std::string &instance, std::int64_t startedAt);

    ServerPhase phase() const { return this->currentPhase; }
    bool isCold(TimePoint now) const { return now < this->coldUntil; }
    std::uint32_t slots() const { return this->slotCount; }
    // 0 until the first heartbeat.
    std::uint64_t incarnation() const { return this->current.id; }
    // True if the server can't have flows from before the agent's start.
    bool startedAfterAgent() const { return this->hasNoEarlierFlows; }

private:
    static constexpr std::size_t maxReplacedRuns = 8;
    static constexpr std::uint64_t firstSequence = 1; // of a run's first heartbeat

    struct Run
    {
        std::uint64_t id = 0; // hash of instance and start
        std::uint64_t sequence = 0;
        TimePoint lastHeard;
    };

    Run current;
    std::string instance;
    std::deque<std::uint64_t> replaced; // ids of earlier runs, newest last
    ServerPhase currentPhase = ServerPhase::Unknown;
    std::uint32_t slotCount = 1;
    TimePoint coldUntil;
    bool hasNoEarlierFlows = false;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_SERVERRECORD_H

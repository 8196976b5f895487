#include "mesh/serverrecord.h"

#include <algorithm>

#include <xxhash.h>

namespace cactusdeck::mesh {

namespace {

std::uint64_t runOf(const std::string &instance, std::int64_t startedAt)
{
    const std::uint64_t hash =
            XXH3_64bits_withSeed(instance.data(), instance.size(), std::uint64_t(startedAt));
    return hash == 0 ? 1 : hash;
}

} // namespace

HeartbeatVerdict ServerRecord::onHeartbeat(const Heartbeat &heartbeat, TimePoint now)
{
    const std::uint64_t run = runOf(heartbeat.instance, heartbeat.startedAt);
    const bool isFirst = this->current.id == 0;
    const bool isSame = run == this->current.id;
    if (isSame && heartbeat.sequence <= this->current.sequence)
        return HeartbeatVerdict::Stale;
    const bool isReplaced =
            std::find(this->replaced.begin(), this->replaced.end(), run) != this->replaced.end();
    // Heard of for the first time, for example because the agent has restarted. The first heartbeat
    // of a run counts whatever its start time, since the clock may have been set back.
    const bool isEarlier = !isSame && heartbeat.sequence > firstSequence && heartbeat.startedAt != 0
                           && heartbeat.startedAt < this->startedAt;
    if ((isReplaced || isEarlier) && now - this->current.lastHeard < replacedRunSilence)
        return HeartbeatVerdict::Stale;
    if (!isSame && !isFirst) {
        this->replaced.push_back(this->current.id);
        if (this->replaced.size() > maxReplacedRuns)
            this->replaced.pop_front();
    }
    // If this agent gets the run's first heartbeat, the run has no flows from before the agent's
    // start; otherwise an earlier agent would have received the first heartbeat.
    if (!isSame)
        this->hasNoEarlierFlows = !isFirst || heartbeat.sequence <= firstSequence;
    const bool wasEnded = isSame && this->currentPhase == ServerPhase::Ended;
    this->current = { .id = run, .sequence = heartbeat.sequence, .lastHeard = now };
    this->instance = heartbeat.instance;
    this->startedAt = heartbeat.startedAt;
    this->slotCount = std::max<std::uint32_t>(1, heartbeat.slots);
    // A heartbeat states the remaining time, so the clocks of agent and server need not agree.
    this->coldUntil = now + heartbeat.coldFor;
    if (!wasEnded)
        this->currentPhase = heartbeat.isDraining ? ServerPhase::Draining : ServerPhase::Ready;
    return isSame || isFirst ? HeartbeatVerdict::Updated : HeartbeatVerdict::NewServer;
}

bool ServerRecord::onDeregister(const std::string &leaving, std::int64_t startedAt)
{
    if (this->current.id == 0 || leaving != this->instance
        || (startedAt != 0 && runOf(leaving, startedAt) != this->current.id))
        return false;
    this->currentPhase = ServerPhase::Ended;
    return true;
}

} // namespace cactusdeck::mesh

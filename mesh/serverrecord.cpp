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
    if (!isSame && this->isFromEarlierRun(heartbeat, run)
        && now - this->current.lastHeard < replacedRunSilence)
        return HeartbeatVerdict::Stale;
    if (!isSame && !isFirst) {
        this->replaced.push_back(this->current.id);
        if (this->replaced.size() > maxReplacedRuns)
            this->replaced.pop_front();
    }
    // If this agent gets the run's first heartbeat, the run has no flows from before the agent's
    // start; otherwise an earlier agent would have received the first heartbeat.
    if (!isSame)
        this->hasNoEarlierFlows = heartbeat.sequence <= firstSequence;
    const bool wasEnded = isSame && this->currentPhase == ServerPhase::Ended;
    this->current = { .id = run,
                      .startedAt = heartbeat.startedAt,
                      .sequence = heartbeat.sequence,
                      .lastHeard = now };
    this->instance = heartbeat.instance;
    this->slotCount = std::max<std::uint32_t>(1, heartbeat.slots);
    // A heartbeat states the remaining time, so the clocks of agent and server need not agree.
    this->coldUntil = now + heartbeat.coldFor;
    if (!wasEnded)
        this->currentPhase = heartbeat.isDraining ? ServerPhase::Draining : ServerPhase::Ready;
    return isSame || isFirst ? HeartbeatVerdict::Updated : HeartbeatVerdict::NewServer;
}

bool ServerRecord::isFromEarlierRun(const Heartbeat &heartbeat, std::uint64_t run) const
{
    if (std::find(this->replaced.begin(), this->replaced.end(), run) != this->replaced.end())
        return true;
    return heartbeat.sequence > firstSequence && heartbeat.startedAt != 0
           && heartbeat.startedAt < this->current.startedAt;
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

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
    const std::uint64_t run = this->runFor(heartbeat);
    const bool isFirst = this->current.id == 0;
    const bool isSame = run == this->current.id;
    if (isSame && heartbeat.sequence <= this->current.sequence)
        return HeartbeatVerdict::Stale;
    if (!isSame && this->isFromEarlierRun(heartbeat, run) && !this->isProven(heartbeat, run, now)) {
        // If the clock was set back, this is the server that runs now, and it may be cold.
        this->coldUntil = std::max(this->coldUntil, now + heartbeat.coldFor);
        return HeartbeatVerdict::Stale;
    }
    if (!isSame && !isFirst) {
        this->replaced.push_back(this->current.id);
        if (this->replaced.size() > maxReplacedRuns)
            this->replaced.pop_front();
    }
    if (!isSame)
        this->hasNoEarlierFlows = this->isFreeOfEarlierFlows(heartbeat, now);
    const bool wasEnded = isSame && this->currentPhase == ServerPhase::Ended;
    this->claim = {};
    this->current = { .id = run,
                      .startedAt = isSame ? this->current.startedAt : heartbeat.startedAt,
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
    return heartbeat.startedAt != 0 && heartbeat.startedAt < this->current.startedAt;
}

std::uint64_t ServerRecord::runFor(const Heartbeat &heartbeat) const
{
    const bool isCurrent = this->current.id != 0 && heartbeat.startedAt == 0
                           && heartbeat.instance == this->instance;
    return isCurrent ? this->current.id : runOf(heartbeat.instance, heartbeat.startedAt);
}

bool ServerRecord::isFreeOfEarlierFlows(const Heartbeat &heartbeat, TimePoint now) const
{
    // An earlier process of the agent would have received the run's first heartbeat.
    if (heartbeat.sequence <= firstSequence)
        return true;
    return heartbeat.sequence <= maxYoungSequence && heartbeat.age
           && *heartbeat.age >= std::chrono::milliseconds::zero()
           && *heartbeat.age <= now - this->agentStartedAt + earlierAgentTime;
}

bool ServerRecord::isProven(const Heartbeat &heartbeat, std::uint64_t run, TimePoint now)
{
    if (this->claim.run != run)
        this->claim = { .run = run };
    if (this->claim.heartbeats == 0 || heartbeat.sequence > this->claim.sequence) {
        this->claim.sequence = heartbeat.sequence;
        ++this->claim.heartbeats;
    }
    return this->claim.heartbeats >= earlierRunHeartbeats
           && now - this->current.lastHeard >= replacedRunSilence;
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

#include "core/admission.h"

#include <array>

#include "core/frame.h"

namespace cactusdeck {

namespace {

// A single slow response may come from an expensive request; several in a row show overload.
constexpr std::uint32_t slowResponsesForHalving = 3;
constexpr std::uint32_t coldSignsForReset = 2;
// The limit doubles after this many completions at normal latency, or after twice the limit if that
// is more.
constexpr std::uint32_t minCompletionsForDoubling = 4;
// The first responses of a server that was cold when the agent started look normal, since there is
// no baseline to compare them with. So the server counts as warmed up only when a response takes
// less than half of the slowest of the first firstSamples ones. Without such a drop it counts as
// warmed up after warmUpSamplesLimit responses: it was not cold when the agent started.
constexpr std::uint32_t firstSamples = 4;
constexpr std::uint32_t warmUpSamplesLimit = 32;
// A cold server is announced as serving after this time, unless its health endpoint reports "cold".
// Otherwise balancers that avoid cold agents would never send it the requests that warm it up.
constexpr std::chrono::seconds maxAnnouncedCold{ 5 };

} // namespace

const char *nameOf(FlowDecision decision)
{
    static constexpr std::array names = { "accept", "connections", "busy", "silent", "draining" };
    return names[std::size_t(decision)];
}

void Admission::start(TimePoint now)
{
    this->coldSince = now;
    this->statusSince = now;
}

void Admission::setLimits(const AdmissionLimits &limits)
{
    this->configured = limits;
    this->configured.coldSlots = std::min(limits.coldSlots, limits.slots);
    if (!this->hasLimits)
        this->learnedLimit = this->configured.coldSlots;
    this->hasLimits = true;
    this->learnedLimit = std::min(this->learnedLimit, this->configured.slots);
}

FlowDecision Admission::decideFlow(const FlowRequest &request, TimePoint now)
{
    if (this->isDraining)
        return FlowDecision::Draining;
    if (request.connections >= this->configured.connections)
        return FlowDecision::Connections;
    if (this->isSilent(now)) {
        if (now - this->lastTrial < silenceLimit)
            return FlowDecision::Silent;
        this->lastTrial = now;
        return FlowDecision::Accept;
    }
    const std::size_t busy = this->active + this->inherited + request.waiting;
    if (request.waiting >= maxWaiting)
        return FlowDecision::Busy;
    if (!request.isLastHop)
        return busy < this->learnedLimit ? FlowDecision::Accept : FlowDecision::Busy;
    // The last hop accepts a flow if the queue will be worked off within half of the request
    // deadline.
    const Duration latency =
            this->latencies.isKnown() ? this->latencies.latency() : Duration(initialLatency);
    const auto wait = latency * std::int64_t(busy) / this->learnedLimit;
    return wait <= this->configured.requestDeadline / 2 ? FlowDecision::Accept : FlowDecision::Busy;
}

std::uint32_t Admission::allocateTicket(TimePoint now, bool isServerInitiated)
{
    if (this->freeTickets.empty()) {
        this->freeTickets.push_back(std::uint32_t(this->requests.size()));
        this->requests.emplace_back();
    }
    const std::uint32_t ticket = this->freeTickets.back();
    this->freeTickets.pop_back();
    ++this->active;
    this->requests[ticket] = { .begun = now,
                               .isActive = true,
                               .isServerInitiated = isServerInitiated,
                               .isAnswered = isServerInitiated,
                               .isLoaded = this->active * 2 > this->learnedLimit };
    return ticket;
}

std::optional<std::uint32_t> Admission::begin(TimePoint now)
{
    if (this->active + this->inherited >= this->effectiveLimit(now))
        return std::nullopt;
    this->noteDelivery(now);
    return this->allocateTicket(now, false);
}

std::uint32_t Admission::beginServerInitiated(TimePoint now)
{
    return this->allocateTicket(now, true);
}

void Admission::onFirstResponse(std::uint32_t ticket, TimePoint now)
{
    Request &request = this->requests[ticket];
    if (request.isAnswered)
        return;
    request.isAnswered = true;
    const Duration latency = now - request.begun;
    const bool wasKnown = this->latencies.isKnown();
    if (wasKnown && latency > this->latencies.coldLimit())
        this->noteColdSign(request, now);
    else if (wasKnown && latency > this->latencies.slowLimit())
        this->noteSlow(request, now);
    else
        request.isNormal = true;
    if (request.isNormal)
        this->slowInRow = this->coldSigns = 0;
    this->noteWarmUp(request, latency);
    this->latencies.add(latency);
}

void Admission::end(std::uint32_t ticket, TimePoint now)
{
    Request &request = this->requests[ticket];
    if (!request.isActive || request.abandonedUntil)
        return;
    if (!request.isAnswered) {
        this->abandon(request, now);
        return;
    }
    this->release(ticket);
    if (request.isServerInitiated)
        return;
    ++this->completed;
    if (request.isNormal)
        this->noteNormalCompletion(request, now);
}

void Admission::release(std::uint32_t ticket)
{
    Request &request = this->requests[ticket];
    request.isActive = false;
    request.abandonedUntil.reset();
    --this->active;
    this->freeTickets.push_back(ticket);
}

void Admission::abandon(Request &request, TimePoint now)
{
    const bool isTimeKnown = this->latencies.isKnown()
                             && this->effectiveLimit(now) == this->learnedLimit
                             && this->learnedLimit > this->configured.coldSlots;
    const Duration usual =
            isTimeKnown ? this->latencies.slowLimit() : Duration(this->configured.requestDeadline);
    request.abandonedUntil = request.begun + usual;
}

void Admission::releaseAbandoned(TimePoint now)
{
    for (std::uint32_t ticket = 0; ticket < this->requests.size(); ++ticket) {
        const auto &until = this->requests[ticket].abandonedUntil;
        if (until && now >= *until)
            this->release(ticket);
    }
}

void Admission::noteNormalCompletion(const Request &request, TimePoint now)
{
    if (request.begun < this->adjustedAt)
        return;
    this->lastNormalCompletion = now;
    // Completions under light load don't show that the server can handle a higher limit.
    if (!request.isLoaded || !this->isWarmedUp || this->isHeldColdByHealth(now))
        return;
    if (++this->normalCompletions < std::max(minCompletionsForDoubling, 2 * this->learnedLimit))
        return;
    this->normalCompletions = 0;
    this->learnedLimit = std::min(2 * this->learnedLimit, this->configured.slots);
}

void Admission::noteWarmUp(const Request &request, Duration latency)
{
    if (this->isWarmedUp || request.isServerInitiated)
        return;
    if (++this->warmUpSamples <= firstSamples) {
        this->firstLatency = std::max(this->firstLatency, latency);
        return;
    }
    this->isWarmedUp =
            latency * 2 < this->firstLatency || this->warmUpSamples >= warmUpSamplesLimit;
}

void Admission::noteSlow(const Request &request, TimePoint now)
{
    this->normalCompletions = 0;
    if (request.begun >= this->adjustedAt && ++this->slowInRow >= slowResponsesForHalving)
        this->halve(now);
}

void Admission::noteColdSign(Request &request, TimePoint now)
{
    this->normalCompletions = 0;
    if (request.isColdSign || request.begun < this->adjustedAt)
        return;
    request.isColdSign = true;
    // With a single request in progress there is no second one to confirm the sign.
    if (++this->coldSigns >= std::min(coldSignsForReset, this->active))
        this->resetToCold(now);
}

void Admission::halve(TimePoint now)
{
    this->learnedLimit = std::max(1u, this->learnedLimit / 2);
    this->normalCompletions = this->slowInRow = 0;
    this->adjustedAt = now;
}

void Admission::resetToCold(TimePoint now)
{
    this->learnedLimit = std::min(this->learnedLimit, this->configured.coldSlots);
    this->normalCompletions = this->slowInRow = this->coldSigns = 0;
    this->adjustedAt = now;
    this->coldSince = now;
    this->lastNormalCompletion.reset();
    ++this->resets;
}

void Admission::noteDelivery(TimePoint now)
{
    if (!this->unansweredSince)
        this->unansweredSince = now;
}

void Admission::noteServerPacket(TimePoint now)
{
    if (this->isSilent(now))
        this->resetToCold(now);
    this->unansweredSince.reset();
}

void Admission::onRestart(TimePoint now)
{
    this->restartSuspectedAt.reset();
    this->inherited = 0;
    this->releaseAbandoned(TimePoint::max()); // the restarted server no longer works on them
    this->resetToCold(now);
}

void Admission::onLostConnection(TimePoint now)
{
    if (!this->restartSuspectedAt) {
        this->limitBeforeSuspicion = this->learnedLimit;
        this->restartSuspectedAt = now;
    }
    this->resetToCold(now);
}

void Admission::onFlowResponse(TimePoint flowOpenedAt, TimePoint now)
{
    if (!this->restartSuspectedAt || flowOpenedAt >= *this->restartSuspectedAt)
        return;
    // The server still has an older connection, so it hasn't restarted: it reset the other
    // connection to shed load.
    if (now - *this->restartSuspectedAt <= restartSuspicionWindow
        && this->limitBeforeSuspicion / 2 > this->learnedLimit)
        this->learnedLimit = this->limitBeforeSuspicion / 2;
    this->restartSuspectedAt.reset();
}

void Admission::onShed(TimePoint now)
{
    if (now - this->lastShed < shedInterval && this->lastShed != TimePoint())
        return;
    this->lastShed = now;
    this->halve(now);
}

bool Admission::onHealth(const ServerHealth &health, TimePoint now)
{
    if (!health.reachable)
        return false;
    const bool isFirst = !this->startedAt;
    const bool isRestart = !isFirst && *this->startedAt != health.startedAt;
    this->startedAt = health.startedAt;
    const bool isChange = isFirst || health.status != this->status;
    if (isChange)
        this->statusSince = now;
    this->status = health.status;
    this->isDraining = health.status == ServerStatus::Draining;
    if (isFirst && health.inProgress > this->active) {
        this->inherited = health.inProgress - this->active;
        this->inheritedUntil = now + this->configured.requestDeadline;
    }
    this->inherited = std::min(this->inherited, health.inProgress);
    if (isRestart || (isChange && health.status == ServerStatus::Cold))
        this->onRestart(now);
    else if (health.status == ServerStatus::Shedding
             && now - this->statusSince <= maxHealthStatusAge)
        this->onShed(now);
    return isRestart;
}

void Admission::onTimer(TimePoint now)
{
    if (this->inheritedUntil && now >= *this->inheritedUntil) {
        this->inherited = 0;
        this->inheritedUntil.reset();
    }
    this->releaseAbandoned(now);
    if (!this->latencies.isKnown())
        return;
    const Duration limit = this->latencies.coldLimit();
    for (Request &request : this->requests) {
        if (request.isActive && !request.isAnswered && now - request.begun > limit)
            this->noteColdSign(request, now);
    }
}

Duration Admission::timeSinceNormalCompletion(TimePoint now) const
{
    return this->lastNormalCompletion ? now - *this->lastNormalCompletion : Duration::max();
}

std::uint32_t Admission::effectiveLimit(TimePoint now) const
{
    const Duration lifetime = std::max<Duration>(warmLifetime, 4 * this->latencies.latency());
    if (this->timeSinceNormalCompletion(now) <= lifetime && !this->isHeldColdByHealth(now))
        return this->learnedLimit;
    return std::min(this->learnedLimit, this->configured.coldSlots);
}

bool Admission::isHeldColdByHealth(TimePoint now) const
{
    return this->status == ServerStatus::Cold && now - this->statusSince <= maxHealthStatusAge;
}

bool Admission::isSilent(TimePoint now) const
{
    return this->unansweredSince && now - *this->unansweredSince > silenceLimit;
}

bool Admission::isCold(TimePoint now) const
{
    if (this->isHeldColdByHealth(now))
        return true;
    return this->learnedLimit <= this->configured.coldSlots
           && this->learnedLimit < this->configured.slots
           && now - this->coldSince < maxAnnouncedCold;
}

std::uint16_t Admission::utilisation(std::size_t connections, std::size_t waiting,
                                     TimePoint now) const
{
    if (this->isSilent(now) || this->isDraining)
        return fullUtilisation;
    const std::size_t busy = this->active + this->inherited + waiting;
    const std::size_t share =
            std::max(busy * fullUtilisation / this->learnedLimit,
                     connections * fullUtilisation / std::max(1u, this->configured.connections));
    return std::uint16_t(std::min<std::size_t>(share, fullUtilisation));
}

} // namespace cactusdeck

#include "mesh/agentdirectory.h"

#include <algorithm>
#include <limits>

#include <xxhash.h>

#include "mesh/expectedwait.h"

namespace cactusdeck::mesh {

namespace {

using Seconds = std::chrono::duration<double>;

// Pseudo-random, and different for each flow and agent.
std::uint64_t mix(std::uint64_t flow, AgentIndex agent)
{
    return (flow ^ (agent * 0x9E3779B97F4A7C15ull)) * 0xD6E8FEB86659FD93ull;
}

bool isBefore(const AgentDirectory::Candidate &a, const AgentDirectory::Candidate &b)
{
    return a.isSilent != b.isSilent ? b.isSilent : a.cost < b.cost;
}

} // namespace

std::optional<AgentIndex> AgentDirectory::find(Endpoint endpoint) const
{
    const auto it = this->indices.find(endpoint);
    if (it == this->indices.end())
        return std::nullopt;
    return it->second;
}

bool AgentDirectory::insert(Endpoint endpoint)
{
    if (this->indices.contains(endpoint))
        return true;
    if (this->agents.size() > std::numeric_limits<AgentIndex>::max())
        return false;
    this->indices[endpoint] = AgentIndex(this->agents.size());
    this->agents.push_back({ .endpoint = endpoint });
    return true;
}

void AgentDirectory::addFromPeer(Endpoint endpoint, TimePoint now)
{
    if (this->indices.contains(endpoint) || !this->insert(endpoint))
        return;
    Agent &agent = this->agents.back();
    agent.isPresent = true;
    agent.heard = now;
    ++this->additions;
}

bool AgentDirectory::addMissing(const std::vector<Endpoint> &known, TimePoint now)
{
    bool hasMissing = false;
    for (const Endpoint &endpoint : known) {
        const std::optional<AgentIndex> index = this->find(endpoint);
        // An agent that has announced its server's end has no flows, though others may not have
        // heard so yet.
        if (index && (this->agents[*index].isPresent || this->agents[*index].isEnded))
            continue;
        hasMissing = true;
        if (!index && !this->insert(endpoint))
            continue;
        Agent &agent = this->agents[this->indices.at(endpoint)];
        agent.isPresent = true;
        agent.heard = now;
        ++this->additions;
    }
    return hasMissing;
}

bool AgentDirectory::mayBeAbandoned(const Agent &agent, TimePoint now) const
{
    return agent.hasReported() && agent.report.phase == ServerPhase::Unknown
           && now - agent.heard > abandonedCheckTime && agent.unanswered <= unansweredLimit;
}

std::vector<Endpoint> AgentDirectory::heardOwners(TimePoint now) const
{
    std::vector<Endpoint> result;
    for (const AgentIndex index : this->possibleOwners()) {
        const Agent &agent = this->agents[index];
        if (agent.hasReported() && !this->isAbandoned(agent, now))
            result.push_back(agent.endpoint);
    }
    return result;
}

std::uint64_t AgentDirectory::digest(TimePoint now) const
{
    std::uint64_t digest = 0;
    for (const Endpoint endpoint : this->heardOwners(now)) {
        const std::uint64_t value = (std::uint64_t(endpoint.address) << 16) | endpoint.port;
        digest ^= XXH3_64bits(&value, sizeof value);
    }
    return digest;
}

bool AgentDirectory::onReport(const AgentReport &report, Endpoint from, TimePoint now)
{
    if (!this->insert(from))
        return false;
    Agent &agent = this->agents[this->indices[from]];
    const bool isChanged = !agent.isPresent || agent.report.phase != report.phase
                           || agent.report.serverIncarnation != report.serverIncarnation;
    const bool wasPossibleOwner = agent.isPresent && !agent.isEnded;
    const bool isOtherRun = report.serverIncarnation != 0 && agent.report.serverIncarnation != 0
                            && report.serverIncarnation != agent.report.serverIncarnation;
    if (isOtherRun || (agent.isEnded && report.phase != ServerPhase::Ended)) {
        ++agent.generation;
        agent.hasLostGeneration = false;
    }
    const std::uint64_t knownRun = report.serverIncarnation != 0 ? report.serverIncarnation
                                                                 : agent.report.serverIncarnation;
    agent.report = report;
    agent.report.serverIncarnation = knownRun;
    agent.isPresent = true;
    agent.isEnded = report.phase == ServerPhase::Ended;
    this->additions += !wasPossibleOwner && !agent.isEnded ? 1 : 0;
    agent.heard = now;
    agent.placed = 0;
    agent.placedWork = {};
    agent.reportedAt = now;
    agent.unanswered = 0;
    ++this->reports;
    return isChanged;
}

void AgentDirectory::onHeard(Endpoint from, TimePoint now)
{
    if (const auto index = this->find(from)) {
        this->agents[*index].heard = now;
        this->agents[*index].unanswered = 0;
    }
}

void AgentDirectory::onPlaced(AgentIndex index, TimePoint now, Duration work)
{
    Agent &agent = this->agents[index];
    agent.placed += 1;
    agent.placedWork += work;
    this->onAsked(index, now);
}

void AgentDirectory::onAsked(AgentIndex index, TimePoint now)
{
    Agent &agent = this->agents[index];
    if (agent.unanswered++ == 0)
        agent.unansweredSince = now;
}

void AgentDirectory::forgetSilent(TimePoint now)
{
    for (Agent &agent : this->agents) {
        if (!agent.isPresent
            || now - agent.heard <= std::max<Duration>(forgetTimeout, silenceLimit(agent) * 2))
            continue;
        agent.isPresent = false;
        if (agent.isEnded)
            continue;
        agent.hasLostGeneration = true;
        agent.lastLostGeneration = agent.generation;
    }
}

Duration AgentDirectory::silenceLimit(const Agent &agent)
{
    return agent.report.interval * silentIntervals + silentMargin;
}

bool AgentDirectory::isResponding(const Agent &agent, TimePoint now) const
{
    return agent.isPresent && now - agent.heard <= silenceLimit(agent)
           && !isIgnoring(agent, unansweredTime, now);
}

bool AgentDirectory::isIgnoring(const Agent &agent, Duration time, TimePoint now)
{
    return agent.unanswered >= unansweredLimit && now - agent.unansweredSince > time
           && agent.heard < agent.unansweredSince;
}

bool AgentDirectory::isAbandoned(const Agent &agent, TimePoint now) const
{
    return agent.hasReported() && agent.report.phase == ServerPhase::Unknown
           && (now - agent.heard > silenceLimit(agent) || isIgnoring(agent, abandonedTime, now));
}

OwnerState AgentDirectory::ownerState(AgentIndex index, std::uint8_t generation) const
{
    if (index >= this->agents.size())
        return OwnerState::Lost;
    const Agent &agent = this->agents[index];
    if (agent.generation == generation) {
        if (agent.isEnded)
            return OwnerState::Ended;
        return agent.isPresent ? OwnerState::Present : OwnerState::Lost;
    }
    return agent.hasLostGeneration && agent.lastLostGeneration == generation ? OwnerState::Lost
                                                                             : OwnerState::Ended;
}

std::vector<AgentIndex> AgentDirectory::possibleOwners() const
{
    std::vector<AgentIndex> result;
    for (std::size_t i = 0; i < this->agents.size(); ++i) {
        if (this->agents[i].isPresent && !this->agents[i].isEnded)
            result.push_back(AgentIndex(i));
    }
    return result;
}

AgentDirectory::ServiceMeans AgentDirectory::meansOf(const ServiceName &service) const
{
    double flows = 0;
    double requests = 0;
    double bytes = 0;
    std::int64_t measured = 0;
    std::int64_t measuredBytes = 0;
    Duration total{};
    for (const Agent &agent : this->agents) {
        if (!agent.isPresent || agent.report.service != service)
            continue;
        flows += agent.report.flows;
        requests += agent.report.requestsPerSecond;
        if (agent.report.serviceTime > Duration::zero()) {
            total += agent.report.serviceTime;
            ++measured;
        }
        if (agent.report.responseBytes > 0) {
            bytes += agent.report.responseBytes;
            ++measuredBytes;
        }
    }
    ServiceMeans means{
        .serviceTime = measured > 0 ? total / measured : Duration(assumedServiceTime),
        .requestsPerFlow = assumedRequestsPerFlow,
        .responseBytes = measuredBytes > 0 ? bytes / double(measuredBytes) : assumedResponseBytes
    };
    means.minServiceTime = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(means.serviceTime) * minServiceTimeShare);
    if (flows > 0 && requests > 0)
        means.requestsPerFlow = std::min(requests / flows, maxRequestsPerFlow);
    return means;
}

Duration AgentDirectory::costOf(const Agent &agent, const ServiceMeans &means) const
{
    const AgentReport &report = agent.report;
    return expectedCost({ .slots = report.slots,
                          .flows = double(report.flows) + agent.placed,
                          .requestsInProgress = report.requestsInProgress,
                          .serviceTime = report.serviceTime > Duration::zero() ? std::max<Duration>(
                                                 report.serviceTime, means.minServiceTime)
                                                                               : means.serviceTime,
                          .requestsPerFlow = means.requestsPerFlow,
                          .isOtherZone = report.zone != this->options.zone,
                          .responseBytes = means.responseBytes,
                          .costPerKilobyte = this->options.costPerKilobyte });
}

const AgentDirectory::KnownCosts &AgentDirectory::costsOf(const ServiceName &service, TimePoint now)
{
    KnownCosts &known = this->knownCosts[service];
    if (known.reports == this->reports
        || (known.reports != 0 && now - known.computedAt < costsLifetime))
        return known;
    known = { .means = this->meansOf(service), .computedAt = now, .reports = this->reports };
    bool haveFewSlots = true;
    for (const Agent &agent : this->agents) {
        if (!agent.isPresent || agent.report.service != service)
            continue;
        haveFewSlots &= agent.report.slots <= this->options.requestSchedulingMaxSlots;
        known.costs.add(agent.report.routes);
    }
    known.costs.finish();
    known.isScheduled = haveFewSlots && this->options.requestSchedulingMaxSlots > 0;
    return known;
}

Duration AgentDirectory::expectedCompletion(const Agent &agent, const ServiceCosts::Route &route,
                                            const KnownCosts &known, TimePoint now) const
{
    const AgentReport &report = agent.report;
    double slowness = known.costs.slownessOf(report.routes);
    if (report.isCold)
        slowness = std::max(slowness, coldSlowness);
    return expectedTime({ .slots = report.slots,
                          .load = known.costs.loadOf(report.routes),
                          .requestsInProgress = report.requestsInProgress,
                          .placedWork = agent.placedWork,
                          .sinceReport = now - agent.reportedAt,
                          .meanWork = known.costs.isKnown() ? known.costs.meanWork()
                                                            : Duration(assumedServiceTime),
                          .work = route.work,
                          .flowLoad = route.requestsPerFlow * Seconds(route.work).count(),
                          .slowness = slowness,
                          .transfer = report.zone == this->options.zone
                                              ? Duration::zero()
                                              : transferCost(this->options.costPerKilobyte,
                                                             known.means.responseBytes) });
}

std::vector<AgentDirectory::Candidate>
AgentDirectory::eligible(const ServiceName &service, const FleetState &state, TimePoint now) const
{
    std::vector<Candidate> result;
    result.reserve(this->agents.size());
    for (std::size_t i = 0; i < this->agents.size(); ++i) {
        const Agent &agent = this->agents[i];
        if (agent.isPresent && agent.report.service == service
            && agent.report.phase == ServerPhase::Ready
            && !state.isEvacuated(agent.report.zone, now))
            result.push_back(
                    { .agent = AgentIndex(i), .isSilent = !this->isResponding(agent, now) });
    }
    return result;
}

std::vector<AgentDirectory::Candidate> AgentDirectory::candidates(const ServiceName &service,
                                                                  const FleetState &state,
                                                                  std::uint64_t tieBreak,
                                                                  TimePoint now) const
{
    const ServiceMeans means = this->meansOf(service);
    std::vector<Candidate> result = this->eligible(service, state, now);
    for (Candidate &candidate : result) {
        // Pseudo-random share that depends on flow and agent, so that equal agents get equal
        // numbers of flows.
        const std::uint64_t mixed = mix(tieBreak, candidate.agent);
        const double jitter = 1 + tieJitter * double(mixed >> 40) / double(1 << 24);
        candidate.cost = std::chrono::duration_cast<Duration>(
                Seconds(this->costOf(this->agents[candidate.agent], means)) * jitter);
    }
    std::sort(result.begin(), result.end(), isBefore);
    return result;
}

std::size_t AgentDirectory::sample(std::vector<Candidate> &candidates, std::uint64_t seed) const
{
    std::vector<Candidate> home;
    std::vector<Candidate> rest;
    std::sort(candidates.begin(), candidates.end(), [&](const Candidate &a, const Candidate &b) {
        if (a.isSilent != b.isSilent)
            return b.isSilent;
        return mix(seed, a.agent) < mix(seed, b.agent);
    });
    std::size_t remote = 0;
    for (const Candidate &candidate : candidates) {
        const bool isHome = this->agents[candidate.agent].report.zone == this->options.zone;
        const bool isChosen =
                !candidate.isSilent
                && (isHome ? home.size() - remote < homeChoices : remote < remoteChoices);
        remote += isChosen && !isHome ? 1 : 0;
        (isChosen ? home : rest).push_back(candidate);
    }
    const std::size_t chosen = home.size();
    candidates = std::move(home);
    candidates.insert(candidates.end(), rest.begin(), rest.end());
    return chosen;
}

AgentDirectory::Choice AgentDirectory::choose(const ServiceName &service, Endpoint route,
                                              const FleetState &state, std::uint64_t tieBreak,
                                              TimePoint now)
{
    const KnownCosts &known = this->costsOf(service, now);
    Choice choice;
    if (!known.isScheduled) {
        choice.order = this->candidates(service, state, tieBreak, now);
        return choice;
    }
    choice.order = this->eligible(service, state, now);
    const std::size_t compared = this->sample(choice.order, tieBreak);
    ServiceCosts::Route cost = known.costs.routeOf(route);
    if (cost.work == Duration::zero())
        cost = { .work = assumedServiceTime, .requestsPerFlow = assumedRequestsPerFlow };
    const auto end = choice.order.begin() + std::ptrdiff_t(compared);
    for (auto it = choice.order.begin(); it != end; ++it)
        it->cost = this->expectedCompletion(this->agents[it->agent], cost, known, now);
    std::sort(choice.order.begin(), end, isBefore);
    choice.work = cost.work;
    // The agents know more than the reports, but a flow that is passed on among equally loaded
    // servers only loses time.
    choice.tolerance = cost.work;
    return choice;
}

} // namespace cactusdeck::mesh

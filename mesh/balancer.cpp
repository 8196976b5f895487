#include "mesh/balancer.h"

#include <algorithm>

namespace cactusdeck::mesh {

namespace {

std::string joined(const std::set<ZoneName> &zones)
{
    std::string text;
    for (const ZoneName &zone : zones)
        text += (text.empty() ? "" : ",") + zone.value;
    return text;
}

const char *nameOf(TargetOutcome::Kind kind)
{
    switch (kind) {
    case TargetOutcome::Kind::Written:
        return "written";
    case TargetOutcome::Kind::Found:
        return "found";
    case TargetOutcome::Kind::Missing:
        return "missing";
    case TargetOutcome::Kind::Failed:
        break;
    }
    return "failed";
}

} // namespace

Balancer::Balancer(BalancerOptions balancerOptions)
    : options(std::move(balancerOptions))
    , directory({ .zone = options.zone,
                  .costPerKilobyte = options.costPerKilobyte,
                  .requestSchedulingMaxSlots = options.requestSchedulingMaxSlots })
    , peers({ .self = options.mesh, .zone = options.zone })
    , cache(options.flowCacheEntries)
    , storeReader(options.decodeConfiguration, options.seed)
    , homeTurn(rankOf(options.mesh))
    , remoteTurn(this->homeTurn)
    , zoneTurn(this->homeTurn)
{ }

void Balancer::start(TimePoint now, Sink &sink)
{
    this->startedAt = now;
    this->lastPacket = now;
    this->peers.addSeeds(this->options.seeds, now);
    sink.log(Level::Info, "balancer_started",
             { { "node", this->options.name.value },
               { "zone", this->options.zone.value },
               { "mesh", toString(this->options.mesh) },
               { "seeds", std::to_string(this->options.seeds.size()) } });
    this->sendHellos(HelloScope::Everyone, true, now, sink);
    this->nextHellos = now + helloInterval;
    this->nextHousekeeping = now + firstStateDelay;
}

void Balancer::onDatagram(std::span<const std::uint8_t> datagram, Endpoint from, TimePoint now,
                          Sink &sink)
{
    if (isPeerMessage(datagram)) {
        const std::optional<PeerMessage> message = decodePeerMessage(datagram);
        if (message && std::holds_alternative<BalancerHello>(*message)) {
            this->onHello(std::get<BalancerHello>(*message), from, now, sink);
            return;
        }
        if (message && std::holds_alternative<AgentReport>(*message)) {
            this->onReport(std::get<AgentReport>(*message), from, now, sink);
            return;
        }
        if (message && std::holds_alternative<AgentListQuery>(*message)) {
            this->onListQuery(std::get<AgentListQuery>(*message), from, now, sink);
            return;
        }
        if (message && std::holds_alternative<AgentListAnswer>(*message)) {
            this->onListAnswer(std::get<AgentListAnswer>(*message), from, now, sink);
            return;
        }
    } else if (const std::optional<ReplyFrame> reply = decodeReply(datagram)) {
        this->onReply(*reply, now, sink);
        return;
    }
    ++this->counts.malformed;
    sink.log(Level::Warning, "datagram_malformed",
             { { "from", toString(from) }, { "bytes", std::to_string(datagram.size()) } });
}

void Balancer::onReport(const AgentReport &report, Endpoint from, TimePoint now, Sink &sink)
{
    if (this->directory.onReport(report, from, now))
        sink.log(Level::Info, "agent_changed",
                 { { "agent", report.name.value },
                   { "endpoint", toString(from) },
                   { "service", report.service.value },
                   { "zone", report.zone.value },
                   { "phase", std::to_string(int(report.phase)) },
                   { "cold", report.isCold ? "yes" : "no" } });
    const std::optional<AgentIndex> agent = this->directory.find(from);
    if (!agent)
        return;
    this->notify(*agent, now, sink);
    this->releaseStartupPackets(now, sink);
}

BalancerNotice Balancer::noticeFor(const AgentDirectory::Agent &agent) const
{
    BalancerNotice notice{ .zone = this->options.zone };
    // Until the agent has reported, its service and failure domain are not known, so the notice
    // states that nothing is known.
    if (agent.hasReported()) {
        notice.configuration = this->fleet.configurationVersion();
        notice.evacuationsAsOf = this->fleet.evacuationsAsOf();
        // The agent holds an evacuation that a restored store does not list by itself.
        notice.isZoneEvacuated = this->fleet.evacuated().contains(agent.report.zone);
    }
    const ConfigurationPointer &configuration = this->fleet.configuration();
    if (agent.hasReported() && configuration != nullptr) {
        notice.idleTimeout = configuration->idleTimeout;
        const auto limits = configuration->services.find(agent.report.service);
        if (limits != configuration->services.end())
            notice.limits = limits->second;
    }
    return notice;
}

void Balancer::notify(AgentIndex index, TimePoint now, Sink &sink)
{
    const AgentDirectory::Agent &agent = this->directory.at(index);
    BalancerNotice notice = this->noticeFor(agent);
    for (const auto &[endpoint, heardAt] : this->newcomers) {
        if (now - heardAt < newcomerTime)
            notice.newcomers.push_back(endpoint);
    }
    const std::vector<Endpoint> live = this->peers.live(now);
    if (agent.report.knownBalancers <= live.size()) {
        notice.balancers = live;
        notice.balancers.push_back(this->options.mesh);
    } else {
        for (const PeerSet::Contact &contact : this->peers.nextContacts(balancersPerNotice, now))
            notice.balancers.push_back(contact.balancer);
    }
    this->sendNotice(agent, notice, sink);
}

void Balancer::sendNotice(const AgentDirectory::Agent &agent, const BalancerNotice &notice,
                          Sink &sink)
{
    const std::vector<std::uint8_t> bytes = encode(notice);
    this->sent.add(MessageKind::Notice, this->isHome(agent), bytes.size());
    sink.toNode(agent.endpoint, bytes, {});
}

std::vector<StoreQuery> Balancer::takeQueries(TimePoint now)
{
    return this->storeReader.takeQueries(now);
}

void Balancer::onStoreResult(const StoreResult &result, TimePoint now, Sink &sink)
{
    const bool wasReachable = this->storeReader.isReachable();
    const bool isChanged = this->storeReader.onResult(result, now, this->fleet, sink);
    if (wasReachable && !this->storeReader.isReachable())
        this->storeLostAt = now;
    if (isChanged)
        this->onStateChanged("store", now, sink);
    else if (wasReachable != this->storeReader.isReachable())
        this->sendHellos(HelloScope::Everyone, false, now, sink);
}

std::optional<TargetCall> Balancer::takeTargetCall(TimePoint now)
{
    if (!this->storeReader.isActive() || !this->storeReader.isReachable())
        return std::nullopt;
    return this->targetRecorder.takeCall(this->fleet, this->readerRank, now);
}

void Balancer::onTargetOutcome(const TargetOutcome &outcome, TimePoint now, Sink &sink)
{
    const bool isNews = this->targetRecorder.onOutcome(outcome, this->fleet, now);
    const bool isFailure = outcome.kind == TargetOutcome::Kind::Failed;
    sink.log(isFailure ? Level::Warning : Level::Info, "target_record",
             { { "outcome", nameOf(outcome.kind) },
               { "revision", std::to_string(outcome.revision) },
               { "record_version", std::to_string(outcome.record.version) },
               { "configuration", std::to_string(this->fleet.configurationVersion()) },
               { "former_known", this->fleet.knowsFormerTargets() ? "yes" : "no" } });
    if (isNews)
        this->sendHellos(HelloScope::Everyone, false, now, sink);
}

void Balancer::onStateChanged(const char *source, TimePoint now, Sink &sink)
{
    ++this->counts.stateChanges;
    this->noteEvacuations(now);
    const ConfigurationPointer &configuration = this->fleet.configuration();
    sink.log(Level::Info, "state_changed",
             { { "source", source },
               { "configuration", std::to_string(this->fleet.configurationVersion()) },
               { "routes", std::to_string(configuration ? configuration->routes.size() : 0) },
               { "evacuated", joined(this->fleet.evacuated()) },
               { "evacuations_held", joined(this->fleet.heldEvacuations(now)) },
               { "evacuation_era", std::to_string(this->fleet.evacuationsAsOf().era) },
               { "evacuation_revision", std::to_string(this->fleet.evacuationsAsOf().revision) } });
    // The readers, which are few, tell everyone.
    const bool isReader = this->storeReader.isActive();
    this->sendHellos(isReader ? HelloScope::Everyone : HelloScope::Neighbours, false, now, sink);
    this->notifyAgents(isReader, sink);
    this->releaseStartupPackets(now, sink);
}

void Balancer::noteEvacuations(TimePoint now)
{
    const std::set<ZoneName> &evacuated = this->fleet.evacuated();
    std::erase_if(this->evacuatedSince,
                  [&](const auto &entry) { return !evacuated.contains(entry.first); });
    // Those of the first state may have begun long before.
    const TimePoint since = this->hadState ? now : now - evacuationGrace;
    for (const ZoneName &zone : evacuated)
        this->evacuatedSince.try_emplace(zone, since);
    this->hadState |= this->fleet.evacuationsAsOf().revision != 0;
}

void Balancer::notifyAgents(bool withRemote, Sink &sink)
{
    for (const AgentIndex index : this->directory.possibleOwners()) {
        const AgentDirectory::Agent &agent = this->directory.at(index);
        if (withRemote || !agent.hasReported() || this->isHome(agent))
            this->sendNotice(agent, this->noticeFor(agent), sink);
    }
}

bool Balancer::needsDirectory(TimePoint now) const
{
    // A balancer that hears only agents may be unknown to the other balancers, and to the agents
    // that start later.
    return now - std::max(this->startedAt, this->peers.lastHeard()) > directoryDelay;
}

TimePoint Balancer::nextTimer() const
{
    TimePoint next = std::min({ this->nextHellos, this->nextHousekeeping,
                                this->searches.nextDeadline(), this->storeReader.nextQuery(),
                                this->listCheck.deadline(), this->nextListCheck });
    if (this->fetchNotBefore != TimePoint{})
        next = std::min(next, this->fetchNotBefore);
    if (!this->startupPackets.empty() && this->fleet.configuration() != nullptr)
        next = std::min(next, this->startedAt + firstPlacementDelay);
    return next;
}

void Balancer::onTimer(TimePoint now, Sink &sink)
{
    for (const std::uint64_t flowHash : this->searches.pastDeadline(now))
        this->onSearchDeadline(flowHash, now, sink);
    if (const auto outcome = this->listCheck.onTimer(now))
        this->onListChecked(*outcome, now, sink);
    if (now >= this->nextListCheck)
        this->beginListCheck(now, sink);
    if (now >= this->nextHousekeeping) {
        this->nextHousekeeping = now + housekeepingInterval;
        this->directory.forgetSilent(now);
        this->peers.forgetSilent(now);
        std::erase_if(this->probed,
                      [&](const auto &entry) { return now - entry.second.back() >= probeWindow; });
        std::erase_if(this->newcomers,
                      [&](const auto &entry) { return now - entry.second >= newcomerTime; });
        const std::vector<Endpoint> known = this->peers.all();
        std::erase_if(this->peerStates, [&](const auto &entry) {
            return std::find(known.begin(), known.end(), entry.first) == known.end();
        });
        this->chooseReaders(now, sink);
    }
    if (this->fetchNotBefore != TimePoint{} && now >= this->fetchNotBefore)
        this->chooseFetch(now);
    if (now >= this->nextHellos)
        this->sendRegularHellos(now, sink);
    this->releaseStartupPackets(now, sink);
}

void Balancer::onPaused(TimePoint now, Sink &sink)
{
    sink.log(Level::Warning, "machine_was_paused", {});
    this->sendHellos(HelloScope::Everyone, true, now, sink);
}

void Balancer::stop(TimePoint now, Sink &sink)
{
    if (this->isStopping)
        return;
    this->isStopping = true;
    this->stoppingAt = now;
    sink.log(Level::Info, "stop_requested", {});
    this->sendHellos(HelloScope::Everyone, false, now, sink);
    this->chooseReaders(now, sink);
}

bool Balancer::isStopped(TimePoint now) const
{
    if (!this->isStopping)
        return false;
    const TimePoint quietSince = std::max(this->lastPacket, this->stoppingAt);
    return now - quietSince >= stopQuietTime || now - this->stoppingAt >= stopLimit;
}

bool Balancer::isReady(TimePoint now) const
{
    return !this->isStopping && this->fleet.configuration() != nullptr
           && now - this->startedAt >= settleTime;
}

} // namespace cactusdeck::mesh

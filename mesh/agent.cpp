#include "mesh/agent.h"

#include <algorithm>
#include <array>

namespace cactusdeck::mesh {

namespace {

constexpr std::array phaseNames = { "unknown", "ready", "draining", "paused", "ended" };

} // namespace

Agent::Agent(AgentOptions agentOptions)
    : options(std::move(agentOptions))
    , service(serviceIdOf(this->options.service))
    , balancers({ .self = this->options.mesh, .zone = this->options.zone })
{ }

void Agent::start(TimePoint now, Sink &sink)
{
    this->startedAt = now;
    this->record.start(now);
    this->watch.start(now);
    this->balancers.addSeeds(this->options.seeds, now);
    this->nextExpiry = now + expiryInterval;
    sink.log(Level::Info, "agent_started",
             { { "node", this->options.name.value },
               { "zone", this->options.zone.value },
               { "service", this->options.service.value },
               { "server", toString(this->options.server) } });
    this->report(now, sink);
}

void Agent::onDatagram(std::span<const std::uint8_t> datagram, Endpoint from, TimePoint now,
                       Sink &sink)
{
    this->onEvent(now, sink);
    if (isPeerMessage(datagram)) {
        const std::optional<PeerMessage> message = decodePeerMessage(datagram);
        if (message && std::holds_alternative<BalancerNotice>(*message)) {
            this->onNotice(std::get<BalancerNotice>(*message), from, now, sink);
            return;
        }
    } else if (const std::optional<ForwardFrame> frame = decodeForward(datagram)) {
        this->onForward(*frame, now, sink);
        return;
    }
    ++this->counts.malformed;
    sink.log(Level::Warning, "datagram_malformed",
             { { "from", toString(from) }, { "bytes", std::to_string(datagram.size()) } });
}

bool Agent::onHeartbeat(const Heartbeat &heartbeat, TimePoint now, Sink &sink)
{
    this->onEvent(now, sink);
    if (heartbeat.service != this->options.service || heartbeat.address != this->options.server) {
        ++this->counts.rejectedHeartbeats;
        sink.log(Level::Warning, "heartbeat_rejected",
                 { { "instance", heartbeat.instance },
                   { "service", heartbeat.service.value },
                   { "address", toString(heartbeat.address) },
                   { "expected",
                     this->options.service.value + "@" + toString(this->options.server) } });
        return false;
    }
    ++this->counts.heartbeats;
    const ServerPhase before = this->phase();
    const std::uint64_t runBefore = this->record.incarnation();
    const bool wasCold = this->mayBeCold(now);
    const TimePoint lastHeard = this->record.lastHeard();
    const HeartbeatVerdict verdict = this->record.onHeartbeat(heartbeat, now);
    if (verdict == HeartbeatVerdict::Stale) {
        ++this->counts.staleHeartbeats;
        sink.log(Level::Info, "heartbeat_stale",
                 { { "instance", heartbeat.instance },
                   { "sequence", std::to_string(heartbeat.sequence) } });
        return true;
    }
    this->watch.onServerHeard();
    this->coldPresumption.onHeartbeat(now);
    // The new run may have accepted flows that were opened after the last heartbeat of the earlier
    // run. It returns the packets of those that it does not have.
    if (verdict == HeartbeatVerdict::NewServer)
        this->resetFlowsBefore(lastHeard, "server_replaced", now, sink);
    const bool isChanged = before != this->phase() || runBefore != this->record.incarnation()
                           || wasCold != this->mayBeCold(now);
    if (isChanged) {
        sink.log(Level::Info, "server_changed",
                 { { "instance", heartbeat.instance },
                   { "started_at", std::to_string(heartbeat.startedAt) },
                   { "sequence", std::to_string(heartbeat.sequence) },
                   { "phase", phaseNames[std::size_t(this->phase())] },
                   { "cold_ms", std::to_string(heartbeat.coldFor.count()) },
                   { "flows", std::to_string(this->flows.openCount()) } });
        this->reportSoon(now);
    }
    return true;
}

void Agent::onMalformedHeartbeat(const std::string &reason, Sink &sink)
{
    ++this->counts.rejectedHeartbeats;
    sink.log(Level::Warning, "heartbeat_malformed", { { "reason", reason } });
}

void Agent::resetAllFlows(const char *reason, TimePoint now, Sink &sink)
{
    this->resetFlowsBefore(TimePoint::max(), reason, now, sink);
}

void Agent::resetFlowsBefore(TimePoint openedBefore, const char *reason, TimePoint now, Sink &sink)
{
    std::uint64_t count = 0;
    this->flows.forEachOpen([&](const FlowKey &key, const ServerFlow &flow) {
        if (flow.openedAt >= openedBefore)
            return;
        const Segment last{ .key = key,
                            .flags = tcpflag::ack,
                            .acknowledgement = flow.callerAcknowledgement };
        sink.toCaller(key.source, this->options.codec->resetFor(last));
        this->reply(Verdict::UnknownFlow, key, flow.balancer, sink);
        ++count;
    });
    this->mustEndFlows = false;
    this->counts.resetFlows += count;
    this->flows.endRun(openedBefore, now);
    this->scheduler.clear();
    this->probes.clear();
    sink.log(Level::Info, "flows_reset",
             { { "count", std::to_string(count) },
               { "kept", std::to_string(this->flows.openCount()) },
               { "reason", reason } });
}

void Agent::onDeregister(const std::string &instance, std::int64_t startedAt, TimePoint now,
                         Sink &sink)
{
    const bool isCurrent = this->record.onDeregister(instance, startedAt);
    sink.log(Level::Info, "server_deregistered",
             { { "instance", instance }, { "current", isCurrent ? "yes" : "no" } });
    if (!isCurrent)
        return;
    this->deregisteredAt = now;
    this->mustEndFlows = true;
    this->reportSoon(now);
}

void Agent::onNotice(const BalancerNotice &notice, Endpoint from, TimePoint now, Sink &sink)
{
    const bool isHome = notice.zone == this->options.zone;
    this->balancers.onHeard(
            from,
            { .zone = notice.zone, .interval = isHome ? this->homeInterval : this->remoteInterval },
            now);
    this->reportTo(this->balancers.add(notice.balancers, now), this->remoteInterval, now, sink);
    this->reportToNewcomers(notice.newcomers, now, sink);
    if (notice.configuration > this->configuration) {
        this->configuration = notice.configuration;
        this->limits = notice.limits;
        if (notice.idleTimeout > std::chrono::milliseconds::zero())
            this->idleTimeout = notice.idleTimeout;
        sink.log(Level::Info, "limits_changed",
                 { { "configuration", std::to_string(this->configuration) },
                   { "connections", std::to_string(this->limits.connections) },
                   { "cold_flows_per_second", std::to_string(this->limits.coldFlowsPerSecond) },
                   { "idle_ms", std::to_string(this->idleTimeout.count()) } });
    }
    this->applyEvacuation(notice, from, now, sink);
}

void Agent::applyEvacuation(const BalancerNotice &notice, Endpoint from, TimePoint now, Sink &sink)
{
    if (notice.evacuationsAsOf <= this->evacuationsAsOf)
        return;
    const bool isFirst = this->evacuationsAsOf.revision == 0;
    const bool isNewEra = notice.evacuationsAsOf.era != this->evacuationsAsOf.era;
    this->evacuationsAsOf = notice.evacuationsAsOf;
    if (this->isEvacuated && !notice.isZoneEvacuated && isNewEra) {
        this->returnsAt = now + restoreGrace;
        sink.log(Level::Warning, "evacuation_held",
                 { { "zone", this->options.zone.value },
                   { "era", std::to_string(this->evacuationsAsOf.era) },
                   { "held_ms", std::to_string(restoreGrace.count()) },
                   { "balancer", toString(from) } });
    }
    if (notice.isZoneEvacuated)
        this->returnsAt = TimePoint::max();
    if (notice.isZoneEvacuated == this->isEvacuated || this->returnsAt != TimePoint::max())
        return;
    // An agent that starts in an evacuated zone does not know when the evacuation began; it counts
    // from its own start.
    this->setEvacuated(notice.isZoneEvacuated, isFirst ? this->startedAt : now, from, now, sink);
}

void Agent::setEvacuated(bool isZoneEvacuated, TimePoint since, Endpoint balancer, TimePoint now,
                         Sink &sink)
{
    this->isEvacuated = isZoneEvacuated;
    this->evacuatedAt = since;
    this->returnsAt = TimePoint::max();
    sink.log(Level::Warning, this->isEvacuated ? "zone_evacuated" : "zone_returned",
             { { "zone", this->options.zone.value },
               { "era", std::to_string(this->evacuationsAsOf.era) },
               { "revision", std::to_string(this->evacuationsAsOf.revision) },
               { "balancer", toString(balancer) },
               { "flows", std::to_string(this->flows.openCount()) } });
    if (!this->isEvacuated)
        this->presumeCold("zone_returned", now - since, now, sink);
}

void Agent::onEvent(TimePoint now, Sink &sink)
{
    const std::optional<Duration> gap = this->coldPresumption.onEvent(now);
    if (gap && this->limits.coldFlowsPerSecond > 0)
        this->presumeCold("agent_suspended", *gap, now, sink);
}

void Agent::onPaused(TimePoint now, Sink &sink)
{
    sink.log(Level::Warning, "machine_was_paused", {});
    this->presumeCold("machine_paused", Duration::zero(), now, sink);
}

void Agent::presumeCold(const char *reason, Duration gap, TimePoint now, Sink &sink)
{
    this->coldPresumption.presume(now);
    if (this->limits.coldFlowsPerSecond <= 0)
        return;
    sink.log(Level::Info, "server_presumed_cold",
             { { "reason", reason },
               { "gap_ms",
                 std::to_string(
                         std::chrono::duration_cast<std::chrono::milliseconds>(gap).count()) },
               { "cold_flows_per_second", std::to_string(this->limits.coldFlowsPerSecond) } });
    this->reportSoon(now);
}

bool Agent::mayBeCold(TimePoint now) const
{
    return this->record.isCold(now)
           || (this->limits.coldFlowsPerSecond > 0 && this->coldPresumption.isPresumed());
}

void Agent::reportToNewcomers(const std::vector<Endpoint> &endpoints, TimePoint now, Sink &sink)
{
    std::erase_if(this->newcomers,
                  [&](const auto &entry) { return now - entry.second >= newcomerGap; });
    std::vector<Endpoint> waiting;
    for (const Endpoint &endpoint : endpoints) {
        if (this->newcomers.try_emplace(endpoint, now).second)
            waiting.push_back(endpoint);
    }
    this->balancers.add(waiting, now);
    this->reportTo(waiting, this->remoteInterval, now, sink);
}

void Agent::addBalancers(const std::vector<Endpoint> &found, TimePoint now, Sink &sink)
{
    if (this->balancers.add(found, now).empty())
        return;
    sink.log(Level::Info, "balancers_found", { { "count", std::to_string(found.size()) } });
    this->reportSoon(now);
}

void Agent::addFound(const std::vector<Endpoint> &found, TimePoint now, Sink &sink)
{
    const std::vector<Endpoint> unheard = this->balancers.addFound(found, now);
    sink.log(Level::Info, "directory_read",
             { { "entries", std::to_string(found.size()) },
               { "unheard", std::to_string(unheard.size()) } });
    this->reportTo(unheard, reportInterval, now, sink);
}

bool Agent::needsDirectory(TimePoint now) const
{
    return now - std::max(this->startedAt, this->balancers.lastHeard()) > directoryDelay;
}

void Agent::onServerCheck(ConnectOutcome outcome, TimePoint now, Sink &sink)
{
    if (!this->watch.onOutcome(outcome, now))
        return;
    sink.log(Level::Warning, "server_gone",
             { { "server", toString(this->options.server) },
               { "phase", phaseNames[std::size_t(this->record.phase())] },
               { "flows", std::to_string(this->flows.openCount()) } });
    this->resetAllFlows("server_gone", now, sink);
    this->reportSoon(now);
}

bool Agent::isScheduling() const
{
    return this->record.incarnation() != 0
           && this->record.slots() <= this->options.requestSchedulingMaxSlots;
}

ServerPhase Agent::serverPhase() const
{
    return this->watch.isGone() ? ServerPhase::Ended : this->record.phase();
}

bool Agent::knowsAllFlows() const
{
    return this->record.startedAfterAgent() || this->serverPhase() == ServerPhase::Ended;
}

ServerPhase Agent::phase() const
{
    const ServerPhase phase = this->serverPhase();
    return this->isStopping && phase != ServerPhase::Ended ? ServerPhase::Paused : phase;
}

std::chrono::milliseconds Agent::intervalFor(std::size_t recipients, double bytesPerSecond) const
{
    const auto affordable = std::chrono::milliseconds(
            std::int64_t(1000 * this->reportBytes * double(recipients) / bytesPerSecond));
    return std::max(reportInterval, affordable);
}

bool Agent::isAlone(TimePoint now) const
{
    const TimePoint heard = this->balancers.lastHeard();
    return heard == TimePoint{}
           || now - heard > std::max(aloneTime, this->homeInterval * aloneIntervals);
}

bool Agent::hasFlowCountChanged() const
{
    const std::size_t now = this->flows.openCount();
    const std::size_t change =
            now > this->reportedFlows ? now - this->reportedFlows : this->reportedFlows - now;
    return change >= minFlowChange
           && double(change) >= minFlowChangeShare * double(this->reportedFlows);
}

void Agent::reportHomeSoon(TimePoint now)
{
    this->nextHomeReport =
            std::min(this->nextHomeReport, std::max(now, this->lastHomeReport + reportGap));
}

void Agent::reportSoon(TimePoint now)
{
    this->reportHomeSoon(now);
    this->nextRemoteReport =
            std::min(this->nextRemoteReport, std::max(now, this->lastRemoteReport + reportGap));
}

void Agent::report(TimePoint now, Sink &sink)
{
    this->reportHome(now, sink);
    this->reportRemote(now, sink);
}

void Agent::reportHome(TimePoint now, Sink &sink)
{
    const std::vector<Endpoint> recipients = this->balancers.split(now).home;
    this->homeInterval = intervalFor(recipients.size(), homeBytesPerSecond);
    this->reportTo(recipients, this->homeInterval, now, sink);
    if (this->isAlone(now))
        this->reportTo(this->balancers.nextFound(foundReports), reportInterval, now, sink);
    this->reportedFlows = this->flows.openCount();
    this->lastHomeReport = now;
    this->nextHomeReport = now + (this->isAlone(now) ? searchInterval : this->homeInterval);
}

void Agent::reportRemote(TimePoint now, Sink &sink)
{
    const std::vector<Endpoint> recipients = this->balancers.split(now).remote;
    this->remoteInterval = intervalFor(recipients.size(), remoteBytesPerSecond);
    this->reportTo(recipients, this->remoteInterval, now, sink);
    this->lastRemoteReport = now;
    this->nextRemoteReport = now + (this->isAlone(now) ? reportInterval : this->remoteInterval);
}

void Agent::reportTo(const std::vector<Endpoint> &recipients, std::chrono::milliseconds interval,
                     TimePoint now, Sink &sink)
{
    if (recipients.empty())
        return;
    const ServerLoad &load = this->flows.load();
    const AgentReport report{
        .name = this->options.name,
        .zone = this->options.zone,
        .service = this->options.service,
        .serverIncarnation = this->record.incarnation(),
        .phase = this->phase(),
        .isCold = this->mayBeCold(now),
        .slots = this->record.slots(),
        .flows = std::uint32_t(this->flows.openCount()),
        .requestsInProgress = load.meanInProgress(now),
        .requestsPerSecond = load.requestsPerSecond(now),
        .serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(load.serviceTime()),
        .responseBytes = load.responseBytes(),
        .interval = interval,
        .knownBalancers = std::uint32_t(this->balancers.size()),
        .holdings = this->flows.holdings(),
        .routes = this->isScheduling() ? this->flows.costs().loads(now) : std::vector<RouteLoad>(),
        .knowsAllFlows = this->knowsAllFlows(),
    };
    const std::vector<std::uint8_t> bytes = encode(report);
    this->reportBytes = std::max(minReportBytes, double(bytes.size()));
    for (const Endpoint &balancer : recipients) {
        this->sent.add(MessageKind::Report, this->balancers.isHome(balancer), bytes.size());
        sink.toNode(balancer, bytes, {});
    }
}

TimePoint Agent::nextTimer() const
{
    TimePoint next =
            std::min({ this->nextHomeReport, this->nextRemoteReport, this->nextExpiry,
                       this->returnsAt, this->watch.nextCheck(), this->scheduler.nextTimer() });
    if (this->limits.coldFlowsPerSecond > 0)
        next = std::min(next, this->coldPresumption.nextEvent());
    if (this->mustEndFlows)
        next = std::min(next, this->deregisteredAt + exitDelay + std::chrono::milliseconds(1));
    return this->isStopping ? std::min(next, this->nextStopCheck) : next;
}

void Agent::onTimer(TimePoint now, Sink &sink)
{
    this->onEvent(now, sink);
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + expiryInterval;
        this->flows.expire(this->idleTimeout, now);
        this->balancers.forgetSilent(now);
        std::erase_if(this->probes,
                      [&](const auto &entry) { return now - entry.second.sentAt > probeTimeout; });
    }
    if (now >= this->scheduler.nextTimer())
        this->expireRequests(now, sink);
    if (now >= this->returnsAt)
        this->setEvacuated(false, now, {}, now, sink);
    if (this->mustEndFlows && this->hasServerExited(now))
        this->resetAllFlows("server_exited", now, sink);
    if (now >= this->nextHomeReport)
        this->reportHome(now, sink);
    if (now >= this->nextRemoteReport)
        this->reportRemote(now, sink);
    if (!this->isStopping || now < this->nextStopCheck)
        return;
    this->nextStopCheck = now + stopCheckInterval;
    const bool isQuiet =
            this->flows.load().inProgress() == 0 || this->serverPhase() == ServerPhase::Ended;
    // A server that has deregistered may still be answering. Its callers learn of its exit before
    // the agent ends, since the agent may be stopped for good.
    this->stopped = (isQuiet && !this->mustEndFlows) || now - this->stoppingAt >= stopLimit;
}

void Agent::stop(TimePoint now, Sink &sink)
{
    if (this->isStopping)
        return;
    this->isStopping = true;
    this->stoppingAt = now;
    this->nextStopCheck = now + stopDelay;
    this->watch.onStop(now);
    sink.log(Level::Info, "stop_requested",
             { { "flows", std::to_string(this->flows.openCount()) },
               { "in_progress", std::to_string(this->flows.load().inProgress()) } });
    this->report(now, sink);
}

} // namespace cactusdeck::mesh

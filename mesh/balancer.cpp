#include "mesh/balancer.h"

#include <algorithm>
#include <tuple>

namespace cactusdeck::mesh {

namespace {

std::uint64_t rankOf(Endpoint endpoint)
{
    // SplitMix64 finaliser. All nodes compute the same ranks.
    std::uint64_t value = (std::uint64_t(endpoint.address) << 16) | endpoint.port;
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ull;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBull;
    return value ^ (value >> 31);
}

} // namespace

Balancer::Balancer(BalancerOptions balancerOptions)
    : options(std::move(balancerOptions))
    , directory({ .zone = options.zone, .costPerKilobyte = options.costPerKilobyte })
    , peers(options.mesh)
    , cache(options.flowCacheEntries)
    , storeReader(options.decodeConfiguration, options.seed)
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
    this->sendHellos(true, now, sink);
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
    } else if (const std::optional<ReplyFrame> reply = decodeReply(datagram)) {
        this->onReply(*reply, now, sink);
        return;
    }
    ++this->counts.malformed;
    sink.log(Level::Warning, "datagram_malformed",
             { { "from", toString(from) }, { "bytes", std::to_string(datagram.size()) } });
}

void Balancer::onHello(const BalancerHello &hello, Endpoint from, TimePoint now, Sink &sink)
{
    if (hello.isLeaving) {
        this->peers.remove(from);
        this->peerStates.erase(from);
        return;
    }
    if (this->peers.onHeard(from, now))
        sink.log(Level::Info, "balancer_heard",
                 { { "node", hello.name.value }, { "endpoint", toString(from) } });
    this->peerStates[from].isStoreReachable = hello.isStoreReachable;
    // A new balancer needs reports of all agents soon. Only the store readers, which are few,
    // notify the agents of it.
    if (hello.wantsAnswer && this->storeReader.isActive())
        this->notifyAgents(now, sink);
    if (this->peers.add(hello.balancers, now))
        this->nextHello = now;
    const bool isNewer = hello.configuration > this->fleet.configurationRevision()
                         || hello.evacuation > this->fleet.evacuationRevision();
    const bool isOlder = hello.configuration < this->fleet.configurationRevision()
                         || hello.evacuation < this->fleet.evacuationRevision();
    if (isNewer && !this->isFetching)
        this->fetchFrom = from;
    if (isOlder || hello.wantsAnswer)
        this->sendHello(from, false, now, sink);
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
    for (const std::uint64_t flowHash : this->searches.all()) {
        FlowSearch *search = this->searches.find(flowHash);
        const bool mayHold = !report.knowsAllFlows || report.holdings.test(bucketOf(flowHash));
        if (search->onReport(*agent, mayHold, now)) {
            if (const auto segment = this->options.codec->parse(search->packets().front()))
                this->ask(*agent, *segment, sink);
        }
        this->applySearchStage(flowHash, search->stage(), now, sink);
    }
}

void Balancer::notify(AgentIndex index, TimePoint now, Sink &sink)
{
    const AgentDirectory::Agent &agent = this->directory.at(index);
    BalancerNotice notice{ .balancers = this->peers.live(now) };
    // Until the agent has reported, its service and failure domain are not known, so the notice
    // keeps revision 0, which an agent ignores.
    if (agent.hasReported()) {
        notice.configuration = this->fleet.configurationRevision();
        notice.evacuation = this->fleet.evacuationRevision();
        notice.isZoneEvacuated = this->fleet.isEvacuated(agent.report.zone);
    }
    const ConfigurationPointer &configuration = this->fleet.configuration();
    if (agent.hasReported() && configuration != nullptr) {
        notice.idleTimeout = configuration->idleTimeout;
        const auto limits = configuration->services.find(agent.report.service);
        if (limits != configuration->services.end())
            notice.limits = limits->second;
    }
    notice.balancers.push_back(this->options.mesh);
    sink.toNode(agent.endpoint, encode(notice), {});
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
        this->sendHellos(false, now, sink);
}

std::optional<Endpoint> Balancer::takeFetch()
{
    if (!this->fetchFrom)
        return std::nullopt;
    this->isFetching = true;
    return std::exchange(this->fetchFrom, std::nullopt);
}

void Balancer::onFetched(Endpoint peer, std::span<const std::uint8_t> state, TimePoint now,
                         Sink &sink)
{
    this->isFetching = false;
    const nlohmann::json document =
            nlohmann::json::from_cbor(state.begin(), state.end(), true, false);
    const bool isWhole = document.is_array() && document.size() == 2 && document[0].is_binary()
                         && document[1].is_binary();
    const std::optional<FleetState> decoded =
            isWhole ? FleetState::decode(document[0].get_binary()) : std::nullopt;
    if (!decoded) {
        sink.log(Level::Error, "state_malformed", { { "peer", toString(peer) } });
        return;
    }
    for (const Endpoint &agent : decodeEndpoints(document[1].get_binary()))
        this->directory.addFromPeer(agent, now);
    this->hasAgentList = true;
    if (this->fleet.adopt(*decoded))
        this->onStateChanged("peer", now, sink);
}

std::vector<std::uint8_t> Balancer::encodeState() const
{
    std::vector<Endpoint> agents;
    for (const AgentIndex agent : this->directory.possibleOwners())
        agents.push_back(this->directory.at(agent).endpoint);
    nlohmann::json document = nlohmann::json::array();
    document.push_back(nlohmann::json::binary(this->fleet.encode()));
    document.push_back(nlohmann::json::binary(encodeEndpoints(agents)));
    return nlohmann::json::to_cbor(document);
}

void Balancer::onFetchFailed(Endpoint peer, Sink &sink)
{
    // The peer's next hello triggers another attempt.
    this->isFetching = false;
    sink.log(Level::Warning, "state_fetch_failed", { { "peer", toString(peer) } });
}

void Balancer::onStateChanged(const char *source, TimePoint now, Sink &sink)
{
    ++this->counts.stateChanges;
    std::string zones;
    for (const ZoneName &zone : this->fleet.evacuated())
        zones += (zones.empty() ? "" : ",") + zone.value;
    const ConfigurationPointer &configuration = this->fleet.configuration();
    sink.log(Level::Info, "state_changed",
             { { "source", source },
               { "configuration", std::to_string(configuration ? configuration->version : 0) },
               { "revision", std::to_string(this->fleet.configurationRevision()) },
               { "routes", std::to_string(configuration ? configuration->routes.size() : 0) },
               { "evacuated", zones },
               { "evacuation_revision", std::to_string(this->fleet.evacuationRevision()) } });
    this->sendHellos(false, now, sink);
    this->notifyAgents(now, sink);
    this->releaseStartupPackets(now, sink);
}

void Balancer::notifyAgents(TimePoint now, Sink &sink)
{
    for (const AgentIndex agent : this->directory.possibleOwners())
        this->notify(agent, now, sink);
}

void Balancer::addBalancers(const std::vector<Endpoint> &found, TimePoint now, Sink &sink)
{
    if (!this->peers.add(found, now))
        return;
    sink.log(Level::Info, "balancers_found", { { "count", std::to_string(found.size()) } });
    this->sendHellos(true, now, sink);
}

bool Balancer::needsDirectory(TimePoint now) const
{
    // Agents contact balancers too, so a balancer that knows agents is part of the mesh.
    const bool hearsAgents = !this->directory.possibleOwners().empty();
    return !hearsAgents
           && now - std::max(this->startedAt, this->peers.lastHeard()) > directoryDelay;
}

std::chrono::milliseconds Balancer::interval() const
{
    const auto count = double(this->peers.size());
    const double bytes = count * (helloBytes + helloBytesPerPeer * count);
    return std::max(helloInterval,
                    std::chrono::milliseconds(std::int64_t(1000 * bytes / helloBytesPerSecond)));
}

void Balancer::sendHello(Endpoint to, bool wantsAnswer, TimePoint now, Sink &sink)
{
    const BalancerHello hello{ .name = this->options.name,
                               .zone = this->options.zone,
                               .configuration = this->fleet.configurationRevision(),
                               .evacuation = this->fleet.evacuationRevision(),
                               .isStoreReachable = this->storeReader.isReachable(),
                               .isLeaving = this->isStopping,
                               .wantsAnswer = wantsAnswer,
                               .balancers = this->peers.live(now) };
    sink.toNode(to, encode(hello), {});
}

void Balancer::sendHellos(bool wantsAnswer, TimePoint now, Sink &sink)
{
    for (const Endpoint &peer : this->peers.all())
        this->sendHello(peer, wantsAnswer, now, sink);
    this->nextHello = now + this->interval();
}

void Balancer::chooseReaders(TimePoint now)
{
    if (this->isStopping) {
        this->storeReader.setActive(false, now);
        return;
    }
    const std::vector<Endpoint> live = this->peers.live(now);
    const bool isAlone = live.empty() && now - this->startedAt >= firstStateDelay;
    // Balancers that cannot reach the store rank after those that can.
    using Rank = std::tuple<bool, std::uint64_t>;
    const bool isReachable =
            this->storeReader.isReachable() || now - this->storeLostAt > storeRetryTime;
    const Rank own{ !isReachable, rankOf(this->options.mesh) };
    std::size_t before = 0;
    for (const Endpoint &peer : live) {
        const auto state = this->peerStates.find(peer);
        const bool isPeerReachable =
                state == this->peerStates.end() || state->second.isStoreReachable;
        before += Rank{ !isPeerReachable, rankOf(peer) } < own ? 1 : 0;
    }
    // A balancer that has just started and heard no peer yet does not read the store for a moment.
    const bool isChosen = live.empty() ? isAlone : before < maxStoreReaders;
    this->storeReader.setActive(isChosen, now);
}

TimePoint Balancer::nextTimer() const
{
    TimePoint next = std::min({ this->nextHello, this->nextHousekeeping,
                                this->searches.nextDeadline(), this->storeReader.nextQuery() });
    if (!this->startupPackets.empty() && this->fleet.configuration() != nullptr)
        next = std::min(next, this->startedAt + firstPlacementDelay);
    return next;
}

void Balancer::onTimer(TimePoint now, Sink &sink)
{
    for (const std::uint64_t flowHash : this->searches.pastDeadline(now))
        this->onSearchDeadline(flowHash, now, sink);
    if (now >= this->nextHousekeeping) {
        this->nextHousekeeping = now + housekeepingInterval;
        this->directory.forgetSilent(now);
        this->peers.forgetSilent(now);
        const std::vector<Endpoint> known = this->peers.all();
        std::erase_if(this->peerStates, [&](const auto &entry) {
            return std::find(known.begin(), known.end(), entry.first) == known.end();
        });
        this->chooseReaders(now);
    }
    if (now >= this->nextHello)
        this->sendHellos(false, now, sink);
    this->releaseStartupPackets(now, sink);
}

void Balancer::onPaused(TimePoint now, Sink &sink)
{
    sink.log(Level::Warning, "machine_was_paused", {});
    this->sendHellos(true, now, sink);
}

void Balancer::stop(TimePoint now, Sink &sink)
{
    if (this->isStopping)
        return;
    this->isStopping = true;
    this->stoppingAt = now;
    sink.log(Level::Info, "stop_requested", {});
    this->sendHellos(false, now, sink);
    this->chooseReaders(now);
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

#include "mesh/balancer.h"

#include <algorithm>
#include <tuple>

namespace cactusdeck::mesh {

namespace {

using StampTick = std::chrono::duration<std::int64_t, std::ratio<1, 16>>;

std::uint64_t rankOf(Endpoint endpoint)
{
    // SplitMix64 finaliser: all nodes rank the same endpoints equally.
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

std::uint32_t Balancer::stampOf(TimePoint now)
{
    return std::uint32_t(std::chrono::floor<StampTick>(now.time_since_epoch()).count());
}

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

void Balancer::onCallerPacket(std::span<const std::uint8_t> packet, TimePoint now, Sink &sink)
{
    ++this->counts.packets;
    this->lastPacket = now;
    this->handlePacket(packet, now, now, sink);
}

void Balancer::handlePacket(std::span<const std::uint8_t> packet, TimePoint at, TimePoint now,
                            Sink &sink)
{
    const std::optional<Segment> segment = this->options.codec->parse(packet);
    if (!segment || segment->isBounced) {
        ++this->counts.malformed;
        sink.log(Level::Warning, "packet_malformed",
                 { { "from", "fabric" }, { "bytes", std::to_string(packet.size()) } });
        return;
    }
    const ConfigurationPointer &configuration = this->fleet.configuration();
    if (configuration == nullptr) {
        this->hold(*segment, at, sink);
        return;
    }
    const auto route = configuration->routes.find(segment->key.destination);
    if (route == configuration->routes.end())
        this->onNoRoute(*segment, now, sink);
    else if (!segment->isOpening())
        this->onEstablished(*segment, now, sink);
    else if (this->canPlace(now))
        this->onOpening(*segment, route->second, now, sink);
    else
        this->hold(*segment, at, sink);
}

bool Balancer::canPlace(TimePoint now) const
{
    if (now - this->startedAt >= firstPlacementDelay)
        return true;
    const std::vector<AgentIndex> known = this->directory.holders();
    return this->hasAgentList && std::all_of(known.begin(), known.end(), [&](AgentIndex agent) {
               return !this->directory.at(agent).report.service.value.empty();
           });
}

void Balancer::hold(const Segment &segment, TimePoint at, Sink &sink)
{
    if (this->early.size() < earlyCapacity) {
        ++this->counts.held;
        this->early.push_back({ { segment.bytes.begin(), segment.bytes.end() }, at });
        return;
    }
    ++this->counts.dropped;
    sink.log(Level::Warning, "packet_dropped",
             { { "flow", toString(segment.key) }, { "reason", "just_started" } });
}

void Balancer::releaseEarly(TimePoint now, Sink &sink)
{
    if (this->early.empty() || this->fleet.configuration() == nullptr)
        return;
    // Opening packets may have to wait on.
    for (const EarlyPacket &packet : std::exchange(this->early, {})) {
        if (now - packet.at <= earlyTime)
            this->handlePacket(packet.bytes, packet.at, now, sink);
        else
            ++this->counts.dropped;
    }
}

void Balancer::onNoRoute(const Segment &segment, TimePoint now, Sink &sink)
{
    if (segment.isOpening()) {
        this->reset(segment, "no_route", this->counts.resetNoRoute, sink);
        return;
    }
    const std::uint64_t flowHash = hashOf(segment.key);
    const bool wasDropped = this->fleet.wasDropped(segment.key.destination);
    if (wasDropped && this->cache.find(flowHash) != nullptr) {
        this->cache.erase(flowHash);
        this->reset(segment, "route_dropped", this->counts.resetNoRoute, sink);
        return;
    }
    if (wasDropped) {
        ++this->counts.dropped;
        return;
    }
    // Another balancer may know a newer configuration, so the flow may be a good one.
    this->onEstablished(segment, now, sink);
}

void Balancer::onOpening(const Segment &segment, const Route &route, TimePoint now, Sink &sink)
{
    const std::uint64_t flowHash = hashOf(segment.key);
    const std::uint32_t copy = segment.acknowledgement;
    if (copy == 0)
        this->cache.erase(flowHash); // of an earlier flow with the same key
    FlowCache::Entry *entry = this->cache.find(flowHash);
    const bool hasOwner =
            entry != nullptr && !entry->isPending()
            && this->directory.ownerState(entry->agent, entry->generation) == OwnerState::Present;
    if (hasOwner && (entry->isConfirmed() || copy < copyOfDoubt)) {
        this->forward(segment, entry->agent, frameflag::newFlow | frameflag::replyWanted, sink);
        return;
    }
    const ServiceName &service = route.serviceFor(flowHash);
    std::vector<AgentDirectory::Candidate> order =
            this->directory.candidates(service, this->fleet, flowHash, now);
    if (order.empty()) {
        if (copy == 0 && now - this->startedAt >= settleTime) {
            this->reset(segment, "no_server", this->counts.resetNoServer, sink);
        } else {
            ++this->counts.dropped;
            sink.log(Level::Info, "packet_dropped",
                     { { "flow", toString(segment.key) },
                       { "copy", std::to_string(copy) },
                       { "reason", "no_server" } });
        }
        return;
    }
    if (entry != nullptr) {
        // No answer came to the last copy, so its agent may be gone.
        const auto tried = std::find_if(order.begin(), order.end(), [&](const auto &candidate) {
            return candidate.agent == entry->agent;
        });
        if (tried != order.end())
            std::rotate(tried, tried + 1, order.end());
    }
    const AgentIndex first = order.front().agent;
    ForwardFrame frame{ .flags = frameflag::newFlow | frameflag::replyWanted,
                        .service = serviceIdOf(service),
                        .configuration = this->fleet.configurationRevision(),
                        .replyTo = this->options.mesh,
                        .hopCount = std::uint8_t(std::min(order.size(), placementHops)) };
    for (std::size_t i = 0; i < frame.hopCount; ++i)
        frame.hops[i].agent = this->directory.at(order[i].agent).endpoint;
    if (order.size() > 1)
        frame.patience = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::max(Duration::zero(), order[1].cost - order[0].cost));
    FrameBuffer buffer;
    sink.toNode(frame.hops[0].agent, encodeForward(frame, buffer), segment.bytes);
    this->directory.onPlaced(first, now);
    if (entry == nullptr)
        entry = &this->cache.insert(flowHash, stampOf(now));
    const AgentDirectory::Agent &agent = this->directory.at(first);
    entry->stamp = stampOf(now);
    entry->agent = first;
    entry->generation = agent.generation;
    entry->attempts = std::uint8_t(copy + 1);
    const bool isInZone = agent.report.zone == this->options.zone;
    ++this->counts.placed;
    this->counts.placedInZone += isInZone ? 1 : 0;
    sink.log(Level::Info, "flow_placed",
             { { "flow", toString(segment.key) },
               { "copy", std::to_string(copy) },
               { "service", service.value },
               { "agent", agent.report.name.value },
               { "in_zone", isInZone ? "yes" : "no" },
               { "candidates", std::to_string(order.size()) },
               { "flows", std::to_string(agent.report.flows) },
               { "configuration", std::to_string(this->fleet.configuration()->version) } });
}

void Balancer::onEstablished(const Segment &segment, TimePoint now, Sink &sink)
{
    const std::uint64_t flowHash = hashOf(segment.key);
    FlowCache::Entry *entry = this->cache.find(flowHash);
    if (entry == nullptr || entry->isPending()) {
        this->search(segment, flowHash, now, sink);
        return;
    }
    switch (this->directory.ownerState(entry->agent, entry->generation)) {
    case OwnerState::Present:
        entry->stamp = stampOf(now);
        ++this->counts.forwarded;
        this->forward(segment, entry->agent, 0, sink);
        return;
    case OwnerState::Lost:
        this->cache.erase(flowHash);
        this->search(segment, flowHash, now, sink);
        return;
    case OwnerState::Ended:
        break;
    }
    const bool wasOpen = entry->isConfirmed();
    this->cache.erase(flowHash);
    if (wasOpen)
        this->reset(segment, "server_ended", this->counts.resetEnded, sink);
    else
        this->search(segment, flowHash, now, sink); // the caller may have chosen another server
}

void Balancer::search(const Segment &segment, std::uint64_t flowHash, TimePoint now, Sink &sink)
{
    if (FlowSearch *search = this->searches.find(flowHash)) {
        search->hold(segment.bytes);
        return;
    }
    std::vector<AgentIndex> silent;
    const SearchPlan plan = this->planSearch(segment.key, silent, now);
    if (plan.asked.empty() && plan.unconfirmed.empty() && silent.empty()) {
        ++this->counts.dropped;
        sink.log(Level::Warning, "packet_dropped",
                 { { "flow", toString(segment.key) }, { "reason", "no_agent_known" } });
        return;
    }
    FlowSearch *search = this->searches.begin(segment.key, plan, now);
    if (search == nullptr) {
        ++this->counts.dropped;
        sink.log(Level::Warning, "packet_dropped",
                 { { "flow", toString(segment.key) }, { "reason", "too_many_searches" } });
        return;
    }
    ++this->counts.searches;
    search->hold(segment.bytes);
    for (const AgentIndex agent : plan.asked)
        this->ask(agent, segment, sink);
    // Silent agents are not waited for.
    for (const AgentIndex agent : silent)
        this->ask(agent, segment, sink);
}

SearchPlan Balancer::planSearch(const FlowKey &key, std::vector<AgentIndex> &silent, TimePoint now)
{
    // Of all services: the flow may be from before the route got its present ones.
    const std::vector<AgentIndex> holders = this->directory.holders();
    const Bucket bucket = bucketOf(hashOf(key));
    const bool isAskingAll = this->questions.take(double(holders.size()), now);
    SearchPlan plan;
    for (const AgentIndex agent : holders) {
        const AgentDirectory::Agent &entry = this->directory.at(agent);
        const bool isRuledOut = entry.report.knowsAllFlows && !entry.report.holdings.test(bucket);
        if (!this->directory.isResponding(entry, now)) {
            plan.isComplete = false;
            if (isAskingAll || !isRuledOut)
                silent.push_back(agent);
        } else if (isRuledOut && !isAskingAll) {
            plan.unconfirmed.push_back(agent);
        } else {
            plan.asked.push_back(agent);
        }
    }
    return plan;
}

void Balancer::ask(AgentIndex agent, const Segment &segment, Sink &sink)
{
    ++this->counts.questions;
    ForwardFrame frame{ .flags = frameflag::locate, .replyTo = this->options.mesh, .hopCount = 1 };
    frame.hops[0].agent = this->directory.at(agent).endpoint;
    FrameBuffer buffer;
    sink.toNode(frame.hops[0].agent, encodeForward(frame, buffer),
                this->options.codec->head(segment));
}

bool Balancer::mayHold(const FlowKey &key, AgentIndex agent) const
{
    return this->fleet.mayServe(key.destination, this->directory.at(agent).report.service);
}

void Balancer::onSearchAnswer(std::uint64_t flowHash, AgentIndex agent, SearchAnswer answer,
                              TimePoint now, Sink &sink)
{
    if (FlowSearch *search = this->searches.find(flowHash))
        this->follow(flowHash, search->onAnswer(agent, answer, now), now, sink);
}

void Balancer::follow(std::uint64_t flowHash, SearchStage stage, TimePoint now, Sink &sink)
{
    FlowSearch *search = this->searches.find(flowHash);
    if (stage == SearchStage::MustProbe) {
        this->probe(flowHash, *search, now, sink);
    } else if (stage == SearchStage::Exhausted) {
        this->finishSearch(flowHash, now, sink);
    } else if (stage == SearchStage::Unresolved) {
        ++this->counts.searchesExpired;
        sink.log(Level::Info, "search_unresolved", { { "flow", toString(search->key()) } });
        this->searches.erase(flowHash);
    }
}

void Balancer::onSearchDue(std::uint64_t flowHash, TimePoint now, Sink &sink)
{
    FlowSearch *search = this->searches.find(flowHash);
    const std::vector<AgentIndex> &missing = search->missing();
    sink.log(Level::Info, "search_unanswered",
             { { "flow", toString(search->key()) },
               { "stage", std::to_string(int(search->stage())) },
               { "missing", std::to_string(missing.size()) },
               { "first_missing",
                 missing.empty() ? "none"
                                 : this->directory.at(missing.front()).report.name.value } });
    this->follow(flowHash, search->onDue(now), now, sink);
}

void Balancer::probe(std::uint64_t flowHash, FlowSearch &search, TimePoint now, Sink &sink)
{
    const std::vector<std::uint8_t> packet = search.packets().front();
    const std::optional<Segment> segment = this->options.codec->parse(packet);
    if (!segment)
        return;
    std::vector<AgentIndex> agents;
    for (const AgentIndex agent : search.unsure()) {
        if (this->mayHold(segment->key, agent))
            agents.push_back(agent);
    }
    for (const AgentIndex agent : agents)
        this->forward(*segment, agent, frameflag::probe, sink);
    search.probe(std::move(agents), now);
    this->follow(flowHash, search.stage(), now, sink);
}

// Nobody holds the flow. The caller is told if this balancer knows every agent, since its wait for
// an answer is in vain.
void Balancer::finishSearch(std::uint64_t flowHash, TimePoint now, Sink &sink)
{
    const FlowSearch *search = this->searches.find(flowHash);
    const std::vector<std::uint8_t> packet = search->packets().front();
    this->searches.erase(flowHash);
    this->cache.erase(flowHash);
    const std::optional<Segment> segment = this->options.codec->parse(packet);
    if (!segment)
        return;
    const bool isCertain = now - this->startedAt >= certainTime;
    // The sender of a mere acknowledgement doesn't wait for anything.
    if (isCertain && (segment->payloadLength > 0 || segment->has(tcpflag::fin))) {
        this->reset(*segment, "flow_unknown", this->counts.resetEnded, sink);
        return;
    }
    ++this->counts.dropped;
    sink.log(Level::Info, "packet_dropped",
             { { "flow", toString(segment->key) },
               { "reason", "flow_unknown" },
               { "certain", isCertain ? "yes" : "no" } });
}

void Balancer::forward(const Segment &segment, AgentIndex index, std::uint8_t flags, Sink &sink)
{
    const AgentDirectory::Agent &agent = this->directory.at(index);
    ForwardFrame frame{ .flags = flags,
                        .service = serviceIdOf(agent.report.service),
                        .configuration = this->fleet.configurationRevision(),
                        .replyTo = this->options.mesh,
                        .hopCount = 1 };
    frame.hops[0].agent = agent.endpoint;
    FrameBuffer buffer;
    sink.toNode(agent.endpoint, encodeForward(frame, buffer), segment.bytes);
}

void Balancer::reset(const Segment &segment, const char *reason, std::uint64_t &counter, Sink &sink)
{
    if (segment.has(tcpflag::rst))
        return;
    ++counter;
    sink.log(Level::Info, "flow_reset",
             { { "flow", toString(segment.key) },
               { "reason", reason },
               { "opening", segment.isOpening() ? "yes" : "no" },
               { "configuration",
                 std::to_string(this->fleet.configuration() == nullptr
                                        ? 0
                                        : this->fleet.configuration()->version) } });
    sink.toCaller(segment.key.source, this->options.codec->resetFor(segment));
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

void Balancer::onReply(const ReplyFrame &reply, TimePoint now, Sink &sink)
{
    this->directory.onHeard(reply.agent, now);
    const std::optional<AgentIndex> agent = this->directory.find(reply.agent);
    if (!agent)
        return;
    FlowCache::Entry *entry = this->cache.find(reply.flowHash);
    switch (reply.verdict) {
    case Verdict::Accepted:
        // The caller takes the first answer, so a later one changes nothing.
        if (entry != nullptr && entry->isPending()) {
            entry->agent = *agent;
            entry->generation = this->directory.at(*agent).generation;
            entry->attempts = FlowCache::accepted;
        }
        break;
    case Verdict::Owner:
        if (entry == nullptr)
            entry = &this->cache.insert(reply.flowHash, stampOf(now));
        entry->stamp = stampOf(now);
        entry->agent = *agent;
        entry->generation = this->directory.at(*agent).generation;
        entry->attempts = FlowCache::confirmed;
        if (const FlowSearch *search = this->searches.find(reply.flowHash)) {
            ++this->counts.searchesFound;
            // A probe has already given the first packet to the server.
            for (const std::vector<std::uint8_t> &packet : search->packets()) {
                if (const auto segment = this->options.codec->parse(packet))
                    this->forward(*segment, *agent, 0, sink);
            }
            this->searches.erase(reply.flowHash);
        }
        break;
    case Verdict::UnknownFlow:
        if (entry != nullptr && entry->agent == *agent)
            this->cache.erase(reply.flowHash);
        this->onSearchAnswer(reply.flowHash, *agent, SearchAnswer::Unknown, now, sink);
        break;
    case Verdict::Unsure:
        this->onSearchAnswer(reply.flowHash, *agent, SearchAnswer::Unsure, now, sink);
        break;
    default:
        // Declined and wrong service: the agent's report and log tell the rest.
        break;
    }
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
    // A new balancer needs the reports of all agents soon; a few nodes tell them of it.
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
    this->releaseEarly(now, sink);
    for (const std::uint64_t flowHash : this->searches.all()) {
        FlowSearch *search = this->searches.find(flowHash);
        const bool mayHold = !report.knowsAllFlows || report.holdings.test(bucketOf(flowHash));
        if (search->onReport(*agent, mayHold, now)) {
            if (const auto segment = this->options.codec->parse(search->packets().front()))
                this->ask(*agent, *segment, sink);
        }
        this->follow(flowHash, search->stage(), now, sink);
    }
}

void Balancer::notify(AgentIndex index, TimePoint now, Sink &sink)
{
    const AgentDirectory::Agent &agent = this->directory.at(index);
    BalancerNotice notice{ .configuration = this->fleet.configurationRevision(),
                           .evacuation = this->fleet.evacuationRevision(),
                           .isZoneEvacuated = this->fleet.isEvacuated(agent.report.zone),
                           .balancers = this->peers.live(now) };
    if (const ConfigurationPointer &configuration = this->fleet.configuration()) {
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
        this->directory.expect(agent, now);
    this->hasAgentList = true;
    if (this->fleet.adopt(*decoded))
        this->onStateChanged("peer", now, sink);
}

std::vector<std::uint8_t> Balancer::encodeState() const
{
    std::vector<Endpoint> agents;
    for (const AgentIndex agent : this->directory.holders())
        agents.push_back(this->directory.at(agent).endpoint);
    nlohmann::json document = nlohmann::json::array();
    document.push_back(nlohmann::json::binary(this->fleet.encode()));
    document.push_back(nlohmann::json::binary(encodeEndpoints(agents)));
    return nlohmann::json::to_cbor(document);
}

void Balancer::onFetchFailed(Endpoint peer, Sink &sink)
{
    // The peer's next hello starts another try.
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
    this->releaseEarly(now, sink);
}

void Balancer::notifyAgents(TimePoint now, Sink &sink)
{
    for (const AgentIndex agent : this->directory.holders())
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
    // Agents find a balancer as well; one that hears agents is part of the mesh.
    const bool hearsAgents = !this->directory.holders().empty();
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
    // Sorted after the reachable ones: nodes that the store refuses.
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
    // A node that hears nobody yet leaves the store to others for a moment.
    const bool isChosen = live.empty() ? isAlone : before < readers;
    this->storeReader.setActive(isChosen, now);
}

TimePoint Balancer::nextTimer() const
{
    TimePoint next = std::min({ this->nextHello, this->nextHousekeeping,
                                this->searches.nextDeadline(), this->storeReader.nextQuery() });
    if (!this->early.empty() && this->fleet.configuration() != nullptr)
        next = std::min(next, this->startedAt + firstPlacementDelay);
    return next;
}

void Balancer::onTimer(TimePoint now, Sink &sink)
{
    for (const std::uint64_t flowHash : this->searches.due(now))
        this->onSearchDue(flowHash, now, sink);
    if (now >= this->nextHousekeeping) {
        this->nextHousekeeping = now + housekeepingInterval;
        this->directory.forgetSilent(now);
        this->peers.forgetSilent(now);
        std::erase_if(this->peerStates, [&](const auto &entry) {
            const std::vector<Endpoint> known = this->peers.all();
            return std::find(known.begin(), known.end(), entry.first) == known.end();
        });
        this->chooseReaders(now);
    }
    if (now >= this->nextHello)
        this->sendHellos(false, now, sink);
    this->releaseEarly(now, sink);
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
    return now - quietSince >= stopQuiet || now - this->stoppingAt >= stopLimit;
}

bool Balancer::isReady(TimePoint now) const
{
    return !this->isStopping && this->fleet.configuration() != nullptr
           && now - this->startedAt >= settleTime;
}

} // namespace cactusdeck::mesh

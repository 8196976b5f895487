#include "mesh/balancer.h"

#include <algorithm>
#include <array>

#include "mesh/forwarding.h"

// The packet path of a balancer: placement of new flows, forwarding of known flows, and replies of
// agents.

namespace cactusdeck::mesh {

namespace {

using StampTick = std::chrono::duration<std::int64_t, std::ratio<1, 16>>;

} // namespace

std::uint32_t Balancer::stampOf(TimePoint now)
{
    return std::uint32_t(std::chrono::floor<StampTick>(now.time_since_epoch()).count());
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
        this->onNoRoute(*segment, at, now, sink);
    else if (!segment->isOpening())
        this->onEstablished(*segment, now, sink);
    else if (this->canPlace(now))
        this->onOpening(*segment, route->second, at, now, sink);
    else
        this->hold(*segment, at, sink);
}

bool Balancer::canPlace(TimePoint now) const
{
    if (now - this->startedAt >= firstPlacementDelay)
        return true;
    const std::vector<AgentIndex> known = this->directory.possibleOwners();
    return this->hasAgentList && std::all_of(known.begin(), known.end(), [&](AgentIndex agent) {
               return this->directory.at(agent).hasReported();
           });
}

void Balancer::hold(const Segment &segment, TimePoint at, Sink &sink)
{
    if (this->startupPackets.size() < startupPacketCapacity) {
        ++this->counts.held;
        this->startupPackets.push_back({ { segment.bytes.begin(), segment.bytes.end() }, at });
        return;
    }
    ++this->counts.dropped;
    sink.log(Level::Warning, "packet_dropped",
             { { "flow", toString(segment.key) }, { "reason", "just_started" } });
}

void Balancer::releaseStartupPackets(TimePoint now, Sink &sink)
{
    if (this->startupPackets.empty() || this->fleet.configuration() == nullptr)
        return;
    // handlePacket may hold opening packets again, so the loop iterates over a detached list.
    for (const StartupPacket &packet : std::exchange(this->startupPackets, {})) {
        if (now - packet.at <= startupPacketTimeout)
            this->handlePacket(packet.bytes, packet.at, now, sink);
        else
            ++this->counts.dropped;
    }
}

bool Balancer::isOnlyCopy(const Segment &opening, TimePoint at, TimePoint now)
{
    return opening.acknowledgement == 0 && now - at < secondCopyDelay;
}

void Balancer::dropOpening(const Segment &segment, const char *reason, Sink &sink)
{
    ++this->counts.dropped;
    sink.log(Level::Info, "packet_dropped",
             { { "flow", toString(segment.key) },
               { "copy", std::to_string(segment.acknowledgement) },
               { "reason", reason } });
}

void Balancer::onNoRoute(const Segment &segment, TimePoint at, TimePoint now, Sink &sink)
{
    // Another balancer may have accepted a copy under a newer configuration.
    if (segment.isOpening() && !isOnlyCopy(segment, at, now)) {
        this->dropOpening(segment, "no_route", sink);
        return;
    }
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
    // Another balancer may have accepted the flow under a newer configuration that has the route.
    this->onEstablished(segment, now, sink);
}

void Balancer::onOpening(const Segment &segment, const Route &route, TimePoint at, TimePoint now,
                         Sink &sink)
{
    const std::uint64_t flowHash = hashOf(segment.key);
    const std::uint32_t copy = segment.acknowledgement;
    if (copy == 0) {
        // What is known is of an earlier flow with the same key.
        this->cache.erase(flowHash);
        this->probed.erase(flowHash);
    }
    FlowCache::Entry *entry = this->cache.find(flowHash);
    const bool hasOwner =
            entry != nullptr && !entry->isPending()
            && this->directory.ownerState(entry->agent, entry->generation) == OwnerState::Present;
    if (hasOwner && (entry->isConfirmed() || copy < agentSuspectCopy)) {
        this->forward(segment, entry->agent, frameflag::newFlow | frameflag::replyWanted, sink);
        return;
    }
    const ServiceName &service = route.serviceFor(flowHash);
    AgentDirectory::Choice choice =
            this->directory.choose(service, segment.key.destination, this->fleet, flowHash, now);
    std::vector<AgentDirectory::Candidate> &order = choice.order;
    if (order.empty()) {
        if (isOnlyCopy(segment, at, now) && now - this->startedAt >= settleTime)
            this->reset(segment, "no_server", this->counts.resetNoServer, sink);
        else
            this->dropOpening(segment, "no_server", sink);
        return;
    }
    if (entry != nullptr) {
        // The last copy brought no answer, so the agent that got it may have stopped; try it last.
        const auto tried = std::find_if(order.begin(), order.end(), [&](const auto &candidate) {
            return candidate.agent == entry->agent;
        });
        if (tried != order.end())
            std::rotate(tried, tried + 1, order.end());
    }
    const AgentIndex first = order.front().agent;
    // The agents then do not refuse the flow.
    const unsigned heldFlag = now - at < secondCopyDelay ? 0 : frameflag::transientDecline;
    ForwardFrame frame{ .flags = std::uint8_t(frameflag::newFlow | frameflag::replyWanted
                                              | heldFlag),
                        .service = serviceIdOf(service),
                        .configuration = this->fleet.configurationVersion(),
                        .terms = route.terms,
                        .replyTo = this->options.mesh };
    std::vector<Endpoint> hops;
    for (std::size_t i = 0; i < std::min(order.size(), placementHops); ++i)
        hops.push_back(this->directory.at(order[i].agent).endpoint);
    if (order.size() > 1)
        frame.maxQueueWait = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::max(Duration::zero(), order[1].cost - order[0].cost) + choice.tolerance);
    this->sent.add(MessageKind::Forward, this->isHome(this->directory.at(first)),
                   segment.bytes.size());
    sendToHops(frame, hops, segment.bytes, sink);
    this->directory.onPlaced(first, now, choice.work);
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
               { "configuration", std::to_string(this->fleet.configurationVersion()) } });
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
        // The caller may soon use its port for another flow, which this server does not have.
        if (segment.has(tcpflag::rst))
            this->cache.erase(flowHash);
        else if (segment.has(tcpflag::fin))
            entry->attempts = FlowCache::accepted;
        return;
    case OwnerState::Lost:
        this->cache.erase(flowHash);
        this->search(segment, flowHash, now, sink);
        return;
    case OwnerState::Ended:
        break;
    }
    const bool wasOpen = entry->isConfirmed();
    const AgentIndex agent = entry->agent;
    this->cache.erase(flowHash);
    if (!wasOpen)
        this->search(segment, flowHash, now, sink); // another server may have the flow
    else if (this->directory.at(agent).isEnded)
        this->reset(segment, "server_ended", this->counts.resetEnded, sink);
    else
        // The next run of the server may have accepted the flow before the agent heard of the run.
        this->beginSearch(segment, { .asked = { agent }, .isOwnerKnown = true },
                          { .questions = { agent } }, now, sink);
}

void Balancer::forward(const Segment &segment, AgentIndex index, std::uint8_t flags, Sink &sink)
{
    this->forward(segment, std::span(&index, 1), flags, sink);
}

void Balancer::forward(const Segment &segment, std::span<const AgentIndex> agents,
                       std::uint8_t flags, Sink &sink)
{
    const AgentDirectory::Agent &first = this->directory.at(agents.front());
    const bool isSearch = (flags & frameflag::probe) != 0;
    this->sent.add(isSearch ? MessageKind::Search : MessageKind::Forward, this->isHome(first),
                   segment.bytes.size());
    std::array<Endpoint, maxHops> hops;
    std::transform(agents.begin(), agents.end(), hops.begin(),
                   [this](AgentIndex agent) { return this->directory.at(agent).endpoint; });
    sendToHops({ .flags = flags,
                 .service = serviceIdOf(first.report.service),
                 .configuration = this->fleet.configurationVersion(),
                 .terms = this->fleet.termsOf(segment.key.destination),
                 .replyTo = this->options.mesh },
               std::span(hops).first(agents.size()), segment.bytes, sink);
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
               { "configuration", std::to_string(this->fleet.configurationVersion()) } });
    sink.toCaller(segment.key.source, this->options.codec->resetFor(segment));
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
        // The caller uses the first opening answer, so later ones are ignored.
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
            // If a probe found the flow, the server already has the first packet.
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
        // Declined and WrongService need no action; the agent logs the reason and reports its
        // state.
        break;
    }
}

} // namespace cactusdeck::mesh

#include "core/balancer.h"

#include "core/balancerparts.h"

namespace cactusdeck {

namespace {

using namespace std::chrono_literals;

constexpr Duration attachInterval = 500ms;
constexpr Duration notifiedAgentsInterval = 1s;
constexpr Duration dropLogInterval = 1s;
// A stopping balancer keeps forwarding until no packet has arrived for quietTime, but at most for
// stopLimit, in case the fabric ignores the withdrawal.
constexpr Duration quietTime = 2s;
constexpr Duration stopLimit = 60s;

NodeRecord selfRecord(const BalancerOptions &options)
{
    return { .id = options.id,
             .role = Role::Balancer,
             .zone = options.zone,
             .data = options.data,
             .control = options.control,
             .incarnation = options.incarnation };
}

// Each component has its own random sequence, so that a change in one component does not alter the
// numbers that the others draw.
enum class SeedOf : std::uint64_t { Gossip = 1, Monitor, Spread, Store };

std::uint64_t partSeed(const BalancerOptions &options, SeedOf part)
{
    return options.seed * 8 + std::uint64_t(part);
}

} // namespace

Balancer::Parts::Parts(BalancerOptions balancerOptions)
    : options(std::move(balancerOptions))
    , forwarder(
              { .replyTo = this->options.data, .flowCacheEntries = this->options.flowCacheEntries })
    , membership({ .self = selfRecord(this->options) })
    , gossip({ .seeds = this->options.seeds, .seed = partSeed(this->options, SeedOf::Gossip) },
             this->membership, this->budget)
    , monitor({ .seed = partSeed(this->options, SeedOf::Monitor) }, this->monitorSources(),
              this->membership, this->budget)
    , spread({ .id = this->options.id,
               .replyTo = this->options.control,
               .seed = partSeed(this->options, SeedOf::Spread) })
    , routes(this->forwarder, this->membership, *this->options.placement)
    , storeAccess({ .id = this->options.id,
                    .incarnation = this->options.incarnation,
                    .seed = partSeed(this->options, SeedOf::Store) })
{ }

MonitorSources Balancer::Parts::monitorSources()
{
    return { .isJoined = [this] { return this->gossip.isJoined(); },
             .configuration = [this] { return this->spread.current()->version(); },
             .services = [this](const GroupName &group) { return this->routes.digests(group); },
             .members = [this](ServiceId service) { return this->routes.members(service); },
             .holdingsDigest =
                     [this](const NodeId &agent) { return this->gossip.holdingsDigest(agent); } };
}

template <typename Call>
auto Balancer::Parts::chargeToBudget(TimePoint now, Outbox &outbox, Call call)
{
    Outbox local;
    const auto charge = [&] {
        for (ControlSend &send : local.control)
            this->budget.send(ControlPriority::Configuration, send.to, std::move(send.message), now,
                              outbox);
        for (Event &event : local.events)
            outbox.events.push_back(std::move(event));
    };
    if constexpr (std::is_void_v<decltype(call(local))>) {
        call(local);
        charge();
    } else {
        const auto result = call(local);
        charge();
        return result;
    }
}

void Balancer::Parts::adopt(ConfigurationPointer configuration, TimePoint now, Outbox &outbox)
{
    if (configuration == nullptr)
        return;
    const bool isNewer = this->chargeToBudget(now, outbox, [&](Outbox &local) {
        return this->spread.adopt(std::move(configuration), now, local);
    });
    if (isNewer)
        this->onConfigurationChanged(now, outbox);
}

void Balancer::Parts::onConfigurationChanged(TimePoint now, Outbox &outbox)
{
    const ConfigurationPointer &current = this->spread.current();
    this->storeAccess.setKnown(current);
    this->routes.setConfiguration(current);
    this->routes.update(outbox);
    this->gossip.setConfiguration(current->version());
    NodeRecord self = this->membership.self();
    self.configuration = current->version();
    this->membership.updateSelf(self);
    this->nextAttach = now; // this balancer's zone may have been taken out
    outbox.events.push_back({ .name = "configuration",
                              .fields = { { "version", std::to_string(current->version()) },
                                          { "change", current->changeId() } } });
}

void Balancer::Parts::onVersionSeen(ConfigurationVersion version, Endpoint from, TimePoint now,
                                    Outbox &outbox)
{
    if (version <= this->spread.current()->version())
        return;
    this->chargeToBudget(now, outbox, [&](Outbox &local) {
        this->spread.onVersionSeen(version, from, now, local);
    });
}

void Balancer::Parts::onConfigurationMessage(const ControlMessage &message, TimePoint now,
                                             Outbox &outbox)
{
    const bool hasChanged = this->chargeToBudget(now, outbox, [&](Outbox &local) {
        if (const auto *notice = std::get_if<ConfigurationNotice>(&message))
            this->spread.onNotice(*notice, now, local);
        else if (const auto *request = std::get_if<ConfigurationRequest>(&message))
            this->spread.onRequest(*request, now, local);
        else if (const auto *delta = std::get_if<ConfigurationDelta>(&message))
            return this->spread.onDelta(*delta, now, local);
        return false;
    });
    if (hasChanged)
        this->onConfigurationChanged(now, outbox);
}

void Balancer::Parts::updatePeers(TimePoint now, Outbox &outbox)
{
    if (this->membership.balancerGeneration() != this->appliedBalancerGeneration) {
        this->appliedBalancerGeneration = this->membership.balancerGeneration();
        std::vector<Endpoint> peers;
        for (const NodeRecord *peer : this->membership.peers())
            peers.push_back(peer->control);
        this->spread.setPeers(peers.empty() ? this->options.seeds : peers);
        if (!this->isStopping)
            this->storeAccess.assign(this->membership.aliveBalancers(), now, outbox);
    }
    if (now < this->nextNotifiedAgentsUpdate)
        return;
    this->nextNotifiedAgentsUpdate = now + notifiedAgentsInterval;
    std::vector<Endpoint> notifiedAgents;
    for (const NodeId &id : this->monitor.monitored()) {
        if (const NodeRecord *agent = this->membership.find(id))
            notifiedAgents.push_back(agent->control);
    }
    this->spread.setNotifiedAgents(std::move(notifiedAgents));
}

// Without a configuration or members, this balancer would drop packets that others could forward.
bool Balancer::Parts::isTakingPackets() const
{
    const ConfigurationPointer &current = this->spread.current();
    return !this->isStopping && current->version() != 0 && this->gossip.isJoined()
           && !current->isZoneOut(this->options.zone);
}

void Balancer::Parts::attach(TimePoint now, DataSink &sink)
{
    if (now < this->nextAttach)
        return;
    this->nextAttach = now + attachInterval;
    FrameBuffer buffer;
    const AttachFrame frame{ .data = this->options.data, .attached = this->isTakingPackets() };
    sink.toNode(this->options.fabric, encodeAttach(frame, buffer), {});
}

void Balancer::Parts::logRoute(const PacketView &view, RouteReason reason,
                               const ForwardFrame &frame, Outbox &outbox)
{
    if (!isForwarded(reason) || !frame.has(frameflag::newFlow))
        return;
    outbox.events.push_back({ .name = "route",
                              .fields = { { "flow", toString(view.key) },
                                          { "reason", std::string(nameOf(reason)) },
                                          { "bucket", std::to_string(frame.bucket) },
                                          { "agent", toString(frame.hops[0].agent) },
                                          { "hops", std::to_string(frame.hopCount) } } });
}

// Logs at most one line per second about packets that were not forwarded, so that a flood of them
// does not fill the log.
void Balancer::Parts::logDrops(TimePoint now, Outbox &outbox)
{
    if (now < this->nextDropLog)
        return;
    this->nextDropLog = now + dropLogInterval;
    Event event{ .level = Level::Warning, .name = "dropped" };
    for (std::size_t i = 0; i < routeReasonCount; ++i) {
        const std::uint64_t count = this->counters.routes[i] - this->loggedCounters.routes[i];
        if (count != 0 && !isForwarded(RouteReason(i)))
            event.fields.emplace_back(nameOf(RouteReason(i)).data(), std::to_string(count));
    }
    if (this->counters.malformed != this->loggedCounters.malformed) {
        event.fields.emplace_back("malformed", std::to_string(this->counters.malformed
                                                              - this->loggedCounters.malformed));
    }
    this->loggedCounters = this->counters;
    if (!event.fields.empty())
        outbox.events.push_back(std::move(event));
}

Balancer::Balancer(BalancerOptions options)
    : parts(std::make_unique<Parts>(std::move(options)))
{ }

Balancer::~Balancer() = default;
Balancer::Balancer(Balancer &&) noexcept = default;
Balancer &Balancer::operator=(Balancer &&) noexcept = default;

void Balancer::start(TimePoint now, Outbox &outbox)
{
    this->parts->gossip.start(now, outbox);
    this->parts->updatePeers(now, outbox);
    outbox.events.push_back({ .name = "start",
                              .fields = { { "id", this->parts->options.id.value },
                                          { "zone", this->parts->options.zone.value } } });
}

void Balancer::onPacket(std::span<const std::uint8_t> packet, TimePoint now, DataSink &sink,
                        Outbox &outbox)
{
    Parts &p = *this->parts;
    ++p.counters.packets;
    p.lastPacket = now;
    const auto view = parsePacket(packet);
    if (!view) {
        ++p.counters.malformed;
        return;
    }
    ForwardFrame frame;
    const RouteReason reason = p.forwarder.route(*view, now, frame);
    ++p.counters.routes[std::size_t(reason)];
    if (isForwarded(reason)) {
        FrameBuffer buffer;
        sink.toNode(frame.hops[0].agent, encodeForward(frame, buffer), view->bytes);
    } else if (reason == RouteReason::ZoneOut && !view->has(tcpflag::rst)) {
        // Operators gave up the flow when they took out its zone; the balancer is not merely unsure
        // where the flow is. A reset saves the caller from waiting for timeouts.
        sink.toFabric(buildResetFor(*view));
    }
    p.logRoute(*view, reason, frame, outbox);
}

void Balancer::onFrame(std::span<const std::uint8_t> datagram, TimePoint now, DataSink &,
                       Outbox &outbox)
{
    Parts &p = *this->parts;
    const auto reply = decodeReply(datagram);
    if (!reply) {
        ++p.counters.malformed;
        return;
    }
    ++p.counters.replies;
    p.forwarder.onReply(*reply, now);
    // The version is requested from other balancers, since agents keep only the services of their
    // group.
    p.onVersionSeen(reply->configuration, Endpoint(), now, outbox);
}

void Balancer::onControl(const ControlMessage &message, TimePoint now, Outbox &outbox)
{
    Parts &p = *this->parts;
    p.monitor.onControl(message, now, outbox);
    p.gossip.onControl(message, now, outbox);
    p.onConfigurationMessage(message, now, outbox);
    if (const auto *report = std::get_if<HoldingsReport>(&message))
        p.gossip.report(*report);
    else if (const auto *heartbeat = std::get_if<Heartbeat>(&message))
        p.onVersionSeen(heartbeat->record.configuration, Endpoint(), now, outbox);
    else if (const auto *gossip = std::get_if<Gossip>(&message)) {
        const NodeRecord *sender = p.membership.find(gossip->from);
        p.onVersionSeen(gossip->configuration, sender == nullptr ? Endpoint() : sender->control,
                        now, outbox);
    }
    p.routes.addHoldings(p.gossip.takeHoldings());
}

void Balancer::onStoreAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox)
{
    this->parts->adopt(this->parts->storeAccess.onAnswer(answer, now, outbox), now, outbox);
}

void Balancer::onTimer(TimePoint now, DataSink &sink, Outbox &outbox)
{
    Parts &p = *this->parts;
    p.membership.onTimer(now);
    p.monitor.onTimer(now, outbox);
    p.gossip.onTimer(now, outbox);
    p.chargeToBudget(now, outbox, [&](Outbox &local) { p.spread.onTimer(now, local); });
    p.routes.addHoldings(p.gossip.takeHoldings());
    p.routes.update(outbox);
    p.updatePeers(now, outbox);
    p.adopt(p.storeAccess.onTimer(
                    now, [&] { return this->status(now).dump(); }, outbox),
            now, outbox);
    p.attach(now, sink);
    p.logDrops(now, outbox);
    p.budget.flush(now, outbox);
}

void Balancer::stop(TimePoint now, DataSink &sink, Outbox &outbox)
{
    Parts &p = *this->parts;
    if (p.isStopping)
        return;
    p.isStopping = true;
    p.stoppedAt = now;
    p.lastPacket = std::max(p.lastPacket, now);
    p.nextAttach = now;
    p.attach(now, sink);
    p.storeAccess.release(now, outbox);
    // Other balancers take over this one's work at once. Forwarding does not require that it is a
    // member.
    NodeRecord self = p.membership.self();
    self.liveness = Liveness::Left;
    p.membership.updateSelf(self);
    p.gossip.pushNow(now, outbox);
    outbox.events.push_back({ .name = "stopping", .fields = { { "id", p.options.id.value } } });
}

bool Balancer::isStopped(TimePoint now) const
{
    const Parts &p = *this->parts;
    return p.isStopping && (now - p.lastPacket >= quietTime || now - p.stoppedAt >= stopLimit);
}

ConfigurationVersion Balancer::configurationVersion() const
{
    return this->parts->spread.current()->version();
}

} // namespace cactusdeck

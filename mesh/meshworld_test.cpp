#include "mesh/meshworld_test.h"

#include <algorithm>

namespace cactusdeck::mesh::test {

class World::NodeSink : public Sink
{
public:
    NodeSink(World &nodeWorld, std::string nodeName)
        : world(nodeWorld)
        , name(std::move(nodeName))
    { }

    void toServer(std::span<const std::uint8_t> packet) override
    {
        this->world.toServer(this->name, packet);
    }
    void toCaller(Endpoint, std::span<const std::uint8_t> packet) override
    {
        ToCaller entry{ .bytes = Bytes(packet.begin(), packet.end()),
                        .sender = this->name,
                        .at = this->world.now };
        entry.segment = *parseSegment(entry.bytes);
        this->world.callerPackets.push_back(std::move(entry));
    }
    void toNode(Endpoint node, std::span<const std::uint8_t> header,
                std::span<const std::uint8_t> packet) override
    {
        Bytes bytes(header.begin(), header.end());
        bytes.insert(bytes.end(), packet.begin(), packet.end());
        this->world.send(this->name, node, std::move(bytes));
    }
    void log(Level, const char *event, EventFields) override
    {
        this->world.events.push_back(this->name + " " + event);
    }

private:
    World &world;
    std::string name;
};

namespace {

constexpr std::uint16_t meshPort = 7000;
constexpr std::uint16_t serverPort = 8000;

// The published configurations by version. The JSON in the fake store contains only the version.
std::map<std::uint64_t, FleetConfiguration> &published()
{
    static std::map<std::uint64_t, FleetConfiguration> all;
    return all;
}

std::optional<FleetConfiguration> decode(const nlohmann::json &content)
{
    return published().at(content.at("version").get<std::uint64_t>());
}

} // namespace

World::World() = default;
World::~World() = default;

std::pair<std::string, std::string> World::pairOf(const std::string &a, const std::string &b)
{
    return a < b ? std::pair(a, b) : std::pair(b, a);
}

std::vector<Endpoint> World::seeds() const
{
    std::vector<Endpoint> result;
    for (const auto &[name, node] : this->balancers) {
        if (result.size() < 3)
            result.push_back(node->endpoint);
    }
    return result;
}

World::BalancerNode &World::addBalancer(const std::string &name, const std::string &zone)
{
    auto node = std::make_unique<BalancerNode>();
    node->endpoint = endpointOf(++this->hosts, meshPort);
    this->addEndpoint(name, node->endpoint);
    this->zoneOf[name] = zone;
    this->balancers[name] = std::move(node);
    this->startBalancer(name);
    return *this->balancers.at(name);
}

void World::addEndpoint(const std::string &name, Endpoint endpoint)
{
    this->names[endpoint] = name;
    this->endpoints[name] = endpoint;
}

void World::startBalancer(const std::string &name)
{
    BalancerNode &node = *this->balancers.at(name);
    node.sink = std::make_unique<NodeSink>(*this, name);
    node.balancer =
            std::make_unique<Balancer>(BalancerOptions{ .name = NodeId{ name },
                                                        .zone = ZoneName{ this->zoneOf.at(name) },
                                                        .mesh = node.endpoint,
                                                        .seeds = this->seeds(),
                                                        .codec = &testCodec,
                                                        .decodeConfiguration = decode,
                                                        .costPerKilobyte = 5ms,
                                                        .flowCacheEntries = 1024,
                                                        .seed = 1 });
    node.isUp = true;
    this->waiting[name].clear();
    node.balancer->start(this->now, *node.sink);
}

World::AgentNode &World::addAgent(const std::string &name, const std::string &zone,
                                  const std::string &service)
{
    auto node = std::make_unique<AgentNode>();
    node->endpoint = endpointOf(++this->hosts, meshPort);
    node->service = service;
    node->zone = zone;
    node->server.instance = "server-" + name;
    this->addEndpoint(name, node->endpoint);
    this->agents[name] = std::move(node);
    this->startAgent(name);
    return *this->agents.at(name);
}

void World::startAgent(const std::string &name)
{
    AgentNode &node = *this->agents.at(name);
    node.sink = std::make_unique<NodeSink>(*this, name);
    node.agent =
            std::make_unique<Agent>(AgentOptions{ .name = NodeId{ name },
                                                  .zone = ZoneName{ node.zone },
                                                  .service = ServiceName{ node.service },
                                                  .mesh = node.endpoint,
                                                  .server = { node.endpoint.address, serverPort },
                                                  .seeds = this->seeds(),
                                                  .codec = &testCodec });
    node.isUp = true;
    node.nextHeartbeat = this->now + 10ms;
    node.agent->start(this->now, *node.sink);
}

void World::restartBalancer(const std::string &name)
{
    this->startBalancer(name);
}

void World::restartAgent(const std::string &name)
{
    this->startAgent(name);
}

void World::restartServer(const std::string &agent, const std::string &instance)
{
    AgentNode &node = *this->agents.at(agent);
    const std::int64_t startedAt = node.server.startedAt + 1;
    node.server = Server{ .instance = instance, .startedAt = startedAt };
    node.nextHeartbeat = this->now + 10ms;
}

void World::publish(const FleetConfiguration &next)
{
    this->store.configuration = next;
    published()[next.version] = next;
    this->store.configurationRevision = ++this->store.revision;
    this->recordStore();
}

void World::setEvacuated(std::set<ZoneName> evacuated)
{
    this->store.zones = std::move(evacuated);
    this->store.zonesRevision = ++this->store.revision;
    this->recordStore();
}

void World::restoreStore(const StoreContent &copy)
{
    this->store = copy;
    ++this->storeEra;
    this->recordStore();
    this->loseWatches();
}

void World::recordStore()
{
    this->storeRecords.push_back(
            { .at = this->now, .era = this->storeEra, .content = this->store });
}

void World::loseWatches()
{
    for (auto &[name, queries] : this->waiting) {
        for (WaitingQuery &waiting : queries)
            waiting.isLost = true;
    }
}

void World::send(const std::string &from, Endpoint to, Bytes bytes)
{
    const auto target = this->names.find(to);
    if (target == this->names.end() || this->cuts.contains(pairOf(from, target->second)))
        return;
    if (isPeerMessage(bytes))
        this->controlBytes[from] += bytes.size();
    if (this->loss > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < this->loss)
        return;
    this->deliveries.push_back({ .at = this->now + linkDelay,
                                 .to = target->second,
                                 .from = this->endpoints.at(from),
                                 .bytes = std::move(bytes) });
}

void World::deliver(const Delivery &delivery)
{
    if (const auto it = this->balancers.find(delivery.to); it != this->balancers.end()) {
        if (it->second->isUp)
            it->second->balancer->onDatagram(delivery.bytes, delivery.from, this->now,
                                             *it->second->sink);
        return;
    }
    AgentNode &node = *this->agents.at(delivery.to);
    if (node.isUp)
        node.agent->onDatagram(delivery.bytes, delivery.from, this->now, *node.sink);
}

void World::toServer(const std::string &name, std::span<const std::uint8_t> packet)
{
    AgentNode &node = *this->agents.at(name);
    Server &server = node.server;
    if (!server.isUp)
        return;
    const Segment segment = *parseSegment(packet);
    const auto answer = [&](const Head &head) {
        if (node.isUp)
            node.agent->onServerPacket(encodeSegment(head), this->now, *node.sink);
    };
    const auto held = server.flows.find(segment.key);
    if (held == server.flows.end() && (!segment.isOpening() || server.isFull)) {
        server.unknownFlowPackets += segment.isOpening() ? 0 : 1;
        const bool hasEnded = !segment.isOpening() && server.ended.contains(segment.key);
        Head head = headOf(segment);
        head.isBounced = true;
        if (hasEnded && segment.has(tcpflag::fin))
            head = { .source = segment.key.destination,
                     .destination = segment.key.source,
                     .sequence = segment.acknowledgement,
                     .acknowledgement = segment.sequence + 1,
                     .flags = tcpflag::ack };
        else if (hasEnded || (server.resetsUnknownFlows && !segment.isOpening()))
            head = { .source = segment.key.destination,
                     .destination = segment.key.source,
                     .sequence = segment.acknowledgement,
                     .acknowledgement = segment.sequence,
                     .flags = tcpflag::rst | tcpflag::ack };
        answer(head);
        return;
    }
    Head reply{ .source = segment.key.destination, .destination = segment.key.source };
    if (segment.isOpening()) {
        Server::Flow &flow = server.flows[segment.key];
        if (flow.sequence == 0 || flow.callerSequence != segment.sequence) {
            this->serverSequence += 1000000000;
            flow = { .callerSequence = segment.sequence,
                     .sequence = this->serverSequence,
                     .next = this->serverSequence + 1,
                     .callerNext = segment.sequence + 1 };
            server.openings.push_back(this->now);
        }
        reply.sequence = flow.sequence;
        reply.acknowledgement = flow.callerSequence + 1;
        reply.flags = tcpflag::syn | tcpflag::ack;
        answer(reply);
        return;
    }
    Server::Flow &flow = held->second;
    const std::uint32_t acknowledged = segment.acknowledgement - (flow.sequence + 1);
    if (!segment.has(tcpflag::rst) && acknowledged > flow.next - (flow.sequence + 1)) {
        ++server.laterFlowPackets;
        reply.sequence = flow.next;
        reply.acknowledgement = flow.callerSequence + 1;
        reply.flags = tcpflag::ack;
        if (server.acknowledgesLaterFlows)
            answer(reply);
        return;
    }
    ++flow.packets;
    if (segment.payloadLength == 0)
        return;
    const std::uint32_t end = segment.sequence + segment.payloadLength;
    if (!isBefore(flow.callerNext, end)) {
        if (flow.lastAnswer)
            answer(*flow.lastAnswer);
        return;
    }
    flow.callerNext = end;
    flow.lastAnswer.reset();
    ++server.requests;
    reply.sequence = flow.next;
    reply.acknowledgement = end;
    reply.flags = tcpflag::ack;
    reply.length = 100;
    this->pendingAnswers.push_back(
            { this->now + server.serviceTime, name, server.instance, reply });
    if (server.serviceTime == Duration::zero())
        this->sendAnswers();
}

void World::sendAnswers()
{
    const auto isDue = [this](const PendingAnswer &pending) { return pending.at <= this->now; };
    std::vector<PendingAnswer> due;
    std::copy_if(this->pendingAnswers.begin(), this->pendingAnswers.end(), std::back_inserter(due),
                 isDue);
    std::erase_if(this->pendingAnswers, isDue);
    for (const PendingAnswer &pending : due) {
        AgentNode &node = *this->agents.at(pending.agent);
        const FlowKey key{ .source = pending.head.destination, .destination = pending.head.source };
        const auto flow = node.server.flows.find(key);
        if (!node.server.isUp || node.server.instance != pending.instance
            || flow == node.server.flows.end())
            continue;
        flow->second.lastAnswer = pending.head;
        flow->second.next = pending.head.sequence + pending.head.length;
        if (node.isUp)
            node.agent->onServerPacket(encodeSegment(pending.head), this->now, *node.sink);
    }
}

void World::sendHeartbeat(const std::string &name)
{
    AgentNode &node = *this->agents.at(name);
    node.nextHeartbeat = this->now + heartbeatInterval;
    if (!node.isUp || !node.server.isUp || !node.sendsHeartbeats)
        return;
    Heartbeat heartbeat{ .instance = node.server.instance,
                         .startedAt = node.server.startedAt,
                         .sequence = ++node.server.sequence,
                         .service = ServiceName{ node.service },
                         .address = { node.endpoint.address, serverPort },
                         .slots = 5,
                         .isDraining = node.server.isDraining,
                         .coldFor = node.server.coldFor };
    if (node.server.upSince)
        heartbeat.age = std::chrono::duration_cast<std::chrono::milliseconds>(
                this->now - *node.server.upSince);
    node.agent->onHeartbeat(heartbeat, this->now, *node.sink);
}

void World::checkServer(AgentNode &node)
{
    if (!node.isUp || !node.agent->takeServerCheck(this->now))
        return;
    const ConnectOutcome outcome = node.server.isUp               ? ConnectOutcome::Connected
                                   : node.server.timesOutWhenDown ? ConnectOutcome::TimedOut
                                                                  : ConnectOutcome::Refused;
    node.agent->onServerCheck(outcome, this->now, *node.sink);
}

void World::askStore(const std::string &name)
{
    BalancerNode &node = *this->balancers.at(name);
    for (const StoreQuery &query : node.balancer->takeQueries(this->now)) {
        (query.isProbe ? this->storeProbes : this->storeQueries[name]) += 1;
        this->waiting[name].push_back({ .query = query,
                                        .until = this->now + query.wait,
                                        .timeout = this->now + query.timeout });
    }
    auto &queries = this->waiting[name];
    for (std::size_t i = 0; i < queries.size();) {
        queries[i].isLost |= this->isStoreSilent;
        const std::optional<StoreResult> result = this->resultOf(queries[i], node.hasStore);
        if (!result) {
            ++i;
            continue;
        }
        queries.erase(queries.begin() + std::ptrdiff_t(i));
        node.balancer->onStoreResult(*result, this->now, *node.sink);
    }
}

void World::callForTargets(BalancerNode &node)
{
    while (const auto call = node.balancer->takeTargetCall(this->now)) {
        ++this->targetCalls;
        node.balancer->onTargetOutcome(this->outcomeOf(*call, node.hasStore), this->now,
                                       *node.sink);
    }
}

TargetOutcome World::outcomeOf(const TargetCall &call, bool hasStore)
{
    using Kind = TargetOutcome::Kind;
    if (!hasStore || this->isStoreSilent || !this->hasTargetRecord)
        return {};
    const Revision found = this->store.targetsRevision;
    if (call.kind == TargetCall::Kind::Read && found == 0)
        return { .kind = Kind::Missing };
    const Revision expected = call.kind == TargetCall::Kind::Replace ? call.revision : 0;
    if (call.kind == TargetCall::Kind::Read || found != expected)
        return { .kind = Kind::Found, .revision = found, .record = this->store.targets };
    this->store.targets = call.record;
    this->store.targetsRevision = ++this->store.revision;
    this->recordStore();
    return { .kind = Kind::Written };
}

std::optional<StoreResult> World::resultOf(const WaitingQuery &waiting, bool hasStore) const
{
    const StoreQuery &query = waiting.query;
    StoreResult result{ .query = query, .era = this->storeEra, .asOf = this->store.revision };
    if (!hasStore)
        return StoreResult{ .query = query };
    if (waiting.isLost)
        return this->now < waiting.timeout ? std::nullopt
                                           : std::optional(StoreResult{ .query = query });
    if (query.isProbe && this->probeAge > Duration::zero()) {
        StoreRecord past;
        for (const StoreRecord &record : this->storeRecords) {
            if (record.at <= this->now - this->probeAge)
                past = record;
        }
        result.era = past.era;
        result.asOf = past.content.revision;
        result.kind = StoreResultKind::Answered;
        for (const ZoneName &zone : past.content.zones)
            result.objects.push_back({ .name = zone.value });
        return result;
    }
    if (query.since > this->store.revision) {
        result.kind = StoreResultKind::HistoryLost;
        return result;
    }
    const bool isConfiguration = query.topic == StoreTopic::Configuration;
    const Revision changed =
            isConfiguration ? this->store.configurationRevision : this->store.zonesRevision;
    if (query.since != 0 && changed <= query.since && this->now < waiting.until)
        return std::nullopt;
    result.kind = StoreResultKind::Answered;
    if (isConfiguration && this->store.configuration && changed > query.since)
        result.objects.push_back(
                { .name = "main",
                  .revision = changed,
                  .content = { { "version", this->store.configuration->version } } });
    if (!isConfiguration) {
        // Answer every query as a list, since the fake store has no events of single zones.
        result.query.since = 0;
        for (const ZoneName &zone : this->store.zones)
            result.objects.push_back({ .name = zone.value, .revision = changed });
    }
    return result;
}

void World::fetch(const std::string &name)
{
    BalancerNode &node = *this->balancers.at(name);
    const std::optional<Endpoint> from = node.balancer->takeFetch();
    if (!from)
        return;
    const std::string peer = this->names.at(*from);
    if (this->cuts.contains(pairOf(name, peer)) || !this->balancers.at(peer)->isUp)
        node.balancer->onFetchFailed(*from, this->now, *node.sink);
    else
        node.balancer->onFetched(*from, this->balancers.at(peer)->balancer->encodeState(this->now),
                                 this->now, *node.sink);
}

void World::step()
{
    while (!this->deliveries.empty() && this->deliveries.front().at <= this->now) {
        const Delivery delivery = std::move(this->deliveries.front());
        this->deliveries.pop_front();
        this->deliver(delivery);
    }
    this->sendAnswers();
    for (auto &[name, node] : this->balancers) {
        if (!node->isUp)
            continue;
        if (this->now >= node->balancer->nextTimer())
            node->balancer->onTimer(this->now, *node->sink);
        this->askStore(name);
        this->callForTargets(*node);
        this->fetch(name);
    }
    for (auto &[name, node] : this->agents) {
        if (this->now >= node->nextHeartbeat)
            this->sendHeartbeat(name);
        if (node->isUp && this->now >= node->agent->nextTimer())
            node->agent->onTimer(this->now, *node->sink);
        this->checkServer(*node);
    }
}

void World::run(Duration duration)
{
    const TimePoint end = this->now + duration;
    while (this->now < end) {
        this->now += this->tick;
        this->step();
    }
}

void World::fromCaller(const std::string &name, const Head &head)
{
    BalancerNode &node = *this->balancers.at(name);
    if ((head.flags & (tcpflag::syn | tcpflag::ack)) == tcpflag::syn)
        this->callerSequences[head.source] = head.sequence;
    if (node.isUp)
        node.balancer->onCallerPacket(encodeSegment(head), this->now, *node.sink);
}

std::vector<World::ToCaller> World::packetsTo(Endpoint caller) const
{
    std::vector<ToCaller> result;
    for (const ToCaller &packet : this->callerPackets) {
        if (packet.segment.key.destination == caller)
            result.push_back(packet);
    }
    return result;
}

std::size_t World::resetsTo(Endpoint caller) const
{
    const std::vector<ToCaller> packets = this->packetsTo(caller);
    return std::size_t(std::count_if(packets.begin(), packets.end(), [](const ToCaller &packet) {
        return packet.segment.has(tcpflag::rst);
    }));
}

std::string World::openFlow(const std::string &name, Endpoint caller, Endpoint address)
{
    this->fromCaller(name, opening(caller, address));
    this->run(10ms);
    for (const ToCaller &packet : this->packetsTo(caller)) {
        if (!packet.segment.isOpeningAnswer())
            continue;
        this->fromCaller(name, { .source = caller,
                                 .destination = address,
                                 .sequence = 78,
                                 .acknowledgement = packet.segment.sequence + 1,
                                 .flags = tcpflag::ack });
        this->run(10ms);
        return packet.sender;
    }
    return "";
}

bool World::request(const std::string &name, Endpoint caller, Endpoint address, Duration within)
{
    const std::vector<ToCaller> before = this->packetsTo(caller);
    std::uint32_t acknowledged = 0;
    std::uint32_t sequence = this->callerSequences.at(caller) + 1;
    for (const ToCaller &packet : before) {
        if (packet.segment.isOpeningAnswer())
            acknowledged = packet.segment.sequence + 1;
        else if (packet.segment.payloadLength > 0)
            acknowledged = packet.segment.sequence + packet.segment.payloadLength;
        sequence += packet.segment.payloadLength;
    }
    this->fromCaller(name, { .source = caller,
                             .destination = address,
                             .sequence = sequence,
                             .acknowledgement = acknowledged,
                             .length = 50,
                             .flags = tcpflag::ack });
    this->run(within);
    const std::vector<ToCaller> after = this->packetsTo(caller);
    return std::any_of(after.begin() + std::ptrdiff_t(before.size()), after.end(),
                       [](const ToCaller &packet) { return packet.segment.payloadLength > 0; });
}

} // namespace cactusdeck::mesh::test

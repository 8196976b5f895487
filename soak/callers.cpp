#include "soak/callers.h"

#include <array>

namespace cactusdeck::soak {

namespace {

using standin::Packet;
using namespace std::chrono_literals;

constexpr std::uint32_t initialSequence = 77; // of each opening packet; the value is arbitrary
// When an unanswered opening packet is sent again, counted from the first.
constexpr std::array openingResendTimes = { 200ms, 600ms };
constexpr std::uint16_t firstPort = 10000;
constexpr std::uint16_t lastPort = 60000;
// One in this many short flows goes to the changing route.
constexpr int changingShare = 8;

} // namespace

Callers::Callers(CallersOptions callersOptions, UdpPort socket, const Fleet &nodes,
                 const Servers &allServers, GuaranteeChecks &allGuarantees)
    : options(std::move(callersOptions))
    , port(std::move(socket))
    , fleet(nodes)
    , servers(allServers)
    , guarantees(allGuarantees)
    , random(this->options.seed)
{ }

Endpoint Callers::randomRoute()
{
    return this->options.routes[this->random() % this->options.routes.size()];
}

void Callers::open(bool isLong, Endpoint route, TimePoint now)
{
    this->nextPort = this->nextPort >= lastPort ? firstPort : std::uint16_t(this->nextPort + 1);
    const FlowKey key{ .source = { this->options.host, this->nextPort }, .destination = route };
    Flow &flow = this->flows[key];
    flow = { .key = key,
             .isLong = isLong,
             .mustOpen = this->mustOpen,
             .expected = route == this->options.changingRoute ? this->changingRouteExpectation
                                                              : Expectation::Served,
             .startedAt = now,
             .sent = initialSequence + 1 };
    this->sendOpening(flow);
}

void Callers::sendOpening(const Flow &flow)
{
    this->send({ .key = flow.key,
                 .flags = tcpflag::syn,
                 .sequence = initialSequence,
                 .acknowledgement = flow.openingResends });
}

void Callers::send(const Packet &packet)
{
    std::uniform_real_distribution<double> share(0, 1);
    const auto balancer = this->fleet.balancerFor(hashOf(packet.key));
    if (!balancer || share(this->random) < this->loss)
        return;
    PacketSends sends{ { .to = { this->fleet.at(*balancer).options.address, packetPort },
                         .packet = standin::encode(packet) } };
    this->port.send(sends);
}

void Callers::sendRequest(Flow &flow, TimePoint now)
{
    this->send({ .key = flow.key,
                 .flags = tcpflag::ack,
                 .sequence = flow.sent,
                 .acknowledgement = flow.received,
                 .data = flow.request });
    flow.resendAt = now + flow.resendAfter;
    flow.resendAfter = std::min<Duration>(flow.resendAfter * 2, lastResend);
}

void Callers::step(TimePoint now)
{
    this->port.wait(1ms);
    this->port.receiveAll(
            [&](std::span<const std::uint8_t> bytes, Endpoint) { this->onPacket(bytes, now); });
    std::size_t longFlows = 0;
    for (auto it = this->flows.begin(); it != this->flows.end();) {
        longFlows += it->second.isLong ? 1 : 0;
        it = this->advance(it->second, now) ? std::next(it) : this->flows.erase(it);
    }
    if (now < this->nextShort)
        return;
    this->nextShort = now + this->options.shortInterval;
    const bool isChanging = this->random() % changingShare == 0;
    this->open(false, isChanging ? this->options.changingRoute : this->randomRoute(), now);
    if (longFlows < this->options.longFlows)
        this->open(true, this->randomRoute(), now);
}

void Callers::dropFlowsOfChangingRoute()
{
    std::erase_if(this->flows, [&](const auto &entry) {
        return entry.first.destination == this->options.changingRoute;
    });
}

void Callers::checkOpening(const Flow &flow, bool hasOpened, TimePoint now)
{
    const std::string name = "flow=" + toString(flow.key);
    // The route no longer changes when openings must succeed, so that what was expected of the flow
    // still holds, also if the nodes have been told to stop meanwhile.
    const bool isExpectationValid = flow.expected == this->changingRouteExpectation
                                    || (flow.mustOpen && flow.expected != Expectation::Either);
    if (flow.key.destination == this->options.changingRoute && isExpectationValid) {
        if (flow.expected == Expectation::Unserved)
            this->guarantees.check(Guarantee::RouteInForce, !hasOpened, now, name + " served=yes");
        else if (flow.expected == Expectation::Served && flow.mustOpen)
            this->guarantees.check(Guarantee::RouteInForce, hasOpened, now, name + " served=no");
    } else if (flow.mustOpen) {
        this->guarantees.check(Guarantee::Recovered, hasOpened, now, name);
    }
}

bool Callers::hasAgentStayedUp(const Flow &flow) const
{
    for (std::size_t i = 0; i < this->fleet.size(); ++i) {
        const Fleet::Node &node = this->fleet.at(i);
        if (flow.server != nullptr
            && node.options.address == flow.server->settings().address.address)
            return node.state == Fleet::State::Up && node.stateChangedAt < flow.requestedAt;
    }
    return false;
}

bool Callers::advance(Flow &flow, TimePoint now)
{
    if (!flow.isOpen) {
        if (now - flow.startedAt >= openingLimit) {
            ++this->openingTimeouts;
            this->checkOpening(flow, false, now);
            return false;
        }
        if (flow.openingResends < openingResendTimes.size()
            && now - flow.startedAt >= openingResendTimes[flow.openingResends]) {
            ++flow.openingResends;
            this->sendOpening(flow);
        }
        return true;
    }
    if (flow.request.empty()) {
        if (now < flow.nextRequest)
            return true;
        flow.request = "r" + std::to_string(++this->requests);
        flow.requestedAt = now;
        flow.resendAfter = firstResend;
        flow.isAffectedByFault = false;
        this->sendRequest(flow, now);
        return true;
    }
    // The end of the server run ends the flow. An interrupted agent, the lack of any ready
    // balancer, packet loss or an evacuation delays the answer.
    flow.isAffectedByFault |= flow.server == nullptr || flow.server->mayLosePackets()
                              || !flow.server->hasFlow(flow.key, flow.answerSequence)
                              || !this->hasAgentStayedUp(flow)
                              || !this->fleet.balancerFor(hashOf(flow.key)) || this->loss > 0;
    if (now - flow.requestedAt >= answerLimit) {
        ++this->lostFlows;
        this->guarantees.check(Guarantee::RequestAnswered, flow.isAffectedByFault, now,
                               "flow=" + toString(flow.key) + " request=" + flow.request
                                       + " server="
                                       + (flow.server ? flow.server->settings().name : "none"));
        return false;
    }
    if (now >= flow.resendAt)
        this->sendRequest(flow, now);
    return true;
}

void Callers::onPacket(std::span<const std::uint8_t> bytes, TimePoint now)
{
    std::uniform_real_distribution<double> share(0, 1);
    if (share(this->random) < this->loss)
        return;
    const std::optional<Packet> packet = standin::decode(bytes);
    const bool isReset = packet && (packet->flags & tcpflag::rst) != 0;
    this->guarantees.check(Guarantee::PacketsUnchanged, packet && (isReset || packet->isIntact),
                           now, "end=caller");
    if (!packet)
        return;
    const auto found = this->flows.find(packet->key.reversed());
    if (found == this->flows.end())
        return;
    Flow &flow = found->second;
    if (isReset) {
        this->onReset(flow, now);
        this->flows.erase(found);
    } else if (!flow.isOpen && (packet->flags & tcpflag::syn) != 0) {
        this->onOpened(flow, *packet, now);
    } else if (flow.isOpen && !packet->data.empty()) {
        const bool isLast = !flow.isLong || (packet->flags & tcpflag::fin) != 0;
        this->onAnswer(flow, *packet, now);
        if (!isLast || !flow.request.empty())
            return;
        this->send({ .key = flow.key,
                     .flags = std::uint8_t(tcpflag::fin | tcpflag::ack),
                     .sequence = flow.sent,
                     .acknowledgement = flow.received });
        this->flows.erase(found);
    }
}

void Callers::onReset(Flow &flow, TimePoint now)
{
    if (!flow.isOpen) {
        ++this->refusals;
        this->checkOpening(flow, false, now);
        return;
    }
    ++this->lostFlows;
    const bool isHeld = flow.server != nullptr
                        && flow.server->hasOpenFlow(flow.key, flow.answerSequence)
                        && flow.key.destination != this->options.changingRoute;
    this->guarantees.check(Guarantee::OpenFlowKept, !isHeld, now,
                           "flow=" + toString(flow.key) + " server="
                                   + (flow.server ? flow.server->settings().name : "none"));
}

void Callers::onOpened(Flow &flow, const Packet &packet, TimePoint now)
{
    flow.isOpen = true;
    flow.answerSequence = packet.sequence;
    flow.received = packet.sequence + 1;
    flow.nextRequest = now;
    for (const auto &server : this->servers) {
        if (server->hasFlow(flow.key, packet.sequence))
            flow.server = server.get();
    }
    this->checkOpening(flow, true, now);
    this->send({ .key = flow.key,
                 .flags = tcpflag::ack,
                 .sequence = flow.sent,
                 .acknowledgement = flow.received });
}

void Callers::onAnswer(Flow &flow, const Packet &packet, TimePoint now)
{
    if (packet.sequence != flow.received || packet.data != "answer " + flow.request)
        return;
    ++this->answers;
    this->guarantees.check(Guarantee::RequestAnswered, true, now, "");
    flow.received += std::uint32_t(packet.data.size());
    flow.sent += std::uint32_t(flow.request.size());
    flow.request.clear();
    std::uniform_int_distribution<std::int64_t> spread(requestInterval.count() / 2,
                                                       requestInterval.count() * 3 / 2);
    flow.nextRequest = now + std::chrono::milliseconds(spread(this->random));
}

} // namespace cactusdeck::soak

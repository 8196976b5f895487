#include "mesh/serverflows.h"

#include <algorithm>
#include <utility>

namespace cactusdeck::mesh {

namespace {

// An acknowledgement number counts as one of this server if it is less than this number of bytes
// above the server's initial sequence number; a server sends less before the first one arrives.
constexpr std::uint32_t acknowledgedRange = 1 << 20;

// More than the data that an end may have in flight: 16 packets of 1,200 bytes, as far as the
// platform accepts a reset.
constexpr std::uint32_t serverWindow = 76800;

// How far the numbers of an adopted flow's packets may be below those of the packet by which it was
// discovered, for packets that were delayed.
constexpr std::uint32_t adoptedRange = 1 << 20;

} // namespace

bool ServerFlow::isAcknowledgedBy(const Segment &segment) const
{
    return this->isAnswered
           && segment.acknowledgement - (this->serverSequence + 1) < acknowledgedRange;
}

bool ServerFlow::isOpenedBy(const Segment &opening) const
{
    if (this->hasEnded)
        return false;
    // Copies come within a second, in which the caller has sent little.
    return this->openingSequence ? *this->openingSequence == opening.sequence
                                 : this->callerNext - opening.sequence < adoptedRange;
}

bool ServerFlow::isPrecededBy(const Segment &serverPacket) const
{
    // A reset may use any number.
    if (serverPacket.isOpeningAnswer() || serverPacket.has(tcpflag::rst))
        return false;
    // Before the caller has acknowledged its answer, a server sends nothing else.
    if (!this->isOpen)
        return true;
    return serverPacket.sequence - this->serverSequence
           > this->serverNext - this->serverSequence + serverWindow;
}

bool ServerFlow::isFollowedBy(const Segment &callerPacket) const
{
    // A reset need not acknowledge anything.
    return this->isOpen && !callerPacket.has(tcpflag::rst)
           && callerPacket.acknowledgement - this->serverSequence
                      > this->serverNext - this->serverSequence + serverWindow;
}

ServerFlow *ServerFlows::find(const FlowKey &key)
{
    const auto it = this->flows.find(key);
    return it == this->flows.end() ? nullptr : &it->second;
}

ServerFlow &ServerFlows::open(const FlowKey &key, TimePoint now)
{
    this->erase(key, now);
    ServerFlow &flow = this->flows[key];
    flow.route = key.destination;
    flow.openedAt = now;
    flow.lastActive = now;
    this->routeCosts.onFlowOpened(flow.route);
    ++this->live;
    ++this->fresh;
    return flow;
}

ServerFlow &ServerFlows::adopt(const FlowKey &key, const Segment &serverPacket, TimePoint now)
{
    ServerFlow &flow = this->open(key, now);
    flow.serverSequence = serverPacket.sequence - adoptedRange;
    flow.serverNext = serverPacket.sequence;
    // A copy of what the server has acknowledged is no new request.
    flow.callerNext = serverPacket.acknowledgement;
    flow.hasCallerData = true;
    flow.isOpen = true;
    flow.isAnswered = true;
    this->endFresh(flow);
    return flow;
}

void ServerFlows::erase(const FlowKey &key, TimePoint now)
{
    const auto it = this->flows.find(key);
    if (it == this->flows.end())
        return;
    this->end(it->second, now);
    this->flows.erase(it);
}

void ServerFlows::endRun(TimePoint openedBefore, TimePoint now)
{
    for (auto it = this->flows.begin(); it != this->flows.end();) {
        if (it->second.openedAt >= openedBefore) {
            ++it;
            continue;
        }
        this->end(it->second, now);
        it = this->flows.erase(it);
    }
    this->serverLoad.reset(now);
    this->serviceStarts.clear();
    this->routeCosts.restart(now);
    for (auto &[key, flow] : this->flows) {
        if (!flow.isInProgress)
            continue;
        this->beginRequest(flow, now);
        if (std::exchange(flow.isAtServer, false))
            this->onSent(flow, now);
    }
}

void ServerFlows::forEachOpen(
        const std::function<void(const FlowKey &, const ServerFlow &)> &visit) const
{
    for (const auto &[key, flow] : this->flows) {
        if (flow.isOpen && !flow.hasEnded && !flow.isServerFinished && !flow.isCallerFinished)
            visit(key, flow);
    }
}

void ServerFlows::end(ServerFlow &flow, TimePoint now)
{
    this->abandonRequest(flow, now);
    this->endFresh(flow);
    if (flow.hasEnded)
        return;
    flow.hasEnded = true;
    this->routeCosts.onFlowEnded(flow.route);
    --this->live;
}

void ServerFlows::endFresh(ServerFlow &flow)
{
    this->fresh -= flow.isFresh ? 1 : 0;
    flow.isFresh = false;
}

void ServerFlows::abandonRequest(ServerFlow &flow, TimePoint now)
{
    if (!flow.isInProgress)
        return;
    flow.isInProgress = false;
    this->serverLoad.onAbandoned(now);
    this->serviceStarts.onAbandoned(flow.request, this->slotCount, now);
}

void ServerFlows::beginRequest(ServerFlow &flow, TimePoint now)
{
    flow.inProgressBefore = this->serverLoad.onRequest(now);
    this->routeCosts.onRequest(flow.route, now);
}

void ServerFlows::onSent(ServerFlow &flow, TimePoint now)
{
    if (!flow.isInProgress || flow.isAtServer)
        return;
    flow.isAtServer = true;
    flow.request = this->serviceStarts.onRequest(this->slotCount, now);
}

void ServerFlows::onHeldRequestDropped(ServerFlow &flow, TimePoint now)
{
    if (!flow.isInProgress || flow.isAtServer)
        return;
    flow.callerNext = flow.requestSequence;
    this->abandonRequest(flow, now);
}

void ServerFlows::onCaller(ServerFlow &flow, const Segment &segment, TimePoint now)
{
    flow.lastActive = now;
    if (segment.has(tcpflag::rst)) {
        this->end(flow, now);
        return;
    }
    flow.callerAcknowledgement = segment.acknowledgement;
    const std::uint32_t dataEnd = segment.sequence + segment.payloadLength;
    const bool isNew = segment.payloadLength > 0
                       && (!flow.hasCallerData || isBefore(flow.callerNext, dataEnd));
    if (isNew) {
        flow.hasCallerData = true;
        this->endFresh(flow);
        flow.callerNext = dataEnd;
        if (!flow.isInProgress && !flow.hasEnded) {
            flow.isInProgress = true;
            flow.isAtServer = false;
            flow.requestedAt = now;
            flow.requestSequence = segment.sequence;
            this->beginRequest(flow, now);
        }
    }
    if (segment.has(tcpflag::fin)) {
        flow.isCallerFinished = true;
        this->abandonRequest(flow, now);
        if (flow.isServerFinished)
            this->end(flow, now);
    }
}

void ServerFlows::onServer(ServerFlow &flow, const Segment &segment, std::uint32_t slots,
                           TimePoint now)
{
    flow.lastActive = now;
    this->slotCount = slots;
    if (segment.isOpeningAnswer()) {
        if (!flow.isAnswered)
            this->openings.add(now - flow.openedAt);
        flow.isAnswered = true;
        // Once the caller has acknowledged an answer, another one is of an earlier flow.
        if (!flow.isOpen)
            flow.serverSequence = flow.serverNext = segment.sequence;
        flow.remaining.clear();
    }
    if (flow.callerAcknowledgement == 0)
        flow.callerAcknowledgement = segment.sequence;
    if (segment.payloadLength > 0) {
        const std::uint32_t dataEnd = segment.sequence + segment.payloadLength;
        // The server repeats its last answer while the packet that acknowledges it is held.
        const bool isNew = isBefore(flow.serverNext, dataEnd);
        if (isNew)
            flow.serverNext = dataEnd;
        this->serverLoad.onResponseBytes(segment.payloadLength);
        if (flow.isInProgress && flow.isAtServer && isNew) {
            flow.isInProgress = false;
            this->answers.add(now - flow.requestedAt);
            this->serverLoad.onResponse(now - flow.requestedAt, flow.inProgressBefore, slots, now);
            if (const auto time = this->serviceStarts.onAnswer(flow.request, slots, now))
                this->routeCosts.onAnswer(flow.route, *time);
        }
    }
    if (segment.has(tcpflag::fin))
        flow.isServerFinished = true;
    if (segment.has(tcpflag::rst) || (flow.isServerFinished && flow.isCallerFinished))
        this->end(flow, now);
}

std::bitset<bucketCount> ServerFlows::holdings() const
{
    std::bitset<bucketCount> result;
    for (const auto &[key, flow] : this->flows)
        result.set(bucketOf(hashOf(key)));
    return result;
}

void ServerFlows::expire(std::chrono::milliseconds idleTimeout, TimePoint now)
{
    for (auto it = this->flows.begin(); it != this->flows.end();) {
        ServerFlow &flow = it->second;
        // The agent holds a request for as long as its caller waits.
        const Duration requestLimit =
                flow.isAtServer ? Duration(requestTimeout)
                                : std::max<Duration>(requestTimeout, flow.terms.timeout);
        if (flow.isInProgress && now - flow.requestedAt > requestLimit)
            this->abandonRequest(flow, now);
        const Duration idle = now - flow.lastActive;
        const Duration limit = flow.hasEnded ? Duration(endedTimeout)
                               : flow.isOpen ? Duration(idleTimeout)
                                             : Duration(openingTimeout);
        if (idle > limit) {
            this->end(flow, now);
            it = this->flows.erase(it);
        } else {
            ++it;
        }
    }
}

} // namespace cactusdeck::mesh

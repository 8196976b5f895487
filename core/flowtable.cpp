#include "core/flowtable.h"

namespace cactusdeck {

namespace {

// The largest window that TCP can announce (RFC 7323). A segment further ahead isn't valid.
constexpr std::uint32_t maxWindow = 1u << 30;
// Acknowledgement numbers are accepted up to this distance below the highest one, since packets may
// be delayed by up to a window (RFC 5961, section 5.2). The bound also keeps comparisons modulo
// 2^32 valid on flows of any length.
constexpr std::uint32_t acknowledgementLag = 1u << 20;

} // namespace

void SequenceSpace::start(std::uint32_t initialSequence)
{
    this->base = this->next = this->payloadNext = this->acked = initialSequence + 1;
    this->isKnown = true;
    this->hasFin = false;
}

void SequenceSpace::startMidStream(std::uint32_t nextSequence, std::uint32_t acknowledged)
{
    this->base = acknowledged - acknowledgementLag;
    this->next = this->payloadNext = nextSequence;
    this->acked = acknowledged;
    this->isKnown = true;
    this->hasFin = false;
}

void SequenceSpace::extend(const PacketView &view)
{
    // The sequence number of an acknowledgement without payload may lie beyond payload that was
    // held back, so it doesn't show that the server has got that payload.
    if (view.sequenceLength() == 0)
        return;
    const std::uint32_t end = view.sequence + view.sequenceLength();
    if (isBefore(this->next, end) && end - this->next <= maxWindow)
        this->next = end;
    const std::uint32_t payloadEnd = view.sequence + std::uint32_t(view.payload.size());
    if (!view.payload.empty() && isBefore(this->payloadNext, payloadEnd)
        && payloadEnd - this->payloadNext <= maxWindow)
        this->payloadNext = payloadEnd;
    if (view.has(tcpflag::fin)) {
        this->hasFin = true;
        this->finEnd = end;
    }
}

void SequenceSpace::acknowledge(std::uint32_t acknowledgement)
{
    if (!isBefore(this->acked, acknowledgement))
        return;
    this->acked = acknowledgement;
    if (acknowledgement - this->base > acknowledgementLag)
        this->base = acknowledgement - acknowledgementLag;
}

bool Flow::acceptsFromCaller(const PacketView &view) const
{
    if (!this->isTcp())
        return true;
    if (view.has(tcpflag::ack))
        return this->server.covers(view.acknowledgement);
    // A caller that doesn't know the connection answers a segment of this server with a reset that
    // has no acknowledgement number. Its sequence number is that segment's acknowledgement number.
    return view.has(tcpflag::rst) && !isBefore(view.sequence, this->caller.acked)
           && !isBefore(this->caller.next, view.sequence);
}

bool Flow::acceptsFromServer(const PacketView &view) const
{
    if (!this->isTcp())
        return true;
    if (view.has(tcpflag::syn) && !this->isAdopted)
        return view.has(tcpflag::ack) && view.acknowledgement == this->callerIsn + 1
               && (!this->server.isKnown || view.sequence == this->serverIsn);
    if (view.has(tcpflag::ack))
        return this->caller.covers(view.acknowledgement)
               && (this->server.isKnown || view.has(tcpflag::rst));
    return view.has(tcpflag::rst) && this->server.covers(view.sequence);
}

bool Flow::isConnectedElsewhere(const PacketView &view) const
{
    return this->state == FlowState::Opening && this->isTcp() && view.has(tcpflag::ack)
           && !isBefore(view.sequence, this->callerIsn + 1)
           && view.sequence - (this->callerIsn + 1) <= acknowledgementLag;
}

bool Flow::isLostByServer(const PacketView &view) const
{
    return this->isTcp() && this->state != FlowState::Opening && !this->isClosed()
           && view.has(tcpflag::syn) && view.has(tcpflag::ack)
           && (this->isAdopted || view.sequence != this->serverIsn);
}

std::vector<std::uint8_t> Flow::resetForServer() const
{
    PacketOptions options{ .key = this->key,
                           .sequence = this->caller.acked,
                           .flags = tcpflag::rst };
    if (this->server.isKnown) {
        options.acknowledgement = this->server.next;
        options.flags |= tcpflag::ack;
    }
    return buildPacket(options);
}

std::vector<std::vector<std::uint8_t>> Flow::resetsForCaller() const
{
    PacketOptions options{ .key = this->key.reversed(),
                           .sequence = this->server.acked,
                           .acknowledgement = this->caller.next,
                           .flags = tcpflag::rst | tcpflag::ack };
    std::vector<std::vector<std::uint8_t>> packets{ buildPacket(options) };
    if (this->server.next != this->server.acked) {
        options.sequence = this->server.next;
        packets.push_back(buildPacket(options));
    }
    return packets;
}

Flow *FlowTable::find(const FlowKey &key)
{
    const auto found = this->flows.find(key);
    return found == this->flows.end() ? nullptr : &found->second;
}

Flow &FlowTable::insert(const FlowKey &key, ServiceId service, TimePoint now)
{
    this->erase(key);
    Flow &flow = this->flows[key];
    flow.key = key;
    flow.service = service;
    flow.bucket = bucketOf(hashOf(key));
    flow.openedAt = now;
    flow.lastActive = now;
    this->count(flow, 1);
    return flow;
}

Flow &FlowTable::openTcp(const FlowKey &key, ServiceId service, std::uint32_t callerIsn,
                         TimePoint now)
{
    Flow &flow = this->insert(key, service, now);
    flow.callerIsn = callerIsn;
    flow.caller.start(callerIsn);
    return flow;
}

Flow &FlowTable::openUdp(const FlowKey &key, ServiceId service, TimePoint now)
{
    Flow &flow = this->insert(key, service, now);
    flow.state = FlowState::Open;
    return flow;
}

Flow &FlowTable::adopt(const PacketView &packet, const PacketView &probeAnswer, ServiceId service,
                       TimePoint now)
{
    Flow &flow = this->insert(packet.key, service, now);
    flow.state = FlowState::Open;
    flow.isAdopted = true;
    flow.awaitsFirstRequest = false;
    flow.caller.startMidStream(probeAnswer.acknowledgement, probeAnswer.acknowledgement);
    flow.server.startMidStream(probeAnswer.sequence, packet.acknowledgement);
    return flow;
}

void FlowTable::erase(const FlowKey &key)
{
    const auto found = this->flows.find(key);
    if (found == this->flows.end())
        return;
    if (!found->second.isClosed())
        this->count(found->second, -1);
    this->flows.erase(found);
}

void FlowTable::count(const Flow &flow, int change)
{
    this->openFlows += std::size_t(change);
    this->buckets[flow.service][flow.bucket] += std::uint32_t(change);
}

std::uint32_t FlowTable::countIn(ServiceId service, Bucket bucket) const
{
    const auto found = this->buckets.find(service);
    return found == this->buckets.end() ? 0 : found->second[bucket];
}

void FlowTable::recordCallerPacket(Flow &flow, const PacketView &view, TimePoint now,
                                   bool isDelivered)
{
    if (flow.isClosed())
        return;
    flow.lastActive = now;
    if (!flow.isTcp())
        return;
    if (view.has(tcpflag::ack)) {
        flow.server.acknowledge(view.acknowledgement);
        if (flow.state == FlowState::Opening)
            flow.state = FlowState::Open;
    }
    if (!isDelivered)
        return;
    if (view.has(tcpflag::rst)) {
        // The server answers a reset with any other sequence number by a challenge ACK and keeps
        // the connection (RFC 5961, section 3.2).
        if (view.sequence == flow.caller.acked || view.sequence == flow.caller.next)
            this->close(flow, FlowState::Reset, now);
        return;
    }
    flow.caller.extend(view);
    this->updateClosing(flow, now);
}

void FlowTable::recordServerPacket(Flow &flow, const PacketView &view, TimePoint now)
{
    if (flow.isClosed())
        return;
    flow.lastActive = now;
    if (!flow.isTcp())
        return;
    if (view.has(tcpflag::rst)) {
        this->close(flow, FlowState::Reset, now);
        return;
    }
    if (!flow.server.isKnown) {
        flow.serverIsn = view.sequence;
        flow.server.start(view.sequence);
    } else {
        flow.server.extend(view);
    }
    flow.caller.acknowledge(view.acknowledgement);
    this->updateClosing(flow, now);
}

void FlowTable::updateClosing(Flow &flow, TimePoint now)
{
    if (flow.caller.isFinAcked() && flow.server.isFinAcked())
        this->close(flow, FlowState::TimeWait, now);
    else if (flow.caller.hasFin || flow.server.hasFin)
        flow.state = FlowState::Closing;
}

void FlowTable::close(Flow &flow, FlowState state, TimePoint now)
{
    if (!flow.isClosed())
        this->count(flow, -1);
    flow.state = state;
    flow.lastActive = now;
}

Duration FlowTable::timeoutOf(const Flow &flow,
                              const std::function<Duration(ServiceId)> &idleTimeout) const
{
    if (flow.isClosed())
        return this->flows.size() - this->openFlows > maxClosedFlows ? Duration::zero() : timeWait;
    if (flow.state == FlowState::Opening)
        return openingTimeout;
    if (flow.caller.hasFin && flow.server.hasFin)
        return closingTimeout;
    return idleTimeout(flow.service);
}

void FlowTable::expire(TimePoint now, const std::function<Duration(ServiceId)> &idleTimeout,
                       const std::function<void(Flow &)> &onExpired)
{
    for (auto entry = this->flows.begin(); entry != this->flows.end();) {
        Flow &flow = entry->second;
        if (now - flow.lastActive <= this->timeoutOf(flow, idleTimeout)) {
            ++entry;
            continue;
        }
        onExpired(flow);
        if (!flow.isClosed())
            this->count(flow, -1);
        entry = this->flows.erase(entry);
    }
}

void FlowTable::forEach(const std::function<void(Flow &)> &visit)
{
    for (auto &entry : this->flows)
        visit(entry.second);
}

void FlowTable::clear()
{
    this->flows.clear();
    this->buckets.clear();
    this->openFlows = 0;
}

} // namespace cactusdeck

#include "core/callerpath.h"

#include <algorithm>

namespace cactusdeck {

void CallerPath::onFrame(std::span<const std::uint8_t> datagram, TimePoint now, DataSink &sink,
                         Outbox &outbox)
{
    const std::optional<ForwardFrame> frame = decodeForward(datagram);
    const std::optional<PacketView> view = frame ? parsePacket(frame->packet) : std::nullopt;
    if (!view) {
        ++this->state.counters.malformed;
        return;
    }
    this->state.newestVersionSeen = std::max(this->state.newestVersionSeen, frame->configuration);
    const Context context{ *frame, *view, datagram, now, sink, outbox };
    if (this->isOutOfService(*frame)) {
        ++this->state.counters.droppedZoneOut;
        this->reply(context, Verdict::ZoneOut);
        return;
    }
    if (!this->isAddressedToThisRun(frame->hops[frame->hopIndex])) {
        ++this->state.counters.wrongIncarnation;
        this->reply(context, Verdict::WrongIncarnation);
        this->forwardOrDrop(context, std::nullopt);
        return;
    }
    Flow *flow = this->state.flows.find(view->key);
    if (flow != nullptr && flow->service == frame->service)
        this->onKnownFlow(context, *flow);
    else
        this->onUnknownFlow(context);
}

bool CallerPath::isOutOfService(const ForwardFrame &frame) const
{
    // The sender's statement counts only if its configuration is newer: with an older one it may
    // not know that the failure domain is back in service.
    return this->state.isZoneOut
           || (frame.has(frameflag::zoneOut) && frame.configuration > this->state.configuration);
}

bool CallerPath::isAddressedToThisRun(const Hop &hop) const
{
    // The incarnation also rises within a run, when the agent refutes a suspicion or a record that
    // declares it dead. Senders learn of that later, so all incarnations of this run are accepted.
    return hop.agent == this->state.options.data
           && (hop.incarnation == 0
               || (hop.incarnation >= this->state.options.incarnation
                   && hop.incarnation <= this->state.incarnation));
}

void CallerPath::onKnownFlow(const Context &context, Flow &flow)
{
    if (context.view.isSyn())
        this->onSynOfKnownFlow(context, flow);
    else if (flow.acceptsFromCaller(context.view))
        this->onAccepted(context, flow);
    else
        this->onMismatch(context, flow);
}

void CallerPath::onAccepted(const Context &context, Flow &flow)
{
    if (flow.isQueued && context.view.has(tcpflag::rst)) {
        // The reset has the sequence number after the held payload. The server, which hasn't got
        // that payload, would answer with a challenge ACK and keep the connection.
        this->resetServerSide(flow, context.now, context.sink);
        return;
    }
    // A reset without acknowledgement number may also be meant for the half-open connection that
    // another agent's server has for the same SYN. The caller has neither connection, so the reset
    // is delivered here and forwarded.
    const bool isAmbiguous =
            flow.state == FlowState::Opening && !context.view.has(tcpflag::ack) && flow.isTcp();
    const Handling handling = this->state.requests.onCallerPacket(flow, context.view, context.now);
    if (handling == Handling::Deliver)
        this->deliver(context);
    else if (handling == Handling::Drop)
        ++this->state.counters.droppedRequests;
    if (isAmbiguous)
        this->forwardToNextHop(context);
    // A frame that other agents have forwarded shows that the balancer has not cached this agent as
    // the owner. The reply corrects that.
    if (context.frame.hopIndex > 0 || context.frame.has(frameflag::replyWanted))
        this->reply(context, Verdict::Owner);
    this->state.requests.dispatch(context.now, context.sink);
}

void CallerPath::onMismatch(const Context &context, Flow &flow)
{
    ++this->state.counters.wrongAcknowledgement;
    if (flow.isConnectedElsewhere(context.view)) {
        ++this->state.counters.halfOpenResets;
        this->resetServerSide(flow, context.now, context.sink);
        this->state.flows.erase(context.view.key);
    }
    this->forwardOrDrop(context, Verdict::UnknownFlow);
}

void CallerPath::resetServerSide(Flow &flow, TimePoint now, DataSink &sink)
{
    if (flow.isTcp())
        sink.toServer(flow.resetForServer());
    this->state.requests.finish(flow, now);
    this->state.flows.close(flow, FlowState::Reset, now);
}

void CallerPath::onSynOfKnownFlow(const Context &context, Flow &flow)
{
    const PacketView &view = context.view;
    const bool isSameSyn = !flow.isAdopted && view.sequence == flow.callerIsn;
    if (flow.isClosed()) {
        if (isSameSyn && flow.state == FlowState::TimeWait)
            ++this->state.counters.droppedSyn;
        else
            this->onNewFlow(context);
        return;
    }
    if (!isSameSyn && flow.state == FlowState::Opening) {
        // A server in SYN-RECEIVED may drop its connection or answer for the old one (RFC 9293,
        // section 3.10.7.4), so the agent decides which SYN is current. The initial sequence
        // numbers of an address and port pair increase (RFC 6528), so a lower one is a delayed
        // duplicate.
        if (isBefore(view.sequence, flow.callerIsn)) {
            ++this->state.counters.droppedSyn;
            return;
        }
        this->resetServerSide(flow, context.now, context.sink);
        this->onNewFlow(context);
        return;
    }
    // The SYN is a retransmission or arrives on an established connection. On an established one
    // the server answers with a challenge ACK (RFC 5961, section 4.2), and a caller that has
    // restarted answers that with a reset. A SYN has no acknowledgement number that shows to which
    // server its caller is connected, so a SYN with payload is dropped.
    if (!view.payload.empty()) {
        ++this->state.counters.droppedSyn;
        return;
    }
    this->state.admission.noteDelivery(context.now);
    this->deliver(context);
    this->reply(context, Verdict::Owner);
}

void CallerPath::onUnknownFlow(const Context &context)
{
    // Without a configuration the agent can't tell that a service is wrong.
    const bool isConfigured = this->state.configuration != 0;
    const bool isOwn = this->state.services.serves(context.frame.service, context.view.key);
    if (isConfigured && !isOwn) {
        ++this->state.counters.wrongService;
        this->reply(context, Verdict::WrongService);
        this->forwardOrDrop(context, std::nullopt);
        return;
    }
    const bool isTcp = context.view.key.protocol == Protocol::Tcp;
    if (isTcp ? context.view.isSyn() : context.frame.has(frameflag::newFlow)) {
        this->onNewFlow(context);
        return;
    }
    if (!isTcp || !isOwn || !context.view.has(tcpflag::ack)
        || !this->state.probes.isOpen(context.now)
        || this->state.probes.isAbsent(context.view.key, context.now)) {
        this->forwardOrDrop(context, Verdict::UnknownFlow);
        return;
    }
    if (const auto probe = this->state.probes.hold(context.view, context.datagram, context.now))
        context.sink.toServer(*probe);
}

void CallerPath::onNewFlow(const Context &context)
{
    const PacketView &view = context.view;
    const bool isTcp = view.key.protocol == Protocol::Tcp;
    // Two agents may accept this SYN, and payload must reach only one server. Callers that use TCP
    // Fast Open retransmit the SYN without payload (RFC 7413, section 4.1.3).
    if (isTcp && (!view.payload.empty() || view.has(tcpflag::rst) || view.has(tcpflag::fin))) {
        ++this->state.counters.droppedSyn;
        return;
    }
    if (const char *reason = this->reasonToDecline(context)) {
        this->decline(context, reason);
        return;
    }
    ++this->state.counters.accepted;
    Flow &flow = isTcp ? this->state.flows.openTcp(view.key, context.frame.service, view.sequence,
                                                   context.now)
                       : this->state.flows.openUdp(view.key, context.frame.service, context.now);
    this->state.requests.onFlowOpened(flow, context.now);
    addEvent(context.outbox, Level::Info, "flow_accepted",
             { { "flow", toString(view.key) },
               { "hop", std::to_string(context.frame.hopIndex) },
               { "open", std::to_string(this->state.flows.openCount()) } });
    if (isTcp) {
        this->state.admission.noteDelivery(context.now);
        this->deliver(context);
    } else if (this->state.requests.onCallerPacket(flow, view, context.now) == Handling::Deliver) {
        this->deliver(context);
    }
    this->reply(context, Verdict::Accepted);
}

const char *CallerPath::reasonToDecline(const Context &context)
{
    if (!context.frame.has(frameflag::newFlow))
        return "not_offered";
    if (this->state.configuration == 0)
        return "unconfigured";
    if (!this->state.services.serves(context.frame.service, context.view.key))
        return "wrong_service"; // the flow is closed, and its service has been withdrawn since
    if (this->state.isDraining)
        return "draining";
    if (this->state.isStale)
        return "stale_configuration";
    const FlowDecision decision =
            this->state.admission.decideFlow({ .connections = this->state.flows.openCount(),
                                               .waiting = this->state.requests.waiting(),
                                               .isLastHop = context.frame.isLastHop() },
                                             context.now);
    return decision == FlowDecision::Accept ? nullptr : nameOf(decision);
}

void CallerPath::decline(const Context &context, const char *reason)
{
    const Hop *next = this->forwardToNextHop(context);
    // A busy agent doesn't return the frame: under overload each declined flow would otherwise be
    // sent along the whole chain several times.
    if (next == nullptr && std::string_view(reason) != nameOf(FlowDecision::Busy))
        next = this->returnToFirstHop(context);
    if (next != nullptr) {
        ++this->state.counters.declined;
        addEvent(context.outbox, Level::Info, "flow_declined",
                 { { "flow", toString(context.view.key) },
                   { "reason", reason },
                   { "next", toString(next->agent) } });
        return;
    }
    this->reply(context, Verdict::Declined);
    const bool isRejected = context.view.isSyn() && context.frame.has(frameflag::newFlow);
    if (isRejected) {
        ++this->state.counters.rejected;
        context.sink.toFabric(buildResetFor(context.view));
    }
    addEvent(context.outbox, Level::Warning, isRejected ? "flow_rejected" : "flow_dropped",
             { { "flow", toString(context.view.key) },
               { "reason", reason },
               { "hops", std::to_string(context.frame.hopCount) } });
}

void CallerPath::forwardOrDrop(const Context &context, std::optional<Verdict> verdictOnLastHop)
{
    if (const Hop *next = this->forwardToNextHop(context)) {
        ++this->state.counters.forwarded;
        addEvent(context.outbox, Level::Debug, "packet_forwarded",
                 { { "flow", toString(context.view.key) }, { "next", toString(next->agent) } });
        return;
    }
    ++this->state.counters.missed;
    if (verdictOnLastHop)
        this->reply(context, *verdictOnLastHop);
    addEvent(context.outbox, Level::Debug, "flow_unknown",
             { { "flow", toString(context.view.key) },
               { "hops", std::to_string(context.frame.hopCount) } });
}

void CallerPath::sendToHop(const Context &context, const ForwardFrame &frame)
{
    FrameBuffer buffer;
    context.sink.toNode(frame.hops[frame.hopIndex].agent, encodeForward(frame, buffer),
                        context.view.bytes);
}

const Hop *CallerPath::forwardToNextHop(const Context &context)
{
    ForwardFrame next = context.frame;
    do {
        ++next.hopIndex;
        if (next.hopIndex >= next.hopCount)
            return nullptr;
    } while (next.hops[next.hopIndex].agent == this->state.options.data);
    sendToHop(context, next);
    return &context.frame.hops[next.hopIndex];
}

// Called on the last hop when it can't accept any flow. Earlier hops that declined as busy might
// accept the flow under the higher load limit of a last hop, so the frame goes back to the first
// hop, which becomes the last one. The chain loses a hop with each return, so this ends.
const Hop *CallerPath::returnToFirstHop(const Context &context)
{
    ForwardFrame next = context.frame;
    if (next.hopCount < 2 || !context.view.isSyn())
        return nullptr;
    --next.hopCount;
    std::rotate(next.hops.begin(), next.hops.begin() + 1, next.hops.begin() + next.hopCount);
    next.hopIndex = std::uint8_t(next.hopCount - 1);
    sendToHop(context, next);
    return &context.frame.hops[0];
}

void CallerPath::reply(const Context &context, Verdict verdict)
{
    if (context.frame.replyTo == Endpoint{})
        return;
    FrameBuffer buffer;
    const auto header = encodeReply({ .verdict = verdict,
                                      .service = context.frame.service,
                                      .flowHash = hashOf(context.view.key),
                                      .agent = this->state.options.data,
                                      .incarnation = this->state.incarnation,
                                      .utilisation = this->state.utilisation(context.now),
                                      .configuration = this->state.configuration },
                                    buffer);
    context.sink.toNode(context.frame.replyTo, header, {});
}

void CallerPath::deliver(const Context &context)
{
    ++this->state.counters.toServer;
    context.sink.toServer(context.view.bytes);
}

void CallerPath::onAdopted(const PacketView &answer, TimePoint now, DataSink &sink, Outbox &outbox)
{
    const FlowKey key = answer.key.reversed();
    const std::vector<std::uint8_t> packet = this->state.probes.probedPacket(key);
    const auto held = this->state.probes.release(key);
    const auto view = parsePacket(packet);
    const auto frame = held.empty() ? std::nullopt : decodeForward(held.front());
    if (!view || !frame)
        return;
    ++this->state.counters.adopted;
    this->state.flows.adopt(*view, answer, frame->service, now);
    addEvent(outbox, Level::Info, "flow_adopted", { { "flow", toString(key) } });
    for (const auto &datagram : held)
        this->onFrame(datagram, now, sink, outbox);
}

void CallerPath::onNotAdopted(const FlowKey &key, const char *reason, TimePoint now, DataSink &sink,
                              Outbox &outbox)
{
    const auto held = this->state.probes.release(key);
    this->state.probes.markAbsent(key, now);
    addEvent(outbox, Level::Info, "adoption_given_up",
             { { "flow", toString(key) }, { "reason", reason } });
    for (const auto &datagram : held)
        this->onFrame(datagram, now, sink, outbox);
}

} // namespace cactusdeck

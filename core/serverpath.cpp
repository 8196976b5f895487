#include "core/serverpath.h"

namespace cactusdeck {

namespace {

// The largest window that TCP can announce (RFC 7323).
constexpr std::uint32_t maxWindow = 1u << 30;

} // namespace

void ServerPath::onPacket(std::span<const std::uint8_t> packet, TimePoint now, DataSink &sink,
                          Outbox &outbox)
{
    const std::optional<PacketView> view = parsePacket(packet);
    if (!view) {
        ++this->state.counters.malformed;
        return;
    }
    if (this->state.isZoneOut) {
        ++this->state.counters.droppedZoneOut;
        return;
    }
    this->state.admission.noteServerPacket(now);
    if (this->onProbeAnswer(*view, now, sink, outbox))
        return;
    Flow *flow = this->state.flows.find(view->key.reversed());
    if (flow == nullptr) {
        this->onUnknownFlow(*view, now, sink);
    } else if (flow->isLostByServer(*view)) {
        this->onFlowLostByServer(*view, *flow, now, sink, outbox);
    } else if (!flow->acceptsFromServer(*view)) {
        this->onUnacceptedPacket(*view, *flow, now, sink);
    } else {
        this->reportReset(*view, *flow, now);
        this->state.requests.onServerPacket(*flow, *view, now);
        ++this->state.counters.toFabric;
        sink.toFabric(view->bytes);
    }
    this->state.requests.dispatch(now, sink);
}

bool ServerPath::onProbeAnswer(const PacketView &view, TimePoint now, DataSink &sink,
                               Outbox &outbox)
{
    switch (this->state.probes.size() == 0 ? ProbeResult::Unrelated
                                           : this->state.probes.evaluate(view)) {
    case ProbeResult::Unrelated:
        return false;
    case ProbeResult::Present:
        this->callerPath.onAdopted(view, now, sink, outbox);
        return view.sequenceLength() == 0;
    case ProbeResult::Absent:
        this->callerPath.onNotAdopted(view.key.reversed(), "not_on_server", now, sink, outbox);
        return true;
    }
    return false;
}

void ServerPath::onUnknownFlow(const PacketView &view, TimePoint now, DataSink &sink)
{
    ++this->state.counters.strayFromServer;
    if (view.key.protocol != Protocol::Tcp || view.has(tcpflag::rst) || !view.has(tcpflag::ack))
        return;
    if (!this->state.probes.isOpen(now)) {
        // No caller can use this connection, because the agent doesn't accept packets for it.
        sink.toServer(buildResetFor(view));
        return;
    }
    // The server may be responding on a connection from before the agent's restart. The packet is
    // replaced by a keep-alive: if the caller still has the connection, its answer starts the
    // adoption. A caller with another connection on the same port gets no byte of the response.
    if (!view.has(tcpflag::syn))
        sink.toFabric(buildKeepAlive(view.key, view.sequence, view.acknowledgement));
}

void ServerPath::onUnacceptedPacket(const PacketView &view, Flow &flow, TimePoint now,
                                    DataSink &sink)
{
    ++this->state.counters.lateFromServer;
    if (flow.state != FlowState::Opening || flow.server.isKnown || !flow.isTcp()
        || !view.has(tcpflag::ack) || view.has(tcpflag::rst))
        return;
    // The server still has an earlier connection with this key, and answers the new SYN on that
    // connection.
    if (view.acknowledgement - flow.callerIsn - 1 <= maxWindow) {
        // The connection was opened by this same SYN, which is a delayed duplicate: the flow was
        // established before a restart of the agent. The caller's next packet starts the adoption.
        this->state.requests.finish(flow, now);
        this->state.flows.erase(flow.key);
        return;
    }
    // Resets the earlier connection as the caller would do (RFC 9293, section 3.5.1), so that the
    // server accepts the retransmitted SYN.
    sink.toServer(buildResetFor(view));
}

void ServerPath::onFlowLostByServer(const PacketView &view, Flow &flow, TimePoint now,
                                    DataSink &sink, Outbox &outbox)
{
    // The server has opened a new connection for a SYN on an established flow, so it has restarted.
    // The new connection has not passed admission, so it is reset; the caller's next SYN opens a
    // new flow.
    this->state.admission.onRestart(now);
    sink.toServer(buildResetFor(view));
    this->state.requests.finish(flow, now);
    this->state.flows.close(flow, FlowState::Reset, now);
    addEvent(outbox, Level::Warning, "server_restarted", { { "flow", toString(flow.key) } });
}

void ServerPath::reportReset(const PacketView &view, const Flow &flow, TimePoint now)
{
    if (!view.has(tcpflag::rst) || !flow.isTcp() || flow.isClosed()
        || flow.state == FlowState::Opening)
        return;
    // A server that doesn't have the connection sends a reset without acknowledgement number (RFC
    // 9293, section 3.5.2). One with an acknowledgement number before any response means that the
    // server has refused the request.
    if (!view.has(tcpflag::ack))
        this->state.admission.onLostConnection(now);
    else if (flow.ticket != noTicket && !flow.isResponding)
        this->state.admission.onShed(now);
}

} // namespace cactusdeck

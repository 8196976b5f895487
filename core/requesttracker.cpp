#include "core/requesttracker.h"

namespace cactusdeck {

namespace {

bool hasNewPayload(const SequenceSpace &space, const PacketView &view)
{
    return !view.payload.empty()
           && (view.key.protocol == Protocol::Udp
               || isBefore(space.payloadNext, view.sequence + std::uint32_t(view.payload.size())));
}

} // namespace

RequestTracker::RequestTracker(FlowTable &flowTable, Admission &serverAdmission,
                               const AgentServices &agentServices)
    : flows(flowTable)
    , admission(serverAdmission)
    , services(agentServices)
{ }

Handling RequestTracker::onCallerPacket(Flow &flow, const PacketView &view, TimePoint now)
{
    // The acknowledgement is processed before the payload, because it may end a request and so free
    // the slot that the payload needs.
    this->flows.recordCallerPacket(flow, view, now, false);
    this->endIfComplete(flow, now);
    const Handling handling = this->classify(flow, view, now);
    if (handling == Handling::Deliver)
        this->flows.recordCallerPacket(flow, view, now);
    if (flow.isClosed())
        this->finish(flow, now);
    return handling;
}

Handling RequestTracker::classify(Flow &flow, const PacketView &view, TimePoint now)
{
    if (flow.isClosed() || view.has(tcpflag::rst)
        || (view.has(tcpflag::fin) && view.payload.empty())) {
        this->dropQueued(flow);
        return Handling::Deliver;
    }
    const bool isNew = hasNewPayload(flow.caller, view);
    if (isNew)
        this->clearAwaitsFirstRequest(flow);
    if (!isNew || flow.ticket != noTicket)
        return Handling::Deliver;
    if (flow.isQueued)
        return this->hold(flow, view, now);
    // A new request is delivered at once only if no earlier one is queued.
    if (this->queue.isEmpty()) {
        if (const auto ticket = this->admission.begin(now)) {
            flow.ticket = *ticket;
            flow.isResponding = false;
            return Handling::Deliver;
        }
    }
    return this->hold(flow, view, now);
}

Handling RequestTracker::hold(Flow &flow, const PacketView &view, TimePoint now)
{
    if (!this->queue.push(view, now + this->services.requestDeadline(flow.service)))
        return Handling::Drop;
    flow.isQueued = true;
    return Handling::Hold;
}

void RequestTracker::onServerPacket(Flow &flow, const PacketView &view, TimePoint now)
{
    if (!flow.isClosed() && hasNewPayload(flow.server, view)) {
        if (flow.ticket == noTicket)
            flow.ticket = this->admission.beginServerInitiated(now);
        flow.isResponding = true;
        this->admission.onFirstResponse(flow.ticket, now);
        this->admission.onFlowResponse(flow.openedAt, now);
        if (!flow.isTcp())
            this->endRequest(flow, now);
    }
    this->flows.recordServerPacket(flow, view, now);
    if (flow.isClosed())
        this->finish(flow, now);
}

void RequestTracker::endIfComplete(Flow &flow, TimePoint now)
{
    if (flow.ticket != noTicket && flow.isResponding
        && !isBefore(flow.server.acked, flow.server.payloadNext)
        && !isBefore(flow.caller.acked, flow.caller.payloadNext))
        this->endRequest(flow, now);
}

void RequestTracker::endRequest(Flow &flow, TimePoint now)
{
    if (flow.ticket == noTicket)
        return;
    this->admission.end(flow.ticket, now);
    flow.ticket = noTicket;
    flow.isResponding = false;
}

void RequestTracker::onFlowOpened(Flow &flow, TimePoint now)
{
    ++this->awaitingCount;
    this->awaitingFirstRequest.push_back({ flow.key, now });
}

void RequestTracker::clearAwaitsFirstRequest(Flow &flow)
{
    if (!flow.awaitsFirstRequest)
        return;
    flow.awaitsFirstRequest = false;
    --this->awaitingCount;
}

void RequestTracker::finish(Flow &flow, TimePoint now)
{
    this->clearAwaitsFirstRequest(flow);
    this->dropQueued(flow);
    this->endRequest(flow, now);
}

void RequestTracker::dropQueued(Flow &flow)
{
    if (!flow.isQueued)
        return;
    this->queue.drop(flow.key);
    flow.isQueued = false;
}

void RequestTracker::dispatch(TimePoint now, DataSink &sink)
{
    while (const FlowKey *front = this->queue.front(now)) {
        const FlowKey key = *front;
        Flow *flow = this->flows.find(key);
        if (flow == nullptr) {
            this->queue.drop(key);
            continue;
        }
        const auto ticket = this->admission.begin(now);
        if (!ticket)
            return;
        flow->ticket = *ticket;
        flow->isResponding = false;
        flow->isQueued = false;
        for (const auto &packet : this->queue.take(key)) {
            if (const auto view = parsePacket(packet)) {
                this->flows.recordCallerPacket(*flow, *view, now);
                sink.toServer(packet);
            }
        }
    }
}

void RequestTracker::onTimer(TimePoint now)
{
    this->queue.expire(now, [&](const FlowKey &key) {
        ++this->expiredRequests;
        if (Flow *flow = this->flows.find(key))
            flow->isQueued = false;
    });
    while (!this->awaitingFirstRequest.empty()
           && now - this->awaitingFirstRequest.front().openedAt > firstRequestTimeout) {
        Flow *flow = this->flows.find(this->awaitingFirstRequest.front().key);
        if (flow != nullptr && flow->openedAt == this->awaitingFirstRequest.front().openedAt)
            this->clearAwaitsFirstRequest(*flow);
        this->awaitingFirstRequest.pop_front();
    }
}

void RequestTracker::endOverdueRequest(Flow &flow, TimePoint now)
{
    if (flow.ticket != noTicket
        && now - flow.lastActive > this->services.requestDeadline(flow.service))
        this->endRequest(flow, now);
}

void RequestTracker::clear()
{
    this->queue.clear();
    this->awaitingFirstRequest.clear();
    this->awaitingCount = 0;
}

} // namespace cactusdeck

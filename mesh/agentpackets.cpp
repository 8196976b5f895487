#include "mesh/agent.h"

#include "mesh/forwarding.h"

// The packet path of an agent: admission of new flows, packets of known flows, and packets that the
// backend server sends.

namespace cactusdeck::mesh {

namespace {

// More than the numbers of a server's packet and of the last packet of its flow's caller differ.
constexpr std::uint32_t probedRange = 1 << 20;

std::vector<Endpoint> hopsAfter(const ForwardFrame &frame)
{
    std::vector<Endpoint> hops;
    for (std::size_t i = std::size_t(frame.hopIndex) + 1; i < frame.hopCount; ++i)
        hops.push_back(frame.hops[i].agent);
    return hops;
}

} // namespace

void Agent::onForward(const ForwardFrame &frame, TimePoint now, Sink &sink)
{
    const std::optional<Segment> segment = this->options.codec->parse(frame.packet);
    if (!segment) {
        ++this->counts.malformed;
        sink.log(Level::Warning, "packet_malformed", { { "balancer", toString(frame.replyTo) } });
        return;
    }
    if (frame.has(frameflag::locate))
        this->onLocate(frame, *segment, sink);
    else if (segment->isOpening())
        this->onOpening(frame, *segment, now, sink);
    else
        this->onEstablished(frame, *segment, now, sink);
    // The packet may have ended a request.
    this->releaseRequests(now, sink);
}

std::optional<Agent::Decline> Agent::checkAdmission(TimePoint now) const
{
    if (this->isStopping)
        return Decline{ "agent_stopping", false };
    if (this->isEvacuated)
        return Decline{ "zone_evacuated", false };
    switch (this->serverPhase()) {
    case ServerPhase::Ready:
        break;
    case ServerPhase::Draining:
        return Decline{ "server_draining", false };
    case ServerPhase::Ended:
        return Decline{ "server_ended", false };
    default:
        return Decline{ "no_heartbeat", true };
    }
    if (this->limits.connections > 0 && this->flows.openCount() >= this->limits.connections)
        return Decline{ "connections_full", false };
    if (this->mayBeCold(now)) {
        const double allowed = this->limits.coldFlowsPerSecond;
        if (this->configuration == 0)
            return Decline{ "limits_unknown", true };
        // An earlier process of this agent may have admitted flows within the last second.
        if (allowed > 0 && !this->record.startedAfterAgent()
            && now - this->startedAt < ColdStartLimiter::window)
            return Decline{ "just_started", true };
        if (!this->coldStartLimiter.mayAdmit(allowed, now))
            return Decline{ "cold_limit", true };
        if (allowed > 0 && this->flows.load().requestsPerSecond(now) >= allowed)
            return Decline{ "cold_load", true };
    }
    return std::nullopt;
}

Duration Agent::expectedWait() const
{
    // Each flow whose first request has not arrived yet counts as one more request in progress.
    const std::size_t busy = this->flows.load().inProgress() + this->flows.freshCount();
    const std::size_t slots = this->record.slots();
    if (busy < slots)
        return Duration::zero();
    // The latency of a request that was held says nothing of the server.
    const Duration measured = this->isScheduling() ? this->flows.costs().meanServiceTime()
                                                   : this->flows.load().serviceTime();
    const Duration service = measured > Duration::zero() ? measured : Duration(assumedServiceTime);
    return service * std::int64_t(busy - slots + 1) / std::int64_t(slots);
}

void Agent::onOpening(const ForwardFrame &frame, const Segment &segment, TimePoint now, Sink &sink)
{
    const Opening opening{ .balancer = frame.replyTo,
                           .remaining = hopsAfter(frame),
                           .maxWait = frame.maxQueueWait,
                           .terms = frame.terms,
                           .mayBeTakenSoon = frame.has(frameflag::transientDecline),
                           .packet = frame.packet };
    if (frame.service != this->service) {
        // The sender still associates this endpoint with an agent of another service that had it
        // before.
        this->reply(Verdict::WrongService, segment.key, frame.replyTo, sink);
        this->forwardOpening(opening, segment, { "wrong_service", true }, sink);
        return;
    }
    ServerFlow *flow = this->flows.find(segment.key);
    const bool isCopy = flow != nullptr && flow->isOpenedBy(segment);
    if (!isCopy) {
        if (const std::optional<Decline> decline = this->checkAdmission(now)) {
            this->forwardOpening(opening, segment, *decline, sink);
            return;
        }
        if (!opening.remaining.empty() && this->expectedWait() > opening.maxWait) {
            ++this->counts.passedOnBusy;
            this->forwardOpening(opening, segment, { "busy", true }, sink);
            return;
        }
        // No request of the flow could be answered before its caller gives up. Those of the highest
        // class don't wait for the others.
        if (this->isScheduling() && opening.terms.priority > 0
            && opening.terms.timeout > std::chrono::milliseconds::zero()
            && this->expectedWait() > opening.terms.timeout) {
            ++this->counts.unservable;
            this->forwardOpening(opening, segment, { "unservable", false }, sink);
            return;
        }
        this->scheduler.finish(segment.key); // of an earlier flow with the same key
        flow = &this->flows.open(segment.key, now);
    }
    flow->openingSequence = segment.sequence;
    flow->balancer = frame.replyTo;
    flow->terms = frame.terms;
    flow->lastActive = now;
    if (!flow->isAnswered) {
        flow->remaining = opening.remaining;
        flow->mayBeTakenSoon = opening.mayBeTakenSoon;
    }
    this->coldStartLimiter.add(now);
    ++this->counts.admitted;
    this->sendToServer(segment.bytes, now, sink);
    if (!isCopy && this->hasFlowCountChanged())
        this->reportHomeSoon(now);
}

void Agent::forwardOpening(const Opening &opening, const Segment &segment, const Decline &decline,
                           Sink &sink)
{
    const std::vector<Endpoint> &remaining = opening.remaining;
    const bool mayBeTakenSoon = opening.mayBeTakenSoon || decline.isTransient;
    sink.log(Level::Info, "flow_declined",
             { { "flow", toString(segment.key) },
               { "copy", std::to_string(segment.acknowledgement) },
               { "reason", decline.reason },
               { "flows", std::to_string(this->flows.openCount()) },
               { "next", remaining.empty() ? "none" : toString(remaining.front()) } });
    if (remaining.empty()) {
        this->reply(Verdict::Declined, segment.key, opening.balancer, sink);
        // Only for the first copy of an opening packet is it certain that no other agent has
        // accepted the flow. If an agent may admit a flow soon, the caller's next copy may succeed.
        if (segment.acknowledgement == 0 && !mayBeTakenSoon) {
            ++this->counts.refused;
            this->resetCaller(segment, "no_agent_took_it", sink);
        }
        return;
    }
    ++this->counts.passedOn;
    const unsigned flags = frameflag::newFlow | frameflag::replyWanted
                           | (mayBeTakenSoon ? frameflag::transientDecline : 0);
    sendToHops({ .flags = std::uint8_t(flags),
                 .service = this->service,
                 .maxQueueWait = opening.maxWait,
                 .terms = opening.terms,
                 .replyTo = opening.balancer },
               remaining, opening.packet, sink);
}

void Agent::onEstablished(const ForwardFrame &frame, const Segment &segment, TimePoint now,
                          Sink &sink)
{
    if (this->isOutOfService(now)) {
        // The flows of this server are abandoned, but the next agents may still serve theirs.
        if (const std::vector<Endpoint> remaining = hopsAfter(frame); !remaining.empty()) {
            this->continueProbe(remaining, frame.replyTo, segment, sink);
            return;
        }
        ++this->counts.droppedEvacuated;
        sink.log(Level::Info, "packet_dropped",
                 { { "flow", toString(segment.key) }, { "reason", "zone_evacuated" } });
        return;
    }
    ServerFlow *flow = this->flows.find(segment.key);
    if (flow != nullptr && flow->isOpen && this->hasServerExited(now)) {
        this->resetFlow(segment, "server_exited", now, sink);
        return;
    }
    if (flow == nullptr) {
        this->onUnknown(frame, segment, now, sink);
        return;
    }
    const bool isOfOtherServer =
            flow->isOpen ? flow->isFollowedBy(segment) : !flow->isAcknowledgedBy(segment);
    if (isOfOtherServer) {
        // The caller has acknowledged the opening answer of another server.
        this->continueProbe(hopsAfter(frame), frame.replyTo, segment, sink);
        return;
    }
    if (!flow->isOpen) {
        flow->isOpen = true;
        this->reply(Verdict::Owner, segment.key, frame.replyTo, sink);
    } else if (flow->balancer != frame.replyTo || frame.has(frameflag::replyWanted)) {
        this->reply(Verdict::Owner, segment.key, frame.replyTo, sink);
    }
    flow->balancer = frame.replyTo;
    // Frames of a chain of probes don't state the terms.
    if (frame.terms != RequestTerms{})
        flow->terms = frame.terms;
    this->flows.onCaller(*flow, segment, now);
    if (this->schedule(*flow, segment, now))
        this->sendToServer(segment.bytes, now, sink);
}

bool Agent::schedule(ServerFlow &flow, const Segment &segment, TimePoint now)
{
    if (!flow.isInProgress || flow.hasEnded)
        this->scheduler.finish(segment.key);
    const bool isOfWaitingRequest =
            flow.isInProgress && !flow.isAtServer && segment.payloadLength > 0;
    if (!isOfWaitingRequest)
        return true;
    if (this->isScheduling()) {
        this->scheduler.setSlots(this->record.slots());
        if (!this->scheduler.offer(segment, flow.terms,
                                   this->flows.costs().serviceTimeOf(flow.route), now))
            return false;
    }
    this->flows.onSent(flow, now);
    return true;
}

void Agent::releaseRequests(TimePoint now, Sink &sink)
{
    while (const FlowKey *next = this->scheduler.next(now)) {
        const FlowKey key = *next;
        ServerFlow *flow = this->flows.find(key);
        const bool isWaiting = flow != nullptr && flow->isInProgress && !flow->isAtServer;
        if (!isWaiting || this->isOutOfService(now)) {
            this->scheduler.finish(key);
            continue;
        }
        this->flows.onSent(*flow, now);
        for (const std::vector<std::uint8_t> &packet : this->scheduler.take(key, now))
            this->sendToServer(packet, now, sink);
    }
}

void Agent::expireRequests(TimePoint now, Sink &sink)
{
    const std::vector<FlowKey> expired = this->scheduler.expire(now);
    for (const FlowKey &key : expired) {
        if (ServerFlow *flow = this->flows.find(key))
            this->flows.onHeldRequestDropped(*flow, now);
    }
    if (!expired.empty())
        sink.log(Level::Info, "requests_expired",
                 { { "count", std::to_string(expired.size()) },
                   { "waiting", std::to_string(this->scheduler.waiting()) },
                   { "at_server", std::to_string(this->scheduler.atServer()) } });
    this->releaseRequests(now, sink);
}

void Agent::onUnknown(const ForwardFrame &frame, const Segment &segment, TimePoint now, Sink &sink)
{
    if (this->knowsAllFlows()) {
        ++this->counts.unknownFlow;
        this->continueProbe(hopsAfter(frame), frame.replyTo, segment, sink);
        return;
    }
    // The server may have the flow from before the agent's start. If not, it bounces the packet.
    ++this->counts.probes;
    sink.log(Level::Info, "flow_probed",
             { { "flow", toString(segment.key) },
               { "bytes", std::to_string(segment.payloadLength) },
               { "phase", std::to_string(int(this->record.phase())) },
               { "balancer", toString(frame.replyTo) } });
    Probe probe{ .balancer = frame.replyTo,
                 .sentAt = now,
                 .remaining = hopsAfter(frame),
                 .isClosing = segment.has(tcpflag::fin),
                 .acknowledgement = segment.acknowledgement };
    if (!probe.remaining.empty() && this->probes.size() < maxKeptProbePackets)
        probe.packet.assign(segment.bytes.begin(), segment.bytes.end());
    Probe &kept = this->probes[segment.key];
    probe.isClosing |= kept.isClosing; // the earlier probe may not have been answered yet
    kept = std::move(probe);
    this->sendToServer(segment.bytes, now, sink);
}

void Agent::continueProbe(const std::vector<Endpoint> &remaining, Endpoint balancer,
                          const Segment &segment, Sink &sink)
{
    if (remaining.empty()) {
        this->reply(Verdict::UnknownFlow, segment.key, balancer, sink);
        return;
    }
    sendToHops({ .flags = frameflag::probe, .service = this->service, .replyTo = balancer },
               remaining, segment.bytes, sink);
}

bool Agent::Probe::isOfLaterFlowThan(const Segment &serverPacket) const
{
    return !serverPacket.has(tcpflag::rst) && !serverPacket.isOpeningAnswer()
           && serverPacket.sequence - this->acknowledgement + probedRange > 2 * probedRange;
}

void Agent::continueProbe(const FlowKey &key, Sink &sink)
{
    const auto it = this->probes.find(key);
    const Probe probe = std::move(it->second);
    this->probes.erase(it);
    if (probe.remaining.empty())
        this->reply(Verdict::UnknownFlow, key, probe.balancer, sink);
    else if (const auto packet = this->options.codec->parse(probe.packet))
        this->continueProbe(probe.remaining, probe.balancer, *packet, sink);
}

void Agent::continueClosing(const FlowKey &key, Sink &sink)
{
    const auto it = this->probes.find(key);
    const Probe probe = std::move(it->second);
    this->probes.erase(it);
    if (probe.remaining.empty() || probe.packet.empty())
        return;
    sink.log(Level::Info, "closing_passed_on",
             { { "flow", toString(key) }, { "next", toString(probe.remaining.front()) } });
    // Without a balancer to reply to, its search ends without a result.
    sendToHops({ .flags = frameflag::probe, .service = this->service }, probe.remaining,
               probe.packet, sink);
}

void Agent::onLocate(const ForwardFrame &frame, const Segment &segment, Sink &sink)
{
    const ServerFlow *flow = this->flows.find(segment.key);
    const bool isOwner =
            flow != nullptr
            && (flow->isOpen ? !flow->isFollowedBy(segment) : flow->isAcknowledgedBy(segment));
    Verdict verdict = Verdict::Owner;
    if (!isOwner)
        verdict = flow != nullptr || this->knowsAllFlows() ? Verdict::UnknownFlow : Verdict::Unsure;
    const std::vector<Endpoint> remaining = hopsAfter(frame);
    if (verdict == Verdict::UnknownFlow && !remaining.empty()) {
        sendToHops({ .flags = frameflag::locate, .replyTo = frame.replyTo }, remaining,
                   frame.packet, sink);
        return;
    }
    this->reply(verdict, segment.key, frame.replyTo, sink);
}

void Agent::onServerPacket(std::span<const std::uint8_t> packet, TimePoint now, Sink &sink)
{
    this->onEvent(now, sink);
    const std::optional<Segment> segment = this->options.codec->parse(packet);
    if (!segment) {
        ++this->counts.malformed;
        sink.log(Level::Warning, "packet_malformed", { { "from", "server" } });
        return;
    }
    this->watch.onServerHeard();
    if (segment->isBounced) {
        this->onBounce(*segment, now, sink);
        this->releaseRequests(now, sink); // that of a flow that the server has lost has ended
        return;
    }
    const FlowKey key = segment->key.reversed();
    ServerFlow *flow = this->flows.find(key);
    const auto probe = this->probes.find(key);
    if (flow == nullptr && probe != this->probes.end()
        && probe->second.isOfLaterFlowThan(*segment)) {
        this->dropEarlier(key, sink);
        this->continueProbe(key, sink);
        return;
    }
    if (flow == nullptr && this->provesOwnership(key, *segment)) {
        flow = &this->flows.adopt(key, *segment, now);
        ++this->counts.adopted;
        if (probe != this->probes.end()) {
            flow->balancer = probe->second.balancer;
            this->reply(Verdict::Owner, key, flow->balancer, sink);
            this->probes.erase(probe);
        }
        sink.log(Level::Info, "flow_adopted", { { "flow", toString(key) } });
    }
    if (flow == nullptr && probe != this->probes.end() && probe->second.isClosing
        && !segment->has(tcpflag::rst) && !segment->isOpeningAnswer())
        this->continueClosing(key, sink);
    if (flow != nullptr && flow->isPrecededBy(*segment)) {
        this->dropEarlier(key, sink);
        return;
    }
    // A reset that is not for the caller does not end the flow either: the caller may still choose
    // this server, and learns then from the server's answer whether it has the flow.
    if (segment->has(tcpflag::rst) && !this->onServerReset(key, flow, now, sink))
        return;
    if (flow != nullptr) {
        const bool wasAnswered = flow->isAnswered;
        this->flows.onServer(*flow, *segment, this->record.slots(), now);
        // Also if the request has been at the server for so long that it counts as abandoned.
        if (!flow->isInProgress)
            this->scheduler.finish(key);
        if (segment->isOpeningAnswer() && !wasAnswered)
            this->reply(Verdict::Accepted, key, flow->balancer, sink);
    }
    ++this->counts.toCaller;
    sink.toCaller(segment->key.destination, segment->bytes);
    this->releaseRequests(now, sink);
}

void Agent::dropEarlier(const FlowKey &key, Sink &sink)
{
    ++this->counts.droppedEarlierFlow;
    sink.log(Level::Info, "packet_dropped",
             { { "flow", toString(key) }, { "reason", "earlier_flow" } });
}

bool Agent::provesOwnership(const FlowKey &key, const Segment &serverPacket) const
{
    if (this->record.startedAfterAgent() || serverPacket.has(tcpflag::rst)
        || serverPacket.isOpeningAnswer())
        return false;
    if (serverPacket.payloadLength > 0 || serverPacket.has(tcpflag::fin))
        return true;
    // A server also acknowledges the end of a flow that has ended there, which may be an earlier
    // flow of the same addresses and ports. Without a probe it is not known what it acknowledges.
    const auto probe = this->probes.find(key);
    return probe != this->probes.end() && !probe->second.isClosing;
}

bool Agent::onServerReset(const FlowKey &key, const ServerFlow *flow, TimePoint now, Sink &sink)
{
    const bool isOpen = flow != nullptr && flow->isOpen;
    const auto it = this->probes.find(key);
    const Duration age = flow == nullptr ? Duration::zero() : now - flow->openedAt;
    ++this->counts.serverResets;
    this->counts.droppedResets += isOpen ? 0 : 1;
    sink.log(Level::Info, "server_reset",
             { { "flow", toString(key) },
               { "known", flow == nullptr ? "no" : "yes" },
               { "open", isOpen ? "yes" : "no" },
               { "probed", it == this->probes.end() ? "no" : "yes" },
               { "age_ms",
                 std::to_string(
                         std::chrono::duration_cast<std::chrono::milliseconds>(age).count()) },
               { "passed_on", isOpen ? "yes" : "no" } });
    if (isOpen || it == this->probes.end())
        return isOpen;
    // The server does not have the probed flow, or no longer; another server may.
    this->continueProbe(key, sink);
    return false;
}

void Agent::onBounce(const Segment &segment, TimePoint now, Sink &sink)
{
    ++this->counts.bounced;
    ServerFlow *flow = this->flows.find(segment.key);
    if (segment.isOpening()) {
        if (flow == nullptr || flow->isAnswered)
            return; // the server has answered meanwhile, or the agent has restarted
        const std::vector<std::uint8_t> packet = this->options.codec->restored(segment);
        const Opening opening{ .balancer = flow->balancer,
                               .remaining = std::move(flow->remaining),
                               .terms = flow->terms,
                               .mayBeTakenSoon = flow->mayBeTakenSoon,
                               .packet = packet };
        this->flows.erase(segment.key, now);
        this->forwardOpening(opening, segment, { "server_full", false }, sink);
        return;
    }
    if (const auto it = this->probes.find(segment.key); it != this->probes.end()) {
        const Probe probe = std::move(it->second);
        this->probes.erase(it);
        const std::vector<std::uint8_t> packet = this->options.codec->restored(segment);
        Segment next = segment;
        next.bytes = packet;
        this->continueProbe(probe.remaining, probe.balancer, next, sink);
        return;
    }
    if (flow == nullptr || !flow->isOpen || flow->hasEnded)
        return;
    this->resetFlow(segment, "server_lost_flow", now, sink);
}

void Agent::resetFlow(const Segment &segment, const char *reason, TimePoint now, Sink &sink)
{
    ++this->counts.resetFlows;
    if (const ServerFlow *flow = this->flows.find(segment.key))
        this->reply(Verdict::UnknownFlow, segment.key, flow->balancer, sink);
    this->flows.erase(segment.key, now);
    this->scheduler.finish(segment.key);
    if (!segment.has(tcpflag::rst))
        this->resetCaller(segment, reason, sink);
}

void Agent::resetCaller(const Segment &segment, const char *reason, Sink &sink)
{
    sink.log(Level::Info, "flow_reset",
             { { "flow", toString(segment.key) }, { "reason", reason } });
    sink.toCaller(segment.key.source, this->options.codec->resetFor(segment));
}

void Agent::reply(Verdict verdict, const FlowKey &key, Endpoint balancer, Sink &sink)
{
    if (balancer == Endpoint{})
        return;
    const ReplyFrame reply{ .verdict = verdict,
                            .service = this->service,
                            .flowHash = hashOf(key),
                            .agent = this->options.mesh };
    FrameBuffer buffer;
    const auto bytes = encodeReply(reply, buffer);
    this->sent.add(MessageKind::Reply, this->balancers.isHome(balancer), bytes.size());
    sink.toNode(balancer, bytes, {});
}

void Agent::sendToServer(std::span<const std::uint8_t> packet, TimePoint now, Sink &sink)
{
    ++this->counts.toServer;
    this->watch.onPacketSent(now);
    sink.toServer(packet);
}

bool Agent::hasServerExited(TimePoint now) const
{
    const bool hasLeft =
            this->record.phase() == ServerPhase::Ended && now - this->deregisteredAt > exitDelay;
    return hasLeft || this->watch.isGone();
}

bool Agent::isOutOfService(TimePoint now) const
{
    return this->isEvacuated && now - this->evacuatedAt > evacuationGrace;
}

} // namespace cactusdeck::mesh

#include "core/monitor.h"

#include <algorithm>

#include <xxhash.h>

#include "core/placement.h"

namespace cactusdeck {

namespace {

// Balancers that are asked to probe a target on behalf of this one.
constexpr std::size_t probeRelays = 2;
constexpr std::chrono::seconds relayLifetime{ 3 };

// Set in the numbers of relayed probes, so that they differ from those of this node's own probes.
constexpr std::uint32_t relayFlag = 0x8000'0000;

// A suspect agent is probed at this interval. When it answers, it is sent its record again, so that
// it refutes even if the first copy was lost.
constexpr std::chrono::seconds suspectProbeInterval{ 1 };

// Unanswered probes before an agent is suspected or declared dead. While the control budget does
// not allow so many probes, silence alone proves nothing.
constexpr int minProbesBeforeSuspicion = 3;

// Upper bound of a probe's encoded size with node names of the usual length.
constexpr std::size_t probeBytes = 60;

// Minimum interval between computations of the agents' assignment to monitors.
constexpr std::chrono::milliseconds assignmentInterval{ 250 };

// With fewer other nodes than this, a failure of all of them is as likely as an isolation of this
// node.
constexpr std::size_t isolationMinNodes = 3;
constexpr std::chrono::seconds isolationSilence{ 2 };
// Probes are sent once a second and two of three may go to failed balancers, so the absence of
// answers shows an isolation only after a few seconds.
constexpr std::chrono::seconds isolationNoAnswer{ 5 };

// Deferred Repair bytes beyond which requests for member lists are dropped, so that joining
// balancers are served first.
constexpr std::size_t memberListBacklogLimit = 4 * 1024;

// At about 25 bytes a member, this leaves room in a datagram for longer names.
constexpr std::size_t membersPerPiece = 30;

std::uint64_t hashOf(const NodeId &id, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(id.value.data(), id.value.size(), seed);
}

Event nodeEvent(Level level, const char *name, const NodeRecord &record)
{
    return { level,
             name,
             { { "node", record.id.value },
               { "zone", record.zone.value },
               { "incarnation", std::to_string(record.incarnation) } } };
}

} // namespace

Monitor::Monitor(MonitorOptions monitorOptions, MonitorSources monitorSources, Membership &table,
                 ControlBudget &controlBudget)
    : options(monitorOptions)
    , sources(std::move(monitorSources))
    , membership(table)
    , budget(controlBudget)
    , random(monitorOptions.seed)
{ }

void Monitor::onControl(const ControlMessage &message, TimePoint now, Outbox &outbox)
{
    this->lastHeard = now;
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message))
        this->onHeartbeat(heartbeat->record, now, outbox);
    else if (const auto *request = std::get_if<MembersRequest>(&message))
        this->onMembersRequest(*request, now, outbox);
    else if (const auto *probe = std::get_if<Probe>(&message))
        this->onProbe(*probe, now, outbox);
    else if (const auto *ack = std::get_if<ProbeAck>(&message))
        this->onProbeAck(*ack, now, outbox);
}

void Monitor::onTimer(TimePoint now, Outbox &outbox)
{
    if (!this->sources.isJoined())
        return;
    if (!this->started) {
        this->started = true;
        this->lastHeard = now;
        this->lastAnswer = now;
        // A random offset, so that nodes that start together do not probe at the same time.
        this->nextProbe = now + this->options.probeInterval * (this->random() % 64) / 64;
    } else if (now - this->lastTimer > this->options.pauseThreshold) {
        this->resumeAfterPause(now, outbox);
    }
    this->lastTimer = now;
    this->updateAssignment(now);
    this->checkAgents(now, outbox);
    this->repeatProbes(now, outbox);
    if (now >= this->nextProbe) {
        this->nextProbe = std::max(this->nextProbe + this->options.probeInterval, now);
        this->startProbe(now, outbox);
    }
    for (const NodeRecord *peer : this->membership.peers())
        this->declareDead(*peer, now, outbox);
    std::erase_if(this->relays, [&](const auto &item) { return item.second.expires <= now; });
}

// Restarts all timeouts: messages that were missed during the pause do not show that their senders
// failed.
void Monitor::resumeAfterPause(TimePoint now, Outbox &outbox)
{
    const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->lastTimer);
    outbox.events.push_back(
            { Level::Warning, "paused", { { "milliseconds", std::to_string(pause.count()) } } });
    for (auto &[id, agentState] : this->monitoredAgents)
        agentState.lastContact = std::max(agentState.lastContact, now);
    this->pendingProbes.clear();
    this->membership.restartSuspicions(now);
    this->lastHeard = now;
    this->lastAnswer = now;
}

void Monitor::onHeartbeat(const NodeRecord &heartbeat, TimePoint now, Outbox &outbox)
{
    this->membership.merge(heartbeat, now);
    this->recordContact(heartbeat.id, now);
    if (const auto agentState = this->monitoredAgents.find(heartbeat.id);
        agentState != this->monitoredAgents.end())
        agentState->second.knowsMonitor = true;
    if (!this->sources.isJoined())
        return;
    const NodeRecord *record = this->membership.find(heartbeat.id);
    if (record == nullptr)
        record = &heartbeat; // the agent left and its tombstone has expired
    this->budget.send(ControlPriority::Heartbeats, heartbeat.control, this->acknowledge(*record),
                      now, outbox);
}

void Monitor::recordContact(const NodeId &agent, TimePoint now)
{
    const auto agentState = this->monitoredAgents.find(agent);
    if (agentState == this->monitoredAgents.end())
        return;
    agentState->second.lastContact = std::max(agentState->second.lastContact, now);
    agentState->second.probes = 0;
}

HeartbeatAck Monitor::acknowledge(const NodeRecord &record)
{
    const bool suspected =
            record.liveness == Liveness::Suspect || record.liveness == Liveness::Dead;
    return { .monitor = this->membership.self().control,
             .incarnation = record.incarnation,
             .sequence = record.sequence,
             .suspected = suspected,
             .configuration = this->sources.configuration(),
             .services = this->nextServices(record.group),
             .monitors = this->monitorsOf(record.id),
             .holdings = this->sources.holdingsDigest(record.id) };
}

// At most servicesPerAck services of the group, in rotation from call to call.
std::vector<ServiceDigest> Monitor::nextServices(const GroupName &group)
{
    auto services = this->sources.services(group);
    if (services.size() <= servicesPerAck)
        return services;
    const std::size_t first = this->serviceRotation % services.size();
    this->serviceRotation += servicesPerAck;
    std::rotate(services.begin(), services.begin() + std::ptrdiff_t(first), services.end());
    services.resize(servicesPerAck);
    return services;
}

void Monitor::onMembersRequest(const MembersRequest &request, TimePoint now, Outbox &outbox)
{
    if (this->budget.deferredBytes(ControlPriority::Repair) > memberListBacklogLimit)
        return; // the agent asks again
    auto members = this->sources.members(request.service);
    std::sort(members.begin(), members.end(),
              [](const Member &a, const Member &b) { return a.id < b.id; });
    const TableDigest digest = digestOf(members);
    const std::size_t pieces =
            std::max<std::size_t>(1, (members.size() + membersPerPiece - 1) / membersPerPiece);
    for (std::size_t i = 0; i < pieces; ++i) {
        const auto first = members.begin() + std::ptrdiff_t(i * membersPerPiece);
        const auto last = members.begin()
                          + std::ptrdiff_t(std::min((i + 1) * membersPerPiece, members.size()));
        this->budget.send(ControlPriority::Repair, request.replyTo,
                          Members{ .service = request.service,
                                   .digest = digest,
                                   .piece = std::uint16_t(i),
                                   .pieces = std::uint16_t(pieces),
                                   .members = { first, last } },
                          now, outbox);
    }
}

void Monitor::onProbe(const Probe &probe, TimePoint now, Outbox &outbox)
{
    const NodeRecord &self = this->membership.self();
    if (probe.relayTo) {
        const std::uint32_t number = ++this->lastNumber | relayFlag;
        this->relays[number] = { probe.replyTo, probe.number, now + relayLifetime };
        this->budget.send(ControlPriority::Probes, *probe.relayTo,
                          Probe{ .from = self.id,
                                 .replyTo = self.control,
                                 .number = number,
                                 .configuration = this->sources.configuration() },
                          now, outbox);
        return;
    }
    this->budget.send(ControlPriority::Probes, probe.replyTo,
                      ProbeAck{ .from = self.id,
                                .incarnation = self.incarnation,
                                .number = probe.number,
                                .configuration = this->sources.configuration() },
                      now, outbox);
    const NodeRecord *sender = this->membership.find(probe.from);
    if (sender != nullptr && sender->liveness != Liveness::Alive)
        this->sendRecord(*sender, probe.replyTo, now, outbox);
}

void Monitor::onProbeAck(const ProbeAck &ack, TimePoint now, Outbox &outbox)
{
    if ((ack.number & relayFlag) != 0)
        this->forwardAck(ack, now, outbox);
    const NodeRecord *record = this->membership.find(ack.from);
    if (record == nullptr || ack.incarnation < record->incarnation)
        return;
    this->lastAnswer = now;
    std::erase_if(this->pendingProbes,
                  [&](const PendingProbe &probe) { return probe.target == ack.from; });
    this->recordContact(ack.from, now);
    // The agent is alive, but its heartbeats were lost or sent to other monitors.
    if (const auto agentState = this->monitoredAgents.find(ack.from);
        agentState != this->monitoredAgents.end())
        agentState->second.knowsMonitor = false;
    if (record->liveness != Liveness::Alive)
        this->sendRecord(*record, record->control, now, outbox);
}

void Monitor::forwardAck(const ProbeAck &ack, TimePoint now, Outbox &outbox)
{
    const auto relay = this->relays.find(ack.number);
    if (relay == this->relays.end())
        return;
    ProbeAck forwarded = ack;
    forwarded.number = relay->second.originNumber;
    this->budget.send(ControlPriority::Probes, relay->second.origin, forwarded, now, outbox);
    this->relays.erase(relay);
}

std::vector<const NodeRecord *> Monitor::chooseMonitors(const NodeId &agent) const
{
    const std::uint64_t seed = hashOf(agent, 5);
    std::vector<std::pair<std::uint64_t, const NodeRecord *>> scored;
    for (const NodeRecord *balancer : this->membership.aliveBalancers())
        scored.emplace_back(hashOf(balancer->id, seed), balancer);
    const std::size_t count = std::min(scored.size(), monitorsPerAgent);
    std::partial_sort(scored.begin(), scored.begin() + std::ptrdiff_t(count), scored.end(),
                      [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<const NodeRecord *> chosen;
    for (std::size_t i = 0; i < count; ++i)
        chosen.push_back(scored[i].second);
    return chosen;
}

std::vector<Endpoint> Monitor::monitorsOf(const NodeId &agent) const
{
    std::vector<Endpoint> endpoints;
    for (const NodeRecord *balancer : this->chooseMonitors(agent))
        endpoints.push_back(balancer->control);
    return endpoints;
}

bool Monitor::isMonitorOf(const NodeId &agent) const
{
    const auto chosen = this->chooseMonitors(agent);
    return std::find(chosen.begin(), chosen.end(), &this->membership.self()) != chosen.end();
}

std::vector<NodeId> Monitor::monitored() const
{
    std::vector<NodeId> ids;
    for (const auto &[id, agentState] : this->monitoredAgents)
        ids.push_back(id);
    return ids;
}

ConfigurationVersion Monitor::lowestConfiguration() const
{
    ConfigurationVersion slowest = UINT64_MAX;
    for (const auto &[id, agentState] : this->monitoredAgents) {
        const NodeRecord *record = this->membership.find(id);
        if (record != nullptr && this->membership.isUsable(*record))
            slowest = std::min(slowest, record->configuration);
    }
    return slowest;
}

// Whether this node monitors an agent is computed once for each set of balancers and cached, since
// computing it for all agents takes (agents x balancers) hashes.
void Monitor::updateAssignment(TimePoint now)
{
    const std::uint64_t balancers = this->membership.balancerGeneration();
    const std::uint64_t agents = this->membership.generation();
    if (now < this->nextAssignment
        || (balancers == this->assignedBalancers && agents == this->assignedAgents))
        return;
    this->nextAssignment = now + assignmentInterval;
    std::unordered_map<NodeId, bool> known;
    if (balancers == this->assignedBalancers)
        known.swap(this->assignments);
    this->assignments.clear();
    this->assignedBalancers = balancers;
    this->assignedAgents = agents;
    std::map<NodeId, MonitoredAgent> next;
    const TimePoint heard = now + this->options.assignmentGrace - this->options.suspectAfter;
    for (const NodeRecord *agent : this->membership.agents()) {
        const auto duty = known.find(agent->id);
        const bool isMonitor = duty != known.end() ? duty->second : this->isMonitorOf(agent->id);
        this->assignments[agent->id] = isMonitor;
        if (!isMonitor)
            continue;
        const auto agentState = this->monitoredAgents.find(agent->id);
        next[agent->id] = agentState != this->monitoredAgents.end()
                                  ? agentState->second
                                  : MonitoredAgent{ .lastContact = heard };
    }
    this->monitoredAgents.swap(next);
}

void Monitor::checkAgents(TimePoint now, Outbox &outbox)
{
    for (auto &[id, agentState] : this->monitoredAgents) {
        const NodeRecord *agent = this->membership.find(id);
        if (agent != nullptr && now - agentState.lastContact >= this->options.silenceBeforeProbe)
            this->checkAgent(*agent, agentState, now, outbox);
    }
}

void Monitor::checkAgent(const NodeRecord &agent, MonitoredAgent &agentState, TimePoint now,
                         Outbox &outbox)
{
    const bool isSuspect = agent.liveness == Liveness::Suspect;
    // Most silences come from a lost heartbeat, for which one direct probe is enough.
    const bool indirect = !isSuspect && agentState.probes > 0;
    if (!agentState.knowsMonitor && !isSuspect) {
        // The agent may know only monitors that have failed. The acknowledgement names the present
        // ones.
        agentState.knowsMonitor = this->budget.send(ControlPriority::Heartbeats, agent.control,
                                                    this->acknowledge(agent), now, outbox);
        agentState.nextProbe = now + this->options.probeRepeat;
    }
    if (now >= agentState.nextProbe && this->sendProbe(agent, indirect, now, outbox)) {
        const Duration interval = isSuspect ? suspectProbeInterval : this->options.probeRepeat;
        agentState.nextProbe = now + interval;
        ++agentState.probes;
    }
    if (now - agentState.lastContact < this->options.suspectAfter
        || agentState.probes < minProbesBeforeSuspicion
        || this->isIsolated(now - isolationNoAnswer, now))
        return;
    if (isSuspect)
        this->declareDead(agent, now, outbox);
    else
        this->suspect(agent.id, now, outbox);
}

void Monitor::startProbe(TimePoint now, Outbox &outbox)
{
    if (this->probeOrder.empty()) {
        for (const NodeRecord *peer : this->membership.peers())
            this->probeOrder.push_back(peer->id);
        std::shuffle(this->probeOrder.begin(), this->probeOrder.end(), this->random);
    }
    while (!this->probeOrder.empty()) {
        const NodeRecord *target = this->membership.find(this->probeOrder.back());
        const bool present =
                target != nullptr
                && (target->liveness == Liveness::Alive || target->liveness == Liveness::Suspect);
        if (present && !this->sendProbe(*target, false, now, outbox))
            return;
        this->probeOrder.pop_back();
        if (!present)
            continue;
        const TimePoint next = now + this->options.probeRepeat;
        this->pendingProbes.push_back({ target->id, now, next });
        return;
    }
}

void Monitor::repeatProbes(TimePoint now, Outbox &outbox)
{
    std::vector<PendingProbe> failed;
    for (PendingProbe &probe : this->pendingProbes) {
        if (now - probe.started >= this->options.probeTimeout) {
            failed.push_back(probe);
            continue;
        }
        const NodeRecord *target = this->membership.find(probe.target);
        if (target != nullptr && now >= probe.nextRepeat
            && this->sendProbe(*target, true, now, outbox))
            probe.nextRepeat = now + this->options.probeRepeat;
    }
    for (const PendingProbe &probe : failed) {
        std::erase_if(this->pendingProbes,
                      [&](const PendingProbe &other) { return other.target == probe.target; });
        if (!this->isIsolated(probe.started, now))
            this->suspect(probe.target, now, outbox);
    }
}

// Returns false if the control budget does not allow the probe now, so that the caller does not
// count a probe that was never sent as unanswered.
bool Monitor::sendProbe(const NodeRecord &target, bool indirect, TimePoint now, Outbox &outbox)
{
    const std::size_t copies = indirect ? 1 + probeRelays : 1;
    if (!this->budget.fits(ControlPriority::Probes, copies * probeBytes, now))
        return false;
    const NodeRecord &self = this->membership.self();
    Probe probe{ .from = self.id,
                 .replyTo = self.control,
                 .number = ++this->lastNumber & ~relayFlag,
                 .configuration = this->sources.configuration() };
    this->budget.send(ControlPriority::Probes, target.control, probe, now, outbox);
    if (!indirect)
        return true;
    probe.relayTo = target.control;
    auto candidates = this->membership.peers();
    std::erase(candidates, &target);
    for (std::size_t i = 0; i < probeRelays && !candidates.empty(); ++i) {
        const std::size_t index = this->random() % candidates.size();
        this->budget.send(ControlPriority::Probes, candidates[index]->control, probe, now, outbox);
        candidates[index] = candidates.back();
        candidates.pop_back();
    }
    return true;
}

void Monitor::suspect(const NodeId &id, TimePoint now, Outbox &outbox)
{
    if (!this->membership.suspect(id, now))
        return;
    const NodeRecord &record = *this->membership.find(id);
    outbox.events.push_back(nodeEvent(Level::Warning, "suspect", record));
    this->sendRecord(record, record.control, now, outbox);
}

void Monitor::declareDead(const NodeRecord &record, TimePoint now, Outbox &outbox)
{
    if (record.liveness != Liveness::Suspect || this->isIsolated(now - isolationNoAnswer, now)
        || now - this->membership.suspectSince(record.id) < this->options.deadAfter
        || !this->membership.declareDead(record.id, now))
        return;
    outbox.events.push_back(nodeEvent(Level::Warning, "dead", record));
    this->sendRecord(record, record.control, now, outbox);
}

// Sends a node its own record, so that it can refute a wrong suspicion without waiting for gossip.
void Monitor::sendRecord(const NodeRecord &record, Endpoint control, TimePoint now, Outbox &outbox)
{
    this->budget.send(ControlPriority::Probes, control,
                      Gossip{ .from = this->membership.self().id,
                              .configuration = this->sources.configuration(),
                              .records = { record } },
                      now, outbox);
}

// True if no node answered a probe since the given time, or no message of any kind arrived for
// isolationSilence.
bool Monitor::isIsolated(TimePoint since, TimePoint now) const
{
    const std::size_t peers = this->membership.peers().size();
    if (peers >= isolationMinNodes && this->lastAnswer < since)
        return true;
    return peers + this->monitoredAgents.size() >= isolationMinNodes
           && now - this->lastHeard >= isolationSilence;
}

} // namespace cactusdeck

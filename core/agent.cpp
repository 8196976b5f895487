#include "core/agent.h"

#include <algorithm>
#include <array>
#include <iterator>

#include "core/agentstate.h"
#include "core/agentstatus.h"
#include "core/announcer.h"
#include "core/callerpath.h"
#include "core/capacityweight.h"
#include "core/configspread.h"
#include "core/holdingsreporter.h"
#include "core/serverpath.h"

namespace cactusdeck {

namespace {

// An agent that has known of a newer configuration for this time without obtaining it accepts no
// new flows, because its addresses and failure domains may be outdated.
constexpr std::chrono::seconds staleLimit{ 3 };
constexpr std::chrono::milliseconds holdingsInterval{ 500 };
constexpr std::chrono::seconds expiryInterval{ 1 };
// Minimum interval between requests for a newer version, which many frames name until it has been
// fetched.
constexpr std::chrono::milliseconds versionRequestInterval{ 100 };

constexpr std::array phaseNames = { "cold", "serving", "draining" };

AnnouncerOptions announcerOptions(const AgentOptions &options)
{
    return { .self = { .id = options.id,
                       .role = Role::Agent,
                       .zone = options.zone,
                       .data = options.data,
                       .control = options.control,
                       .incarnation = options.incarnation,
                       .phase = Phase::Cold,
                       .group = options.group },
             .seeds = options.seeds,
             .seed = options.seed };
}

ConfigurationSpreadOptions spreadOptions(const AgentOptions &options)
{
    return { .id = options.id,
             .replyTo = options.control,
             .group = options.group,
             .seed = options.seed + 1 };
}

// Sends resets to the server and to the caller. The caller of a flow in state Opening gets none,
// because it may be connected to another server.
void resetBothSides(const Flow &flow, DataSink &sink)
{
    if (flow.isClosed() || !flow.isTcp())
        return;
    sink.toServer(flow.resetForServer());
    if (flow.state == FlowState::Opening)
        return;
    for (const auto &packet : flow.resetsForCaller())
        sink.toFabric(packet);
}

} // namespace

struct Agent::Parts
{
    explicit Parts(AgentOptions options)
        : state(std::move(options))
        , announcer(announcerOptions(state.options), budget)
        , spread(spreadOptions(state.options))
        , reporter(state.options.id)
    { }

    void applyConfiguration(TimePoint now, Outbox &outbox);
    void applyZone(bool isOut, TimePoint now, Outbox &outbox);
    void requestNewerConfiguration(TimePoint now, Outbox &outbox);
    void sendConfigurationMessages(Outbox &messages, TimePoint now, Outbox &outbox);
    void resetAll(TimePoint now, DataSink &sink);
    void expireFlows(TimePoint now, DataSink &sink, Outbox &outbox);
    void announceState(TimePoint now, Outbox &outbox);
    void reportHoldings(TimePoint now, Outbox &outbox);
    void continueDrain(TimePoint now, DataSink &sink, Outbox &outbox);
    Phase phase(TimePoint now) const;

    AgentState state;
    CallerPath callerPath{ state };
    ServerPath serverPath{ state, callerPath };
    ControlBudget budget;
    Announcer announcer;
    ConfigurationSpread spread;
    HoldingsReporter reporter;
    CapacityWeight weight;
    std::uint64_t membersGeneration = 0;
    std::uint64_t loggedColdResets = 0;
    // The failure domain was taken out of service. The flows are reset in onTimer(), which has a
    // sink.
    bool mustResetFlows = false;
    bool hasLeft = false;
    TimePoint startedAt;
    TimePoint drainDeadline;
    TimePoint nextHoldings;
    TimePoint nextExpiry;
    TimePoint nextVersionRequest;
};

void Agent::Parts::applyConfiguration(TimePoint now, Outbox &outbox)
{
    const ConfigurationPointer &configuration = this->spread.current();
    const bool isFirst = this->state.configuration == 0;
    this->state.configuration = configuration->version();
    this->state.services.setContracts(configuration->servicesOf(this->state.options.group));
    if (!this->state.services.all().empty())
        this->state.admission.setLimits(this->state.services.limits());
    // After this time, connections of an earlier run that are still unknown have been idle for
    // longer than any contract allows.
    if (isFirst && this->state.options.serverMayHoldFlows)
        this->state.probes.open(this->startedAt + this->state.services.longestIdleTimeout());
    this->announcer.setConfiguration(configuration->version(), now, outbox);
    this->applyZone(configuration->isZoneOut(this->state.options.zone), now, outbox);
}

void Agent::Parts::applyZone(bool isOut, TimePoint now, Outbox &outbox)
{
    if (isOut == this->state.isZoneOut)
        return;
    this->state.isZoneOut = isOut;
    if (isOut)
        this->mustResetFlows = true;
    else
        this->state.admission.onRestart(now);
    addEvent(outbox, Level::Warning, isOut ? "zone_out" : "zone_in",
             { { "zone", this->state.options.zone.value },
               { "flows", std::to_string(this->state.flows.openCount()) } });
}

// Resets all open flows on both sides and removes all flows. The server's connections end with
// this, so adoption probes are dropped as well.
void Agent::Parts::resetAll(TimePoint now, DataSink &sink)
{
    this->state.flows.forEach([&](Flow &flow) {
        this->state.requests.finish(flow, now);
        resetBothSides(flow, sink);
    });
    this->state.flows.clear();
    this->state.requests.clear();
    this->state.probes.clear();
}

void Agent::Parts::requestNewerConfiguration(TimePoint now, Outbox &outbox)
{
    const ConfigurationVersion seen =
            std::max(this->state.newestVersionSeen, this->announcer.newestConfiguration());
    if (seen <= this->state.configuration || now < this->nextVersionRequest)
        return;
    this->nextVersionRequest = now + versionRequestInterval;
    const bool isNamedByMonitor = this->announcer.newestConfiguration() == seen;
    Outbox messages;
    const std::vector<Endpoint> monitors = this->announcer.monitors();
    this->spread.setPeers(monitors.empty() ? this->state.options.seeds : monitors);
    this->spread.onVersionSeen(
            seen, isNamedByMonitor ? this->announcer.newestConfigurationFrom() : Endpoint{}, now,
            messages);
    // A corrupt frame may name a version that doesn't exist. So a version is forgotten here and
    // counts again only if further frames name it.
    this->state.newestVersionSeen = 0;
    this->sendConfigurationMessages(messages, now, outbox);
}

void Agent::Parts::sendConfigurationMessages(Outbox &messages, TimePoint now, Outbox &outbox)
{
    for (ControlSend &send : messages.control)
        this->budget.send(ControlPriority::Configuration, send.to, std::move(send.message), now,
                          outbox);
    std::move(messages.events.begin(), messages.events.end(), std::back_inserter(outbox.events));
}

void Agent::Parts::expireFlows(TimePoint now, DataSink &sink, Outbox &outbox)
{
    this->nextExpiry = now + expiryInterval;
    std::size_t idle = 0;
    this->state.flows.expire(
            now, [&](ServiceId service) { return this->state.services.idleTimeout(service); },
            [&](Flow &flow) {
                this->state.requests.finish(flow, now);
                idle += flow.isClosed() ? 0 : 1;
                resetBothSides(flow, sink);
            });
    if (idle > 0)
        addEvent(outbox, Level::Info, "flows_expired", { { "count", std::to_string(idle) } });
    this->state.flows.forEach(
            [&](Flow &flow) { this->state.requests.endOverdueRequest(flow, now); });
}

Phase Agent::Parts::phase(TimePoint now) const
{
    if (this->state.isDraining || this->state.admission.isServerDraining())
        return Phase::Draining;
    return this->state.admission.isCold(now) ? Phase::Cold : Phase::Serving;
}

void Agent::Parts::announceState(TimePoint now, Outbox &outbox)
{
    const Phase current = this->phase(now);
    if (current != this->announcer.self().phase) {
        this->announcer.setPhase(current, now, outbox);
        addEvent(outbox, Level::Info, "phase_changed",
                 { { "phase", phaseNames[std::size_t(current)] } });
    }
    const Admission &admission = this->state.admission;
    if (admission.coldResets() != this->loggedColdResets) {
        this->loggedColdResets = admission.coldResets();
        addEvent(outbox, Level::Warning, "server_cold",
                 { { "bearable", std::to_string(admission.effectiveLimit(now)) } });
    }
    if (this->state.configuration != 0) {
        if (const auto changed =
                    this->weight.update(admission.limits().slots, admission.baseline(), now))
            this->announcer.setWeight(*changed, now, outbox);
    }
}

void Agent::Parts::reportHoldings(TimePoint now, Outbox &outbox)
{
    this->nextHoldings = now + holdingsInterval;
    const bool isNewList = this->membersGeneration != this->announcer.membersGeneration();
    this->membersGeneration = this->announcer.membersGeneration();
    for (const auto &[service, contract] : this->state.services.all()) {
        if (isNewList && this->announcer.knowsMembers(service))
            this->reporter.setMembers(service, this->announcer.members(service));
        if (auto report = this->reporter.update(service, this->state.flows))
            this->announcer.report(std::move(*report), now, outbox);
    }
}

void Agent::Parts::continueDrain(TimePoint now, DataSink &sink, Outbox &outbox)
{
    if (!this->state.isDraining || this->hasLeft)
        return;
    const bool isEmpty = this->state.flows.openCount() == 0;
    // At the drain deadline, requests in progress get one more request deadline to complete.
    const bool isOverdue =
            now >= this->drainDeadline
            && (this->state.admission.inProgress() == 0
                || now - this->drainDeadline >= this->state.admission.limits().requestDeadline);
    if (!isEmpty && !isOverdue)
        return;
    const std::size_t remaining = this->state.flows.openCount();
    this->resetAll(now, sink);
    this->hasLeft = true;
    this->announcer.leave(now, outbox);
    addEvent(outbox, Level::Info, "drained", { { "remaining", std::to_string(remaining) } });
}

Agent::Agent(AgentOptions options)
    : parts(std::make_unique<Parts>(std::move(options)))
{ }

Agent::~Agent() = default;
Agent::Agent(Agent &&) noexcept = default;
Agent &Agent::operator=(Agent &&) noexcept = default;

void Agent::start(TimePoint now, Outbox &outbox)
{
    Parts &p = *this->parts;
    p.startedAt = now;
    // Any packet of the server may belong to a flow of an earlier run, whose connection must not be
    // reset. The end of this period follows from the idle timeouts in the configuration.
    if (p.state.options.serverMayHoldFlows)
        p.state.probes.open(TimePoint::max());
    p.state.admission.start(now);
    p.spread.setPeers(p.state.options.seeds);
    p.announcer.start(now, outbox);
    addEvent(outbox, Level::Info, "agent_started",
             { { "id", p.state.options.id.value },
               { "incarnation", std::to_string(p.state.incarnation) } });
}

void Agent::onFrame(std::span<const std::uint8_t> datagram, TimePoint now, DataSink &sink,
                    Outbox &outbox)
{
    Parts &p = *this->parts;
    p.callerPath.onFrame(datagram, now, sink, outbox);
    if (p.state.newestVersionSeen > p.state.configuration)
        p.requestNewerConfiguration(now, outbox);
}

void Agent::onServerPacket(std::span<const std::uint8_t> packet, TimePoint now, DataSink &sink,
                           Outbox &outbox)
{
    this->parts->serverPath.onPacket(packet, now, sink, outbox);
}

void Agent::onServerHealth(const ServerHealth &health, TimePoint now, Outbox &outbox)
{
    Parts &p = *this->parts;
    if (p.state.admission.onHealth(health, now))
        addEvent(outbox, Level::Warning, "server_restarted",
                 { { "source", "health" }, { "startedAt", std::to_string(health.startedAt) } });
    p.announceState(now, outbox);
}

void Agent::onControl(const ControlMessage &message, TimePoint now, Outbox &outbox)
{
    Parts &p = *this->parts;
    Outbox messages;
    bool isChanged = false;
    if (const auto *notice = std::get_if<ConfigurationNotice>(&message))
        p.spread.onNotice(*notice, now, messages);
    else if (const auto *request = std::get_if<ConfigurationRequest>(&message))
        p.spread.onRequest(*request, now, messages);
    else if (const auto *delta = std::get_if<ConfigurationDelta>(&message))
        isChanged = p.spread.onDelta(*delta, now, messages);
    else
        p.announcer.onControl(message, now, outbox);
    p.sendConfigurationMessages(messages, now, outbox);
    if (isChanged)
        p.applyConfiguration(now, outbox);
    p.state.incarnation = p.announcer.self().incarnation;
    p.requestNewerConfiguration(now, outbox);
}

void Agent::onTimer(TimePoint now, DataSink &sink, Outbox &outbox)
{
    Parts &p = *this->parts;
    Outbox messages;
    p.spread.onTimer(now, messages);
    p.sendConfigurationMessages(messages, now, outbox);
    p.state.isStale = p.spread.staleDuration(now) > staleLimit;
    if (p.mustResetFlows) {
        p.mustResetFlows = false;
        p.resetAll(now, sink);
    }
    p.state.admission.onTimer(now);
    p.state.requests.onTimer(now);
    p.state.probes.onTimer(
            now, [&](std::span<const std::uint8_t> probe) { sink.toServer(probe); },
            [&](const FlowKey &key) {
                p.callerPath.onNotAdopted(key, "no_answer", now, sink, outbox);
            });
    if (now >= p.nextExpiry)
        p.expireFlows(now, sink, outbox);
    p.state.requests.dispatch(now, sink);
    p.announceState(now, outbox);
    if (now >= p.nextHoldings)
        p.reportHoldings(now, outbox);
    p.continueDrain(now, sink, outbox);
    p.announcer.onTimer(now, outbox);
    p.state.incarnation = p.announcer.self().incarnation;
}

void Agent::stop(TimePoint now, Outbox &outbox)
{
    Parts &p = *this->parts;
    if (p.state.isDraining)
        return;
    p.state.isDraining = true;
    p.drainDeadline = now + p.state.services.drainDeadline();
    addEvent(outbox, Level::Info, "drain_started",
             { { "flows", std::to_string(p.state.flows.openCount()) } });
    p.announceState(now, outbox);
}

bool Agent::isStopped(TimePoint) const
{
    return this->parts->hasLeft && this->parts->announcer.hasLeft();
}

ConfigurationVersion Agent::configurationVersion() const
{
    return this->parts->state.configuration;
}

nlohmann::json Agent::status(TimePoint now) const
{
    const Parts &p = *this->parts;
    nlohmann::json json = statusOf(p.state, now);
    json["id"] = p.state.options.id;
    json["role"] = "agent";
    json["zone"] = p.state.options.zone;
    json["group"] = p.state.options.group;
    json["phase"] = phaseNames[std::size_t(p.phase(now))];
    json["weight"] = p.weight.value();
    json["isolated"] = p.announcer.isIsolated(now);
    json["controlBytes"] = p.budget.sentBytes();
    json["holdings"] = nlohmann::json::object();
    for (const auto &[service, contract] : p.state.services.all())
        json["holdings"][contract.service.value] = p.reporter.reportedBuckets(service);
    return json;
}

} // namespace cactusdeck

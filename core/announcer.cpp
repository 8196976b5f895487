#include "core/announcer.h"

#include <algorithm>

#include "core/placement.h"
#include "core/reporttable.h"

namespace cactusdeck {

namespace {

// Interval of heartbeats to the seeds, in rotation, while no monitor is known.
constexpr std::chrono::milliseconds seedInterval{ 500 };

// Changes are repeated at the normal heartbeat interval only to a monitor that has been silent for
// this long.
constexpr std::chrono::seconds resendLimit{ 2 };

// Minimum delay between requests for a member list. Without it, two monitors whose tables differ
// for a moment would cause a request with every acknowledgement.
constexpr std::chrono::milliseconds minRequestDelay{ 300 };
constexpr std::chrono::milliseconds maxRequestDelay{ 2400 };

// Interval at which reports are repeated to a monitor until it acknowledges their digest.
constexpr std::chrono::milliseconds reportInterval{ 1000 };

constexpr std::size_t maxMemberPieces = 256;

} // namespace

Announcer::Announcer(AnnouncerOptions announcerOptions, ControlBudget &controlBudget)
    : options(std::move(announcerOptions))
    , budget(controlBudget)
    , random(this->options.seed)
    , record(this->options.self)
{ }

void Announcer::start(TimePoint now, Outbox &outbox)
{
    this->lastAnswer = now;
    if (!this->options.seeds.empty())
        this->nextSeed = this->random() % this->options.seeds.size();
    this->heartbeatSeeds(now, outbox);
}

void Announcer::onControl(const ControlMessage &message, TimePoint now, Outbox &outbox)
{
    if (const auto *ack = std::get_if<HeartbeatAck>(&message)) {
        this->onAck(*ack, now, outbox);
    } else if (const auto *members = std::get_if<Members>(&message)) {
        this->onMembers(*members);
    } else if (const auto *probe = std::get_if<Probe>(&message)) {
        this->budget.send(ControlPriority::Probes, probe->replyTo,
                          ProbeAck{ .from = this->record.id,
                                    .incarnation = this->record.incarnation,
                                    .number = probe->number,
                                    .configuration = this->record.configuration },
                          now, outbox);
    } else if (const auto *gossip = std::get_if<Gossip>(&message)) {
        for (const NodeRecord &other : gossip->records) {
            if (other.id == this->record.id && other.liveness != Liveness::Alive)
                this->refute(other.incarnation, now, outbox);
        }
    }
}

void Announcer::onTimer(TimePoint now, Outbox &outbox)
{
    this->budget.flush(now, outbox);
    if (this->record.liveness == Liveness::Left && this->leaveCopiesLeft <= 0)
        return;
    TimePoint latest{};
    for (MonitorState &monitor : this->monitorStates) {
        latest = std::max(latest, monitor.lastAck);
        if (now >= monitor.nextHeartbeat)
            this->heartbeat(monitor, now, outbox);
        if (!monitor.reportsCurrent && now >= monitor.nextReports)
            this->sendReports(monitor, now, outbox);
    }
    if (this->monitorStates.empty() || now - latest >= this->options.seedAfter)
        this->heartbeatSeeds(now, outbox);
    if (this->record.liveness == Liveness::Left && now >= this->nextLeave) {
        this->nextLeave = now + this->options.resendAfter;
        --this->leaveCopiesLeft;
    }
}

void Announcer::heartbeat(MonitorState &monitor, TimePoint now, Outbox &outbox)
{
    const bool resend = !monitor.current && now - monitor.lastAck < resendLimit;
    monitor.nextHeartbeat =
            now + (resend ? this->options.resendAfter : this->options.heartbeatInterval);
    this->sendHeartbeat(monitor.control, now, outbox);
}

void Announcer::sendHeartbeat(Endpoint to, TimePoint now, Outbox &outbox)
{
    this->budget.send(ControlPriority::Heartbeats, to, Heartbeat{ this->record }, now, outbox);
}

void Announcer::heartbeatSeeds(TimePoint now, Outbox &outbox)
{
    if (this->options.seeds.empty() || now < this->nextSeedHeartbeat)
        return;
    // If monitors are known, they may only be overloaded. Heartbeats at the shorter interval would
    // then overload the seeds as well.
    this->nextSeedHeartbeat =
            now + (this->monitorStates.empty() ? seedInterval : this->options.heartbeatInterval);
    this->sendHeartbeat(this->options.seeds[this->nextSeed], now, outbox);
    this->nextSeed = (this->nextSeed + 1) % this->options.seeds.size();
}

void Announcer::onAck(const HeartbeatAck &ack, TimePoint now, Outbox &outbox)
{
    this->lastAnswer = now;
    if (ack.configuration > this->newestVersion) {
        this->newestVersion = ack.configuration;
        this->newestVersionSource = ack.monitor;
    }
    const bool current =
            ack.incarnation == this->record.incarnation && ack.sequence == this->record.sequence;
    if (this->record.liveness == Liveness::Left) {
        this->leaveAcknowledged = this->leaveAcknowledged || (current && !ack.suspected);
        return;
    }
    if (ack.suspected)
        this->refute(ack.incarnation, now, outbox);
    this->adoptMonitors(ack.monitors, now);
    for (MonitorState &monitor : this->monitorStates) {
        if (monitor.control != ack.monitor)
            continue;
        monitor.lastAck = now;
        monitor.current = current && !ack.suspected;
        monitor.reportsCurrent = ack.holdings == this->ownReportDigest();
    }
    this->compareDigests(ack, now, outbox);
}

void Announcer::adoptMonitors(const std::vector<Endpoint> &endpoints, TimePoint now)
{
    if (endpoints.empty())
        return;
    std::vector<MonitorState> next;
    for (Endpoint endpoint : endpoints) {
        const auto known = std::find_if(
                this->monitorStates.begin(), this->monitorStates.end(),
                [&](const MonitorState &monitor) { return monitor.control == endpoint; });
        if (known != this->monitorStates.end())
            next.push_back(*known);
        else
            next.push_back({ .control = endpoint,
                             .lastAck = now,
                             .nextHeartbeat = now,
                             .reportsCurrent = this->reports.empty() });
    }
    this->monitorStates = std::move(next);
}

void Announcer::compareDigests(const HeartbeatAck &ack, TimePoint now, Outbox &outbox)
{
    for (const ServiceDigest &service : ack.services) {
        MemberList &list =
                this->memberLists
                        .try_emplace(service.service, MemberList{ .requestDelay = minRequestDelay })
                        .first->second;
        const bool known = list.known && list.digest == service.digest;
        if (known || now < list.nextRequest)
            continue;
        list.nextRequest = now + list.requestDelay;
        list.requestDelay = std::min<Duration>(2 * list.requestDelay, maxRequestDelay);
        this->budget.send(
                ControlPriority::Changes, ack.monitor,
                MembersRequest{ .replyTo = this->record.control, .service = service.service }, now,
                outbox);
    }
}

void Announcer::onMembers(const Members &members)
{
    const auto found = this->memberLists.find(members.service);
    if (found == this->memberLists.end() || members.pieces == 0 || members.pieces > maxMemberPieces
        || members.piece >= members.pieces)
        return;
    MemberList &list = found->second;
    list.requestDelay = minRequestDelay;
    if (list.partialDigest != members.digest)
        list.pieces.clear();
    list.partialDigest = members.digest;
    list.pieces[members.piece] = members.members;
    if (list.pieces.size() < members.pieces)
        return;
    std::vector<Member> complete;
    for (auto &[index, piece] : std::exchange(list.pieces, {}))
        complete.insert(complete.end(), piece.begin(), piece.end());
    // The pieces may be answers to two requests, made from different tables.
    if (digestOf(complete) != members.digest)
        return;
    if (!list.known || list.members != complete)
        ++this->generation;
    list.known = true;
    list.digest = members.digest;
    list.members = std::move(complete);
}

void Announcer::refute(Incarnation incarnation, TimePoint now, Outbox &outbox)
{
    if (incarnation < this->record.incarnation || this->record.liveness == Liveness::Left)
        return;
    this->record.incarnation = incarnation + 1;
    // Balancers drop reports of earlier incarnations, since those may come from an earlier run.
    for (auto &[service, report] : this->reports)
        report.incarnation = this->record.incarnation;
    outbox.events.push_back({ Level::Warning,
                              "refuted",
                              { { "node", this->record.id.value },
                                { "incarnation", std::to_string(this->record.incarnation) } } });
    this->announceChange(now, outbox);
}

void Announcer::announceChange(TimePoint now, Outbox &outbox)
{
    for (MonitorState &monitor : this->monitorStates) {
        monitor.current = false;
        this->heartbeat(monitor, now, outbox);
    }
    if (this->monitorStates.empty()) {
        this->nextSeedHeartbeat = now;
        this->heartbeatSeeds(now, outbox);
    }
}

void Announcer::setPhase(Phase phase, TimePoint now, Outbox &outbox)
{
    if (phase == this->record.phase)
        return;
    this->record.phase = phase;
    ++this->record.sequence;
    this->announceChange(now, outbox);
}

void Announcer::setWeight(std::uint16_t weight, TimePoint now, Outbox &outbox)
{
    if (weight == this->record.weight)
        return;
    this->record.weight = weight;
    ++this->record.sequence;
    this->announceChange(now, outbox);
}

// The sequence is not incremented, since configuration versions are not gossiped; see Membership.
void Announcer::setConfiguration(ConfigurationVersion version, TimePoint now, Outbox &outbox)
{
    if (version <= this->record.configuration)
        return;
    this->record.configuration = version;
    this->announceChange(now, outbox);
}

void Announcer::leave(TimePoint now, Outbox &outbox)
{
    if (this->record.liveness == Liveness::Left)
        return;
    this->record.liveness = Liveness::Left;
    ++this->record.sequence;
    this->leaveCopiesLeft = this->options.leaveCopies;
    this->nextLeave = now + this->options.resendAfter;
    this->announceChange(now, outbox);
}

bool Announcer::hasLeft() const
{
    return this->record.liveness == Liveness::Left
           && (this->leaveAcknowledged || this->leaveCopiesLeft <= 0);
}

const std::vector<Member> &Announcer::members(ServiceId service) const
{
    static const std::vector<Member> none;
    const auto found = this->memberLists.find(service);
    return found == this->memberLists.end() ? none : found->second.members;
}

bool Announcer::knowsMembers(ServiceId service) const
{
    const auto found = this->memberLists.find(service);
    return found != this->memberLists.end() && found->second.known;
}

void Announcer::report(HoldingsReport report, TimePoint now, Outbox &outbox)
{
    report.agent = this->record.id;
    report.incarnation = this->record.incarnation;
    report.sequence = ++this->reportSequence;
    this->reports[report.service] = std::move(report);
    for (MonitorState &monitor : this->monitorStates) {
        monitor.reportsCurrent = false;
        this->sendReports(monitor, now, outbox);
    }
}

// Sends all reports: a monitor acknowledges only a digest of all of them, and an agent has few
// services.
void Announcer::sendReports(MonitorState &monitor, TimePoint now, Outbox &outbox)
{
    monitor.nextReports = now + reportInterval;
    for (const auto &[service, report] : this->reports)
        this->budget.send(ControlPriority::Changes, monitor.control, report, now, outbox);
}

std::uint32_t Announcer::ownReportDigest() const
{
    std::uint32_t digest = 0;
    for (const auto &[service, report] : this->reports)
        digest ^= reportDigest(report);
    return digest;
}

bool Announcer::hasUndeliveredReports() const
{
    if (this->monitorStates.empty())
        return !this->reports.empty();
    return std::any_of(this->monitorStates.begin(), this->monitorStates.end(),
                       [](const MonitorState &monitor) { return !monitor.reportsCurrent; });
}

bool Announcer::isIsolated(TimePoint now) const
{
    return now - this->lastAnswer >= this->options.isolatedAfter;
}

std::vector<Endpoint> Announcer::monitors() const
{
    std::vector<Endpoint> endpoints;
    for (const MonitorState &monitor : this->monitorStates)
        endpoints.push_back(monitor.control);
    return endpoints;
}

} // namespace cactusdeck

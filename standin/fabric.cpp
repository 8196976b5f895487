#include "standin/fabric.h"

#include <algorithm>
#include <set>

#include "core/frame.h"

namespace cactusdeck {

namespace {

constexpr std::chrono::seconds lingerTime{ 3 }; // exceeds the longest retransmission timeout
constexpr std::chrono::seconds finishLimit{ 15 };
// Time until a caller detects a silently broken flow: it sends its next request, then waits for
// Caller::silenceLimit.
constexpr std::chrono::seconds brokenFlowDetectionTime =
        Caller::silenceLimit + std::chrono::seconds(3);
constexpr std::uint32_t firstCallerAddress = 0x0A000001; // 10.0.0.1
constexpr std::uint16_t firstCallerPort = 2000;
constexpr std::size_t portsPerAddress = 20000;

CallerGroup groupOf(const nlohmann::json &json)
{
    return { .name = json.at("name").get<std::string>(),
             .service = json.at("service").get<Endpoint>(),
             .isSession = json.value("session", false),
             .arrivalsPerSecond = json.value("arrivalsPerSecond", 10.0),
             .initial = json.value("initial", std::size_t(0)),
             .bookingShare = json.value("bookingShare", 0.0),
             .minAnswer = json.value("minAnswerBytes", std::size_t(200)),
             .maxAnswer = json.value("maxAnswerBytes", std::size_t(2000)),
             .pause = std::chrono::milliseconds(json.value("pauseMilliseconds", 500)) };
}

std::int64_t millisecondsOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

FabricOptions fabricOptionsOf(const nlohmann::json &json)
{
    FabricOptions options{ .seed = json.value("seed", std::uint64_t(1)),
                           .drop = json.value("drop", 0.0),
                           .duplicate = json.value("duplicate", 0.0),
                           .reorder = json.value("reorder", 0.0) };
    options.callerEndpoints = json.value("callerEndpoints", options.callerEndpoints);
    options.minBalancers = json.value("minBalancers", options.minBalancers);
    for (const auto &group : json.at("groups"))
        options.groups.push_back(groupOf(group));
    options.servers = json.value("servers", std::vector<Endpoint>{});
    return options;
}

Fabric::Fabric(FabricOptions fabricOptions)
    : options(std::move(fabricOptions))
    , random(this->options.seed)
{ }

bool Fabric::chance(double probability)
{
    return probability > 0
           && std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

void Fabric::onDatagram(std::span<const std::uint8_t> datagram, TimePoint now, PacketSends &out)
{
    if (const auto attach = decodeAttach(datagram)) {
        if (attach->attached)
            this->balancers[attach->data] = now;
        else
            this->balancers.erase(attach->data);
        return;
    }
    if (parsePacket(datagram))
        this->impair({ {}, { datagram.begin(), datagram.end() } }, now, out);
}

void Fabric::onTimer(TimePoint now, PacketSends &out)
{
    std::erase_if(this->balancers,
                  [&](const auto &entry) { return now - entry.second > attachLifetime; });
    while (!this->delayedPackets.empty() && this->delayedPackets.begin()->first <= now) {
        auto node = this->delayedPackets.extract(this->delayedPackets.begin());
        this->deliver(std::move(node.mapped()), now, out);
    }
    if (!this->isStarted && this->balancers.size() >= this->options.minBalancers) {
        this->isStarted = true;
        for (const CallerGroup &group : this->options.groups) {
            this->nextArrivals.push_back(now + group.startDelay);
            for (std::size_t i = 0; i < group.initial; ++i)
                this->startCaller(group, now, out);
        }
    }
    if (this->isStarted && !this->isFinishing)
        this->startCallers(now, out);
    PacketList packets;
    for (auto &[endpoint, live] : this->callers) {
        live.caller.onTimer(now, packets);
        if (!live.isRecorded && live.caller.outcome() != CallerOutcome::Running)
            this->recordEnd(live, now);
    }
    std::erase_if(this->callers, [&](const auto &entry) {
        return entry.second.isRecorded && now >= entry.second.removeAt;
    });
    this->sendToBalancers(packets, now, out);
}

void Fabric::startCallers(TimePoint now, PacketSends &out)
{
    for (std::size_t i = 0; i < this->options.groups.size(); ++i) {
        const CallerGroup &group = this->options.groups[i];
        if (group.arrivalsPerSecond <= 0)
            continue;
        std::exponential_distribution<double> gap(group.arrivalsPerSecond);
        while (this->nextArrivals[i] <= now) {
            this->startCaller(group, now, out);
            this->nextArrivals[i] += std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(gap(this->random)));
        }
    }
}

void Fabric::startCaller(const CallerGroup &group, TimePoint now, PacketSends &out)
{
    const Endpoint endpoint = this->nextUnusedEndpoint();
    ++this->attempts;
    PacketList packets;
    Caller caller({ .key = { endpoint, group.service, Protocol::Tcp },
                    .name = group.name + std::to_string(this->attempts),
                    .isSession = group.isSession,
                    .kind = group.isSession ? RequestKind::Board : RequestKind::Ticket,
                    .bookingShare = group.bookingShare,
                    .minAnswer = group.minAnswer,
                    .maxAnswer = group.maxAnswer,
                    .pause = group.pause,
                    .seed = this->random() },
                  now, packets);
    this->callers.emplace(endpoint, LiveCaller{ std::move(caller), {}, false });
    this->sendToBalancers(packets, now, out);
}

Endpoint Fabric::nextUnusedEndpoint()
{
    for (;;) {
        const std::size_t n = this->nextEndpoint++ % this->options.callerEndpoints;
        const Endpoint endpoint{ std::uint32_t(firstCallerAddress + n / portsPerAddress),
                                 std::uint16_t(firstCallerPort + n % portsPerAddress) };
        if (!this->callers.contains(endpoint))
            return endpoint;
    }
}

void Fabric::sendToBalancers(PacketList &packets, TimePoint now, PacketSends &out)
{
    for (auto &packet : packets) {
        if (this->balancers.empty()) {
            ++this->unrouted;
            continue;
        }
        const auto balancer = std::next(this->balancers.begin(),
                                        std::ptrdiff_t(this->random() % this->balancers.size()));
        this->impair({ balancer->first, std::move(packet) }, now, out);
    }
    packets.clear();
}

void Fabric::impair(PacketInTransit packet, TimePoint now, PacketSends &out)
{
    if (this->chance(this->options.drop))
        return;
    if (this->chance(this->options.duplicate))
        this->deliver(packet, now, out);
    if (this->chance(this->options.reorder)) {
        const Duration delay = std::chrono::duration_cast<Duration>(
                this->options.reorderDelay
                * std::uniform_real_distribution<double>(0, 1)(this->random));
        this->delayedPackets.emplace(now + delay, std::move(packet));
    } else {
        this->deliver(std::move(packet), now, out);
    }
}

void Fabric::deliver(PacketInTransit packet, TimePoint now, PacketSends &out)
{
    if (packet.balancer.port != 0)
        out.push_back({ packet.balancer, std::move(packet.packet) });
    else
        this->deliverToCaller(packet.packet, now, out);
}

void Fabric::deliverToCaller(std::span<const std::uint8_t> packet, TimePoint now, PacketSends &out)
{
    const auto view = parsePacket(packet);
    PacketList packets;
    const auto found = this->callers.find(view->key.destination);
    const bool isKnown =
            found != this->callers.end() && found->second.caller.key() == view->key.reversed();
    if (isKnown) {
        found->second.caller.onPacket(*view, now, packets);
        if (!found->second.isRecorded && found->second.caller.outcome() != CallerOutcome::Running)
            this->recordEnd(found->second, now);
    } else {
        ++this->strays;
        // Answers as a host without that connection does.
        if (!view->has(tcpflag::rst))
            packets.push_back(buildResetFor(*view));
    }
    this->sendToBalancers(packets, now, out);
}

void Fabric::recordEnd(LiveCaller &live, TimePoint now)
{
    const Caller &caller = live.caller;
    live.isRecorded = true;
    // A caller that closed in both directions remains to acknowledge late packets. Others are
    // removed at once, so that their packets are answered with RST.
    live.removeAt = caller.isClosed() ? now + lingerTime : now;
    this->established += caller.isEstablished() ? 1 : 0;
    this->uncleanCloses += caller.isUncleanClose() ? 1 : 0;
    this->answers += caller.answers();
    this->slowest = std::max(this->slowest, caller.slowest());
    if (caller.outcome() == CallerOutcome::Finished) {
        ++this->finished;
        return;
    }
    this->records.push_back({ .flow = toString(caller.key()),
                              .serverSequence = caller.serverSequence(),
                              .outcome = caller.outcome(),
                              .firstRequest = caller.firstRequest(),
                              .endedAt = now });
}

void Fabric::setZoneOut(const std::string &zone, bool isOut, TimePoint now)
{
    if (isOut) {
        this->zonesOut.push_back({ zone, now, TimePoint::max() });
        return;
    }
    for (ZoneOut &out : this->zonesOut) {
        if (out.zone == zone && out.until == TimePoint::max())
            out.until = now + brokenFlowDetectionTime;
    }
}

void Fabric::finish(TimePoint now)
{
    if (!this->isFinishing)
        this->finishedAt = now;
    this->isFinishing = true;
    for (auto &[endpoint, live] : this->callers)
        live.caller.finish();
}

bool Fabric::isDone(TimePoint now) const
{
    return this->isFinishing && (this->callers.empty() || now - this->finishedAt > finishLimit);
}

nlohmann::json Fabric::counters() const
{
    return { { "balancers", this->balancers.size() },
             { "attempts", this->attempts },
             { "live", this->callers.size() },
             { "ended", this->records.size() + this->finished } };
}

bool Fabric::isExcusedByZoneOut(const FlowRecord &record,
                                const nlohmann::json &serverCounters) const
{
    for (const auto &server : serverCounters) {
        const auto accepted = server.at("accepted").find(record.flow);
        if (accepted == server.at("accepted").end() || *accepted != record.serverSequence)
            continue;
        const std::string zone = server.at("zone");
        return std::any_of(this->zonesOut.begin(), this->zonesOut.end(), [&](const ZoneOut &out) {
            return out.zone == zone && record.endedAt >= out.from && record.endedAt <= out.until;
        });
    }
    return false;
}

nlohmann::json Fabric::report(const nlohmann::json &serverCounters) const
{
    std::map<std::string, int> executions;
    std::map<std::string, std::uint64_t> sums;
    for (const auto &server : serverCounters) {
        for (const auto &[id, count] : server.at("executed").items())
            executions[id] += count.get<int>();
        for (const char *name : { "misdelivered", "overloads", "unwarnedOverloads", "shed",
                                  "acceptedAfterDrain", "completions" })
            sums[name] += server.at(name).get<std::uint64_t>();
    }
    std::map<std::string, std::uint64_t> counts{ { "reset", 0 },         { "silent", 0 },
                                                 { "wrongAnswers", 0 },  { "refused", 0 },
                                                 { "unanswered", 0 },    { "zoneOut", 0 },
                                                 { "untrueRefusals", 0 } };
    nlohmann::json broken = nlohmann::json::array();
    for (const FlowRecord &record : this->records) {
        if (record.outcome == CallerOutcome::Refused
            || record.outcome == CallerOutcome::Unanswered) {
            ++counts[record.outcome == CallerOutcome::Refused ? "refused" : "unanswered"];
            counts["untrueRefusals"] += executions.contains(record.firstRequest) ? 1 : 0;
            continue;
        }
        // A wrong answer counts as broken even if the zone was taken out.
        if (record.outcome != CallerOutcome::WrongAnswer
            && this->isExcusedByZoneOut(record, serverCounters)) {
            ++counts["zoneOut"];
            continue;
        }
        const char *kind = record.outcome == CallerOutcome::Reset    ? "reset"
                           : record.outcome == CallerOutcome::Silent ? "silent"
                                                                     : "wrongAnswers";
        ++counts[kind];
        broken.push_back(record.flow + ' ' + kind + ' ' + record.firstRequest);
    }
    const auto duplicated = std::count_if(executions.begin(), executions.end(),
                                          [](const auto &entry) { return entry.second > 1; });
    std::uint64_t unfinished = 0;
    for (const auto &[endpoint, live] : this->callers)
        unfinished += live.isRecorded ? 0 : 1;
    nlohmann::json json{ { "flows", this->established },
                         { "attempts", this->attempts },
                         { "finished", this->finished },
                         { "unfinished", unfinished },
                         { "broken", broken.size() },
                         { "brokenFlows", broken },
                         { "duplicated", duplicated },
                         { "answers", this->answers },
                         { "executed", executions.size() },
                         { "uncleanCloses", this->uncleanCloses },
                         { "strays", this->strays },
                         { "unrouted", this->unrouted },
                         { "slowestAnswerMilliseconds", millisecondsOf(this->slowest) } };
    json.update(counts);
    json.update(sums);
    return json;
}

} // namespace cactusdeck

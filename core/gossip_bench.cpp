#include "core/gossip.h"

#include <benchmark/benchmark.h>

#include "core/controlbus_test.h"

using namespace cactusdeck;
using namespace cactusdeck::controlbus;

namespace {

const TimePoint start = TimePoint{} + 1h;

NodeRecord recordOf(std::size_t index)
{
    return { .id = NodeId{ "booking-" + std::to_string(index) },
             .role = Role::Agent,
             .zone = ZoneName{ "amman-a" },
             .data = { 0x0A00'0000u + std::uint32_t(index), 7100 },
             .control = { 0x0A00'0000u + std::uint32_t(index), 7101 },
             .group = GroupName{ "wadi-rum-booking-" + std::to_string(index / 8) },
             .weight = 5,
             .configuration = 1000 };
}

// A Gossip message that fills one datagram.
Gossip datagram()
{
    Gossip gossip{ .from = NodeId{ "balancer-0" }, .configuration = 1000 };
    while (encodedSize(gossip) + 2 * encodedSize(recordOf(0)) < maxDatagram)
        gossip.records.push_back(recordOf(gossip.records.size()));
    return gossip;
}

void encodeEntry(benchmark::State &state)
{
    const ControlMessage message = datagram();
    const std::size_t entries = std::get<Gossip>(message).records.size();
    while (state.KeepRunning())
        benchmark::DoNotOptimize(encodeMessage(message));
    state.SetItemsProcessed(std::int64_t(state.iterations() * entries));
}

void decodeEntry(benchmark::State &state)
{
    const auto bytes = encodeMessage(datagram());
    const std::size_t entries = datagram().records.size();
    while (state.KeepRunning())
        benchmark::DoNotOptimize(decodeMessage(bytes).value());
    state.SetItemsProcessed(std::int64_t(state.iterations() * entries));
}

void fillTable(Membership &membership, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        membership.merge(recordOf(i), start);
}

// Merges records that the table already has, as is the case for most received copies.
void mergeKnownEntry(benchmark::State &state)
{
    Membership membership({ .self = { .id = NodeId{ "balancer-0" } } });
    const auto count = std::max<std::size_t>(1, std::size_t(state.range(0)));
    fillTable(membership, count);
    std::vector<NodeRecord> records;
    for (std::size_t i = 0; i < count; ++i)
        records.push_back(recordOf(i));
    std::size_t index = 0;
    while (state.KeepRunning())
        benchmark::DoNotOptimize(membership.merge(records[++index % count], start));
    state.SetItemsProcessed(std::int64_t(state.iterations()));
}

void mergeChangedEntry(benchmark::State &state)
{
    Membership membership({ .self = { .id = NodeId{ "balancer-0" } } });
    const auto count = std::max<std::size_t>(1, std::size_t(state.range(0)));
    fillTable(membership, count);
    std::uint32_t sequence = 0;
    while (state.KeepRunning()) {
        NodeRecord record = recordOf(sequence % count);
        record.sequence = ++sequence;
        benchmark::DoNotOptimize(membership.merge(record, start));
        if (sequence % 1024 == 0)
            membership.takeChanges();
    }
    state.SetItemsProcessed(std::int64_t(state.iterations()));
}

// A simulated fleet with 8 agents for each balancer, in groups of 8.
struct Fleet
{
    ControlBus bus{ { .seed = 1, .encodesMessages = false } };
    int count;
    int nextName;

    explicit Fleet(int balancers)
        : count(balancers)
        , nextName(balancers)
    {
        // Nodes start one after another, as in a rollout. In a fleet that starts at once there is
        // no node from which the others could learn the members.
        for (int i = 0; i < balancers; ++i) {
            this->bus.addBalancer("balancer-" + std::to_string(i));
            this->bus.addAgents(8, "group-" + std::to_string(i));
            this->bus.run(100ms);
        }
        this->settle();
    }
    void settle()
    {
        this->bus.runUntil(300s, [&] {
            return this->bus.now().time_since_epoch() % 1s == 0s && this->bus.isConverged();
        });
        this->bus.run(30s);
    }
    std::uint64_t balancerBytes()
    {
        std::uint64_t bytes = 0;
        for (BusNode *each : this->bus.balancers())
            bytes += each->sentBytes;
        return bytes;
    }
    double balancerRate(Duration duration, const std::function<void()> &everySecond)
    {
        const std::uint64_t before = this->balancerBytes();
        for (Duration elapsed = 0s; elapsed < duration; elapsed += 1s) {
            everySecond();
            this->bus.run(1s);
        }
        const double seconds = std::chrono::duration<double>(duration).count();
        return double(this->balancerBytes() - before) / seconds / this->count;
    }
    double spreadSeconds(const std::string &name,
                         const std::function<void(Announcer &, Outbox &)> &change,
                         const std::function<bool(const NodeRecord &)> &known)
    {
        BusNode &agent = this->bus.node(name);
        this->bus.act(agent, [&](Outbox &outbox) { change(*agent.announcer, outbox); });
        const auto all = this->bus.balancers();
        const auto time = this->bus.runUntil(60s, [&] {
            return std::all_of(all.begin(), all.end(), [&](BusNode *each) {
                return known(*each->membership->find(agent.id));
            });
        });
        return std::chrono::duration<double>(time).count();
    }
    double drainSeconds(const std::string &name)
    {
        return this->spreadSeconds(
                name,
                [&](Announcer &announcer, Outbox &outbox) {
                    announcer.setPhase(Phase::Draining, this->bus.now(), outbox);
                },
                [](const NodeRecord &record) { return record.phase == Phase::Draining; });
    }
    double deathSeconds(const std::string &name)
    {
        const BusNode &agent = this->bus.node(name);
        this->bus.kill(this->bus.node(name));
        const auto time = this->bus.runUntil(60s, [&] {
            return this->bus.countSeenAs(agent.id, Liveness::Dead) == this->count;
        });
        return std::chrono::duration<double>(time).count();
    }
    // One agent of the group leaves and another one joins it in phase Cold.
    void replaceAgent(int group)
    {
        const std::string name = "group-" + std::to_string(group);
        for (BusNode *each : this->bus.upNodes()) {
            if (each->isBalancer() || each->announcer->self().group.value != name)
                continue;
            this->bus.act(*each,
                          [&](Outbox &outbox) { each->announcer->leave(this->bus.now(), outbox); });
            this->bus.kill(*each);
            break;
        }
        BusNode &next =
                this->bus.addAgent(name + "-next-" + std::to_string(this->nextName++), name);
        this->bus.act(next, [&](Outbox &outbox) {
            next.announcer->setPhase(Phase::Cold, this->bus.now(), outbox);
        });
    }
};

// Measures the simulated time until all balancers know a change, and the control bytes that each
// balancer sends per second, without changes and with 2,100 replacements of agents a day (one every
// 41 s, independent of the size of the fleet).
void fleetRun(benchmark::State &state)
{
    while (state.KeepRunning()) {
        const int count = int(state.range(0));
        Fleet fleet(count);
        state.counters["steadyBytes"] = fleet.balancerRate(60s, [] {});
        state.counters["drainSeconds"] = fleet.drainSeconds("group-0-0");
        state.counters["deathSeconds"] = fleet.deathSeconds("group-1-1");
        fleet.bus.run(10s);
        int second = 0;
        state.counters["churnBytes"] = fleet.balancerRate(246s, [&] {
            if (second++ % 41 == 0)
                fleet.replaceAgent(2 + second / 41 % (count - 2));
        });
        BusNode &joiner = fleet.bus.addBalancer("balancer-joiner");
        const auto joined = fleet.bus.runUntil(120s, [&] { return joiner.gossip->isJoined(); });
        state.counters["joinSeconds"] = std::chrono::duration<double>(joined).count();
        std::size_t window = 0;
        for (BusNode *each : fleet.bus.balancers())
            window = std::max(window, each->largestWindow);
        state.counters["largest10s"] = double(window);
        state.counters["deaths"] = fleet.bus.events["dead"];
        state.counters["suspicions"] = fleet.bus.events["suspect"];
    }
}

} // namespace

BENCHMARK(encodeEntry);
BENCHMARK(decodeEntry);
BENCHMARK(mergeKnownEntry)->Arg(100)->Arg(6960);
BENCHMARK(mergeChangedEntry)->Arg(100)->Arg(6960);
BENCHMARK(fleetRun)->Arg(10)->Arg(30)->Arg(100)->Arg(300)->Iterations(1)->Unit(benchmark::kSecond);

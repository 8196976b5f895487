#include "core/forwarder.h"

#include <benchmark/benchmark.h>

#include <algorithm>

#include "core/allocationcount_bench.h"

using namespace cactusdeck;
using namespace std::chrono_literals;

namespace {

constexpr int agentsPerService = 7;

Endpoint addressOf(std::size_t service)
{
    return { 0xC6330000u + std::uint32_t(service), 443 };
}

void addService(Forwarder &forwarder, std::size_t service)
{
    std::vector<Member> members;
    ServiceRoute route{ .id = ServiceId(service + 1) };
    for (int i = 0; i < agentsPerService; ++i) {
        const std::size_t number = service * agentsPerService + std::size_t(i);
        const NodeRecord record{ .id = { "agent-" + std::to_string(number) },
                                 .role = Role::Agent,
                                 .data = { 0x7F000000u + std::uint32_t(number), 8000 },
                                 .weight = 4 };
        route.serviceAgents.push_back(forwarder.agents().update(record, false));
        members.push_back({ record.id, record.weight });
    }
    route.table = PlacementTable(members);
    for (const Member &member : route.table.members())
        route.memberSlots.push_back(*forwarder.agents().find(member.id));
    forwarder.routing().setService(std::move(route), { { addressOf(service), Protocol::Tcp } });
}

FlowKey flowOf(std::size_t number, std::size_t services)
{
    return { { 0x0A000000u + std::uint32_t(number / 50000), std::uint16_t(1024 + number % 50000) },
             addressOf(number % services),
             Protocol::Tcp };
}

// Routes packets of established flows with a cached owner, in an order that jumps through the
// flows.
void forwardingDecision(benchmark::State &state)
{
    const auto flows = std::size_t(std::max<std::int64_t>(1, state.range(0)));
    const auto services = std::size_t(std::max<std::int64_t>(1, state.range(1)));
    Forwarder forwarder({ .replyTo = { 0x7F000001, 7100 }, .flowCacheEntries = 1 << 20 });
    for (std::size_t service = 0; service < services; ++service)
        addService(forwarder, service);
    TimePoint now{ 1h };
    ForwardFrame frame;
    std::vector<FlowKey> keys(flows);
    const std::vector<std::uint8_t> bytes = buildPacket({ .flags = tcpflag::ack });
    for (std::size_t i = 0; i < flows; ++i) {
        keys[i] = flowOf(i, services);
        forwarder.onReply(
                { .verdict = Verdict::Owner,
                  .flowHash = hashOf(keys[i]),
                  .agent = { 0x7F000000u + std::uint32_t(i % services * agentsPerService), 8000 } },
                now);
    }
    PacketView view;
    view.bytes = bytes;
    view.flags = tcpflag::ack;
    std::size_t index = 0;
    std::size_t misses = 0;
    const std::uint64_t before = allocationCount();
    for ([[maybe_unused]] auto _ : state) {
        index = (index + 7919) % flows;
        view.key = keys[index];
        const RouteReason reason = forwarder.route(view, now, frame);
        benchmark::DoNotOptimize(frame);
        misses += reason == RouteReason::CachedOwner ? 0 : 1;
    }
    state.counters["allocations"] = double(allocationCount() - before);
    state.counters["miss_share"] = double(misses) / double(state.iterations());
}
BENCHMARK(forwardingDecision)
        ->ArgsProduct({ { 1000, 10000, 100000, 500000 }, { 10, 1500 } })
        ->ArgNames({ "flows", "services" });

// Routes SYNs of new flows, which compares the loads of home agents and builds a chain in the order
// of the placement table.
void newFlowDecision(benchmark::State &state)
{
    Forwarder forwarder({ .replyTo = { 0x7F000001, 7100 }, .flowCacheEntries = 1 << 20 });
    addService(forwarder, 0);
    TimePoint now{ 1h };
    ForwardFrame frame;
    const std::vector<std::uint8_t> bytes = buildPacket({ .flags = tcpflag::syn });
    PacketView view;
    view.bytes = bytes;
    view.flags = tcpflag::syn;
    std::size_t number = 0;
    const std::uint64_t before = allocationCount();
    for ([[maybe_unused]] auto _ : state) {
        view.key = flowOf(number++, 1);
        benchmark::DoNotOptimize(forwarder.route(view, now, frame));
        now += 1us;
    }
    state.counters["allocations"] = double(allocationCount() - before);
}
BENCHMARK(newFlowDecision);

void placementTableBuild(benchmark::State &state)
{
    std::vector<Member> members;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        members.push_back({ NodeId{ "agent-" + std::to_string(i) }, 4 });
    for ([[maybe_unused]] auto _ : state) {
        PlacementTable table(members);
        benchmark::DoNotOptimize(table.digest());
    }
}
BENCHMARK(placementTableBuild)->Arg(4)->Arg(7)->Arg(70)->Arg(700)->Arg(6200);

} // namespace

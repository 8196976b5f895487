#include "core/admission.h"

#include <benchmark/benchmark.h>

#include "core/agent_test.h"

// Measures the cost of an admission decision, and of Agent::onFrame for a packet of an established
// flow.

using namespace cactusdeck;
using namespace cactusdeck::testing;
using namespace std::chrono_literals;

namespace {

class NullSink : public DataSink
{
public:
    void toServer(std::span<const std::uint8_t> packet) override
    {
        benchmark::DoNotOptimize(packet.data());
        ++this->delivered;
    }
    void toFabric(std::span<const std::uint8_t>) override { }
    void toNode(Endpoint, std::span<const std::uint8_t>, std::span<const std::uint8_t>) override { }

    std::uint64_t delivered = 0;
};

void admissionDecision(benchmark::State &state)
{
    Admission admission;
    const TimePoint now{ 1000s };
    admission.start(now);
    admission.setLimits({ .slots = 5, .coldSlots = 1, .connections = 2000 });
    while (state.KeepRunning()) {
        const FlowDecision decision = admission.decideFlow({ .connections = 100 }, now);
        const auto ticket = admission.begin(now);
        benchmark::DoNotOptimize(decision);
        admission.onFirstResponse(*ticket, now);
        admission.end(*ticket, now);
    }
}
BENCHMARK(admissionDecision);

// Delivers acknowledgements of 100 flows in turn.
void establishedPacket(benchmark::State &state)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    std::vector<std::unique_ptr<Caller>> callers;
    std::vector<Bytes> datagrams;
    while (datagrams.size() < 100) {
        callers.push_back(std::make_unique<Caller>(network));
        callers.back()->open({ &a });
        datagrams.push_back(
                network.datagram(network.forward({ &a }, 0), callers.back()->packet(tcpflag::ack)));
        network.advance(1s, 1s); // until the new flow no longer counts as waiting
    }
    a.outbox.clear();
    NullSink sink;
    std::size_t i = 0;
    while (state.KeepRunning()) {
        a.agent.onFrame(datagrams[i], network.now, sink, a.outbox);
        i = i + 1 == datagrams.size() ? 0 : i + 1;
    }
    if (sink.delivered != std::uint64_t(state.iterations()))
        state.SkipWithError("not all packets were delivered");
    state.SetItemsProcessed(std::int64_t(sink.delivered));
}
BENCHMARK(establishedPacket);

} // namespace

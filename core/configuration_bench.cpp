#include "core/configuration.h"

#include <benchmark/benchmark.h>

#include "core/message.h"

using namespace cactusdeck;

namespace {

constexpr int serviceCount = 1500; // of the largest planned deployment

ServiceContract contractOf(int index, std::uint32_t slots)
{
    ServiceContract contract;
    contract.service.value = "service-";
    contract.service.value += std::to_string(index);
    contract.id = serviceIdOf(contract.service);
    contract.owner = "team";
    contract.addresses = { { { 0xC6336400u + std::uint32_t(index), 443 }, Protocol::Tcp } };
    contract.groups = { { "group-" } };
    contract.groups[0].value += std::to_string(index / 4);
    contract.slots = slots;
    contract.connections = 2000;
    return contract;
}

struct Version
{
    ConfigurationHead head;
    std::vector<ContractPointer> contracts;
};

Version versionOf(ConfigurationVersion number)
{
    Version version;
    for (ConfigurationVersion v = 1; v <= number; ++v)
        addChange(version.head,
                  { v, std::to_string(v), "author", std::chrono::milliseconds(v), "1 changed" });
    for (int i = 0; i < serviceCount; ++i) {
        // Each version changes one contract.
        const ServiceContract contract = contractOf(i, i == int(number) ? 9 : 5);
        const std::string hash = contractHash(contractText(contract));
        version.head.services[contract.service] = hash;
        version.contracts.push_back(
                std::make_shared<PublishedContract>(PublishedContract{ contract, hash, hash }));
    }
    return version;
}

ConfigurationPointer build(const Version &version)
{
    return Configuration::build(version.head, version.contracts).value();
}

void parseServiceObject(benchmark::State &state)
{
    const ServiceContract contract = contractOf(1, 5);
    const std::string text = contractText(contract);
    const std::string hash = contractHash(text);
    for ([[maybe_unused]] auto _ : state)
        benchmark::DoNotOptimize(parsePublished(text, contract.service, hash).value());
}
BENCHMARK(parseServiceObject);

void buildConfiguration(benchmark::State &state)
{
    const Version version = versionOf(100);
    for ([[maybe_unused]] auto _ : state)
        benchmark::DoNotOptimize(build(version));
}
BENCHMARK(buildConfiguration);

void parseStoreHead(benchmark::State &state)
{
    const std::string text = headText(versionOf(100).head);
    for ([[maybe_unused]] auto _ : state)
        benchmark::DoNotOptimize(parseHead(text).value());
    state.counters["bytes"] = double(text.size());
}
BENCHMARK(parseStoreHead);

struct Step
{
    ConfigurationPointer base = build(versionOf(99));
    ConfigurationPointer target = build(versionOf(100));
};

void encodeDelta(benchmark::State &state, const std::optional<GroupName> &group)
{
    const Step step;
    std::size_t bytes = 0;
    for ([[maybe_unused]] auto _ : state)
        bytes = encodeMessage(deltaBetween(step.base.get(), *step.target, group)).size();
    state.counters["bytes"] = double(bytes);
}
BENCHMARK_CAPTURE(encodeDelta, ofBalancer, std::nullopt);
BENCHMARK_CAPTURE(encodeDelta, ofAgent, GroupName{ "group-25" });

void encodeSnapshot(benchmark::State &state)
{
    const Step step;
    std::size_t bytes = 0;
    for ([[maybe_unused]] auto _ : state)
        bytes = encodeMessage(deltaBetween(nullptr, *step.target, {})).size();
    state.counters["bytes"] = double(bytes);
}
BENCHMARK(encodeSnapshot);

void applyDeltaOfOneService(benchmark::State &state)
{
    const Step step;
    const ConfigurationDelta delta = deltaBetween(step.base.get(), *step.target, {});
    for ([[maybe_unused]] auto _ : state)
        benchmark::DoNotOptimize(applyDelta(*step.base, delta).value());
}
BENCHMARK(applyDeltaOfOneService);

void applySnapshot(benchmark::State &state)
{
    const Step step;
    const ConfigurationDelta delta = deltaBetween(nullptr, *step.target, {});
    const Configuration empty;
    for ([[maybe_unused]] auto _ : state)
        benchmark::DoNotOptimize(applyDelta(empty, delta).value());
}
BENCHMARK(applySnapshot);

void findByAddress(benchmark::State &state)
{
    const Step step;
    std::uint32_t index = 0;
    for ([[maybe_unused]] auto _ : state) {
        index = (index + 97) % serviceCount;
        benchmark::DoNotOptimize(step.target->find({ 0xC6336400u + index, 443 }, Protocol::Tcp));
    }
}
BENCHMARK(findByAddress);

} // namespace

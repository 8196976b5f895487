#include <algorithm>

#include "scenario/site.h"

// Computes the measures that expectations refer to. docs/scenarios.md explains their names.

namespace cactusdeck::scenario {

namespace {

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

std::map<std::string, std::uint64_t> Site::completions()
{
    std::map<std::string, std::uint64_t> result;
    for (Machine *machine : this->upMachines()) {
        if (BackendServer *backend = machine->backend())
            result[machine->location().machine] = backend->counters(this->simulation.now(), 0)
                                                          .at("completions")
                                                          .get<std::uint64_t>();
    }
    return result;
}

void Site::beginMeasuring()
{
    this->completionsAtMeasureStart = this->completions();
    this->storeCallsAtMeasureStart = this->store.calls;
    this->measureStart = this->simulation.elapsed();
}

// Load is completed requests per unit of a server's speed. Returns the highest load of any server
// over the mean of its service, for the service where this ratio is largest.
double Site::imbalance()
{
    struct Loads
    {
        double sum = 0;
        double highest = 0;
        int servers = 0;
    };
    const auto current = this->completions();
    std::map<std::string, Loads> services;
    for (Machine *machine : this->upMachines()) {
        const auto before = this->completionsAtMeasureStart.find(machine->location().machine);
        if (before == this->completionsAtMeasureStart.end())
            continue;
        const double load = double(current.at(before->first) - before->second) / machine->speed();
        Loads &loads = services[this->serviceOf.at(machine)];
        loads.sum += load;
        loads.highest = std::max(loads.highest, load);
        ++loads.servers;
    }
    double worst = 0;
    for (const auto &[service, loads] : services) {
        if (loads.sum > 0)
            worst = std::max(worst, loads.highest * loads.servers / loads.sum);
    }
    return worst;
}

void Site::addFabricMeasures(Measures &measures, const nlohmann::json &report) const
{
    const auto value = [&](const char *name) { return report.at(name).get<double>(); };
    measures["broken"] = value("broken") + value("unfinished");
    measures["wrong_answers"] = value("wrongAnswers");
    measures["misdelivered"] = value("misdelivered");
    measures["duplicated"] = value("duplicated");
    measures["untrue_refusals"] = value("untrueRefusals");
    measures["cold_overload"] = value("overloads");
    measures["unwarned_overload"] = value("unwarnedOverloads");
    measures["flows"] = value("flows");
    measures["attempts"] = value("attempts");
    measures["answers"] = value("answers");
    measures["zone_flows"] = value("zoneOut"); // ended by taking their zone out; not in broken
    measures["slowest_answer"] = value("slowestAnswerMilliseconds") / 1000;
    measures["served"] =
            1 - (value("refused") + value("unanswered")) / std::max(1.0, value("attempts"));
    if (this->options.log == nullptr)
        return;
    for (const auto &flow : report.at("brokenFlows"))
        *this->options.log << "broken=" << flow << '\n';
}

Measures Site::measures()
{
    Measures measures;
    nlohmann::json servers = nlohmann::json::array();
    Duration newAfterDrain{};
    for (const auto &machine : this->machines) {
        if (BackendServer *backend = machine->backend())
            servers.push_back(backend->counters(this->simulation.now(), 0));
        if (machine->backend() && machine->stoppedAt && machine->lastNewFlow)
            newAfterDrain = std::max(newAfterDrain, *machine->lastNewFlow - *machine->stoppedAt);
    }
    if (this->options.log != nullptr) {
        for (Machine *machine : this->upMachines())
            *this->options.log << "status=" << machine->status() << '\n';
        for (nlohmann::json server : servers) {
            server.erase("executed");
            server.erase("accepted");
            *this->options.log << "server=" << server << '\n';
        }
    }
    this->addFabricMeasures(measures, this->fabric->report(servers));
    this->changes.addTo(measures);
    Duration lastPacket{};
    for (const auto &[name, zone] : this->zones)
        lastPacket = std::max(lastPacket, zone.lastPacket());
    measures["zone_out_last_packet"] = secondsOf(lastPacket);
    measures["new_after_drain"] = secondsOf(newAfterDrain);
    measures["control_rate"] = this->controlRate;
    measures["imbalance"] = this->imbalance();
    measures["store_rate"] = double(this->store.calls - this->storeCallsAtMeasureStart)
                             / secondsOf(this->simulation.elapsed() - this->measureStart);
    return measures;
}

} // namespace cactusdeck::scenario

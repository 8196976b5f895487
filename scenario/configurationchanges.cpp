#include "scenario/configurationchanges.h"

#include <algorithm>

namespace cactusdeck::scenario {

namespace {

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

ConfigurationChanges::ConfigurationChanges(Simulation &ownSimulation, StoreModel &ownStore)
    : simulation(ownSimulation)
    , store(ownStore)
{
    this->store.onHeadWritten = [this](const std::string &value) { this->onHeadWritten(value); };
}

template <typename Start>
void ConfigurationChanges::startChange(Start start)
{
    Operator &user = this->operators.emplace_back();
    const std::string changeId = "change-" + std::to_string(this->operators.size());
    user.calls = std::make_unique<StoreCalls>(
            StoreCallOptions{ .seed = this->simulation.random()(), .callsPerSecond = 200 });
    user.publisher = std::make_unique<Publisher>(
            *user.calls, PublisherOptions{ .changeId = changeId,
                                           .author = "operator",
                                           .reason = "scenario",
                                           .knownZones = this->knownZones,
                                           .newestKnown = this->newestInForce });
    Outbox outbox;
    start(*user.publisher, outbox);
    this->sendStoreCalls(user, outbox);
}

void ConfigurationChanges::publish(const std::vector<ServiceContract> &contracts)
{
    this->startChange([&](Publisher &publisher, Outbox &outbox) {
        publisher.publish(contracts, this->simulation.now(), outbox);
    });
}

void ConfigurationChanges::setZone(const std::string &zone, ZoneState state)
{
    this->startChange([&](Publisher &publisher, Outbox &outbox) {
        publisher.setZone({ zone }, state, this->simulation.now(), outbox);
    });
}

void ConfigurationChanges::sendStoreCalls(Operator &user, Outbox &outbox)
{
    for (const StoreCall &call : outbox.store) {
        this->store.execute(call, [this, &user](const StoreAnswer &answer) {
            Outbox next;
            if (!user.publisher->outcome())
                user.publisher->onAnswer(answer, this->simulation.now(), next);
            this->sendStoreCalls(user, next);
        });
    }
    outbox.clear();
}

void ConfigurationChanges::countOutcome(Operator &user)
{
    const auto &outcome = user.publisher->outcome();
    if (!outcome || user.isCounted)
        return;
    user.isCounted = true;
    ++this->outcomes[outcome->result];
    // The operator was told that the change is in effect. It was reverted if no commit has its
    // version, or that of another change has.
    const auto commit = this->commits.find(outcome->version);
    if (outcome->result == PublishResult::Accepted
        && (commit == this->commits.end() || commit->second.changeId != outcome->changeId))
        ++this->reverts;
}

void ConfigurationChanges::onHeadWritten(const std::string &value)
{
    const nlohmann::json head = nlohmann::json::parse(value);
    const auto version = head.at("version").get<ConfigurationVersion>();
    const auto changeId = head.at("changeId").get<std::string>();
    const auto newest = this->commits.rbegin();
    if (newest != this->commits.rend()
        && (version < newest->first
            || (version == newest->first && changeId != newest->second.changeId)))
        ++this->reverts;
    this->commits.try_emplace(version, Commit{ this->simulation.now(), changeId, false });
    for (const auto &[zone, state] : head.at("zones").items())
        this->onZoneState(zone, state.get<std::string>() == "out");
}

void ConfigurationChanges::tick(const std::vector<Machine *> &machines)
{
    for (Operator &user : this->operators) {
        Outbox outbox;
        if (!user.publisher->outcome())
            user.publisher->onTimer(this->simulation.now(), outbox);
        this->sendStoreCalls(user, outbox);
        this->countOutcome(user);
    }
    this->measurePropagation(machines);
    this->countReverts(machines);
}

void ConfigurationChanges::measurePropagation(const std::vector<Machine *> &machines)
{
    for (auto &[version, commit] : this->commits) {
        if (commit.isPropagated)
            continue;
        commit.isPropagated = true;
        for (const Machine *machine : machines) {
            const TimePoint since = std::max(commit.time, machine->reachableSince);
            if (machine->version() >= version || since > this->simulation.now())
                continue;
            commit.isPropagated = false;
            this->slowestPropagation =
                    std::max(this->slowestPropagation, this->simulation.now() - since);
        }
    }
}

void ConfigurationChanges::countReverts(const std::vector<Machine *> &machines)
{
    for (Machine *machine : machines) {
        const ConfigurationVersion version = machine->version();
        this->reverts += version < machine->highestVersion ? 1 : 0;
        machine->highestVersion = std::max(machine->highestVersion, version);
        this->newestInForce = std::max(this->newestInForce, version);
    }
}

void ConfigurationChanges::addTo(Measures &measures) const
{
    const auto count = [&](PublishResult result) {
        const auto found = this->outcomes.find(result);
        return found == this->outcomes.end() ? 0 : found->second;
    };
    measures["accepted"] = count(PublishResult::Accepted);
    measures["conflicts"] = count(PublishResult::Conflict);
    measures["not_accepted"] = count(PublishResult::NotAccepted);
    measures["outcome_unknown"] = count(PublishResult::OutcomeUnknown);
    measures["rejected"] = count(PublishResult::Rejected);
    measures["in_force"] = secondsOf(this->slowestPropagation);
    measures["reverts"] = this->reverts;
}

} // namespace cactusdeck::scenario

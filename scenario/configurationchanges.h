#ifndef CACTUSDECK_SCENARIO_CONFIGURATIONCHANGES_H
#define CACTUSDECK_SCENARIO_CONFIGURATIONCHANGES_H

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <vector>

#include "core/publisher.h"
#include "scenario/machine.h"
#include "scenario/measures.h"
#include "scenario/storemodel.h"

// Configuration changes that simulated operators publish. Each change runs its own Publisher
// against the modelled store; the time until every machine has adopted it is measured.
//
//     ConfigurationChanges changes(simulation, store);
//     changes.publish(contracts);
//     changes.tick(machines);                    // every tickInterval

namespace cactusdeck::scenario {

class ConfigurationChanges
{
public:
    ConfigurationChanges(Simulation &ownSimulation, StoreModel &ownStore);

    void publish(const std::vector<ServiceContract> &contracts);
    void setZone(const std::string &zone, ZoneState state);
    void tick(const std::vector<Machine *> &machines);
    void addTo(Measures &measures) const;

    // Zones that a change may name; the publisher rejects others.
    std::vector<ZoneName> knownZones;
    // Called for each zone in a configuration head that has been written to the store.
    std::function<void(const std::string &zone, bool isOut)> onZoneState;

private:
    struct Operator
    {
        std::unique_ptr<StoreCalls> calls;
        std::unique_ptr<Publisher> publisher;
        bool isCounted = false;
    };
    struct Commit
    {
        TimePoint time;
        std::string changeId;
        bool isPropagated = false;
    };

    template <typename Start>
    void startChange(Start start);
    void sendStoreCalls(Operator &user, Outbox &outbox);
    void countOutcome(Operator &user);
    void onHeadWritten(const std::string &value);
    void measurePropagation(const std::vector<Machine *> &machines);
    void countReverts(const std::vector<Machine *> &machines);

    Simulation &simulation;
    StoreModel &store;
    std::list<Operator> operators;
    std::map<ConfigurationVersion, Commit> commits;
    std::map<PublishResult, int> outcomes;
    Duration slowestPropagation{}; // longest time from a commit until a machine adopted it
    int reverts = 0;
    ConfigurationVersion newestInForce = 0;
};

} // namespace cactusdeck::scenario

#endif // CACTUSDECK_SCENARIO_CONFIGURATIONCHANGES_H

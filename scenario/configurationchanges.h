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

// The operators with their publishers, and how their changes spread over the nodes.
//
//     Changes changes(world, store);
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

    // Zones that operators may name.
    std::vector<ZoneName> knownZones;
    // The committed state of each zone that the head names.
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
    Duration slowestPropagation{}; // from commit to the last node
    int reverts = 0;
    ConfigurationVersion newestInForce = 0;
};

} // namespace cactusdeck::scenario

#endif // CACTUSDECK_SCENARIO_CONFIGURATIONCHANGES_H

#ifndef CACTUSDECK_SCENARIO_SITE_H
#define CACTUSDECK_SCENARIO_SITE_H

#include <iosfwd>
#include <map>
#include <memory>
#include <set>

#include "scenario/configurationchanges.h"
#include "scenario/zone.h"
#include "standin/fabric.h"

// The simulated deployment that a scenario runs: zones, machines, network, store, operators and
// callers.
//
//     Site site({ .seed = 1 });
//     site.addService(contract);
//     site.startBalancer("b1", "amman-a");
//     site.startServer("s1", "amman-a", "booking", {});
//     site.run(std::chrono::seconds(60));
//     site.finish();
//     Measures measures = site.measures();

namespace cactusdeck::scenario {

// Mechanisms of the system that can be disabled by altering or dropping their messages, to verify
// that a scenario without them fails.
enum class Mechanism : std::uint8_t {
    Chain, // forward frames are cut to a single hop
    Holdings, // the agents' holdings reports are dropped
    Notices, // configuration notices are dropped
    Replies, // reply frames are dropped
    Gossip, // gossip about membership changes is dropped
};

struct SiteOptions
{
    std::uint64_t seed = 1;
    const PlacementStrategy *placement = &weightedRendezvous;
    std::optional<Mechanism> without;
    std::ostream *log = nullptr;
    // When callers start; servers are announced by then.
    Duration trafficAfter = std::chrono::seconds(5);
};

class Site
{
public:
    explicit Site(SiteOptions siteOptions);

    // Setup, to be called before run().
    void addService(const ServiceContract &contract);
    void addCallers(const CallerGroup &group) { this->fabricOptions.groups.push_back(group); }
    void setPlacement(const PlacementStrategy &strategy) { this->options.placement = &strategy; }
    void setTrafficAfter(Duration duration) { this->options.trafficAfter = duration; }

    Machine &startBalancer(const std::string &name, const std::string &zone);
    // If reusing names an earlier machine, the new one gets its address.
    Machine &startServer(const std::string &name, const std::string &zone,
                         const std::string &service, BackendOptions backend,
                         const std::string &reusing = {});
    // Throws std::out_of_range if no machine of that name is up.
    Machine &machine(const std::string &name);
    ServiceContract &contract(const std::string &service) { return this->contracts.at(service); }
    bool hasZone(const std::string &name) const { return this->zones.contains(name); }
    void addZone(const std::string &name);

    // Control endpoints of the balancers that are up: the seeds of a node that starts now.
    // If there are none before the run, the addresses that the first balancers will get.
    std::vector<Endpoint> seeds() const;
    void publish();
    void setZone(const std::string &name, ZoneState state);
    void heal(const std::string &name, Traffic traffic);
    void beginMeasuring();
    void run(Duration duration);
    // Stops the callers and runs on until they are done.
    void finish();
    Measures measures();

    Simulation simulation;
    Network network{ this->simulation };
    StoreModel store{ this->simulation };

private:
    void begin();
    void tick();
    void fastTick();
    void sendData(Machine &from, Endpoint to, std::vector<std::uint8_t> bytes);
    void sendControl(Machine &from, const ControlSend &send);
    void callStore(Machine &from, const StoreCall &call);
    void log(const Machine &from, const Event &event);
    void sendFromFabric(PacketSends &sends);
    void deliverData(Endpoint to, const std::vector<std::uint8_t> &bytes);
    void recordControlTraffic(Machine &from, std::size_t size);
    bool isSuppressed(std::vector<std::uint8_t> &frame) const;
    bool isSuppressed(const ControlMessage &message) const;
    Machine &launch(std::unique_ptr<Machine> machine);
    std::vector<Machine *> upMachines();
    Machine *machineAt(Endpoint endpoint);
    std::map<std::string, std::uint64_t> completions();
    double imbalance();
    void addFabricMeasures(Measures &measures, const nlohmann::json &report) const;

    SiteOptions options;
    MachineEnvironment machineEnvironment;
    ConfigurationChanges changes{ this->simulation, this->store };
    std::map<std::string, ServiceContract> contracts;
    std::map<std::string, Zone> zones;
    std::vector<std::unique_ptr<Machine>> machines; // includes failed and stopped ones
    std::map<Machine *, std::string> serviceOf;
    std::map<Endpoint, Machine *> endpoints; // by data and by control endpoint
    std::map<std::string, std::uint64_t> completionsAtMeasureStart; // by server name
    std::uint64_t storeCallsAtMeasureStart = 0;
    Duration measureStart{};
    FabricOptions fabricOptions;
    std::unique_ptr<Fabric> fabric;
    std::uint32_t nextBalancer = 1;
    std::uint32_t nextServer = 1;
    double controlRate = 0; // bytes per second of control traffic, highest of any machine
    bool hasBegun = false;
};

} // namespace cactusdeck::scenario

#endif // CACTUSDECK_SCENARIO_SITE_H

#ifndef CACTUSDECK_SCENARIO_SITE_H
#define CACTUSDECK_SCENARIO_SITE_H

#include <iosfwd>
#include <map>
#include <memory>
#include <set>

#include "scenario/configurationchanges.h"
#include "scenario/zone.h"
#include "standin/fabric.h"

// Everything that a scenario runs: zones, machines, network, store, operators and callers.
//
//     Site site({ .seed = 1 });
//     site.addService(contract);
//     site.startBalancer("b1", "amman-a");
//     site.startServer("s1", "amman-a", "booking", {});
//     site.run(std::chrono::seconds(60));
//     site.finish();
//     Measures measures = site.measures();

namespace cactusdeck::scenario {

// Parts of the system that can be made ineffective on the links, to see which check notices.
enum class Mechanism : std::uint8_t {
    Chain, // forward frames have one hop
    Holdings, // agents' reports are lost
    Notices, // configuration notices are lost
    Replies, // reply frames are lost
    Gossip, // changes of membership are lost
};

struct SiteOptions
{
    std::uint64_t seed = 1;
    const PlacementStrategy *placement = &weightedRendezvous;
    std::optional<Mechanism> without;
    std::ostream *log = nullptr;
    Duration trafficAfter = std::chrono::seconds(5); // callers begin; servers are announced by then
};

class Site
{
public:
    explicit Site(SiteOptions siteOptions);

    // Before the run.
    void addService(const ServiceContract &contract);
    void addCallers(const CallerGroup &group) { this->fabricOptions.groups.push_back(group); }
    void setPlacement(const PlacementStrategy &strategy) { this->options.placement = &strategy; }
    void setTrafficAfter(Duration duration) { this->options.trafficAfter = duration; }

    Machine &startBalancer(const std::string &name, const std::string &zone);
    // With reusing, the machine gets the addresses of one that is gone.
    Machine &startServer(const std::string &name, const std::string &zone,
                         const std::string &service, BackendOptions backend,
                         const std::string &reusing = {});
    // Throws std::out_of_range when no machine of the name is up.
    Machine &machine(const std::string &name);
    ServiceContract &contract(const std::string &service) { return this->contracts.at(service); }
    bool hasZone(const std::string &name) const { return this->zones.contains(name); }
    void addZone(const std::string &name);

    // Control endpoints of balancers, as settings would name them at this time.
    std::vector<Endpoint> seeds() const;
    void publish();
    void setZone(const std::string &name, ZoneState state);
    void heal(const std::string &name, Traffic traffic);
    void beginMeasuring();
    void run(Duration duration);
    // Ends the callers and waits for them.
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
    std::vector<std::unique_ptr<Machine>> machines; // also those that are gone
    std::map<Machine *, std::string> serviceOf;
    std::map<Endpoint, Machine *> endpoints; // data and control
    std::map<std::string, std::uint64_t> completionsAtMeasureStart; // completions by server
    std::uint64_t storeCallsAtMeasureStart = 0;
    Duration measureStart{};
    FabricOptions fabricOptions;
    std::unique_ptr<Fabric> fabric;
    std::uint32_t nextBalancer = 1;
    std::uint32_t nextServer = 1;
    double controlRate = 0; // bytes per second, highest of any node
    bool hasBegun = false;
};

} // namespace cactusdeck::scenario

#endif // CACTUSDECK_SCENARIO_SITE_H

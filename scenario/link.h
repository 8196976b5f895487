#ifndef CACTUSDECK_SCENARIO_LINK_H
#define CACTUSDECK_SCENARIO_LINK_H

#include <array>
#include <set>
#include <string>

#include "scenario/simulation.h"

// The simulated network between machines: loss, delay, duplication and partitions, set separately
// for data and control traffic.
//
//     Network network(simulation);
//     network.link(Traffic::Control).loss = 0.2;
//     network.cut("amman-a", Traffic::Control);
//     network.send(from, to, Traffic::Control, [=] { ... });

namespace cactusdeck::scenario {

enum class Traffic : std::uint8_t { Data, Control };

struct Link
{
    double loss = 0;
    double duplication = 0;
    Duration delay = std::chrono::milliseconds(1);
    // Upper bound of an extra delay, uniformly distributed from 0, which reorders packets.
    Duration jitter = std::chrono::microseconds(200);
};

// Source or destination of a packet. The fabric and the store have no zone.
struct Location
{
    std::string machine;
    std::string zone;
};

class Network
{
public:
    explicit Network(Simulation &ownSimulation)
        : simulation(ownSimulation)
    { }

    Link &link(Traffic traffic) { return this->links[std::size_t(traffic)]; }
    // Drops traffic between the named zone or machine and everything outside it.
    void cut(const std::string &name, Traffic traffic) { this->cuts.insert({ name, traffic }); }
    void heal(const std::string &name, Traffic traffic) { this->cuts.erase({ name, traffic }); }
    bool isCut(const Location &from, const Location &to, Traffic traffic) const;
    void send(const Location &from, const Location &to, Traffic traffic,
              const Simulation::Action &deliver);

private:
    Simulation &simulation;
    std::array<Link, 2> links;
    std::set<std::pair<std::string, Traffic>> cuts;
};

} // namespace cactusdeck::scenario

#endif // CACTUSDECK_SCENARIO_LINK_H

#ifndef CACTUSDECK_SOAK_FLEET_H
#define CACTUSDECK_SOAK_FLEET_H

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/types.h"
#include "soak/guarantees.h"
#include "soak/process.h"

// Runs the nodes under test as separate processes on loopback addresses, and stands in for the
// fabric in deciding which balancers are ready.
//
//     Fleet fleet({ .program = ..., .folder = ..., .store = ... }, guarantees);
//     BOOST_LEAF_CHECK(fleet.add({ .role = "balancer", ... }));
//     fleet.kill(node, now); ... fleet.start(node, now);

namespace cactusdeck::soak {

// Ports are the same on every node; nodes differ by address.
inline constexpr std::uint16_t meshPort = 7720;
inline constexpr std::uint16_t packetPort = 8172;
inline constexpr std::uint16_t readinessPort = 8167;
inline constexpr std::uint16_t controlPort = 8166;
inline constexpr std::uint16_t outboundPort = 8173;
inline constexpr std::uint16_t serverPort = 8080;
inline constexpr std::uint16_t storePort = 8169;

struct FleetOptions
{
    std::string program; // path of cactusdeck-mesh
    std::string folder; // for the settings and logs of the nodes
    Endpoint store;
    std::vector<Endpoint> seeds;
};

struct NodeOptions
{
    std::string name;
    std::string role; // balancer or agent
    std::string zone;
    std::uint32_t address = 0;
    std::string service; // agents only
};

class Fleet
{
public:
    enum class State : std::uint8_t { Down, Up, Frozen, Stopping };

    struct Node
    {
        NodeOptions options;
        State state = State::Down;
        TimePoint stateChangedAt{}; // last change of state; starting the process counts
        std::optional<Process> process;
        std::atomic<bool> isReady = false; // balancers only: the fabric sends it packets
    };

    Fleet(FleetOptions fleetOptions, GuaranteeChecks &allGuarantees);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    Result<void> add(const NodeOptions &nodeOptions);
    // Starts the fabric's readiness probes, with one thread for each balancer.
    void startReadinessProbes();

    Result<void> start(std::size_t node, TimePoint now);
    void kill(std::size_t node, TimePoint now);
    void freeze(std::size_t node, TimePoint now);
    void resume(std::size_t node, TimePoint now);
    void requestStop(std::size_t node, TimePoint now);
    // Detects processes that have ended and checks that they ended as asked.
    void step(TimePoint now);

    bool hasRunning() const;
    std::size_t size() const { return this->nodes.size(); }
    const Node &at(std::size_t node) const { return *this->nodes[node]; }
    bool isBalancer(std::size_t node) const { return this->at(node).options.role == "balancer"; }
    // The ready balancer that the fabric selects for the flow; none if no balancer is ready.
    std::optional<std::size_t> balancerFor(std::uint64_t flowHash) const;
    // Whether any balancer (or any agent, if !ofBalancers) is not up or changed its state less than
    // `within` ago.
    bool wasAnyUnavailable(TimePoint now, Duration within, bool ofBalancers) const;

private:
    static constexpr std::chrono::milliseconds readinessInterval{ 500 };
    static constexpr int missedProbesUntilNotReady = 2;

    std::string pathOf(const Node &node, const char *suffix) const;
    void setState(Node &node, State state, TimePoint now, const char *event);
    void probeReadiness(Node &node);

    FleetOptions options;
    GuaranteeChecks &guarantees;
    std::vector<std::unique_ptr<Node>> nodes;
    std::atomic<bool> isClosing = false;
    std::vector<std::thread> probeThreads;
};

} // namespace cactusdeck::soak

#endif // CACTUSDECK_SOAK_FLEET_H

#ifndef CACTUSDECK_NODE_FLEET_H
#define CACTUSDECK_NODE_FLEET_H

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/error.h"
#include "core/types.h"

// All nodes that can be found from a few seeds, each asked for its own status.
//
//     BOOST_LEAF_AUTO(fleet, readFleet(seeds, queryNodeStatus));
//     std::vector<FleetNode> lagging = laggingNodes(fleet, version);
//
// Balancers name their members; members that are dead or have left are not asked. Fails with
// PeerUnavailable when no seed answers.

namespace cactusdeck {

struct FleetNode
{
    Endpoint control;
    std::string id;
    std::string role;
    std::string zone;
    std::string liveness; // in the view of the node that named it
    std::string phase;
    ConfigurationVersion configuration = 0; // by its own answer, else by the view of another node
    bool reached = false; // it answered
    nlohmann::json status; // its answer, null without one
};

struct Fleet
{
    std::vector<FleetNode> nodes; // sorted by id
    nlohmann::json balancerStatus; // status of a balancer, the one with the newest configuration
};

// Returns a node's answer to "status". Is called on several threads.
using StatusQuery = std::function<Result<nlohmann::json>(Endpoint control)>;
// JSON-RPC with the usual timeout.
Result<nlohmann::json> queryNodeStatus(Endpoint control);

Result<Fleet> readFleet(const std::vector<Endpoint> &seeds,
                        const StatusQuery &query = queryNodeStatus);

// Newest version in force on any node.
ConfigurationVersion newestVersion(const Fleet &fleet);
// Nodes that don't have at least this version in force, by their own answer.
std::vector<FleetNode> laggingNodes(const Fleet &fleet, ConfigurationVersion version);

struct WaitOptions
{
    ConfigurationVersion version = 0;
    std::chrono::milliseconds time{};
    std::chrono::milliseconds interval{ 200 };
};

// Reads the fleet until no node lags or the time is over; returns the nodes that lag then. The
// fleet is read at least once.
Result<std::vector<FleetNode>> waitUntilInForce(const std::vector<Endpoint> &seeds,
                                                const WaitOptions &options,
                                                const StatusQuery &query = queryNodeStatus);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_FLEET_H

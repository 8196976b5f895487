#ifndef CACTUSDECK_NODE_FLEET_H
#define CACTUSDECK_NODE_FLEET_H

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/error.h"
#include "core/types.h"

// Finds all nodes of a deployment, starting from a few seeds, and queries the status of each.
//
//     BOOST_LEAF_AUTO(fleet, readFleet(seeds, queryNodeStatus));
//     std::vector<FleetNode> lagging = laggingNodes(fleet, version);
//
// The status of a balancer lists the members that it knows. Members listed as dead or left are not
// queried. Fails with PeerUnavailable if no balancer answers.

namespace cactusdeck {

struct FleetNode
{
    Endpoint control;
    std::string id;
    std::string role;
    std::string zone;
    std::string liveness; // as reported by the node that listed it
    std::string phase;
    // Version in force, as reported by the node itself or, if it did not answer, by another node.
    ConfigurationVersion configuration = 0;
    bool reached = false; // it answered the query
    nlohmann::json status; // its answer, or null
};

struct Fleet
{
    std::vector<FleetNode> nodes; // sorted by id
    nlohmann::json balancerStatus; // of the balancer with the newest configuration
};

// Returns a node's answer to the JSON-RPC method "status". Is called on several threads at once.
using StatusQuery = std::function<Result<nlohmann::json>(Endpoint control)>;
// Calls "status" over JSON-RPC with rpcTimeout.
Result<nlohmann::json> queryNodeStatus(Endpoint control);

Result<Fleet> readFleet(const std::vector<Endpoint> &seeds,
                        const StatusQuery &query = queryNodeStatus);

// Returns the newest configuration version that is in force on any node.
ConfigurationVersion newestVersion(const Fleet &fleet);
// Returns the nodes that did not answer, or answered with an older version in force.
std::vector<FleetNode> laggingNodes(const Fleet &fleet, ConfigurationVersion version);

struct WaitOptions
{
    ConfigurationVersion version = 0;
    std::chrono::milliseconds time{};
    std::chrono::milliseconds interval{ 200 };
};

// Reads the fleet at each interval until no node lags or the time is over, at least once. Returns
// the nodes that still lag.
Result<std::vector<FleetNode>> waitUntilInForce(const std::vector<Endpoint> &seeds,
                                                const WaitOptions &options,
                                                const StatusQuery &query = queryNodeStatus);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_FLEET_H

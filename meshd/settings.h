#ifndef CACTUSDECK_MESHD_SETTINGS_H
#define CACTUSDECK_MESHD_SETTINGS_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/outbox.h"
#include "core/types.h"

// Settings files of the mesh daemons: JSON, checked against a schema. On the platform they are
// rendered from deploy/*.json.
//
//     BOOST_LEAF_AUTO(settings, loadSettings("balancer.json"));
//
// Errors are of kind InvalidSettings (Io if the file can't be read) and name the file, the path in
// it, the value and what was expected. Unknown keys are errors.

namespace cactusdeck::meshd {

// Default port of the metrics, on the address of the node.
inline constexpr std::uint16_t defaultMetricsPort = 9464;

struct Settings
{
    NodeId id;
    ZoneName zone;
    Endpoint mesh; // frames and messages of other nodes (UDP), and their requests for state (TCP)
    Endpoint packets; // balancers: packets from the fabric; agents: only the port counts
    Endpoint readiness;
    Endpoint control; // agents: heartbeats of the backend server
    Endpoint metrics;
    Endpoint store;
    std::vector<Endpoint> seeds; // mesh endpoints of balancers
    std::chrono::microseconds costPerKilobyte{ 0 }; // of bytes that leave the failure domain
    Level logLevel = Level::Info;

    // Agents only.
    ServiceName service;
    Endpoint server; // where the backend server takes packets
    Endpoint outbound; // where the backend server sends its packets to
};

enum class NodeRole : std::uint8_t { Balancer, Agent };

Result<Settings> loadSettings(NodeRole role, const std::string &file);
// The same for text; file is the name used in messages.
Result<Settings> parseSettings(NodeRole role, std::string_view text, const std::string &file);

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_SETTINGS_H

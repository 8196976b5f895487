#ifndef CACTUSDECK_MESHD_SETTINGS_H
#define CACTUSDECK_MESHD_SETTINGS_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/outbox.h"
#include "core/types.h"

// Settings files of the mesh daemons: JSON, validated against a schema. The platform renders them
// from the templates deploy/*.json.
//
//     BOOST_LEAF_AUTO(settings, loadSettings("balancer.json"));
//
// Errors are of kind InvalidSettings (Io if the file cannot be read) and name the file, the JSON
// path, the value and what was expected. Unknown keys are errors.

namespace cactusdeck::meshd {

// Default port for metrics requests, on the address of the node.
inline constexpr std::uint16_t defaultMetricsPort = 9464;

struct Settings
{
    NodeId id;
    ZoneName zone;
    Endpoint mesh; // UDP: frames and messages from other nodes; TCP: their requests for state
    // Balancers: receives packets from the fabric. Agents: only the port is used, as the port on
    // which callers receive packets.
    Endpoint packets;
    Endpoint readiness; // balancers: readiness probes of the fabric
    Endpoint control; // agents: receives the backend server's heartbeats
    Endpoint metrics;
    Endpoint store;
    std::vector<Endpoint> seeds; // mesh endpoints of balancers
    std::chrono::microseconds costPerKilobyte{ 0 }; // of data sent to another failure domain
    Level logLevel = Level::Info;
    // Servers that process at most this many requests at a time are scheduled request by request;
    // 0: none.
    std::uint32_t requestSchedulingMaxSlots = 0;

    // Agents only.
    ServiceName service;
    Endpoint server; // on which the backend server receives packets
    Endpoint outbound; // on which the agent receives the backend server's packets
};

enum class NodeRole : std::uint8_t { Balancer, Agent };

Result<Settings> loadSettings(NodeRole role, const std::string &file);
// Parses the text of a settings file; file is the name used in error messages.
Result<Settings> parseSettings(NodeRole role, std::string_view text, const std::string &file);

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_SETTINGS_H

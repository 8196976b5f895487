#ifndef CACTUSDECK_NODE_SETTINGS_H
#define CACTUSDECK_NODE_SETTINGS_H

#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/outbox.h"
#include "core/types.h"

// Settings files of the daemons: JSON with comments, checked against the schema and for meaning.
//
//     BOOST_LEAF_AUTO(settings, loadBalancerSettings("balancer.json"));
//
// Errors are of kind InvalidSettings (Io if the file can't be read) and name the file, the path in
// it, the value and what was expected, one line for each fault. Unknown keys are errors.

namespace cactusdeck {

struct LogSettings
{
    Level level = Level::Info;
    std::string target = "stderr"; // or the path of a file
};

// What balancers and agents have in common.
struct NodeSettings
{
    NodeId id;
    ZoneName zone;
    Endpoint data; // UDP
    Endpoint control; // UDP and TCP
    Endpoint fabric;
    std::vector<Endpoint> seeds;
    LogSettings log;
};

struct BalancerSettings
{
    NodeSettings node;
    Endpoint store;
};

// Endpoints of the backend server beside an agent.
struct ServerSettings
{
    Endpoint data; // UDP
    Endpoint health; // HTTP
};

struct AgentSettings
{
    NodeSettings node;
    GroupName group;
    ServerSettings server;
};

Result<BalancerSettings> loadBalancerSettings(const std::string &file);
Result<AgentSettings> loadAgentSettings(const std::string &file);

// The same for text; file is the name used in messages.
Result<BalancerSettings> parseBalancerSettings(std::string_view text, const std::string &file);
Result<AgentSettings> parseAgentSettings(std::string_view text, const std::string &file);

// Whole content of a file, or an error of kind Io.
Result<std::string> readFile(const std::string &file);

std::string_view toString(Level level);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_SETTINGS_H

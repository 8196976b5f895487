#ifndef CACTUSDECK_NODE_SETTINGS_H
#define CACTUSDECK_NODE_SETTINGS_H

#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/outbox.h"
#include "core/types.h"

// Settings files of the daemons: JSON with comments. They are checked against the JSON schema, and
// for values that match the schema but can't be used, such as port 0.
//
//     BOOST_LEAF_AUTO(settings, loadBalancerSettings("balancer.json"));
//
// Errors are of kind InvalidSettings, or Io if the file can't be read. The message has one line for
// each fault, with the file, the path in it, the value found and the value expected. Unknown keys
// are errors.

namespace cactusdeck {

struct LogSettings
{
    Level level = Level::Info;
    std::string target = "stderr"; // or the path of a file
};

// Settings that balancers and agents share.
struct NodeSettings
{
    NodeId id;
    ZoneName zone;
    Endpoint data; // UDP
    Endpoint control; // UDP and TCP
    Endpoint fabric; // receives packets to callers and the route announcements of balancers
    std::vector<Endpoint> seeds;
    LogSettings log;
};

struct BalancerSettings
{
    NodeSettings node;
    Endpoint store;
};

// Endpoints of the backend server that an agent serves.
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

// Parse the content of a settings file. The file name is only used in error messages.
Result<BalancerSettings> parseBalancerSettings(std::string_view text, const std::string &file);
Result<AgentSettings> parseAgentSettings(std::string_view text, const std::string &file);

// Returns the content of a file. Errors are of kind Io.
Result<std::string> readFile(const std::string &file);

std::string_view toString(Level level);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_SETTINGS_H

#ifndef CACTUSDECK_NODE_OPERATORCOMMAND_H
#define CACTUSDECK_NODE_OPERATORCOMMAND_H

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/contract.h"
#include "core/error.h"
#include "core/types.h"

// Parser for the command line of cactusdeck.
//
//     BOOST_LEAF_AUTO(command, parseOperatorCommand(arguments, readEnvironment));
//
// Fails with InvalidArgument if the arguments don't match the usage.

namespace cactusdeck {

extern const char *const operatorUsage;

// Timeout of --wait if no number is given.
inline constexpr std::chrono::seconds defaultWait{ 30 };

enum class OperatorAction : std::uint8_t {
    Check,
    Publish,
    SetZone,
    ListZones,
    Status,
    LookUpChange, // status --change
    Explain,
    History,
    Metrics,
    Help,
    Version,
};

struct OperatorCommand
{
    OperatorAction action = OperatorAction::Help;
    std::optional<Endpoint> store;
    std::vector<Endpoint> seeds; // control endpoints of nodes
    bool json = false;
    std::vector<std::string> files; // check
    std::string directory; // publish
    std::string author;
    std::string reason;
    bool dryRun = false;
    bool force = false;
    std::optional<std::chrono::seconds> wait;
    ZoneName zone; // domain out|in
    ZoneState zoneState = ZoneState::In;
    std::string change; // status --change
    std::string flow; // explain
    std::string node; // metrics: id or control endpoint; if empty, the node with the lowest id
};

// Returns the value of an environment variable, or an empty string if it is not set.
using Environment = std::function<std::string(const char *name)>;

Result<OperatorCommand> parseOperatorCommand(std::vector<std::string> arguments,
                                             const Environment &environment);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_OPERATORCOMMAND_H

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

// Command line of cactusdeck.
//
//     BOOST_LEAF_AUTO(command, parseOperatorCommand(arguments, readEnvironment));
//
// Arguments that don't match the usage are errors of kind InvalidArgument.

namespace cactusdeck {

extern const char *const operatorUsage;

// Time that --wait without a number allows.
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
    std::string node; // metrics: id or control endpoint, empty for the first seed
};

// Returns a variable of the environment, or an empty text.
using Environment = std::function<std::string(const char *name)>;

Result<OperatorCommand> parseOperatorCommand(std::vector<std::string> arguments,
                                             const Environment &environment);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_OPERATORCOMMAND_H

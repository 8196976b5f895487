#ifndef CACTUSDECK_NODE_OPERATOROUTPUT_H
#define CACTUSDECK_NODE_OPERATOROUTPUT_H

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/publisher.h"
#include "node/fleet.h"

// Formats the output of cactusdeck's commands as text for people and as JSON for scripts.

namespace cactusdeck {

// Result of one command. It may have both output and an error, for example if a change was accepted
// but is not in force on all nodes within the time of --wait.
struct Output
{
    std::string text; // ends with a newline
    nlohmann::json json = nlohmann::json::object();
    std::optional<Error> error = {};
};

// Pads the cells of each column to the same width, with two spaces between columns.
std::string formatTable(const std::vector<std::vector<std::string>> &rows);
// Returns the time in UTC, for example 2026-12-04T05:24:29Z.
std::string formatTime(std::chrono::milliseconds sinceEpoch);

Output showStatus(const Fleet &fleet);
Output showHistory(const ConfigurationHead &head);
// Lists the state of each failure domain. nodeZones: the failure domains of live nodes; those that
// are not in the head are shown as in.
Output showZones(const ConfigurationHead &head, const std::vector<ZoneName> &nodeZones);
Output showExplanation(const nlohmann::json &answer);
Output showMetrics(const std::string &node, const nlohmann::json &metrics);
Output showDiff(const ContractDiff &diff);
// Shows the outcome of a change and the services that it added, changed and removed.
Output showOutcome(const PublishOutcome &outcome);
// Adds to the output of a change whether its version came into force on all nodes. The nodes in
// lagging did not confirm the version within the time.
void addWaitResult(Output &output, ConfigurationVersion version,
                   const std::vector<FleetNode> &lagging, std::chrono::seconds time);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_OPERATOROUTPUT_H

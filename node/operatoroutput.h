#ifndef CACTUSDECK_NODE_OPERATOROUTPUT_H
#define CACTUSDECK_NODE_OPERATOROUTPUT_H

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/publisher.h"
#include "node/fleet.h"

// What the commands of cactusdeck print, as text for people and as JSON for scripts.

namespace cactusdeck {

// Result of one command. A command may have changed something and still fail, for example when
// the change is not in force everywhere in time.
struct Output
{
    std::string text; // with a final newline
    nlohmann::json json = nlohmann::json::object();
    std::optional<Error> error = {};
};

// Columns of equal width, two spaces apart.
std::string formatTable(const std::vector<std::vector<std::string>> &rows);
// 2026-12-04T05:24:29Z
std::string formatTime(std::chrono::milliseconds sinceEpoch);

Output showStatus(const Fleet &fleet);
Output showHistory(const ConfigurationHead &head);
// zones: state of each; those of live nodes that the head doesn't name are in.
Output showZones(const ConfigurationHead &head, const std::vector<ZoneName> &nodeZones);
Output showExplanation(const nlohmann::json &answer);
Output showMetrics(const std::string &node, const nlohmann::json &metrics);
Output showDiff(const ContractDiff &diff);
// Added, changed and removed services and the outcome of a change.
Output showOutcome(const PublishOutcome &outcome);
// Adds the result of waiting for the version to the output of a change.
void addWaitResult(Output &output, ConfigurationVersion version,
                   const std::vector<FleetNode> &lagging, std::chrono::seconds time);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_OPERATOROUTPUT_H

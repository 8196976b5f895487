#include "node/operatoroutput.h"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace cactusdeck {

namespace {

using nlohmann::json;

constexpr int fullUtilisation = 1024; // value of "utilisation" at 100%

// Returns a member of any type as text, or "-" if it is absent.
std::string cell(const json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || found->is_null())
        return "-";
    return found->is_string() ? found->get<std::string>() : found->dump();
}

json arrayOf(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_array() ? *found : json::array();
}

std::string utilisationCell(const json &member)
{
    const auto found = member.find("utilisation");
    if (found == member.end() || !found->is_number())
        return "-";
    return std::to_string(std::lround(found->get<double>() * 100 / fullUtilisation)) + "%";
}

std::string joined(const json &array)
{
    std::string text;
    for (const json &item : array)
        text += (text.empty() ? "" : ", ")
                + (item.is_string() ? item.get<std::string>() : item.dump());
    return text;
}

std::string formatServices(const json &balancerStatus)
{
    std::string text;
    for (const json &service : arrayOf(balancerStatus, "services")) {
        const json members = arrayOf(service, "members");
        text += "  " + cell(service, "service") + "  " + joined(arrayOf(service, "addresses"))
                + "  table " + cell(service, "digest") + "\n";
        std::vector<std::vector<std::string>> rows;
        for (const json &member : members)
            rows.push_back({ "   ", cell(member, "id"), cell(member, "zone"), cell(member, "phase"),
                             utilisationCell(member) });
        text += rows.empty() ? "    no backend servers\n" : formatTable(rows);
    }
    return text.empty() ? "  none\n" : text;
}

std::string formatNodes(const Fleet &fleet, ConfigurationVersion newest)
{
    std::vector<std::vector<std::string>> rows = { { "  node", "role", "zone", "state", "phase",
                                                     "configuration" } };
    for (const FleetNode &node : fleet.nodes) {
        std::string version = std::to_string(node.configuration);
        if (node.configuration < newest)
            version += " lags";
        if (!node.reached)
            version += " unreachable";
        rows.push_back({ "  " + node.id, node.role, node.zone,
                         node.liveness.empty() ? "-" : node.liveness, node.phase, version });
    }
    return formatTable(rows);
}

json nodeToJson(const FleetNode &node)
{
    return { { "id", node.id },
             { "role", node.role },
             { "zone", node.zone },
             { "control", node.control },
             { "liveness", node.liveness },
             { "phase", node.phase },
             { "configuration", node.configuration },
             { "reached", node.reached } };
}

json nodesToJson(const std::vector<FleetNode> &nodes)
{
    json array = json::array();
    for (const FleetNode &node : nodes)
        array.push_back(nodeToJson(node));
    return array;
}

json recordToJson(const ChangeRecord &record)
{
    return { { "version", record.version },
             { "changeId", record.changeId },
             { "author", record.author },
             { "time", record.time.count() },
             { "summary", record.summary } };
}

void appendNames(std::string &text, const char *sign, const std::vector<ServiceName> &names)
{
    for (const ServiceName &name : names)
        text += std::string(sign) + " " + name.value + "\n";
}

} // namespace

std::string formatTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            line.append(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string formatTime(std::chrono::milliseconds sinceEpoch)
{
    const auto seconds = std::time_t(std::chrono::floor<std::chrono::seconds>(sinceEpoch).count());
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32] = {};
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

Output showStatus(const Fleet &fleet)
{
    const ConfigurationVersion newest = newestVersion(fleet);
    const std::vector<FleetNode> lagging = laggingNodes(fleet, newest);
    Output output;
    output.text = "Configuration " + std::to_string(newest) + ", change "
                  + cell(fleet.balancerStatus, "changeId") + ", as seen by "
                  + cell(fleet.balancerStatus, "id") + "\n";
    output.text += "\nFailure domains\n";
    const json zones = fleet.balancerStatus.value("zones", json::object());
    for (const auto &zone : zones.items())
        output.text += "  " + zone.key() + "  " + cell(zones, zone.key().c_str()) + "\n";
    output.text += "\nServices\n" + formatServices(fleet.balancerStatus);
    output.text += "\nNodes\n" + formatNodes(fleet, newest);
    if (!lagging.empty())
        output.text += "\n" + std::to_string(lagging.size()) + " of "
                       + std::to_string(fleet.nodes.size()) + " nodes lag or can't be reached\n";
    json laggingIds = json::array();
    for (const FleetNode &node : lagging)
        laggingIds.push_back(node.id);
    output.json = { { "configuration", newest },
                    { "changeId", fleet.balancerStatus.value("changeId", json()) },
                    { "zones", zones },
                    { "services", arrayOf(fleet.balancerStatus, "services") },
                    { "nodes", nodesToJson(fleet.nodes) },
                    { "lagging", laggingIds } };
    return output;
}

Output showHistory(const ConfigurationHead &head)
{
    std::vector<std::vector<std::string>> rows = { { "version", "time", "author", "change",
                                                     "summary" } };
    json changes = json::array();
    // Newest first, since the latest changes matter most to the reader.
    for (auto record = head.changes.rbegin(); record != head.changes.rend(); ++record) {
        rows.push_back({ std::to_string(record->version), formatTime(record->time), record->author,
                         record->changeId, record->summary });
        changes.push_back(recordToJson(*record));
    }
    return { .text = head.changes.empty() ? "nothing was ever published\n" : formatTable(rows),
             .json = { { "version", head.version }, { "changes", changes } } };
}

Output showZones(const ConfigurationHead &head, const std::vector<ZoneName> &nodeZones)
{
    std::map<ZoneName, ZoneState> zones = head.zones;
    for (const ZoneName &zone : nodeZones)
        zones.try_emplace(zone, ZoneState::In);
    Output output;
    std::vector<std::vector<std::string>> rows;
    for (const auto &[zone, state] : zones) {
        rows.push_back({ zone.value, std::string(toString(state)) });
        output.json[zone.value] = toString(state);
    }
    output.text = rows.empty() ? "no failure domain is known\n" : formatTable(rows);
    output.json = { { "version", head.version }, { "zones", output.json } };
    return output;
}

Output showExplanation(const json &answer)
{
    return { .text = answer.dump(2) + "\n", .json = answer };
}

Output showMetrics(const std::string &node, const json &metrics)
{
    const json counters = metrics.value("counters", json::object());
    const json histograms = metrics.value("histograms", json::object());
    std::vector<std::vector<std::string>> rows;
    for (const auto &item : counters.items())
        rows.push_back({ item.key(), cell(item.value(), "value"), cell(item.value(), "unit") });
    std::string text = formatTable(rows);
    rows.assign({ { "histogram", "unit", "count", "p50", "p99" } });
    for (const auto &item : histograms.items())
        rows.push_back({ item.key(), cell(item.value(), "unit"), cell(item.value(), "count"),
                         cell(item.value(), "p50"), cell(item.value(), "p99") });
    return { .text = node + "\n" + text + "\n" + formatTable(rows),
             .json = { { "node", node }, { "metrics", metrics } } };
}

Output showDiff(const ContractDiff &diff)
{
    Output output;
    appendNames(output.text, "+", diff.added);
    appendNames(output.text, "~", diff.changed);
    appendNames(output.text, "-", diff.removed);
    output.json = { { "added", diff.added },
                    { "changed", diff.changed },
                    { "removed", diff.removed } };
    return output;
}

Output showOutcome(const PublishOutcome &outcome)
{
    Output output = showDiff(outcome.diff);
    output.json = { { "result", toString(outcome.result) },
                    { "version", outcome.version },
                    { "changeId", outcome.changeId },
                    { "message", outcome.message },
                    { "diff", output.json } };
    if (outcome.winner)
        output.json["winner"] = recordToJson(*outcome.winner);
    const bool isAccepted = outcome.result == PublishResult::Accepted;
    // The message of an accepted change already contains "accepted" and the version.
    if (!isAccepted)
        output.text += std::string(toString(outcome.result)) + ": ";
    output.text += outcome.message + "\n";
    if (outcome.result == PublishResult::Unchanged) {
        output.text += "version " + std::to_string(outcome.version) + "\n";
    } else if (!isAccepted) {
        output.error = outcome.error;
        if (output.error->message.empty())
            output.error->message = outcome.message;
    }
    return output;
}

void addWaitResult(Output &output, ConfigurationVersion version,
                   const std::vector<FleetNode> &lagging, std::chrono::seconds time)
{
    output.json["inForce"] = lagging.empty();
    output.json["lagging"] = nodesToJson(lagging);
    if (lagging.empty()) {
        output.text += "version " + std::to_string(version) + " is in force on all nodes\n";
        return;
    }
    std::string names;
    for (const FleetNode &node : lagging) {
        names += (names.empty() ? "" : ", ") + node.id + " ("
                 + (node.reached ? "version " + std::to_string(node.configuration) : "unreachable")
                 + ")";
    }
    output.error =
            Error{ ErrorKind::NotInForce,
                   "version " + std::to_string(version) + " is accepted, but after "
                           + std::to_string(time.count()) + " s it is not confirmed on: " + names };
}

} // namespace cactusdeck

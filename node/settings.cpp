#include "node/settings.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include "core/jsonschema.h"
#include "node/settingsschema.h"

namespace cactusdeck {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 4> levelNames = { "debug", "info", "warning", "error" };

// Reports endpoints that match the schema's pattern but can't be used, such as 300.0.0.1:80 and
// those with port 0.
void checkEndpoints(const JsonSchema &schema, const json &value, const json::json_pointer &path,
                    JsonFaults &faults)
{
    if (value.is_structured()) {
        for (const auto &item : value.items())
            checkEndpoints(schema, item.value(), path / item.key(), faults);
        return;
    }
    const std::string expected = schema.expectedAt(path);
    Endpoint endpoint;
    const bool isEndpoint = expected.starts_with("an IPv4 endpoint");
    if (isEndpoint && (!parseEndpoint(value.get<std::string>(), endpoint) || endpoint.port == 0))
        faults.add(path.to_string(), value, expected);
}

Result<json> parseDocument(std::string_view text, const std::string &file,
                           std::string_view schemaText)
{
    const JsonSchema schema(schemaText);
    JsonFaults faults(file);
    json document = parseJsonFile(text, faults);
    if (faults.isEmpty())
        schema.check(document, faults);
    if (faults.isEmpty())
        checkEndpoints(schema, document, json::json_pointer(), faults);
    if (faults.isEmpty() && document["data"] == document["control"])
        faults.add("/control", document["control"],
                   "an endpoint other than data, since both are UDP");
    if (!faults.isEmpty())
        return faults.error(ErrorKind::InvalidSettings);
    return document;
}

NodeSettings readNode(const json &document)
{
    NodeSettings settings{ .id = document.at("id"),
                           .zone = document.at("zone"),
                           .data = document.at("data"),
                           .control = document.at("control"),
                           .fabric = document.at("fabric"),
                           .seeds = document.at("seeds") };
    const json log = document.value("log", json::object());
    const std::string level = log.value("level", "info");
    for (std::size_t i = 0; i < levelNames.size(); ++i) {
        if (levelNames[i] == level)
            settings.log.level = Level(i);
    }
    settings.log.target = log.value("target", settings.log.target);
    return settings;
}

} // namespace

std::string_view toString(Level level)
{
    return levelNames[std::size_t(level)];
}

Result<std::string> readFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream content;
    if (!stream || !(content << stream.rdbuf()))
        return fail(ErrorKind::Io, file + ": can't be read: " + std::strerror(errno));
    return content.str();
}

Result<BalancerSettings> parseBalancerSettings(std::string_view text, const std::string &file)
{
    BOOST_LEAF_AUTO(document, parseDocument(text, file, balancerSchema));
    return BalancerSettings{ .node = readNode(document), .store = document.at("store") };
}

Result<AgentSettings> parseAgentSettings(std::string_view text, const std::string &file)
{
    BOOST_LEAF_AUTO(document, parseDocument(text, file, agentSchema));
    const json &server = document.at("server");
    return AgentSettings{ .node = readNode(document),
                          .group = document.at("group"),
                          .server = { .data = server.at("data"), .health = server.at("health") } };
}

Result<BalancerSettings> loadBalancerSettings(const std::string &file)
{
    BOOST_LEAF_AUTO(text, readFile(file));
    return parseBalancerSettings(text, file);
}

Result<AgentSettings> loadAgentSettings(const std::string &file)
{
    BOOST_LEAF_AUTO(text, readFile(file));
    return parseAgentSettings(text, file);
}

} // namespace cactusdeck

#include "node/settings.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <optional>
#include <sstream>

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include "node/settingsschema.h"

namespace cactusdeck {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 4> levelNames = { "debug", "info", "warning", "error" };

struct Problem
{
    std::string path;
    std::string got;
    std::string expected;
};

leaf::error_id failSettings(const std::string &file, const Problem &problem)
{
    return fail(ErrorKind::InvalidSettings, file + ": " + problem.path + ": expected "
                                                    + problem.expected + ", got " + problem.got);
}

std::string joinKeys(const json &object)
{
    std::string text;
    for (const auto &item : object.items())
        text += (text.empty() ? "" : ", ") + item.key();
    return text;
}

// The first unknown or missing key of an object.
std::optional<Problem> findKeyProblem(const json &schema, const json &value,
                                      const std::string &path)
{
    if (!value.is_object() || !schema.contains("properties"))
        return std::nullopt;
    for (const auto &item : value.items()) {
        if (!schema["properties"].contains(item.key()))
            return Problem{ path + "/" + item.key(), "an unknown key",
                            "one of the keys " + joinKeys(schema["properties"]) };
    }
    for (const auto &key : schema.value("required", json::array())) {
        if (!value.contains(key.get<std::string>()))
            return Problem{
                path + "/" + key.get<std::string>(), "nothing",
                schema["properties"][key.get<std::string>()]["description"].get<std::string>()
            };
    }
    return std::nullopt;
}

// Follows a path that the validator reported, "<root>", "[log]", "[level]", to the value.
Problem problemAt(const json &schema, const json &document, const std::vector<std::string> &context,
                  const std::string &fallback)
{
    const json *rule = &schema;
    const json *value = &document;
    std::string path;
    for (std::size_t i = 1; i < context.size(); ++i) {
        const std::string key = context[i].substr(1, context[i].size() - 2);
        path += "/" + key;
        if (value->is_array()) {
            value = &value->at(std::stoul(key));
            rule = &rule->at("items");
        } else {
            value = &value->at(key);
            rule = &rule->at("properties").at(key);
        }
    }
    if (auto problem = findKeyProblem(*rule, *value, path))
        return *problem;
    return { path.empty() ? "/" : path, value->dump(), rule->value("description", fallback) };
}

std::optional<Problem> validate(const json &schemaDocument, const json &document)
{
    valijson::Schema schema;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaDocument), schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results))
        return std::nullopt;
    // The validator reports the innermost fault and then every object around it.
    valijson::ValidationResults::Error deepest;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        if (error.context.size() > deepest.context.size())
            deepest = error;
    }
    return problemAt(schemaDocument, document, deepest.context, deepest.description);
}

// Endpoints whose text matches the schema's pattern but that are not usable.
std::optional<Problem> findBadEndpoint(const json &schema, const json &value,
                                       const std::string &path)
{
    if (value.is_structured()) {
        for (const auto &item : value.items()) {
            const json &rule =
                    value.is_array() ? schema.at("items") : schema.at("properties").at(item.key());
            if (auto problem = findBadEndpoint(rule, item.value(), path + "/" + item.key()))
                return problem;
        }
        return std::nullopt;
    }
    Endpoint endpoint;
    if (!schema.contains("pattern")
        || (parseEndpoint(value.get<std::string>(), endpoint) && endpoint.port != 0))
        return std::nullopt;
    return Problem{ path, value.dump(), schema.value("description", "an endpoint") };
}

Result<json> parseDocument(std::string_view text, const std::string &file,
                           std::string_view schemaText)
{
    json document;
    try {
        document = json::parse(text, nullptr, true, true);
    } catch (const json::parse_error &error) {
        return fail(ErrorKind::InvalidSettings,
                    file + ": expected JSON with comments: " + error.what());
    }
    const json schema = json::parse(schemaText);
    if (const auto problem = validate(schema, document))
        return failSettings(file, *problem);
    if (const auto problem = findBadEndpoint(schema, document, ""))
        return failSettings(file, *problem);
    if (document["data"] == document["control"])
        return failSettings(file, { "/control", document["control"].dump(),
                                    "an endpoint other than data, since both are UDP" });
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

#include "core/jsonschema.h"

#include <map>
#include <regex>
#include <set>
#include <vector>

// GCC 12 falsely warns of overlapping copies in std::string::replace.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wrestrict"
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>
#pragma GCC diagnostic pop

namespace cactusdeck {

namespace {

using nlohmann::json;

std::string truncatedText(const json &value)
{
    constexpr std::size_t limit = 100; // bytes
    std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > limit)
        text = text.substr(0, limit) + "...";
    return text;
}

std::string descriptionOf(const json &schema)
{
    return schema.value("description", "another value");
}

std::string childPath(const std::string &path, const std::string &key)
{
    return (json::json_pointer(path) / key).to_string();
}

// Converts a context of valijson, whose steps have the form "<root>", "[\"name\"]" or "[0]".
json::json_pointer pointerOf(const std::vector<std::string> &context)
{
    json::json_pointer pointer;
    for (const std::string &step : context) {
        if (step.size() < 2 || step.front() != '[')
            continue;
        std::string key = step.substr(1, step.size() - 2);
        if (key.size() >= 2 && key.front() == '"')
            key = key.substr(1, key.size() - 2);
        pointer.push_back(key);
    }
    return pointer;
}

// Patterns are compiled once and removed from the schema that valijson gets, because valijson would
// compile them again for each validation, which takes longer than the rest of the validation.
using Patterns = std::map<std::string, std::regex>;

void extractPatterns(json &schema, Patterns &patterns)
{
    if (const auto pattern = schema.find("pattern"); pattern != schema.end()) {
        const auto text = pattern->get<std::string>();
        patterns.emplace(text, std::regex(text));
        schema.erase(pattern);
    }
    if (const auto properties = schema.find("properties"); properties != schema.end()) {
        for (json &property : *properties)
            extractPatterns(property, patterns);
    }
    if (const auto items = schema.find("items"); items != schema.end())
        extractPatterns(*items, patterns);
}

void checkPatterns(const json &value, const json &schema, const Patterns &patterns,
                   const std::string &path, JsonFaults &faults)
{
    if (value.is_object() && schema.contains("properties")) {
        const json &properties = schema["properties"];
        for (const auto &item : value.items()) {
            const auto found = properties.find(item.key());
            // Paths are built only where there is something to check.
            if (found != properties.end()
                && (item.value().is_structured() || found->contains("pattern")))
                checkPatterns(item.value(), *found, patterns, childPath(path, item.key()), faults);
        }
    } else if (value.is_array() && schema.contains("items")) {
        for (std::size_t i = 0; i < value.size(); ++i)
            checkPatterns(value[i], schema["items"], patterns, path + "/" + std::to_string(i),
                          faults);
    } else if (value.is_string() && schema.contains("pattern")) {
        const std::regex &pattern = patterns.at(schema["pattern"].get_ref<const std::string &>());
        if (!std::regex_search(value.get_ref<const std::string &>(), pattern))
            faults.add(path, value, descriptionOf(schema));
    }
}

// valijson reports unknown and missing keys only in the text of a message, so they are checked
// here.
void checkKeys(const json &value, const json &schema, const std::string &path, JsonFaults &faults)
{
    if (!value.is_object() || !schema.contains("properties"))
        return;
    const json &properties = schema["properties"];
    const bool forbidsUnknownKeys = schema.value("additionalProperties", json(true)) == json(false);
    for (const auto &item : value.items()) {
        const bool isNamed = properties.contains(item.key());
        if (isNamed && item.value().is_object())
            checkKeys(item.value(), properties[item.key()], childPath(path, item.key()), faults);
        else if (!isNamed && forbidsUnknownKeys)
            faults.add(childPath(path, item.key()), item.value(),
                       "only keys that the schema defines");
    }
    for (const json &key : schema.value("required", json::array())) {
        const auto &name = key.get_ref<const std::string &>();
        if (!value.contains(name))
            faults.add(childPath(path, name),
                       "missing, expected " + descriptionOf(properties.at(name)));
    }
}

// valijson reports each fault again for the enclosing objects; only the innermost paths are kept.
std::set<std::string> innermostPaths(const valijson::ValidationResults &results)
{
    std::set<std::string> paths;
    for (const auto &result : results)
        paths.insert(pointerOf(result.context).to_string());
    std::set<std::string> innermost;
    for (auto path = paths.begin(); path != paths.end(); ++path) {
        const auto next = paths.upper_bound(*path + "/");
        if (!path->empty() && (next == paths.end() || !next->starts_with(*path + "/")))
            innermost.insert(*path);
    }
    return innermost;
}

} // namespace

JsonFaults::JsonFaults(std::string_view fileName)
    : file(fileName)
{ }

void JsonFaults::add(const std::string &path, const std::string &fault)
{
    if (!this->text.empty())
        this->text += '\n';
    this->text += this->file + ": " + (path.empty() ? "/" : path) + ": " + fault;
}

void JsonFaults::add(const std::string &path, const json &value, const std::string &expected)
{
    this->add(path, "got " + truncatedText(value) + ", expected " + expected);
}

leaf::error_id JsonFaults::error(ErrorKind kind) const
{
    return fail(kind, this->text);
}

json parseJsonFile(std::string_view text, JsonFaults &faults)
{
    std::vector<std::set<std::string>> keys;
    const auto callback = [&](int, json::parse_event_t event, json &value) {
        if (event == json::parse_event_t::object_start)
            keys.emplace_back();
        else if (event == json::parse_event_t::object_end)
            keys.pop_back();
        else if (event == json::parse_event_t::key
                 && !keys.back().insert(value.get<std::string>()).second)
            faults.add(childPath("", value.get<std::string>()), "given twice, expected once");
        return true;
    };
    try {
        return json::parse(text, callback, true, true);
    } catch (const json::exception &error) {
        // Removes the error code in brackets with which the library's message begins.
        const std::string what = error.what();
        const std::size_t end = what.find("] ");
        faults.add("", "not JSON: " + what.substr(end == std::string::npos ? 0 : end + 2));
        return {};
    }
}

struct JsonSchema::Parts
{
    json document;
    Patterns patterns;
    valijson::Schema schema; // without patterns
};

JsonSchema::JsonSchema(std::string_view schemaText)
{
    auto prepared = std::make_unique<Parts>();
    prepared->document = json::parse(schemaText);
    json remaining = prepared->document;
    extractPatterns(remaining, prepared->patterns);
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(remaining), prepared->schema);
    this->parts = std::move(prepared);
}

JsonSchema::~JsonSchema() = default;

std::string JsonSchema::expectedAt(const json::json_pointer &path) const
{
    std::vector<std::string> keys;
    for (json::json_pointer rest = path; !rest.empty(); rest.pop_back())
        keys.push_back(rest.back());
    const json *node = &this->parts->document;
    for (auto key = keys.rbegin(); key != keys.rend(); ++key) {
        if (node->contains("items"))
            node = &node->at("items");
        else if (node->contains("properties") && node->at("properties").contains(*key))
            node = &node->at("properties").at(*key);
        else
            break;
    }
    return descriptionOf(*node);
}

void JsonSchema::check(const json &value, JsonFaults &faults) const
{
    if (!value.is_object()) {
        faults.add("", value, descriptionOf(this->parts->document));
        return;
    }
    checkKeys(value, this->parts->document, "", faults);
    checkPatterns(value, this->parts->document, this->parts->patterns, "", faults);
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::ValidationResults results;
    const valijson::adapters::NlohmannJsonAdapter adapter(value);
    if (validator.validate(this->parts->schema, adapter, &results))
        return;
    for (const std::string &path : innermostPaths(results)) {
        const json::json_pointer pointer(path);
        if (value.contains(pointer))
            faults.add(path, value.at(pointer), this->expectedAt(pointer));
    }
    if (faults.isEmpty())
        faults.add("", value, descriptionOf(this->parts->document));
}

} // namespace cactusdeck

#include "meshd/settings.h"

#include "core/jsonschema.h"
#include "node/settings.h"

namespace cactusdeck::meshd {

namespace {

using nlohmann::json;

constexpr std::string_view schemaHead = R"json({
  "type": "object",
  "additionalProperties": false,
)json";

constexpr std::string_view commonProperties = R"json(
    "id": { "type": "string", "minLength": 1, "maxLength": 64, "description": "a node id of 1 to 64 characters" },
    "zone": { "type": "string", "minLength": 1, "maxLength": 64, "description": "a zone name of 1 to 64 characters" },
    "address": { "type": "string", "pattern": "^[0-9.]+$", "description": "an IPv4 address" },
    "meshPort": { "type": "integer", "minimum": 1, "maximum": 65535, "description": "a port from 1 to 65535" },
    "metricsPort": { "type": "integer", "minimum": 1, "maximum": 65535, "description": "a port from 1 to 65535" },
    "packets": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:7100" },
    "readiness": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:7101" },
    "control": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:7102" },
    "store": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:7001" },
    "seeds": {
      "type": "array",
      "description": "a list of balancer endpoints, of which only the addresses are used",
      "items": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:7102" }
    },
    "requestSchedulingMaxSlots": { "type": "integer", "minimum": 0, "maximum": 64, "description": "a number of slots from 0 to 64" },
    "logLevel": { "enum": ["debug", "info", "warning", "error"], "description": "debug, info, warning or error" })json";

constexpr std::string_view balancerRequired =
        R"json(  "required": ["id", "zone", "address", "meshPort", "packets", "readiness", "store", "seeds"],
  "properties": {)json";

constexpr std::string_view balancerProperties = R"json(,
    "costPerKilobyteMicroseconds": { "type": "integer", "minimum": 0, "maximum": 1000000, "description": "microseconds from 0 to 1000000" }
  }
})json";

constexpr std::string_view agentRequired =
        R"json(  "required": ["id", "zone", "address", "meshPort", "packets", "control", "store", "seeds", "service", "server", "outbound"],
  "properties": {)json";

constexpr std::string_view agentProperties = R"json(,
    "service": { "type": "string", "minLength": 1, "maxLength": 64, "description": "a service name of 1 to 64 characters" },
    "server": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:8200" },
    "outbound": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:8201" }
  }
})json";

std::string schemaOf(NodeRole role)
{
    const bool isBalancer = role == NodeRole::Balancer;
    std::string text(schemaHead);
    text += isBalancer ? balancerRequired : agentRequired;
    text += commonProperties;
    text += isBalancer ? balancerProperties : agentProperties;
    return text;
}

// Reads endpoints and reports those that match the schema's pattern but are invalid, such as a port
// of 0 or above 65535.
class EndpointReader
{
public:
    EndpointReader(const json &settings, JsonFaults &settingsFaults)
        : document(settings)
        , faults(settingsFaults)
    { }

    Endpoint endpoint(const char *key) const
    {
        Endpoint result;
        if (this->document.contains(key))
            this->read("/" + std::string(key), this->document[key], result);
        return result;
    }

    Endpoint onOwnAddress(const char *portKey, std::uint16_t defaultPort) const
    {
        Endpoint result;
        const std::uint16_t port = this->document.value(portKey, defaultPort);
        const std::string text =
                this->document.at("address").get<std::string>() + ":" + std::to_string(port);
        this->read("/address", text, result);
        return result;
    }

    std::vector<Endpoint> seeds(std::uint16_t meshPort) const
    {
        std::vector<Endpoint> result;
        for (const json &value : this->document.at("seeds")) {
            Endpoint seed;
            this->read("/seeds", value, seed);
            // The port of a seed is not its mesh port, which is the same on all nodes.
            seed.port = meshPort;
            result.push_back(seed);
        }
        return result;
    }

private:
    void read(const std::string &path, const json &value, Endpoint &result) const
    {
        if (!parseEndpoint(value.get<std::string>(), result) || result.port == 0)
            this->faults.add(path, value, "an IPv4 endpoint");
    }

    const json &document;
    JsonFaults &faults;
};

} // namespace

Result<Settings> parseSettings(NodeRole role, std::string_view text, const std::string &file)
{
    JsonFaults faults(file);
    const json document = parseJsonFile(text, faults);
    if (faults.isEmpty())
        JsonSchema(schemaOf(role)).check(document, faults);
    if (!faults.isEmpty())
        return faults.error(ErrorKind::InvalidSettings);
    const EndpointReader reader(document, faults);
    Settings settings{ .id = document.at("id"),
                       .zone = document.at("zone"),
                       .mesh = reader.onOwnAddress("meshPort", 0),
                       .packets = reader.endpoint("packets"),
                       .readiness = reader.endpoint("readiness"),
                       .control = reader.endpoint("control"),
                       .metrics = reader.onOwnAddress("metricsPort", defaultMetricsPort),
                       .store = reader.endpoint("store"),
                       .costPerKilobyte = std::chrono::microseconds(
                               document.value("costPerKilobyteMicroseconds", std::int64_t(0))),
                       .requestSchedulingMaxSlots =
                               document.value("requestSchedulingMaxSlots", std::uint32_t(0)),
                       .service = ServiceName{ document.value("service", "") },
                       .server = reader.endpoint("server"),
                       .outbound = reader.endpoint("outbound") };
    settings.seeds = reader.seeds(settings.mesh.port);
    const std::string level = document.value("logLevel", "info");
    for (const Level known : { Level::Debug, Level::Info, Level::Warning, Level::Error }) {
        if (level == toString(known))
            settings.logLevel = known;
    }
    if (!faults.isEmpty())
        return faults.error(ErrorKind::InvalidSettings);
    return settings;
}

Result<Settings> loadSettings(NodeRole role, const std::string &file)
{
    BOOST_LEAF_AUTO(text, readFile(file));
    return parseSettings(role, text, file);
}

} // namespace cactusdeck::meshd

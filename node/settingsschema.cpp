#include "node/settingsschema.h"

// Copies of schema/balancer.schema.json and schema/agent.schema.json, so that a daemon does not
// have to read the schema from a file. settings_test.cpp checks that they are equal to the files.

namespace cactusdeck {

const std::string_view balancerSchema = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Settings of a balancer",
  "type": "object",
  "additionalProperties": false,
  "required": ["id", "zone", "data", "control", "fabric", "store", "seeds"],
  "properties": {
    "id": { "type": "string", "minLength": 1, "maxLength": 64, "description": "a node id of 1 to 64 characters" },
    "zone": { "type": "string", "minLength": 1, "maxLength": 64, "description": "a zone name of 1 to 64 characters" },
    "data": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:7100" },
    "control": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:7101" },
    "fabric": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:7000" },
    "store": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:7001" },
    "seeds": {
      "type": "array",
      "description": "a list of control endpoints of balancers",
      "items": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:7101" }
    },
    "log": {
      "type": "object",
      "description": "an object with level and target",
      "additionalProperties": false,
      "properties": {
        "level": { "enum": ["debug", "info", "warning", "error"], "description": "debug, info, warning or error" },
        "target": { "type": "string", "minLength": 1, "description": "stderr or the path of a file" }
      }
    }
  }
}
)json";

const std::string_view agentSchema = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Settings of an agent",
  "type": "object",
  "additionalProperties": false,
  "required": ["id", "zone", "data", "control", "fabric", "seeds", "group", "server"],
  "properties": {
    "id": { "type": "string", "minLength": 1, "maxLength": 64, "description": "a node id of 1 to 64 characters" },
    "zone": { "type": "string", "minLength": 1, "maxLength": 64, "description": "a zone name of 1 to 64 characters" },
    "data": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:7100" },
    "control": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:7101" },
    "fabric": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:7000" },
    "seeds": {
      "type": "array",
      "description": "a list of control endpoints of balancers",
      "items": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:7101" }
    },
    "group": { "type": "string", "minLength": 1, "maxLength": 64, "description": "a group name of 1 to 64 characters" },
    "server": {
      "type": "object",
      "description": "an object with data and health",
      "additionalProperties": false,
      "required": ["data", "health"],
      "properties": {
        "data": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:8200" },
        "health": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "an IPv4 endpoint such as 127.0.0.1:8201" }
      }
    },
    "log": {
      "type": "object",
      "description": "an object with level and target",
      "additionalProperties": false,
      "properties": {
        "level": { "enum": ["debug", "info", "warning", "error"], "description": "debug, info, warning or error" },
        "target": { "type": "string", "minLength": 1, "description": "stderr or the path of a file" }
      }
    }
  }
}
)json";

} // namespace cactusdeck

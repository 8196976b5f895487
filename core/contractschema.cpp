#include "core/contract.h"

namespace cactusdeck {

// Must equal schema/contract.schema.json; a test compares them.
const std::string_view contractSchemaText = R"schema({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Service contract",
  "description": "an object with the fields of a service contract",
  "type": "object",
  "additionalProperties": false,
  "required": [
    "service", "owner", "addresses", "groups", "idempotent", "slots", "connections", "coldSlots"
  ],
  "properties": {
    "service": {
      "description": "1 to 63 lower-case letters, digits and inner hyphens",
      "type": "string",
      "pattern": "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
    },
    "owner": {
      "description": "the team responsible for the service, 1 to 100 characters",
      "type": "string",
      "minLength": 1,
      "maxLength": 100
    },
    "description": {
      "description": "at most 1000 characters",
      "type": "string",
      "maxLength": 1000
    },
    "addresses": {
      "description": "1 to 64 different addresses",
      "type": "array",
      "minItems": 1,
      "maxItems": 64,
      "items": {
        "description": "IPv4 address, port and protocol, such as 198.51.100.10:443/tcp",
        "type": "string"
      }
    },
    "groups": {
      "description": "1 to 64 different groups of backend servers",
      "type": "array",
      "minItems": 1,
      "maxItems": 64,
      "items": {
        "description": "1 to 63 lower-case letters, digits and inner hyphens",
        "type": "string",
        "pattern": "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
      }
    },
    "idempotent": {
      "description": "true if a request may be executed more than once, false if not",
      "type": "boolean"
    },
    "slots": {
      "description": "requests in progress for each backend server, a whole number from 1 to 100000",
      "type": "integer",
      "minimum": 1,
      "maximum": 100000
    },
    "connections": {
      "description": "connections for each backend server, a whole number from 1 to 1000000",
      "type": "integer",
      "minimum": 1,
      "maximum": 1000000
    },
    "coldSlots": {
      "description": "requests in progress that a server in cold start handles, a whole number from 1 to 100000",
      "type": "integer",
      "minimum": 1,
      "maximum": 100000
    },
    "idleTimeoutSeconds": {
      "description": "a whole number from 1 to 604800",
      "type": "integer",
      "minimum": 1,
      "maximum": 604800
    },
    "requestDeadlineMilliseconds": {
      "description": "a whole number from 1 to 3600000",
      "type": "integer",
      "minimum": 1,
      "maximum": 3600000
    },
    "drainDeadlineSeconds": {
      "description": "a whole number from 1 to 604800",
      "type": "integer",
      "minimum": 1,
      "maximum": 604800
    }
  }
}
)schema";

} // namespace cactusdeck

#ifndef CACTUSDECK_NODE_SERVERHEALTH_H
#define CACTUSDECK_NODE_SERVERHEALTH_H

#include <chrono>
#include <string_view>

#include "core/agent.h"

// Client for a backend server's health endpoint (docs/design.md, section 8).

namespace cactusdeck {

inline constexpr std::chrono::milliseconds healthInterval{ 500 };
// Shorter than the interval, so that each poll ends before the next one is due.
inline constexpr std::chrono::milliseconds healthTimeout{ 400 };

// Blocks for about the timeout at most. The server is reported as unreachable if it does not
// answer, if the HTTP status is not 200, or if the answer can't be parsed.
ServerHealth pollServerHealth(Endpoint health, std::chrono::milliseconds timeout = healthTimeout);

// Parses {"status": "serving|cold|shedding|draining", "startedAt": n, "inProgress": n}. Any other
// status is reported as unreachable.
ServerHealth parseServerHealth(std::string_view body);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_SERVERHEALTH_H

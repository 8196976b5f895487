#ifndef CACTUSDECK_NODE_SERVERHEALTH_H
#define CACTUSDECK_NODE_SERVERHEALTH_H

#include <chrono>
#include <string_view>

#include "core/agent.h"

// Reads a backend server's health endpoint (docs/design.md, section 8).

namespace cactusdeck {

inline constexpr std::chrono::milliseconds healthInterval{ 500 };
// Below the interval, so that answers can't pile up.
inline constexpr std::chrono::milliseconds healthTimeout{ 400 };

// Blocks up to about the timeout. No answer, another status than 200 and an answer that can't be
// read are reported as unreachable.
ServerHealth pollServerHealth(Endpoint health, std::chrono::milliseconds timeout = healthTimeout);

// {"status": "serving|cold|shedding|draining", "startedAt": n, "inProgress": n}
ServerHealth parseServerHealth(std::string_view body);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_SERVERHEALTH_H

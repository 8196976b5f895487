#ifndef CACTUSDECK_CORE_AGENTSTATUS_H
#define CACTUSDECK_CORE_AGENTSTATUS_H

#include "core/agentstate.h"

namespace cactusdeck {

// Returns the part of Agent::status() that describes the data path and admission. Latencies are in
// microseconds; utilisation is in units of 1/1024.
nlohmann::json statusOf(const AgentState &state, TimePoint now);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_AGENTSTATUS_H

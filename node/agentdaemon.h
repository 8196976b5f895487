#ifndef CACTUSDECK_NODE_AGENTDAEMON_H
#define CACTUSDECK_NODE_AGENTDAEMON_H

#include <memory>

#include "node/runningnode.h"

// The daemon cactusdeck-agent: runs an Agent with sockets, health polling and JSON-RPC.

namespace cactusdeck {

// Creates an Agent and returns its event handlers for the packet loop.
NodeStateMachine makeAgentStateMachine(const AgentSettings &settings);
Result<std::unique_ptr<RunningNode>> startAgent(const AgentSettings &settings);
int runAgentDaemon(int argc, char **argv);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_AGENTDAEMON_H

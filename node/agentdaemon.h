#ifndef CACTUSDECK_NODE_AGENTDAEMON_H
#define CACTUSDECK_NODE_AGENTDAEMON_H

#include <memory>

#include "node/runningnode.h"

// cactusdeck-agent: an Agent with sockets, health poller and JSON-RPC.

namespace cactusdeck {

// The agent's events as the packet loop calls them.
NodeStateMachine makeAgentStateMachine(const AgentSettings &settings);
Result<std::unique_ptr<RunningNode>> startAgent(const AgentSettings &settings);
int runAgentDaemon(int argc, char **argv);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_AGENTDAEMON_H

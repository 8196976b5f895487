#ifndef CACTUSDECK_NODE_BALANCERDAEMON_H
#define CACTUSDECK_NODE_BALANCERDAEMON_H

#include <memory>

#include "node/runningnode.h"

// The daemon cactusdeck-balancer: runs a Balancer with sockets, store client and JSON-RPC.

namespace cactusdeck {

// Creates a Balancer and returns its event handlers for the packet loop.
NodeStateMachine makeBalancerStateMachine(const BalancerSettings &settings);
Result<std::unique_ptr<RunningNode>> startBalancer(const BalancerSettings &settings);
int runBalancerDaemon(int argc, char **argv);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_BALANCERDAEMON_H

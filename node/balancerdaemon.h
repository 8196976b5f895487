#ifndef CACTUSDECK_NODE_BALANCERDAEMON_H
#define CACTUSDECK_NODE_BALANCERDAEMON_H

#include <memory>

#include "node/runningnode.h"

// cactusdeck-balancer: a Balancer with sockets, store client and JSON-RPC.

namespace cactusdeck {

// The balancer's events as the packet loop calls them.
NodeStateMachine makeBalancerStateMachine(const BalancerSettings &settings);
Result<std::unique_ptr<RunningNode>> startBalancer(const BalancerSettings &settings);
int runBalancerDaemon(int argc, char **argv);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_BALANCERDAEMON_H

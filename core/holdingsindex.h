#ifndef CACTUSDECK_CORE_HOLDINGSINDEX_H
#define CACTUSDECK_CORE_HOLDINGSINDEX_H

#include <map>
#include <span>

#include "core/error.h"
#include "core/routingtable.h"

// Enters the holdings reports of agents into a service's route.
//
//     indexHoldings(reports, registry, route);     // fills route.holders and route.unconfirmed
//
// An agent of the service without a report made under the route's table is unconfirmed. It left out
// the buckets of which another table makes it a home agent, so it may hold flows of any bucket.

namespace cactusdeck {

// The newest report of each agent for one service.
using ServiceReports = std::map<NodeId, HoldingsReport>;

void indexHoldings(const ServiceReports &reports, const AgentRegistry &registry,
                   ServiceRoute &route);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_HOLDINGSINDEX_H

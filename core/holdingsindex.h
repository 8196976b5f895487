#ifndef CACTUSDECK_CORE_HOLDINGSINDEX_H
#define CACTUSDECK_CORE_HOLDINGSINDEX_H

#include <map>
#include <span>

#include "core/error.h"
#include "core/routingtable.h"

// Enters agents' holdings reports into a service's route.
//
//     indexHoldings(reports, registry, route);     // fills route.holders and route.unconfirmed
//
// Every carrier without a report under the route's digest is unconfirmed: it decided under another
// table what it need not report, so it may hold flows of any bucket.

namespace cactusdeck {

// The newest report of each agent for one service.
using ServiceReports = std::map<NodeId, HoldingsReport>;

void indexHoldings(const ServiceReports &reports, const AgentRegistry &registry,
                   ServiceRoute &route);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_HOLDINGSINDEX_H

#ifndef CACTUSDECK_CORE_HOLDINGSREPORTER_H
#define CACTUSDECK_CORE_HOLDINGSREPORTER_H

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/flowtable.h"
#include "core/message.h"
#include "core/placement.h"

// Computes the buckets that an agent has to report: those in which it holds flows without being one
// of the bucket's home agents.
//
//     reporter.setMembers(service, announcer.members(service));
//     if (auto report = reporter.update(service, flows))
//         announcer.report(*report, now, outbox);
//
// A report is due when the set of buckets or the placement table changed. After a change of the
// table even an empty report is due: balancers treat an agent that has not reported under their
// table as a possible holder of flows of any bucket.

namespace cactusdeck {

class HoldingsReporter
{
public:
    explicit HoldingsReporter(NodeId agentId)
        : id(std::move(agentId))
    { }

    // Recomputes the placement table if the members changed.
    void setMembers(ServiceId service, const std::vector<Member> &members);
    void removeService(ServiceId service) { this->services.erase(service); }
    // The report that is due, or none if the last one is still right or no members are known.
    std::optional<HoldingsReport> update(ServiceId service, const FlowTable &flows);
    // Number of buckets in the last report.
    std::size_t reportedBuckets(ServiceId service) const;

private:
    struct Service
    {
        PlacementTable table;
        std::optional<TableDigest> reportedDigest;
        std::vector<Bucket> reported;
    };

    NodeId id;
    std::map<ServiceId, Service> services;
};

// The buckets of a report, ascending. Malformed bytes give no buckets.
std::vector<Bucket> bucketsOf(const HoldingsReport &report);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_HOLDINGSREPORTER_H

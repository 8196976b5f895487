#ifndef CACTUSDECK_CORE_HOLDINGSREPORTER_H
#define CACTUSDECK_CORE_HOLDINGSREPORTER_H

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/flowtable.h"
#include "core/message.h"
#include "core/placement.h"

// Which buckets an agent has to report: those with flows of which it is not a home agent.
//
//     reporter.setMembers(service, announcer.members(service));
//     if (auto report = reporter.update(service, flows))
//         announcer.report(*report, now, outbox);
//
// A report is due when the set of buckets or the table changed. After a change of the table it is
// due even if it is empty: balancers treat an agent that has not reported under their table as a
// possible holder of any bucket.

namespace cactusdeck {

class HoldingsReporter
{
public:
    explicit HoldingsReporter(NodeId agentId)
        : id(std::move(agentId))
    { }

    // Computes the table, if the members differ from the last ones.
    void setMembers(ServiceId service, const std::vector<Member> &members);
    void removeService(ServiceId service) { this->services.erase(service); }
    // None when the newest report still holds.
    std::optional<HoldingsReport> update(ServiceId service, const FlowTable &flows);
    // Buckets in the newest report.
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

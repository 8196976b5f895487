#ifndef CACTUSDECK_CORE_REPORTTABLE_H
#define CACTUSDECK_CORE_REPORTTABLE_H

#include <array>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "core/membership.h"
#include "core/message.h"

// The newest holdings report of each agent and service that a balancer knows, for gossip.
//
//     ReportTable table;
//     if (table.merge(report))       // newer than the known one
//         ...
//     // The agent restarted or refuted a suspicion; it reports again under its new incarnation.
//     table.drop(agent, record.incarnation);

namespace cactusdeck {

// Hash that identifies a report. HeartbeatAck carries the XOR over all reports of an agent.
std::uint32_t reportDigest(const HoldingsReport &report);

class ReportTable
{
public:
    using Key = std::pair<NodeId, ServiceId>;

    // Returns false if the report is not newer, by (incarnation, sequence).
    bool merge(const HoldingsReport &report);
    // Removes the agent's reports of earlier incarnations than the given one. Returns their keys.
    std::vector<Key> drop(const NodeId &agent, Incarnation before);

    const HoldingsReport *find(const Key &key) const;
    std::vector<const HoldingsReport *> reportsOf(const NodeId &agent) const;
    // XOR of reportDigest over the reports of the agent.
    std::uint32_t digestOf(const NodeId &agent) const;
    // XOR of reportDigest over the reports of all agents of the cell; see cellOf.
    std::uint32_t cellDigest(std::size_t cell) const { return this->cellDigests[cell]; }
    // Reports merged since the last call.
    std::vector<HoldingsReport> takeLearned();

private:
    std::map<Key, HoldingsReport> reports;
    std::array<std::uint32_t, cellCount> cellDigests{};
    std::vector<Key> learned;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_REPORTTABLE_H

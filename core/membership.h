#ifndef CACTUSDECK_CORE_MEMBERSHIP_H
#define CACTUSDECK_CORE_MEMBERSHIP_H

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/message.h"
#include "core/types.h"

// The table of node records that a balancer keeps: who is there, and in which state.
//
//     Membership membership({ .self = record });
//     membership.merge(record, now);                     // from gossip or a heartbeat
//     membership.onTimer(now);                           // ages tombstones and the mass-loss state
//     if (membership.generation() != seen)               // placement inputs changed
//         members = placementMembers(membership.agentsOf(groups), groups, isZoneOut);
//
// Pointers to records stay valid until the next call of a non-const member function.
//
// Order of two records of one node: the higher incarnation wins; within an incarnation Dead and
// Left are final; then the higher sequence wins; then the worse liveness. Only the node itself
// raises its incarnation, so a node that is declared dead by mistake returns by refuting, and an
// old record never revives it. The configuration version is merged as a maximum and is no change:
// spreading each version of each node would cost (nodes x records) bytes for every publication.
//
// A Dead or Left record is kept as a tombstone for tombstoneTime, and then only its incarnation
// for retiredTime. An old Alive record that arrives afterwards is stored as Dead and spread again,
// so that its sender drops it, or the node refutes if it does exist.
//
// Memory: about 300 bytes a node, 2.1 MB at 760 balancers and 6,200 agents.

namespace cactusdeck {

struct MembershipOptions
{
    NodeRecord self;
    Duration tombstoneTime = std::chrono::hours(2); // longer than an inter-region partition
    Duration retiredTime = std::chrono::hours(24 * 7);
    Duration massLossWindow = std::chrono::seconds(5);
    // Upper limit of the mass-loss state, after which silent nodes are declared dead after all.
    Duration massLossLimit = std::chrono::hours(2);
};

// Records are grouped by a hash of the id for comparison: 16 shards of 32 cells. A cell holds about
// 14 records at long-run size, one datagram.
inline constexpr std::size_t shardCount = 16;
inline constexpr std::size_t cellsPerShard = 32;
inline constexpr std::size_t cellCount = shardCount * cellsPerShard;
std::size_t cellOf(const NodeId &id);

class Membership
{
public:
    explicit Membership(MembershipOptions options);
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    const NodeRecord &self() const { return *this->selfRecord; }
    // Changes what the node says of itself; the sequence rises if anything but the configuration
    // changed. Id, role, incarnation and sequence of the argument are ignored.
    void updateSelf(NodeRecord record);

    // Returns true if the table changed. A suspicion or death of the node itself is refuted.
    bool merge(const NodeRecord &record, TimePoint now);
    // Marks an alive node suspect in its current incarnation. Returns true if the table changed.
    bool suspect(const NodeId &id, TimePoint now);
    // Marks a suspect node dead, unless the mass-loss rule protects it.
    bool declareDead(const NodeId &id, TimePoint now);
    void onTimer(TimePoint now);
    // After a pause of this node: suspicions that it holds start again.
    void restartSuspicions(TimePoint now);

    // Rises when anything that placement or selection of agents depends on changes.
    std::uint64_t generation() const { return this->agentGeneration; }
    // Rises when the result of aliveBalancers() may have changed.
    std::uint64_t balancerGeneration() const { return this->peerGeneration; }

    const NodeRecord *find(const NodeId &id) const;
    // The node that receives frames at this endpoint; alive or suspect nodes only.
    const NodeRecord *findByData(Endpoint data) const;
    // All records, with tombstones, in no particular order.
    std::vector<const NodeRecord *> records() const;
    // Balancers that take duties, this node included, sorted by id: alive ones, and suspect ones
    // during a mass loss.
    // The reference is valid until the next call.
    const std::vector<const NodeRecord *> &aliveBalancers() const;
    // Alive and suspect balancers except this node, sorted by id.
    std::vector<const NodeRecord *> peers() const;
    // Balancers that were declared dead and did not leave; tried again after a partition.
    std::vector<const NodeRecord *> deadBalancers() const;
    // Alive and suspect agents of the groups, sorted by id.
    std::vector<const NodeRecord *> agentsOf(std::span<const GroupName> groups) const;
    std::vector<const NodeRecord *> agents() const;
    // Number of alive and suspect nodes.
    std::size_t size() const { return this->present; }

    // True if new work may go to the node: alive, or suspect during a mass loss.
    bool isUsable(const NodeRecord &record) const;
    // Mass loss of the record's group, or of the balancers.
    bool isMassLoss(const NodeRecord &record) const;
    // When the node became suspect in this table; only for suspect nodes.
    TimePoint suspectSince(const NodeId &id) const;

    // Ids of records that changed since the last call, for dissemination.
    std::vector<NodeId> takeChanges();
    // Hash over the alive and suspect records of each cell; equal tables have equal digests.
    const std::array<std::uint32_t, cellCount> &cellDigests() const { return this->digests; }
    // Records of a cell, tombstones included.
    const std::vector<const NodeRecord *> &recordsOfCell(std::size_t cell) const
    {
        return this->cells[cell];
    }

private:
    using Records = std::vector<const NodeRecord *>;
    struct Entry
    {
        NodeRecord record;
        TimePoint livenessSince; // of the present liveness
    };
    // Nodes that are lost together: the agents of a group, or all balancers.
    struct Population
    {
        Records present; // alive and suspect, sorted by id
        std::size_t suspects = 0;
        bool massLoss = false;
        TimePoint massLossSince;
    };
    struct Retired
    {
        Incarnation incarnation = 0;
        TimePoint since;
    };

    bool refute(const NodeRecord &record);
    void store(const NodeRecord &record, TimePoint now);
    void index(const NodeRecord &record);
    void unindex(const NodeRecord &record);
    void bumpGeneration(Role role);
    bool changeLiveness(const NodeId &id, Liveness from, Liveness to, TimePoint now);
    void updateMassLoss(Population &population, Role role, TimePoint now);
    std::size_t recentSuspects(const Population &population, TimePoint now) const;
    void retireTombstones(TimePoint now);
    Population &populationOf(const NodeRecord &record);
    const Population *findPopulation(const NodeRecord &record) const;

    MembershipOptions options;
    std::unordered_map<NodeId, Entry> entries;
    NodeRecord *selfRecord = nullptr;
    Population balancers;
    std::map<GroupName, Population> groups;
    std::unordered_map<Endpoint, NodeId> byData;
    std::array<Records, cellCount> cells; // tombstones included
    std::array<std::uint32_t, cellCount> digests{};
    std::unordered_map<std::uint64_t, Retired> retired; // by hash of the id
    std::vector<NodeId> changes;
    std::uint64_t agentGeneration = 1;
    std::uint64_t peerGeneration = 1;
    std::size_t present = 0;
    TimePoint nextMassLossCheck{};
    TimePoint nextTombstoneCheck{};
    mutable Records aliveCache;
    mutable std::uint64_t aliveCacheGeneration = 0;
};

// Members of a service's placement table: the alive and suspect agents of its groups that are not
// draining and whose zone is not out, sorted by id. Every node that knows the same records, groups
// and zones gets the same list.
std::vector<Member> placementMembers(std::span<const NodeRecord *const> records,
                                     std::span<const GroupName> groups,
                                     const std::function<bool(const ZoneName &)> &isZoneOut);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_MEMBERSHIP_H

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

// A balancer's table of all known nodes (balancers and agents) and their liveness.
//
//     Membership membership({ .self = record });
//     membership.merge(record, now);                     // from gossip or a heartbeat
//     membership.onTimer(now);                           // expires tombstones and mass losses
//     if (membership.generation() != seen)               // placement inputs changed
//         members = placementMembers(membership.agentsOf(groups), groups, isZoneOut);
//
// Pointers to records stay valid until the next call of a non-const member function.
//
// Precedence of two records of the same node: the higher incarnation wins; within an incarnation
// Dead and Left are final; then the higher sequence wins; then the worse liveness. Only the node
// itself raises its incarnation. A node that is declared dead by mistake therefore returns by
// refuting, that is, by announcing a higher incarnation, and a stale record never revives a node.
// The configuration version is merged as a maximum and does not count as a change: gossiping each
// version of each node would cost (nodes x records) bytes for every publication.
//
// A Dead or Left record is kept as a tombstone for tombstoneTime. After that only its incarnation
// is kept, for retiredTime. If a stale Alive record arrives in that time, it is stored as Dead and
// gossiped again, so that its sender corrects its table, or the node refutes if it does exist.
//
// Mass loss: if most agents of a group, or most balancers, become suspect within massLossWindow, a
// network fault is more likely than their death. They stay usable and are not declared dead until
// no more than half of them are suspect, or until massLossLimit has passed.
//
// Memory: about 300 bytes a node, 2.1 MB at 760 balancers and 6,200 agents.

namespace cactusdeck {

struct MembershipOptions
{
    NodeRecord self;
    Duration tombstoneTime = std::chrono::hours(2); // longer than an inter-region partition
    Duration retiredTime = std::chrono::hours(24 * 7);
    Duration massLossWindow = std::chrono::seconds(5);
    // After this time silent nodes are declared dead in spite of the mass loss.
    Duration massLossLimit = std::chrono::hours(2);
};

// To compare two tables, records are grouped by a hash of the node id into 16 shards of 32 cells.
// At 760 balancers and 6,200 agents a cell holds about 14 records, which fit into one datagram.
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
    // Replaces the node's own record. The sequence is incremented if anything but the configuration
    // changed. Id, role, incarnation and sequence of the argument are ignored.
    void updateSelf(NodeRecord record);

    // Returns true if the table changed. A record that calls this node itself suspect or dead is
    // refuted.
    bool merge(const NodeRecord &record, TimePoint now);
    // Marks an alive node suspect in its current incarnation. Returns true if the table changed.
    bool suspect(const NodeId &id, TimePoint now);
    // Marks a suspect node dead, unless its population is in a mass loss. Returns true if the table
    // changed.
    bool declareDead(const NodeId &id, TimePoint now);
    void onTimer(TimePoint now);
    // Restarts the suspicion time of all suspect nodes. For a node whose process was paused, as it
    // could not receive their refutations.
    void restartSuspicions(TimePoint now);

    // Incremented when anything that placement or selection of agents depends on changes.
    std::uint64_t generation() const { return this->agentGeneration; }
    // Incremented when the result of aliveBalancers() may have changed.
    std::uint64_t balancerGeneration() const { return this->peerGeneration; }

    const NodeRecord *find(const NodeId &id) const;
    // The alive or suspect node that receives frames at this endpoint.
    const NodeRecord *findByData(Endpoint data) const;
    // All records, including tombstones, in no particular order.
    std::vector<const NodeRecord *> records() const;
    // Balancers among which work is divided, this node included, sorted by id: alive ones, and
    // suspect ones during a mass loss. The reference is valid until the next call.
    const std::vector<const NodeRecord *> &aliveBalancers() const;
    // Alive and suspect balancers except this node, sorted by id.
    std::vector<const NodeRecord *> peers() const;
    // Balancers that were declared dead. They are contacted now and then, since they may be alive
    // on the other side of a network partition.
    std::vector<const NodeRecord *> deadBalancers() const;
    // Alive and suspect agents of the groups, sorted by id.
    std::vector<const NodeRecord *> agentsOf(std::span<const GroupName> groups) const;
    std::vector<const NodeRecord *> agents() const;
    // Number of alive and suspect nodes.
    std::size_t size() const { return this->present; }

    // True if new work may go to the node: alive, or suspect during a mass loss.
    bool isUsable(const NodeRecord &record) const;
    // True during a mass loss of the record's group, or of the balancers for a balancer's record.
    bool isMassLoss(const NodeRecord &record) const;
    // When the node became suspect in this table. The node must be suspect.
    TimePoint suspectSince(const NodeId &id) const;

    // Ids of records that changed since the last call, for gossip.
    std::vector<NodeId> takeChanges();
    // Hash over the alive and suspect records of each cell. Equal tables have equal digests.
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
    // Nodes among which a mass loss is detected: the agents of a group, or all balancers.
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
    std::unordered_map<std::uint64_t, Retired> retired; // expired tombstones, by hash of the id
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
// draining and whose zone is not out, sorted by id. The result is the same on every node that knows
// the same records, groups and zones.
std::vector<Member> placementMembers(std::span<const NodeRecord *const> records,
                                     std::span<const GroupName> groups,
                                     const std::function<bool(const ZoneName &)> &isZoneOut);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_MEMBERSHIP_H

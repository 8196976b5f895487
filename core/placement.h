#ifndef CACTUSDECK_CORE_PLACEMENT_H
#define CACTUSDECK_CORE_PLACEMENT_H

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "core/frame.h"
#include "core/message.h"
#include "core/types.h"

// Assigns the buckets of a service to agents, as a pure function of the members and their weights.
//
//     PlacementTable table({ { NodeId{ "a1" }, 4 }, { NodeId{ "a2" }, 1 } });
//     for (std::uint16_t index : table.order(bucket))      // best agent first
//         use(table.members()[index]);
//
// Members may be given in any order: two nodes that know the same members and weights build equal
// tables with equal digests.

namespace cactusdeck {

// The first agents in a bucket's order are its home agents, between which new flows are balanced.
// Two choices suffice to balance load, and each further one would add a hop to the lookup of a flow
// that isn't cached.
inline constexpr std::size_t homeAgents = 2;

// Algorithm that orders the members for each bucket. Strategies are constant objects.
struct PlacementStrategy
{
    std::string_view name;
    // Writes, for one bucket after the other, the indexes of its `depth` best members, best first.
    // out has depth * bucketCount elements.
    void (*fill)(std::span<const Member> members, std::size_t depth, std::span<std::uint16_t> out);
};

// Weighted rendezvous hashing: moves only the buckets of members that join, leave or change weight.
extern const PlacementStrategy weightedRendezvous;
// Consistent hashing on a ring without weights. Measurements compare other strategies with it.
extern const PlacementStrategy consistentHashing;

class PlacementTable
{
public:
    PlacementTable() = default;
    explicit PlacementTable(std::vector<Member> members,
                            const PlacementStrategy &strategy = weightedRendezvous);

    // Sorted by id.
    const std::vector<Member> &members() const { return this->memberList; }
    TableDigest digest() const { return this->tableDigest; }
    // Indexes into members(), best first, at most maxHops.
    std::span<const std::uint16_t> order(Bucket bucket) const
    {
        return { this->orders.data() + std::size_t(bucket) * this->depth, this->depth };
    }
    bool isHome(Bucket bucket, const NodeId &id) const;

private:
    // The digest comes first because the packet path reads it for each packet of the service.
    TableDigest tableDigest = 0;
    std::vector<Member> memberList;
    std::vector<std::uint16_t> orders;
    std::size_t depth = 0;
};

// The digest of a table of these members, computed without building the table.
TableDigest digestOf(std::span<const Member> sortedMembers);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_PLACEMENT_H

#include "core/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <xxhash.h>

namespace cactusdeck {

namespace {

std::uint64_t hashOf(const NodeId &id, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(id.value.data(), id.value.size(), seed);
}

// Combines a member's hash with a bucket. This is cheaper than hashing the name for each bucket.
std::uint64_t mix(std::uint64_t value, std::uint64_t bucket)
{
    value ^= bucket * 0x9E3779B97F4A7C15ull;
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ull;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBull;
    return value ^ (value >> 31);
}

struct Scored
{
    double score;
    std::uint16_t index;
};

// Writes the indexes of the best members to out. Equal scores are ordered by index, so that all
// nodes compute the same order.
void selectBest(std::vector<Scored> &scored, std::span<std::uint16_t> out)
{
    const auto better = [](const Scored &a, const Scored &b) {
        return a.score != b.score ? a.score > b.score : a.index < b.index;
    };
    std::partial_sort(scored.begin(), scored.begin() + std::ptrdiff_t(out.size()), scored.end(),
                      better);
    for (std::size_t i = 0; i < out.size(); ++i)
        out[i] = scored[i].index;
}

std::vector<std::uint64_t> hashesOf(std::span<const Member> members, std::uint64_t seed)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(members.size());
    for (const Member &member : members)
        hashes.push_back(hashOf(member.id, seed));
    return hashes;
}

void fillByRendezvous(std::span<const Member> members, std::size_t depth,
                      std::span<std::uint16_t> out)
{
    const std::vector<std::uint64_t> hashes = hashesOf(members, 0);
    std::vector<Scored> scored(members.size());
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        for (std::size_t i = 0; i < members.size(); ++i) {
            // Uniform in (0, 1). The score -weight / log(uniform) is highest for a member with a
            // probability proportional to its weight.
            const double uniform = (double(mix(hashes[i], bucket) >> 11) + 0.5) * 0x1p-53;
            scored[i] = { -double(members[i].weight) / std::log(uniform), std::uint16_t(i) };
        }
        selectBest(scored, out.subspan(bucket * depth, depth));
    }
}

constexpr std::uint64_t ringPoints = 64; // per member

void fillFromRing(std::span<const Member> members, std::size_t depth, std::span<std::uint16_t> out)
{
    const std::vector<std::uint64_t> hashes = hashesOf(members, 1);
    std::vector<Scored> scored(members.size());
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        const std::uint64_t position = mix(0, bucket + 1);
        for (std::size_t i = 0; i < members.size(); ++i) {
            std::uint64_t distance = UINT64_MAX;
            for (std::uint64_t point = 0; point < ringPoints; ++point)
                distance = std::min(distance, mix(hashes[i], point) - position);
            scored[i] = { -double(distance), std::uint16_t(i) };
        }
        selectBest(scored, out.subspan(bucket * depth, depth));
    }
}

} // namespace

const PlacementStrategy weightedRendezvous = { "weighted_rendezvous", fillByRendezvous };
const PlacementStrategy consistentHashing = { "consistent_hashing", fillFromRing };

TableDigest digestOf(std::span<const Member> sortedMembers)
{
    std::uint64_t digest = sortedMembers.size();
    for (const Member &member : sortedMembers)
        digest = mix(digest ^ hashOf(member.id, 2), member.weight);
    return TableDigest(digest);
}

PlacementTable::PlacementTable(std::vector<Member> members, const PlacementStrategy &strategy)
    : memberList(std::move(members))
{
    std::sort(this->memberList.begin(), this->memberList.end(),
              [](const Member &a, const Member &b) { return a.id < b.id; });
    this->tableDigest = digestOf(this->memberList);
    this->depth = std::min(this->memberList.size(), maxHops);
    this->orders.resize(this->depth * bucketCount);
    strategy.fill(this->memberList, this->depth, this->orders);
}

bool PlacementTable::isHome(Bucket bucket, const NodeId &id) const
{
    const auto homes = this->order(bucket).first(std::min(this->depth, homeAgents));
    return std::any_of(homes.begin(), homes.end(),
                       [&](std::uint16_t index) { return this->memberList[index].id == id; });
}

} // namespace cactusdeck

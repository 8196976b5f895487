#include "core/placement.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace cactusdeck;

namespace {

std::vector<Member> members(int count, std::uint16_t weight = 4)
{
    std::vector<Member> result;
    result.reserve(std::size_t(count));
    for (int i = 0; i < count; ++i)
        result.push_back({ NodeId{ "agent-" + std::to_string(i) }, weight });
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement)

// Guards against tables that differ between nodes because they learned of the members in different
// orders.
BOOST_AUTO_TEST_CASE(orderOfMembersDoesNotMatter)
{
    auto reversed = members(7);
    std::reverse(reversed.begin(), reversed.end());
    const PlacementTable a(members(7));
    const PlacementTable b(reversed);
    BOOST_TEST(a.digest() == b.digest());
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        const auto left = a.order(Bucket(bucket));
        const auto right = b.order(Bucket(bucket));
        BOOST_TEST(std::equal(left.begin(), left.end(), right.begin(), right.end()));
    }
}

// Guards against a new member that causes buckets to move between other members.
BOOST_AUTO_TEST_CASE(joinMovesBucketsOnlyToTheNewMember)
{
    const PlacementTable before(members(7));
    const PlacementTable after(members(8));
    std::size_t moved = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        const auto &old = before.members()[before.order(Bucket(bucket))[0]].id;
        const auto &now = after.members()[after.order(Bucket(bucket))[0]].id;
        if (old != now) {
            BOOST_TEST(now.value == "agent-7");
            ++moved;
        }
    }
    BOOST_TEST(moved > bucketCount / 16);
    BOOST_TEST(moved < bucketCount / 4);
}

BOOST_AUTO_TEST_CASE(weightGivesShareOfBuckets)
{
    auto list = members(4, 1);
    list[0].weight = 4;
    const PlacementTable table(list);
    std::map<std::string, std::size_t> first;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket)
        ++first[table.members()[table.order(Bucket(bucket))[0]].id.value];
    // The expected share is 4/7 of 1,024 buckets; the bounds are four standard deviations of a
    // binomial distribution away.
    BOOST_TEST(first["agent-0"] > 520u);
    BOOST_TEST(first["agent-0"] < 650u);
}

BOOST_AUTO_TEST_CASE(emptyTableHasNoOrder)
{
    const PlacementTable table{ std::vector<Member>{} };
    BOOST_TEST(table.order(3).empty());
    BOOST_TEST(!table.isHome(3, NodeId{ "agent-0" }));
}

BOOST_AUTO_TEST_SUITE_END()

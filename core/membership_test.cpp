#include "core/membership.h"

#include <boost/test/unit_test.hpp>

using namespace cactusdeck;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint{} + 1h;

NodeRecord agent(int index, const std::string &group = "booking")
{
    return { .id = NodeId{ group + std::to_string(index) },
             .role = Role::Agent,
             .zone = ZoneName{ "zone-a" },
             .data = { 0x0A00'0100u + std::uint32_t(index), 7100 },
             .group = GroupName{ group },
             .weight = 5 };
}

NodeRecord balancer(int index)
{
    return { .id = NodeId{ "balancer" + std::to_string(index) },
             .data = { 0x0A00'0200u + std::uint32_t(index), 7100 } };
}

NodeRecord with(NodeRecord record, Liveness liveness, Incarnation incarnation = 1)
{
    record.liveness = liveness;
    record.incarnation = incarnation;
    return record;
}

struct Fixture
{
    Membership table{ { .self = balancer(0) } };

    Fixture()
    {
        for (int i = 0; i < 7; ++i)
            this->table.merge(agent(i), start);
    }
    Liveness livenessOf(const NodeRecord &record) const
    {
        return this->table.find(record.id)->liveness;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(membership, Fixture)

// Guards against a table that depends on the order in which records arrive.
BOOST_AUTO_TEST_CASE(mergeIsIndependentOfOrder)
{
    std::vector<NodeRecord> versions;
    for (Incarnation incarnation : { 1u, 2u }) {
        for (std::uint32_t sequence : { 0u, 1u }) {
            for (int liveness = 0; liveness < 4; ++liveness) {
                versions.push_back(with(agent(0), Liveness(liveness), incarnation));
                versions.back().sequence = sequence;
            }
        }
    }
    Membership forward({ .self = balancer(0) });
    Membership backward({ .self = balancer(0) });
    for (const NodeRecord &record : versions)
        forward.merge(record, start);
    for (auto it = versions.rbegin(); it != versions.rend(); ++it)
        backward.merge(*it, start);
    BOOST_TEST((*forward.find(agent(0).id) == *backward.find(agent(0).id)));
    BOOST_TEST((forward.cellDigests() == backward.cellDigests()));
    BOOST_TEST((forward.find(agent(0).id)->liveness == Liveness::Left));
}

// Guards against reviving a dead node by an Alive record with a higher sequence that was still in
// transit when the node died.
BOOST_AUTO_TEST_CASE(deathIsFinalWithinAnIncarnation)
{
    this->table.merge(with(agent(0), Liveness::Dead), start);
    NodeRecord late = agent(0);
    late.sequence = 9;
    BOOST_TEST(!this->table.merge(late, start));
    BOOST_TEST((this->livenessOf(agent(0)) == Liveness::Dead));
    BOOST_TEST(this->table.merge(with(agent(0), Liveness::Alive, 2), start));
    BOOST_TEST((this->livenessOf(agent(0)) == Liveness::Alive));
}

// Guards against stale gossip that revives a node after its tombstone was removed, and against
// ignoring the node when it returns with a higher incarnation.
BOOST_AUTO_TEST_CASE(staleRecordDoesNotReviveAForgottenNode)
{
    this->table.merge(with(agent(0), Liveness::Dead, 3), start);
    this->table.onTimer(start + 3h);
    BOOST_TEST((this->table.find(agent(0).id) == nullptr));
    this->table.takeChanges();
    BOOST_TEST(!this->table.merge(with(agent(0), Liveness::Dead, 3), start + 3h));
    this->table.merge(with(agent(0), Liveness::Alive, 3), start + 3h);
    BOOST_TEST((this->livenessOf(agent(0)) == Liveness::Dead));
    // The death is gossiped again, so that the sender of the stale record corrects its table.
    BOOST_TEST(this->table.takeChanges().size() == 1u);
    this->table.merge(with(agent(0), Liveness::Alive, 4), start + 3h);
    BOOST_TEST((this->livenessOf(agent(0)) == Liveness::Alive));
}

// Guards against a node that accepts a suspicion of itself instead of refuting it with a higher
// incarnation.
BOOST_AUTO_TEST_CASE(selfRefutesSuspicionAndDeath)
{
    BOOST_TEST(this->table.merge(with(balancer(0), Liveness::Suspect), start));
    BOOST_TEST(this->table.self().incarnation == 2u);
    BOOST_TEST(this->table.merge(with(balancer(0), Liveness::Dead, 7), start));
    BOOST_TEST(this->table.self().incarnation == 8u);
    BOOST_TEST((this->table.self().liveness == Liveness::Alive));
    BOOST_TEST(!this->table.merge(with(balancer(0), Liveness::Suspect, 7), start));
}

// Guards against a balancer that becomes alive again by refuting its death after it has left.
BOOST_AUTO_TEST_CASE(leavingIsNotRefuted)
{
    NodeRecord self = this->table.self();
    self.liveness = Liveness::Left;
    this->table.updateSelf(self);
    this->table.merge(with(balancer(0), Liveness::Dead, 1), start);
    BOOST_TEST((this->table.self().liveness == Liveness::Left));
    BOOST_TEST(this->table.self().incarnation == 1u);
    BOOST_TEST(this->table.aliveBalancers().empty());
}

// Guards against rebuilding placement tables, or gossiping, for every heartbeat and every
// configuration version.
BOOST_AUTO_TEST_CASE(generationRisesOnlyForPlacementChanges)
{
    const auto before = this->table.generation();
    this->table.takeChanges();
    NodeRecord record = agent(0);
    record.configuration = 12;
    this->table.merge(record, start);
    BOOST_TEST(this->table.find(record.id)->configuration == 12u);
    this->table.merge(balancer(1), start);
    BOOST_TEST(this->table.generation() == before);
    BOOST_TEST(this->table.takeChanges().size() == 1u);
    record.weight = 6;
    record.sequence = 1;
    this->table.merge(record, start);
    BOOST_TEST(this->table.generation() > before);
}

// Guards against an empty placement table when a fault of this node or of a link makes most agents
// of a group suspect.
BOOST_AUTO_TEST_CASE(massLossKeepsAgentsUsable)
{
    for (int i = 0; i < 3; ++i)
        this->table.suspect(agent(i).id, start + 1s * i);
    BOOST_TEST(!this->table.isUsable(*this->table.find(agent(0).id)));
    const auto before = this->table.generation();
    this->table.suspect(agent(3).id, start + 3s);
    BOOST_TEST(this->table.isUsable(*this->table.find(agent(0).id)));
    BOOST_TEST(this->table.generation() > before + 1);
    BOOST_TEST(!this->table.declareDead(agent(0).id, start + 10s));
    this->table.onTimer(start + 1h);
    BOOST_TEST(this->table.isUsable(*this->table.find(agent(0).id)));
    // The mass loss ends when no more than half of the agents are suspect.
    this->table.merge(with(agent(3), Liveness::Alive, 2), start + 1h);
    BOOST_TEST(!this->table.isUsable(*this->table.find(agent(0).id)));
    BOOST_TEST(this->table.declareDead(agent(0).id, start + 1h));
}

// Guards against treating agents that fail one after another as a mass loss, and against a mass
// loss without a time limit.
BOOST_AUTO_TEST_CASE(massLossIsLimited)
{
    for (int i = 0; i < 7; ++i)
        this->table.suspect(agent(i).id, start + 4s * i);
    BOOST_TEST(this->table.declareDead(agent(0).id, start + 30s));
    Membership other({ .self = balancer(0), .massLossLimit = 1h });
    for (int i = 0; i < 3; ++i)
        other.merge(with(agent(i), Liveness::Suspect), start);
    BOOST_TEST(!other.declareDead(agent(0).id, start + 59min));
    other.onTimer(start + 1h);
    BOOST_TEST(other.declareDead(agent(0).id, start + 1h));
}

// Guards against attributing frames to the previous owner of an endpoint.
BOOST_AUTO_TEST_CASE(reusedEndpointBelongsToTheNewestNode)
{
    NodeRecord successor = agent(0);
    successor.id = NodeId{ "successor" };
    this->table.merge(successor, start);
    BOOST_TEST(this->table.findByData(agent(0).data)->id.value == "successor");
    this->table.merge(with(agent(0), Liveness::Dead), start);
    BOOST_TEST(this->table.findByData(agent(0).data)->id.value == "successor");
}

// Guards against nodes that compute different placement tables from the same records.
BOOST_AUTO_TEST_CASE(placementMembersSelectsBySpecifiedRules)
{
    NodeRecord draining = agent(1);
    draining.phase = Phase::Draining;
    draining.sequence = 1;
    this->table.merge(draining, start);
    NodeRecord out = agent(2);
    out.zone = ZoneName{ "zone-out" };
    out.sequence = 1;
    this->table.merge(out, start);
    this->table.merge(with(agent(3), Liveness::Suspect), start);
    this->table.merge(with(agent(4), Liveness::Dead), start);
    this->table.merge(with(agent(5), Liveness::Left), start);
    this->table.merge(agent(8, "approval"), start);
    const std::vector<GroupName> groups{ GroupName{ "booking" } };
    const auto isOut = [](const ZoneName &zone) { return zone.value == "zone-out"; };
    const auto fromAll = placementMembers(this->table.records(), groups, isOut);
    const std::vector<Member> expected{ { NodeId{ "booking0" }, 5 },
                                        { NodeId{ "booking3" }, 5 },
                                        { NodeId{ "booking6" }, 5 } };
    BOOST_TEST((fromAll == expected));
    BOOST_TEST((placementMembers(this->table.agentsOf(groups), groups, isOut) == expected));
}

BOOST_AUTO_TEST_SUITE_END()

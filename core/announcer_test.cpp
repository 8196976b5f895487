#include "core/announcer.h"

#include <boost/test/unit_test.hpp>

#include "core/controlbus_test.h"

using namespace cactusdeck;
using namespace cactusdeck::controlbus;

namespace {

const ServiceId booking = serviceIdOf(ServiceName{ "booking" });

HoldingsReport reportOf(std::uint8_t bucket)
{
    return { .service = booking, .digest = 1, .buckets = { bucket } };
}

struct Fixture
{
    ControlBus bus{ { .seed = 11 } };

    Fixture()
    {
        this->bus.addBalancers(4);
        this->bus.addAgents(7, "booking");
        this->bus.run(10s);
    }
    BusNode &agent(int index) { return this->bus.node("booking-" + std::to_string(index)); }
    template <typename Change>
    void change(BusNode &node, Change change)
    {
        this->bus.act(node, [&](Outbox &outbox) { change(*node.announcer, outbox); });
    }
    // Number of balancers that know all reports of the agent.
    int balancersWithReports(const BusNode &node, std::uint32_t digest)
    {
        int count = 0;
        for (BusNode *each : this->bus.balancers())
            count += each->gossip->holdingsDigest(node.id) == digest;
        return count;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(announcer, Fixture)

// Guards against agents whose placement tables differ from those of the balancers.
BOOST_AUTO_TEST_CASE(agentsKnowTheMembersOfTheirService)
{
    const auto expected = this->agent(0).announcer->members(booking);
    BOOST_TEST(expected.size() == 7u);
    for (int i = 0; i < 7; ++i)
        BOOST_TEST((this->agent(i).announcer->members(booking) == expected));
    const auto generation = this->agent(1).announcer->membersGeneration();
    this->change(this->agent(0), [&](Announcer &announcer, Outbox &outbox) {
        announcer.setPhase(Phase::Draining, this->bus.now(), outbox);
    });
    this->bus.run(3s);
    BOOST_TEST(this->agent(1).announcer->members(booking).size() == 6u);
    BOOST_TEST(this->agent(1).announcer->membersGeneration() > generation);
}

// Guards against sending a member list that exceeds a datagram in one message.
BOOST_AUTO_TEST_CASE(largeMemberListsTravelInPieces)
{
    ControlBus large({ .seed = 12 });
    large.addBalancers(12);
    large.addAgents(90, "booking");
    large.run(90s);
    for (BusNode *each : large.upNodes()) {
        BOOST_TEST(each->largestDatagram <= maxDatagram);
        if (!each->isBalancer())
            BOOST_TEST(each->announcer->members(booking).size() == 90u);
    }
}

// Guards against a drain that is announced only with the next regular heartbeat, or not at all if
// its first copies are lost.
BOOST_AUTO_TEST_CASE(changesAreAnnouncedAtOnce)
{
    BusNode &draining = this->agent(2);
    int lost = 0;
    this->bus.isLinkDown = [&](const BusNode &from, const BusNode &) {
        return &from == &draining && ++lost <= 2; // the first copy to each monitor
    };
    this->change(draining, [&](Announcer &announcer, Outbox &outbox) {
        announcer.setPhase(Phase::Draining, this->bus.now(), outbox);
    });
    const auto known = this->bus.runUntil(5s, [&] {
        const auto all = this->bus.balancers();
        return std::all_of(all.begin(), all.end(), [&](BusNode *each) {
            return each->membership->find(draining.id)->phase == Phase::Draining;
        });
    });
    BOOST_TEST((known < 700ms));
}

// Guards against a running agent that remains suspect because it does not refute.
BOOST_AUTO_TEST_CASE(suspicionIsRefuted)
{
    BusNode &suspected = this->agent(3);
    this->bus.balancer(0).membership->suspect(suspected.id, this->bus.now());
    const auto refuted = this->bus.runUntil(5s, [&] {
        return suspected.announcer->self().incarnation == 2
               && this->bus.countSeenAs(suspected.id, Liveness::Alive) == 4;
    });
    BOOST_TEST((refuted < 2s));
}

// Guards against suspecting an agent that was stopped regularly.
BOOST_AUTO_TEST_CASE(leavingIsKnownAtOnce)
{
    BusNode &leaving = this->agent(4);
    this->change(leaving, [&](Announcer &announcer, Outbox &outbox) {
        announcer.leave(this->bus.now(), outbox);
    });
    BOOST_TEST(!leaving.announcer->hasLeft());
    const auto known = this->bus.runUntil(
            5s, [&] { return this->bus.countSeenAs(leaving.id, Liveness::Left) == 4; });
    BOOST_TEST((known < 1s));
    BOOST_TEST(leaving.announcer->hasLeft());
    this->bus.run(20s);
    BOOST_TEST(this->bus.events["suspect"] == 0);
    // An agent that cannot reach any balancer finishes leaving as well.
    BusNode &alone = this->agent(5);
    this->bus.isLinkDown = [&](const BusNode &from, const BusNode &) { return &from == &alone; };
    this->change(alone, [&](Announcer &announcer, Outbox &outbox) {
        announcer.leave(this->bus.now(), outbox);
    });
    this->bus.run(2s);
    BOOST_TEST(alone.announcer->hasLeft());
}

// Guards against an agent that does not detect its isolation, or does not recover from it.
BOOST_AUTO_TEST_CASE(isolationIsNoticed)
{
    BusNode &isolated = this->agent(5);
    this->bus.isLinkDown = [&](const BusNode &, const BusNode &to) { return &to == &isolated; };
    this->bus.run(2s);
    BOOST_TEST(!isolated.announcer->isIsolated(this->bus.now()));
    this->bus.run(2s);
    BOOST_TEST(isolated.announcer->isIsolated(this->bus.now()));
    this->bus.isLinkDown = nullptr;
    this->bus.run(2s);
    BOOST_TEST(!isolated.announcer->isIsolated(this->bus.now()));
    BOOST_TEST(this->bus.countSeenAs(isolated.id, Liveness::Alive) == 4);
}

// Guards against an agent that cannot join because some of its seeds are down.
BOOST_AUTO_TEST_CASE(startsWithOneRunningSeed)
{
    this->bus.kill(this->bus.balancer(0));
    this->bus.kill(this->bus.balancer(1));
    BusNode &late = this->bus.addAgent("booking-late", "booking");
    const auto known = this->bus.runUntil(
            10s, [&] { return this->bus.countSeenAs(late.id, Liveness::Alive) == 2; });
    BOOST_TEST((known < 4s));
}

// Guards against agents that do not learn of a new configuration from their monitors'
// acknowledgements, and monitors that do not learn the version in force on an agent.
BOOST_AUTO_TEST_CASE(newConfigurationIsNoticed)
{
    this->bus.configuration = 7;
    this->bus.run(2s);
    for (int i = 0; i < 7; ++i)
        BOOST_TEST(this->agent(i).announcer->newestConfiguration() == 7u);
    BOOST_TEST((this->agent(0).announcer->newestConfigurationFrom() != Endpoint{}));
    this->change(this->agent(0), [&](Announcer &announcer, Outbox &outbox) {
        announcer.setConfiguration(7, this->bus.now(), outbox);
    });
    this->bus.run(100ms);
    int known = 0;
    for (BusNode *each : this->bus.balancers())
        known += each->membership->find(this->agent(0).id)->configuration == 7;
    BOOST_TEST(known == 2); // its monitors
}

// Guards against reports that are lost, that are repeated although they were acknowledged, or that
// do not reach all balancers.
BOOST_AUTO_TEST_CASE(reportsAreDeliveredDespiteLoss)
{
    BusNode &holder = this->agent(6);
    this->bus.isLinkDown = [&](const BusNode &from, const BusNode &) { return &from == &holder; };
    for (std::uint8_t i = 0; i < 3; ++i) {
        this->change(holder, [&](Announcer &announcer, Outbox &outbox) {
            announcer.report(reportOf(i), this->bus.now(), outbox);
        });
    }
    this->bus.run(500ms);
    BOOST_TEST(holder.announcer->hasUndeliveredReports());
    this->bus.isLinkDown = nullptr;
    this->bus.run(3s);
    BOOST_TEST(!holder.announcer->hasUndeliveredReports());
    HoldingsReport newest = reportOf(2);
    newest.agent = holder.id;
    newest.incarnation = holder.announcer->self().incarnation;
    newest.sequence = 3;
    BOOST_TEST(this->balancersWithReports(holder, reportDigest(newest)) == 4);
    const auto before = holder.sentByKind[ControlMessage(HoldingsReport{}).index()];
    this->bus.run(10s);
    BOOST_TEST(holder.sentByKind[ControlMessage(HoldingsReport{}).index()] == before);
    // After a refutation the reports of the earlier incarnation are no longer valid.
    this->bus.balancer(0).membership->suspect(holder.id, this->bus.now());
    this->bus.run(4s);
    newest.incarnation = 2;
    BOOST_TEST(this->balancersWithReports(holder, reportDigest(newest)) == 4);
}

BOOST_AUTO_TEST_SUITE_END()

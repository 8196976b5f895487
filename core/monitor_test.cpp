#include "core/monitor.h"

#include <boost/test/unit_test.hpp>

#include "core/controlbus_test.h"

using namespace cactusdeck;
using namespace cactusdeck::controlbus;

namespace {

struct Fixture
{
    ControlBus bus{ { .seed = 7 } };

    Fixture()
    {
        this->bus.addBalancers(6);
        this->bus.addAgents(7, "booking");
        this->bus.run(10s);
    }
    int suspicions() { return this->bus.events["suspect"]; }
    BusNode &monitorOf(const BusNode &agent, std::size_t index)
    {
        const Endpoint endpoint = agent.announcer->monitors().at(index);
        for (BusNode *each : this->bus.balancers()) {
            if (each->control == endpoint)
                return *each;
        }
        throw std::out_of_range("the monitor of the agent is not a running balancer");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(monitor, Fixture)

// Guards against suspicions in a fleet without failures, and against tables that never become
// equal.
BOOST_AUTO_TEST_CASE(fleetWithoutFailuresConverges)
{
    BOOST_TEST(this->bus.isConverged());
    BOOST_TEST(this->bus.balancer(0).membership->size() == 13u);
    this->bus.run(60s);
    BOOST_TEST(this->suspicions() == 0);
}

// Guards against a failed agent that is detected late or never. It has to be suspect after 2 s, and
// dead 4 s later.
BOOST_AUTO_TEST_CASE(silentAgentIsSuspectThenDead)
{
    BusNode &agent = this->bus.node("booking-3");
    this->bus.kill(agent);
    const auto suspected = this->bus.runUntil(
            10s, [&] { return this->bus.countSeenAs(agent.id, Liveness::Suspect) == 6; });
    BOOST_TEST((suspected > 1s && suspected < 3s));
    const auto dead = this->bus.runUntil(
            10s, [&] { return this->bus.countSeenAs(agent.id, Liveness::Dead) == 6; });
    BOOST_TEST((dead > 3s && dead < 5s));
}

// Guards against agents that remain assigned to a dead monitor.
BOOST_AUTO_TEST_CASE(failedMonitorIsReplaced)
{
    BusNode &agent = this->bus.node("booking-0");
    BusNode &failed = this->monitorOf(agent, 0);
    this->bus.kill(failed);
    this->bus.runUntil(20s, [&] { return this->bus.countSeenAs(failed.id, Liveness::Dead) == 5; });
    BOOST_TEST(this->bus.countSeenAs(failed.id, Liveness::Dead) == 5);
    this->bus.run(2s);
    const auto monitors = agent.announcer->monitors();
    BOOST_TEST(monitors.size() == 2u);
    for (std::size_t i = 0; i < monitors.size(); ++i)
        BOOST_TEST(this->monitorOf(agent, i).monitor->isMonitorOf(agent.id));
    BOOST_TEST(this->bus.countSeenAs(agent.id, Liveness::Alive) == 5);
}

// Guards against agents that are declared dead because both of their monitors failed at once.
BOOST_AUTO_TEST_CASE(agentSurvivesLossOfBothMonitors)
{
    BusNode &agent = this->bus.node("booking-0");
    BusNode &first = this->monitorOf(agent, 0);
    BusNode &second = this->monitorOf(agent, 1);
    this->bus.kill(first);
    this->bus.kill(second);
    this->bus.run(30s);
    BOOST_TEST(this->bus.countSeenAs(agent.id, Liveness::Alive) == 4);
    BOOST_TEST(agent.announcer->self().incarnation == 1u);
    BOOST_TEST(!agent.announcer->isIsolated(this->bus.now()));
}

// Guards against a balancer that, after a pause of its own process, suspects the nodes whose
// messages it missed.
BOOST_AUTO_TEST_CASE(pausedBalancerSuspectsNobody)
{
    BusNode &paused = this->bus.balancer(2);
    paused.paused = true;
    this->bus.run(30s);
    BOOST_TEST(this->bus.countSeenAs(paused.id, Liveness::Dead) == 5);
    const int before = this->suspicions();
    paused.receivedWhilePaused.clear(); // the socket buffer overflowed
    this->bus.resume(paused);
    this->bus.run(10s);
    BOOST_TEST(this->suspicions() == before);
    // The other balancers had declared it dead, and it has refuted.
    BOOST_TEST(this->bus.countSeenAs(paused.id, Liveness::Alive) == 6);
    BOOST_TEST(paused.membership->self().incarnation > 1u);
}

// Guards against declaring an agent dead that was paused for less than deadAfter.
BOOST_AUTO_TEST_CASE(shortPauseIsNotDeath)
{
    BusNode &agent = this->bus.node("booking-1");
    agent.paused = true;
    this->bus.runUntil(10s,
                       [&] { return this->bus.countSeenAs(agent.id, Liveness::Suspect) == 6; });
    this->bus.resume(agent);
    const auto refuted = this->bus.runUntil(
            10s, [&] { return this->bus.countSeenAs(agent.id, Liveness::Alive) == 6; });
    BOOST_TEST((refuted < 1s));
    BOOST_TEST(agent.announcer->self().incarnation == 2u);
    this->bus.run(10s);
    BOOST_TEST(this->bus.events["dead"] == 0);
}

// Guards against a monitor that suspects an agent repeatedly because the link from the agent to the
// monitor is down.
BOOST_AUTO_TEST_CASE(oneWayLossBetweenAgentAndMonitor)
{
    BusNode &agent = this->bus.node("booking-1");
    BusNode &monitor = this->monitorOf(agent, 0);
    this->bus.isLinkDown = [&](const BusNode &from, const BusNode &to) {
        return from.id == agent.id && to.id == monitor.id;
    };
    this->bus.run(60s);
    BOOST_TEST(this->suspicions() == 0);
}

// Guards against suspicions between two balancers whose link is down in one direction, so that
// direct probes are never answered.
BOOST_AUTO_TEST_CASE(oneWayLossBetweenBalancers)
{
    this->bus.isLinkDown = [&](const BusNode &from, const BusNode &to) {
        return from.id == this->bus.balancer(0).id && to.id == this->bus.balancer(1).id;
    };
    this->bus.run(120s);
    BOOST_TEST(this->suspicions() == 0);
}

// Guards against an isolated balancer that declares the others dead and gossips this when its links
// work again. It is isolated first in both directions, then in the outgoing direction only.
BOOST_AUTO_TEST_CASE(isolatedBalancerSuspectsNobody)
{
    const BusNode &cutOff = this->bus.balancer(3);
    for (const bool receives : { false, true }) {
        this->bus.isLinkDown = [&, receives](const BusNode &from, const BusNode &to) {
            return from.id == cutOff.id || (!receives && to.id == cutOff.id);
        };
        this->bus.run(60s);
        this->bus.isLinkDown = nullptr;
        this->bus.run(60s);
        BOOST_TEST(this->bus.isConverged());
        BOOST_TEST(this->bus.balancer(3).membership->size() == 13u);
    }
    for (int i = 0; i < 6; ++i) {
        if (i != 3)
            BOOST_TEST(this->bus.balancer(i).membership->self().incarnation == 1u);
    }
}

// Guards against declaring running nodes dead because control messages are lost.
BOOST_AUTO_TEST_CASE(lossOfOneMessageInFiveCausesNoDeath)
{
    ControlBus lossy({ .loss = 0.2, .seed = 3 });
    lossy.addBalancers(10);
    lossy.addAgents(20, "booking");
    lossy.run(120s);
    BOOST_TEST(lossy.events["dead"] == 0);
    BOOST_TEST(lossy.events["suspect"] <= 2);
    BOOST_TEST(lossy.balancer(0).membership->size() == 30u);
}

// Guards against an empty placement table when most agents of a group become unreachable at once.
BOOST_AUTO_TEST_CASE(massLossKeepsTheTable)
{
    this->bus.isLinkDown = [](const BusNode &from, const BusNode &to) {
        const auto isLost = [](const BusNode &node) {
            return !node.isBalancer() && node.id.value < "booking-5";
        };
        return isLost(from) || isLost(to);
    };
    this->bus.run(60s);
    const std::vector<GroupName> groups{ GroupName{ "booking" } };
    for (BusNode *each : this->bus.balancers()) {
        const auto agents = each->membership->agentsOf(groups);
        BOOST_TEST(agents.size() == 7u);
        for (const NodeRecord *record : agents)
            BOOST_TEST(each->membership->isUsable(*record));
    }
    this->bus.isLinkDown = nullptr;
    this->bus.run(10s);
    for (const NodeRecord *record : this->bus.balancer(0).membership->agentsOf(groups))
        BOOST_TEST((record->liveness == Liveness::Alive));
}

BOOST_AUTO_TEST_SUITE_END()

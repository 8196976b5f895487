#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "mesh/meshworld_test.h"

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace cactusdeck::mesh::test;

// Backend servers that stop running without deregistering, and agents that run or stop without
// their servers.

namespace {

const Endpoint booking{ 0xC6120001u, 443 };

struct Fixture
{
    Fixture()
    {
        this->world.addBalancer("b1", "zone-a");
        this->world.addAgent("a1", "zone-a", "booking");
        this->world.addAgent("a2", "zone-b", "booking");
        this->world.publish(configurationOf({ { booking, "booking" } }));
        this->world.run(3s);
    }

    // All machines lose power at once and start again, but the server of a2 does not.
    void losePowerEverywhere()
    {
        this->world.restartServer("a1", "server-a1-again");
        this->world.agent("a2").server = Server{ .isUp = false };
        this->world.restartAgent("a1");
        this->world.restartAgent("a2");
        this->world.restartBalancer("b1");
    }

    World world;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(serverFailure, Fixture)

BOOST_AUTO_TEST_CASE(resetsFlowsOfACrashedServer)
{
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    BOOST_TEST(this->world.request("b1", callerOf(1), booking));
    this->world.agent("a1").server.isUp = false;
    BOOST_TEST(!this->world.request("b1", callerOf(1), booking, 500ms));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 1u);
    // The balancer places new flows on the other server.
    BOOST_TEST(this->world.openFlow("b1", callerOf(2), booking) == "a2");
}

BOOST_AUTO_TEST_CASE(doesNotResetWhileAServerIsOnlySilent)
{
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    Server &server = this->world.agent("a1").server;
    server.isUp = false;
    server.timesOutWhenDown = true;
    BOOST_TEST(!this->world.request("b1", callerOf(1), booking, 5s));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
    server.isUp = true;
    BOOST_TEST(this->world.request("b1", callerOf(1), booking));
}

BOOST_AUTO_TEST_CASE(admitsFlowsForTheNextRunOfTheServer)
{
    this->world.agent("a1").server.isUp = false;
    this->world.fromCaller("b1", opening(callerOf(1), booking));
    this->world.run(1s);
    this->world.restartServer("a1", "server-a1-again");
    this->world.run(1s);
    BOOST_TEST(this->world.openFlow("b1", callerOf(2), booking) == "a1");
    BOOST_TEST(this->world.request("b1", callerOf(2), booking));
}

// The next run of a server accepts a flow before its first heartbeat. When the heartbeat shows that
// another run has begun, only flows of the earlier run are reset.
BOOST_AUTO_TEST_CASE(keepsFlowsThatTheNextRunAcceptedBeforeItsFirstHeartbeat)
{
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    this->world.run(1300ms);
    this->world.restartServer("a1", "server-a1-again");
    this->world.agent("a1").nextHeartbeat = this->world.now + 300ms;
    BOOST_TEST(this->world.openFlow("b1", callerOf(2), booking) == "a1");
    BOOST_TEST(this->world.request("b1", callerOf(2), booking, 500ms));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 1u);
    BOOST_TEST(this->world.resetsTo(callerOf(2)) == 0u);
    BOOST_TEST(this->world.request("b1", callerOf(2), booking));
    BOOST_TEST(this->world.agent("a1").agent->load().inProgress() == 0u);
}

// A heartbeat of an earlier run was delayed until the agent, which has restarted, knew only the
// next run. The flows of that run live.
BOOST_AUTO_TEST_CASE(keepsFlowsWhenAHeartbeatOfAnEarlierRunIsLate)
{
    this->world.restartServer("a1", "server-a1-again");
    this->world.run(3s);
    this->world.restartAgent("a1");
    this->world.run(3s);
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    this->world.run(2s);
    World::AgentNode &node = this->world.agent("a1");
    BOOST_TEST(node.agent->onHeartbeat({ .instance = "server-a1",
                                         .startedAt = 1,
                                         .sequence = 9,
                                         .service = ServiceName{ "booking" },
                                         .address = { node.endpoint.address, 8000 },
                                         .slots = 5 },
                                       this->world.now, *node.sink));
    BOOST_TEST(this->world.request("b1", callerOf(1), booking));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
}

// A flow of the earlier run that was opened after its last heartbeat is reset when the next run
// returns one of its packets.
BOOST_AUTO_TEST_CASE(resetsAFlowThatTheNextRunReturns)
{
    this->world.run(1300ms);
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    this->world.restartServer("a1", "server-a1-again");
    this->world.run(100ms);
    BOOST_TEST(!this->world.request("b1", callerOf(1), booking));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 1u);
}

BOOST_AUTO_TEST_CASE(anAgentWithoutServerDoesNotHoldUpSearches)
{
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    this->losePowerEverywhere();
    this->world.run(1500ms);
    BOOST_TEST(!this->world.request("b1", callerOf(1), booking, 300ms));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 1u);
}

BOOST_AUTO_TEST_CASE(anAgentWhoseServerWasNeverHeardDoesNotHoldUpSearches)
{
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    this->losePowerEverywhere();
    this->world.agent("a2").server.timesOutWhenDown = true;
    this->world.run(2500ms);
    BOOST_TEST(!this->world.request("b1", callerOf(1), booking, 300ms));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 1u);
}

BOOST_AUTO_TEST_CASE(anAgentThatStopsWithoutServerDoesNotHoldUpSearches)
{
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    this->losePowerEverywhere();
    this->world.run(100ms);
    World::AgentNode &stopping = this->world.agent("a2");
    stopping.agent->stop(this->world.now, *stopping.sink);
    this->world.run(500ms);
    BOOST_TEST(stopping.agent->isStopped());
    stopping.isUp = false;
    this->world.run(1s);
    BOOST_TEST(!this->world.request("b1", callerOf(1), booking, 300ms));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 1u);
}

// Agents of an evacuated domain forward packets without consulting their servers. A probe chain
// through them must therefore not count as proof that a flow does not exist.
BOOST_AUTO_TEST_CASE(aChainThroughAnEvacuatedDomainRulesNoFlowOut)
{
    constexpr std::uint16_t flows = 20;
    std::vector<std::string> owners;
    for (std::uint16_t i = 0; i < flows; ++i)
        owners.push_back(this->world.openFlow("b1", callerOf(i), booking));
    BOOST_TEST(std::count(owners.begin(), owners.end(), "a1") > 0);
    this->world.setEvacuated({ ZoneName{ "zone-a" } });
    this->world.run(1s);
    this->world.restartAgent("a1");
    this->world.restartAgent("a2");
    this->world.restartBalancer("b1");
    this->world.run(5s);
    // Uses up the balancer's limit of locate requests, so that it uses chains.
    for (std::uint16_t i = 0; i < 700; ++i)
        this->world.fromCaller("b1", { .source = callerOf(std::uint16_t(40000 + i)),
                                       .destination = booking,
                                       .length = 10,
                                       .flags = tcpflag::ack });
    for (std::uint16_t i = 0; i < flows; ++i)
        this->world.request("b1", callerOf(i), booking, 2ms);
    this->world.run(1s);
    // All servers still run, so no flow is lost.
    for (std::uint16_t i = 0; i < flows; ++i)
        BOOST_TEST(this->world.resetsTo(callerOf(i)) == 0u);
}

// Only the agent stops; its server keeps running.
BOOST_AUTO_TEST_CASE(anAgentThatStopsBeforeItsServerResetsNoFlow)
{
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    World::AgentNode &stopping = this->world.agent("a1");
    stopping.agent->stop(this->world.now, *stopping.sink);
    this->world.run(500ms);
    stopping.isUp = false;
    BOOST_TEST(!this->world.request("b1", callerOf(1), booking, 2s));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
    this->world.restartAgent("a1");
    this->world.run(200ms);
    BOOST_TEST(this->world.request("b1", callerOf(1), booking));
}

// A new balancer learns of agents from its peers before it knows their services. It must not send
// them default limits, or those of another service, as their own.
BOOST_AUTO_TEST_CASE(aNewBalancerDoesNotLiftTheLimitOfAColdServer)
{
    this->world.addBalancer("b2", "zone-a");
    this->world.publish(configurationOf({ { booking, "booking" } }, 2));
    this->world.run(2s);
    for (const char *agent : { "a1", "a2" }) {
        this->world.agent(agent).server.coldFor = 60s;
        this->world.cut("b1", agent);
        this->world.cut("b2", agent);
    }
    this->world.publish(configurationOf({ { booking, "booking" } }, 2));
    this->world.run(1500ms);
    for (const char *agent : { "a1", "a2" })
        this->world.heal("b1", agent);
    this->world.restartBalancer("b1");
    this->world.run(2s);
    this->world.agent("a1").server.openings.clear();
    this->world.agent("a2").server.openings.clear();
    for (std::uint16_t i = 0; i < 30; ++i) {
        this->world.fromCaller("b1", opening(callerOf(i), booking));
        this->world.run(10ms);
    }
    // The flows arrive within 0.3 s and the limit is two per second.
    BOOST_TEST(this->world.agent("a1").server.openings.size() <= 2u);
    BOOST_TEST(this->world.agent("a2").server.openings.size() <= 2u);
}

BOOST_AUTO_TEST_SUITE_END()

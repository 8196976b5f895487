#include <boost/test/unit_test.hpp>

#include "mesh/agentlistcheck.h"
#include "mesh/meshworld_test.h"

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace cactusdeck::mesh::test;

// How callers learn that their flows are lost, and that living flows are kept, when many nodes have
// restarted.

namespace {

const Endpoint booking{ 0xC6120001u, 443 };

struct Fixture
{
    Fixture()
    {
        this->world.addBalancer("b1", "zone-a");
        this->world.addBalancer("b2", "zone-b");
        this->world.addAgent("a1", "zone-a", "booking");
        this->world.addAgent("a2", "zone-b", "booking");
        this->world.addAgent("a3", "zone-a", "tickets");
        this->world.publish(configurationOf({ { booking, "booking" } }));
        this->world.run(3s);
    }

    // The processes of the fleet are killed and start again without any state.
    void killAllProcesses()
    {
        for (const char *balancer : { "b1", "b2" })
            this->world.restartBalancer(balancer);
        for (const char *agent : { "a1", "a2", "a3" })
            this->world.restartAgent(agent);
    }

    // The servers of the agents begin anew. The agents miss the first heartbeats.
    void beginAnew(const std::vector<std::string> &agents)
    {
        for (const std::string &agent : agents) {
            this->world.restartServer(agent, "second-" + agent);
            Server &server = this->world.agent(agent).server;
            server.upSince = this->world.now;
            server.sequence = 1;
            this->world.agent(agent).nextHeartbeat = this->world.now + 1200ms;
        }
    }

    // All machines lose their power. The servers start again before their agents, which miss the
    // first heartbeats.
    void losePower()
    {
        this->beginAnew({ "a1", "a2", "a3" });
        for (const char *balancer : { "b1", "b2" })
            this->world.restartBalancer(balancer);
        this->world.run(60ms);
        for (const char *agent : { "a1", "a2", "a3" })
            this->world.restartAgent(agent);
    }

    World world;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(recovery, Fixture)

// Load pattern: after a loss of power all callers send on flows that no longer exist.
BOOST_AUTO_TEST_CASE(flowsOfBeforeALossOfPowerAreResetAtOnce)
{
    for (std::uint16_t port = 1; port <= 20; ++port)
        BOOST_TEST(!this->world.openFlow("b1", callerOf(port), booking).empty());
    this->losePower();
    this->world.run(2s);
    for (std::uint16_t port = 1; port <= 20; ++port)
        BOOST_TEST(!this->world.request("b1", callerOf(port), booking, 10ms));
    this->world.run(300ms);
    for (std::uint16_t port = 1; port <= 20; ++port)
        BOOST_TEST(this->world.resetsTo(callerOf(port)) == 1u);
}

// Agents of servers that were taken away come back with their machines, without a server, and go
// again.
BOOST_AUTO_TEST_CASE(agentsWithoutServersDoNotKeepCallersWaiting)
{
    this->world.addAgent("a4", "zone-a", "booking");
    this->world.addAgent("a5", "zone-b", "booking");
    this->world.run(1s);
    for (std::uint16_t port = 1; port <= 20; ++port)
        BOOST_TEST(!this->world.openFlow("b1", callerOf(port), booking).empty());
    for (const char *agent : { "a4", "a5" })
        this->world.agent(agent).sendsHeartbeats = false;
    this->losePower();
    for (const char *agent : { "a4", "a5" }) {
        this->world.agent(agent).server.isUp = false;
        this->world.agent(agent).server.timesOutWhenDown = true;
        this->world.restartAgent(agent);
    }
    this->world.run(500ms);
    for (const char *agent : { "a4", "a5" })
        this->world.agent(agent).isUp = false;
    this->world.run(1500ms);
    for (int i = 0; i < 4; ++i) {
        for (std::uint16_t port = 1; port <= 20; ++port)
            this->world.request("b1", callerOf(port), booking, 5ms);
        this->world.run(100ms);
    }
    for (std::uint16_t port = 1; port <= 20; ++port)
        BOOST_TEST(this->world.resetsTo(callerOf(port)) > 0u);
}

// Only the processes of the fleet are killed; the servers and their flows live.
BOOST_AUTO_TEST_CASE(flowsOfBeforeAKillOfAllProcessesAreFound)
{
    for (std::uint16_t port = 1; port <= 20; ++port)
        BOOST_TEST(!this->world.openFlow("b1", callerOf(port), booking).empty());
    this->killAllProcesses();
    this->world.run(2s);
    for (std::uint16_t port = 1; port <= 20; ++port) {
        BOOST_TEST(this->world.request("b1", callerOf(port), booking, 100ms));
        BOOST_TEST(this->world.resetsTo(callerOf(port)) == 0u);
    }
}

// The agent of the other service doesn't know its server's flows, but can't have this one.
BOOST_AUTO_TEST_CASE(flowsOfServersThatBeganAnewAreResetAfterAKillOfAllProcesses)
{
    for (std::uint16_t port = 1; port <= 20; ++port)
        BOOST_TEST(!this->world.openFlow("b1", callerOf(port), booking).empty());
    this->beginAnew({ "a1", "a2" });
    this->killAllProcesses();
    this->world.run(2s);
    for (std::uint16_t port = 1; port <= 20; ++port)
        BOOST_TEST(!this->world.request("b1", callerOf(port), booking, 10ms));
    this->world.run(1s);
    for (std::uint16_t port = 1; port <= 20; ++port)
        BOOST_TEST(this->world.resetsTo(callerOf(port)) == 1u);
}

// Without the record a service that the route doesn't have may have been a target of it.
BOOST_AUTO_TEST_CASE(flowsAreNotResetWhileTheFormerTargetsAreNotKnown)
{
    BOOST_TEST(!this->world.openFlow("b1", callerOf(1), booking).empty());
    this->world.hasTargetRecord = false;
    this->beginAnew({ "a1", "a2" });
    this->killAllProcesses();
    this->world.run(2s);
    BOOST_TEST(!this->world.request("b1", callerOf(1), booking, 1s));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
    BOOST_TEST(!this->world.balancer("b1").balancer->state().knowsFormerTargets());
}

BOOST_AUTO_TEST_CASE(flowsAtAFormerTargetAreFoundAfterAKillOfAllProcesses)
{
    for (std::uint16_t port = 1; port <= 20; ++port)
        BOOST_TEST(!this->world.openFlow("b1", callerOf(port), booking).empty());
    this->world.publish(configurationOf({ { booking, "tickets" } }));
    this->world.run(3s);
    this->killAllProcesses();
    this->world.run(2s);
    for (std::uint16_t port = 1; port <= 20; ++port) {
        BOOST_TEST(this->world.request("b1", callerOf(port), booking, 100ms));
        BOOST_TEST(this->world.resetsTo(callerOf(port)) == 0u);
    }
}

// The store is priced by the call: a write and a look of each reader, and nothing without a change.
BOOST_AUTO_TEST_CASE(aChangeOfTargetsCostsFewCallsForTheRecord)
{
    this->world.addBalancer("b3", "zone-a");
    this->world.addBalancer("b4", "zone-b");
    this->world.run(20s);
    const std::size_t before = this->world.targetCalls;
    this->world.publish(configurationOf({ { booking, "booking" } }));
    this->world.run(20s);
    BOOST_TEST(this->world.targetCalls == before);
    this->world.publish(configurationOf({ { booking, "tickets" } }));
    this->world.run(20s);
    BOOST_TEST(this->world.targetCalls - before == 4u);
    for (const char *balancer : { "b1", "b2", "b3", "b4" })
        BOOST_TEST(this->world.balancer(balancer).balancer->state().knowsFormerTargets());
}

// An agent that the balancer hears of after it has planned the search is asked too.
BOOST_AUTO_TEST_CASE(asksAnAgentThatReportsDuringTheSearch)
{
    const Endpoint late{ 0xC6120003u, 443 };
    for (const char *node : { "b1", "a1", "a2", "a3", "a9" })
        this->world.cut("b2", node);
    this->world.addAgent("a9", "zone-a", "late");
    this->world.publish(configurationOf({ { booking, "booking" }, { late, "late" } }));
    this->world.run(1s);
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), late) == "a9");
    for (const char *node : { "b1", "a1", "a2", "a3", "a9" })
        this->world.heal("b2", node);
    const Segment answer = this->world.packetsTo(callerOf(1)).back().segment;
    this->world.fromCaller("b2", { .source = callerOf(1),
                                   .destination = late,
                                   .sequence = 78,
                                   .acknowledgement = answer.sequence + 1,
                                   .length = 50,
                                   .flags = tcpflag::ack });
    World::BalancerNode &node = this->world.balancer("b2");
    BOOST_TEST(!node.balancer->agents().find(this->world.agent("a9").endpoint).has_value());
    node.balancer->onDatagram(encode(AgentReport{ .name = NodeId{ "a9" },
                                                  .zone = ZoneName{ "zone-a" },
                                                  .service = ServiceName{ "late" },
                                                  .serverIncarnation = 1,
                                                  .phase = ServerPhase::Ready,
                                                  .interval = 500ms,
                                                  .knowsAllFlows = true }),
                              this->world.agent("a9").endpoint, this->world.now, *node.sink);
    this->world.run(1s);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
    BOOST_TEST(this->world.agent("a9").server.requests == 1u);
}

// The platform counts packets that reach only others' servers in any span of two seconds.
BOOST_AUTO_TEST_CASE(fewPacketsOfAnAbandonedFlowReachOthersServers)
{
    BOOST_TEST(this->world.openFlow("b2", callerOf(1), booking) == "a2");
    this->world.restartAgent("a1");
    this->world.restartAgent("a2");
    this->world.restartBalancer("b1");
    this->world.setEvacuated({ ZoneName{ "zone-b" } });
    this->world.run(5s);
    const Segment answer = this->world.packetsTo(callerOf(1)).back().segment;
    const Server &other = this->world.agent("a1").server;
    std::vector<TimePoint> packets;
    TimePoint begin = this->world.now;
    for (const Duration at : { 0ms, 2400ms, 2600ms, 3000ms, 3800ms, 5400ms }) {
        this->world.run(begin + at - this->world.now);
        const std::uint64_t before = other.unknownFlowPackets;
        this->world.fromCaller("b1", { .source = callerOf(1),
                                       .destination = booking,
                                       .sequence = 78,
                                       .acknowledgement = answer.sequence + 1,
                                       .length = 50,
                                       .flags = tcpflag::ack });
        this->world.run(100ms);
        if (other.unknownFlowPackets > before)
            packets.push_back(begin + at);
    }
    BOOST_TEST(packets.size() == 2u);
}

BOOST_AUTO_TEST_CASE(aListIsCompleteOnceEveryBalancerHasAnswered)
{
    const TimePoint start{ 1h };
    const Endpoint first = endpointOf(1, 7000);
    const Endpoint second = endpointOf(2, 7000);
    AgentListCheck check;
    const std::uint32_t round = check.begin({ first, second }, start);
    BOOST_TEST(!check.onAnswer(first, round, false).has_value());
    BOOST_TEST(!check.onAnswer(first, round, false).has_value()); // a copy of the answer
    BOOST_TEST(!check.isCompleteSince(start));
    BOOST_TEST(int(check.onAnswer(second, round, false).value())
               == int(AgentListCheck::Outcome::Complete));
    BOOST_TEST(check.isCompleteSince(start));
    // The flow's packet has arrived after the round began.
    BOOST_TEST(!check.isCompleteSince(start + 1ms));
}

BOOST_AUTO_TEST_CASE(aListIsNotCompleteWithoutAnAnswerOrWithAMissingAgent)
{
    const TimePoint start{ 1h };
    const Endpoint first = endpointOf(1, 7000);
    const Endpoint second = endpointOf(2, 7000);
    AgentListCheck check;
    std::uint32_t round = check.begin({ first, second }, start);
    check.onAnswer(first, round, false);
    BOOST_TEST(!check.onTimer(start + 10ms).has_value());
    BOOST_TEST(int(check.onTimer(start + 1s).value()) == int(AgentListCheck::Outcome::Failed));
    BOOST_TEST(!check.onAnswer(second, round, false).has_value()); // too late
    round = check.begin({ first }, start + 2s);
    BOOST_TEST(int(check.onAnswer(first, round, true).value())
               == int(AgentListCheck::Outcome::Extended));
    BOOST_TEST(!check.isCompleteSince(start));
}

BOOST_AUTO_TEST_SUITE_END()

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "mesh/meshworld_test.h"

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace cactusdeck::mesh::test;

// Failures that operators of similar systems reported, see docs/guarantees.md.

namespace {

const Endpoint booking{ 0xC6120001u, 443 };
const Endpoint other{ 0xC6120002u, 443 };

struct Fixture
{
    Fixture()
    {
        this->world.addBalancer("b1", "zone-a");
        this->world.addBalancer("b2", "zone-a");
        this->world.addAgent("a1", "zone-a", "booking");
        this->world.addAgent("a2", "zone-a", "booking");
        this->world.publish(configurationOf({ { booking, "booking" } }));
        this->world.run(3s);
    }

    // The last heartbeat of the agent's server.
    mesh::Heartbeat heartbeatOf(const std::string &agent)
    {
        const World::AgentNode &node = this->world.agent(agent);
        return { .instance = node.server.instance,
                 .startedAt = node.server.startedAt,
                 .sequence = node.server.sequence,
                 .service = ServiceName{ node.service },
                 .address = { node.endpoint.address, 8000 },
                 .slots = 5 };
    }

    World world;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(operatorLessons, Fixture)

// The caller reuses its port for another flow; then the server sends an answer of the earlier one
// again.
BOOST_AUTO_TEST_CASE(aLateAnswerOfAnEarlierFlowIsDropped)
{
    const Endpoint caller = callerOf(1);
    World::AgentNode &node = this->world.agent("a1");
    this->world.agent("a2").server.isDraining = true;
    this->world.run(1300ms);
    BOOST_TEST(this->world.openFlow("b1", caller, booking) == "a1");
    BOOST_TEST(this->world.request("b1", caller, booking));
    const Segment answer = this->world.packetsTo(caller).back().segment;
    const Head late{ .source = booking,
                     .destination = caller,
                     .sequence = answer.sequence,
                     .acknowledgement = answer.acknowledgement,
                     .length = 100,
                     .flags = tcpflag::ack };
    node.server.flows.clear();
    this->world.callerPackets.clear();
    Head again = opening(caller, booking);
    again.sequence = 5000;
    this->world.fromCaller("b1", again);
    this->world.run(10ms);
    BOOST_TEST(this->world.request("b1", caller, booking));
    const std::size_t before = this->world.packetsTo(caller).size();
    node.agent->onServerPacket(encodeSegment(late), this->world.now, *node.sink);
    BOOST_TEST(this->world.packetsTo(caller).size() == before);
    BOOST_TEST(this->world.request("b1", caller, booking));
}

// A planned stop right after a flow was accepted, in series, while new flows arrive.
BOOST_AUTO_TEST_CASE(aStopCutsNoFlowThatWasJustAccepted)
{
    std::uint16_t port = 1;
    for (int round = 0; round < 6; ++round) {
        const std::string balancer = round % 2 == 0 ? "b1" : "b2";
        std::vector<Endpoint> callers;
        for (int i = 0; i < 4; ++i) {
            callers.push_back(callerOf(++port));
            BOOST_TEST(!this->world.openFlow(balancer, callers.back(), booking).empty());
        }
        const std::string stopped = round % 2 == 0 ? "a1" : "a2";
        World::AgentNode &node = this->world.agent(stopped);
        node.agent->stop(this->world.now, *node.sink);
        for (const Endpoint &caller : callers)
            BOOST_TEST(this->world.request(balancer, caller, booking, 20ms));
        BOOST_TEST(!this->world.openFlow(balancer, callerOf(++port), booking).empty());
        this->world.run(200ms);
        BOOST_TEST(node.agent->isStopped());
        this->world.restartAgent(stopped);
        this->world.run(1500ms);
        for (const Endpoint &caller : callers) {
            BOOST_TEST(this->world.request(balancer, caller, booking));
            BOOST_TEST(this->world.resetsTo(caller) == 0u);
        }
    }
}

// A planned stop 1 ms after requests were accepted, and requests that are accepted while the agent
// stops. Its process must not end before they are answered.
BOOST_AUTO_TEST_CASE(aStopWaitsForTheAnswersOfRequestsThatWereJustAccepted)
{
    World::AgentNode &node = this->world.agent("a1");
    const auto ask = [this](std::uint16_t port) {
        const Segment answer = this->world.packetsTo(callerOf(port)).back().segment;
        this->world.fromCaller("b1", { .source = callerOf(port),
                                       .destination = booking,
                                       .sequence = 78,
                                       .acknowledgement = answer.sequence + 1,
                                       .length = 50,
                                       .flags = tcpflag::ack });
        this->world.run(1ms);
    };
    std::vector<std::uint16_t> callers;
    for (std::uint16_t port = 1; callers.size() < 4; ++port) {
        if (this->world.openFlow("b1", callerOf(port), booking) == "a1")
            callers.push_back(port);
    }
    node.server.serviceTime = 1s;
    ask(callers[0]);
    ask(callers[1]);
    node.agent->stop(this->world.now, *node.sink);
    ask(callers[2]);
    this->world.run(100ms);
    ask(callers[3]);
    while (!node.agent->isStopped())
        this->world.run(1ms);
    node.isUp = false;
    this->world.run(2s);
    BOOST_TEST(node.server.requests == 4u);
    for (const std::uint16_t port : callers) {
        BOOST_TEST(this->world.packetsTo(callerOf(port)).back().segment.payloadLength == 100u);
        BOOST_TEST(this->world.resetsTo(callerOf(port)) == 0u);
    }
}

// An agent was stopped right after its server had deregistered. The server was still answering its
// last requests, whose callers got a reset.
BOOST_AUTO_TEST_CASE(aStopCutsNoAnswerOfAServerThatIsAboutToExit)
{
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    World::AgentNode &node = this->world.agent("a1");
    node.server.serviceTime = 50ms;
    BOOST_TEST(!this->world.request("b1", callerOf(1), booking, 1ms));
    node.agent->onDeregister(node.server.instance, node.server.startedAt, this->world.now,
                             *node.sink);
    node.agent->stop(this->world.now, *node.sink);
    this->world.run(100ms);
    BOOST_TEST(this->world.packetsTo(callerOf(1)).back().segment.payloadLength == 100u);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
    BOOST_TEST(!node.agent->isStopped());
    // Once the server has exited, its callers learn of it before the agent ends.
    node.server.isUp = false;
    this->world.run(500ms);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 1u);
    BOOST_TEST(node.agent->isStopped());
}

// The answer of a request that may run once at most is lost, and with it what the balancers and the
// agents know. The caller's copies of the request bring the answer and do not run it again.
BOOST_AUTO_TEST_CASE(aRequestWhoseAnswerWasLostRunsOnce)
{
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    World::AgentNode &node = this->world.agent("a1");
    node.server.serviceTime = 50ms;
    const Segment opened = this->world.packetsTo(callerOf(1)).back().segment;
    const Head request{ .source = callerOf(1),
                        .destination = booking,
                        .sequence = 78,
                        .acknowledgement = opened.sequence + 1,
                        .length = 50,
                        .flags = tcpflag::ack };
    this->world.fromCaller("b1", request);
    this->world.run(10ms);
    node.isUp = false; // loses the answer
    this->world.run(200ms);
    for (const char *agent : { "a1", "a2" })
        this->world.restartAgent(agent);
    for (const char *balancer : { "b1", "b2" })
        this->world.restartBalancer(balancer);
    for (const Duration pause : { Duration(400ms), Duration(800ms), Duration(1600ms) }) {
        this->world.fromCaller("b2", request);
        this->world.run(pause);
    }
    BOOST_TEST(this->world.packetsTo(callerOf(1)).back().segment.payloadLength == 100u);
    BOOST_TEST(node.server.requests == 1u);
    BOOST_TEST(this->world.agent("a2").server.requests == 0u);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
}

// An agent that restarts knows nothing of its server and admits nothing until a heartbeat.
BOOST_AUTO_TEST_CASE(aServerThatHasLeftIsNotUsedAfterARestartOfItsAgent)
{
    World::AgentNode &node = this->world.agent("a1");
    node.sendsHeartbeats = false;
    node.agent->onDeregister(node.server.instance, node.server.startedAt, this->world.now,
                             *node.sink);
    this->world.run(100ms);
    const std::size_t before = node.server.openings.size();
    this->world.restartAgent("a1");
    this->world.restartBalancer("b1");
    for (std::uint16_t i = 0; i < 20; ++i) {
        this->world.openFlow("b1", callerOf(std::uint16_t(100 + i)), booking);
        this->world.run(100ms);
    }
    BOOST_TEST(node.server.openings.size() == before);
}

// An agent that restarts beside a cold server does not know how many flows its predecessor has
// admitted in the last second.
BOOST_AUTO_TEST_CASE(aRestartedAgentKeepsTheLimitOfAColdServer)
{
    constexpr double coldFlowsPerSecond = 4;
    this->world.publish(configurationOf({ { booking, "booking" } }, coldFlowsPerSecond));
    for (const char *name : { "a1", "a2" })
        this->world.agent(name).server.coldFor = 60s;
    this->world.run(3s);
    std::uint16_t port = 200;
    for (int restart = 0; restart < 5; ++restart) {
        for (int i = 0; i < 30; ++i) {
            this->world.fromCaller("b1", opening(callerOf(++port), booking));
            this->world.run(10ms);
        }
        this->world.restartAgent("a1");
        // The first heartbeat arrives 10 ms after the restart.
        this->world.run(20ms);
    }
    const std::vector<TimePoint> &taken = this->world.agent("a1").server.openings;
    for (std::size_t i = 4; i < taken.size(); ++i)
        BOOST_TEST((taken[i] - taken[i - 4] > 1s));
}

// A reset never looks like the end of an answer.
BOOST_AUTO_TEST_CASE(anAnswerThatBreaksOffEndsWithAReset)
{
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    BOOST_TEST(this->world.request("b1", callerOf(1), booking));
    this->world.agent("a1").server.isUp = false;
    BOOST_TEST(!this->world.request("b1", callerOf(1), booking, 500ms));
    const std::vector<World::ToCaller> packets = this->world.packetsTo(callerOf(1));
    BOOST_TEST(packets.back().segment.has(tcpflag::rst));
    BOOST_TEST(std::none_of(packets.begin(), packets.end(), [](const World::ToCaller &packet) {
        return packet.segment.has(tcpflag::fin);
    }));
}

// While an earlier and the next run of a server overlap, only one of them is believed, and its
// drain stays in force.
BOOST_AUTO_TEST_CASE(aLateHeartbeatOfTheEarlierRunChangesNothing)
{
    World::AgentNode &node = this->world.agent("a1");
    const Server earlier = node.server;
    this->world.restartServer("a1", "server-a1-again");
    this->world.run(100ms);
    node.server.isDraining = true;
    this->world.run(1300ms);
    node.agent->onHeartbeat({ .instance = earlier.instance,
                              .startedAt = earlier.startedAt,
                              .sequence = earlier.sequence + 5,
                              .service = ServiceName{ "booking" },
                              .address = { node.endpoint.address, 8000 },
                              .slots = 5 },
                            this->world.now, *node.sink);
    const std::size_t before = node.server.openings.size();
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a2");
    BOOST_TEST(node.server.openings.size() == before);
}

// A restarted agent does not know the earlier runs of its server. A late heartbeat of one of them
// took the place of the present run, whose open flows were reset.
BOOST_AUTO_TEST_CASE(aLateHeartbeatAfterARestartOfTheAgentResetsNoFlow)
{
    World::AgentNode &node = this->world.agent("a1");
    mesh::Heartbeat late = this->heartbeatOf("a1");
    late.sequence += 5;
    this->world.restartServer("a1", "server-a1-again");
    this->world.run(1300ms);
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    this->world.restartAgent("a1");
    this->world.run(100ms);
    BOOST_TEST(this->world.request("b1", callerOf(1), booking));
    this->world.run(1300ms);
    const std::uint64_t run = node.agent->server().incarnation();
    node.agent->onHeartbeat(late, this->world.now, *node.sink);
    BOOST_TEST(node.agent->server().incarnation() == run);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
    BOOST_TEST(this->world.request("b1", callerOf(1), booking));
}

// The late heartbeat was the first one that the restarted agent got. At the next one, of the run
// that had been there all the time, the agent took it for new and its open flows for lost.
BOOST_AUTO_TEST_CASE(aLateHeartbeatBeforeThoseOfThePresentRunLosesNoFlow)
{
    World::AgentNode &node = this->world.agent("a1");
    mesh::Heartbeat late = this->heartbeatOf("a1");
    late.sequence += 5;
    this->world.restartServer("a1", "server-a1-again");
    this->world.run(1300ms);
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    BOOST_TEST(this->world.request("b1", callerOf(1), booking));
    this->world.restartAgent("a1");
    node.agent->onHeartbeat(late, this->world.now, *node.sink);
    this->world.run(100ms);
    BOOST_TEST(node.agent->server().incarnation() != 0u);
    BOOST_TEST(this->world.request("b1", callerOf(1), booking));
    BOOST_TEST(this->world.request("b2", callerOf(1), booking));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
}

// A balancer that had restarted served the flows of an address whose route operators had removed.
BOOST_AUTO_TEST_CASE(aRemovedRouteIsNotUsedAfterARestartOfABalancer)
{
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) != "");
    this->world.publish(configurationOf({ { other, "booking" } }));
    this->world.run(1s);
    BOOST_TEST(!this->world.request("b2", callerOf(1), booking));
    this->world.restartBalancer("b2");
    this->world.run(2s);
    BOOST_TEST(!this->world.request("b2", callerOf(1), booking));
    // Operators add the route again.
    this->world.publish(configurationOf({ { booking, "booking" } }));
    this->world.run(1s);
    BOOST_TEST(this->world.request("b2", callerOf(1), booking));
}

// A balancer that did not know the route yet refused a copy of an opening packet. The first copy
// had opened the flow through another balancer, and the caller took its request for not run.
BOOST_AUTO_TEST_CASE(aLateCopyWithoutARouteResetsNoOpenFlow)
{
    this->world.balancer("b1").hasStore = false;
    this->world.cut("b1", "b2");
    this->world.publish(configurationOf({ { booking, "booking" }, { other, "booking" } }));
    this->world.run(1s);
    BOOST_TEST(this->world.openFlow("b2", callerOf(1), other) != "");
    BOOST_TEST(this->world.request("b2", callerOf(1), other));
    this->world.fromCaller("b1", opening(callerOf(1), other, 1));
    this->world.run(10ms);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
    BOOST_TEST(this->world.request("b2", callerOf(1), other));
}

// A new balancer held the first copy of an opening packet while the next one opened the flow
// through another balancer. No agent took the first copy any more, and it was refused.
BOOST_AUTO_TEST_CASE(aFirstCopyThatABalancerHeldResetsNoOpenFlow)
{
    this->world.agent("a1").server.isFull = true;
    World::BalancerNode &fresh = this->world.balancer("b1");
    fresh.hasStore = false;
    this->world.cut("b1", "b2");
    this->world.restartBalancer("b1");
    this->world.fromCaller("b1", opening(callerOf(1), booking));
    this->world.run(200ms);
    this->world.fromCaller("b2", opening(callerOf(1), booking, 1));
    this->world.run(10ms);
    const std::vector<World::ToCaller> answers = this->world.packetsTo(callerOf(1));
    BOOST_TEST_REQUIRE(answers.size() == 1u);
    BOOST_TEST(answers.front().sender == "a2");
    BOOST_TEST(this->world.request("b2", callerOf(1), booking));
    this->world.agent("a2").server.isDraining = true;
    this->world.agent("a2").nextHeartbeat = this->world.now;
    this->world.run(100ms);
    fresh.hasStore = true;
    this->world.heal("b1", "b2");
    this->world.run(500ms);
    BOOST_TEST(fresh.balancer->counters().placed == 1u);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
    BOOST_TEST(this->world.request("b2", callerOf(1), booking));
}

// A balancer is stopped while it holds the opening packets that arrived right after its start.
BOOST_AUTO_TEST_CASE(aStoppingBalancerPlacesTheOpeningPacketsThatItHolds)
{
    this->world.restartBalancer("b1");
    World::BalancerNode &node = this->world.balancer("b1");
    for (std::uint16_t port = 1; port <= 10; ++port)
        this->world.fromCaller("b1", opening(callerOf(port), booking));
    BOOST_TEST(node.balancer->counters().held == 10u);
    node.balancer->stop(this->world.now, *node.sink);
    this->world.run(500ms);
    BOOST_TEST(!node.balancer->isStopped(this->world.now));
    for (std::uint16_t port = 1; port <= 10; ++port) {
        const std::vector<World::ToCaller> answers = this->world.packetsTo(callerOf(port));
        BOOST_TEST(answers.size() == 1u);
    }
}

// An agent that was suspended reads the opening packets that have queued up before the heartbeat of
// the run that has started meanwhile, and gives the cold server as many flows as the earlier run.
BOOST_AUTO_TEST_CASE(aSuspendedAgentKeepsTheLimitOfAServerThatWasReplaced)
{
    constexpr double coldFlowsPerSecond = 4;
    this->world.publish(configurationOf({ { booking, "booking" } }, coldFlowsPerSecond));
    this->world.run(2s);
    World::AgentNode &node = this->world.agent("a1");
    this->world.now += 2400ms; // without an event of the agent
    this->world.restartServer("a1", "server-a1-again");
    node.server.coldFor = 4s;
    const Endpoint balancer = this->world.balancer("b1").endpoint;
    for (std::uint16_t port = 1; port <= 24; ++port) {
        ForwardFrame frame{ .flags = frameflag::newFlow | frameflag::replyWanted,
                            .service = serviceIdOf(ServiceName{ "booking" }),
                            .replyTo = balancer,
                            .hopCount = 1 };
        frame.hops[0].agent = node.endpoint;
        FrameBuffer buffer;
        const auto header = encodeForward(frame, buffer);
        const Bytes packet = encodeSegment(opening(callerOf(port), booking));
        Bytes datagram(header.begin(), header.end());
        datagram.insert(datagram.end(), packet.begin(), packet.end());
        node.agent->onDatagram(datagram, balancer, this->world.now, *node.sink);
    }
    // The platform allows half as many more than the server states, and five.
    BOOST_TEST(double(node.server.openings.size()) <= 1.5 * coldFlowsPerSecond + 5);
}

// The server turns cold 0.3 s before its zone returns and says so with its next heartbeat. Later,
// when a heartbeat says that it is warm, it gets all flows, also after a second without traffic.
BOOST_AUTO_TEST_CASE(aServerOfAReturningZoneIsColdUntilAHeartbeatSaysOtherwise)
{
    constexpr double coldFlowsPerSecond = 4;
    this->world.publish(configurationOf({ { booking, "booking" } }, coldFlowsPerSecond));
    this->world.agent("a2").server.isDraining = true;
    World::AgentNode &node = this->world.agent("a1");
    this->world.setEvacuated({ ZoneName{ "zone-a" } });
    this->world.run(5s);
    const auto heartbeats = [&] { return node.agent->counters().heartbeats; };
    for (const std::uint64_t before = heartbeats(); heartbeats() == before;)
        this->world.run(1ms);
    node.server.coldFor = 2s;
    this->world.setEvacuated({});
    this->world.run(100ms); // less than the server needs until its next heartbeat
    std::uint16_t port = 1;
    const std::size_t before = node.server.openings.size();
    for (; port <= 24; ++port)
        this->world.fromCaller("b1", opening(callerOf(port), booking));
    this->world.run(50ms);
    BOOST_TEST(double(node.server.openings.size() - before) <= 1.5 * coldFlowsPerSecond + 5);
    BOOST_TEST(node.server.openings.size() > before);
    node.server.coldFor = 0s;
    this->world.run(3s);
    const std::size_t warm = node.server.openings.size();
    for (; port <= 48; ++port)
        this->world.fromCaller("b1", opening(callerOf(port), booking));
    this->world.run(50ms);
    BOOST_TEST(node.server.openings.size() == warm + 24);
}

BOOST_AUTO_TEST_SUITE_END()

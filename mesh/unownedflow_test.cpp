#include <boost/test/unit_test.hpp>

#include "mesh/meshworld_test.h"

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace cactusdeck::mesh::test;

// What backend servers send about flows that are not their own.

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
        this->world.publish(configurationOf({ { booking, "booking" } }));
        this->world.run(3s);
    }

    // Adds an agent that has not heard its server, and a server that resets the flows that it does
    // not have. Packets of unknown flows are probed there.
    Server &addServerThatResets(const std::string &agent)
    {
        World::AgentNode &node = this->world.addAgent(agent, "zone-b", "booking");
        node.sendsHeartbeats = false;
        node.server.resetsUnknownFlows = true;
        this->world.run(500ms);
        return node.server;
    }

    // The server of the agent resets the flow of callerOf(1).
    void resetFromServer(const std::string &agent, std::uint32_t sequence)
    {
        World::AgentNode &node = this->world.agent(agent);
        node.agent->onServerPacket(encodeSegment({ .source = booking,
                                                   .destination = callerOf(1),
                                                   .sequence = sequence,
                                                   .flags = tcpflag::rst }),
                                   this->world.now, *node.sink);
    }

    // The server of the agent acknowledges the flow of callerOf(1).
    void acknowledgeFromServer(const std::string &agent, std::uint32_t sequence,
                               std::uint32_t acknowledgement)
    {
        World::AgentNode &node = this->world.agent(agent);
        node.agent->onServerPacket(encodeSegment({ .source = booking,
                                                   .destination = callerOf(1),
                                                   .sequence = sequence,
                                                   .acknowledgement = acknowledgement,
                                                   .flags = tcpflag::ack }),
                                   this->world.now, *node.sink);
    }

    // The agent gets the packet from b2, whose search it is.
    void probe(const std::string &agent, const Head &head)
    {
        World::AgentNode &node = this->world.agent(agent);
        const Endpoint balancer = this->world.balancer("b2").endpoint;
        ForwardFrame frame{ .flags = frameflag::probe, .replyTo = balancer, .hopCount = 1 };
        frame.hops[0].agent = node.endpoint;
        FrameBuffer buffer;
        const auto header = encodeForward(frame, buffer);
        const Bytes packet = encodeSegment(head);
        Bytes datagram(header.begin(), header.end());
        datagram.insert(datagram.end(), packet.begin(), packet.end());
        node.agent->onDatagram(datagram, balancer, this->world.now, *node.sink);
    }

    World world;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(unownedFlow, Fixture)

// A caller's open flow was reset by a server that had been asked whether it has the flow.
BOOST_AUTO_TEST_CASE(keepsAFlowThatAProbedServerResets)
{
    const Server &asked = this->addServerThatResets("a3");
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    BOOST_TEST(this->world.request("b2", callerOf(1), booking));
    BOOST_TEST(asked.unknownFlowPackets == 1u);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
}

// Without the packet, which a reset does not return, the search would end at the server that resets
// and not reach the flow's own server behind it.
BOOST_AUTO_TEST_CASE(findsAFlowBehindAServerThatResets)
{
    this->addServerThatResets("a3");
    for (std::uint16_t port = 1; port <= 4; ++port)
        BOOST_TEST(this->world.openFlow("b2", callerOf(port), booking) == "a2");
    // Now only the server of a2 knows the flows; b1 asks a2 and a3 through a chain.
    this->world.restartAgent("a2");
    this->world.restartBalancer("b1");
    this->world.run(2s);
    for (std::uint16_t port = 1; port <= 4; ++port) {
        BOOST_TEST(this->world.request("b1", callerOf(port), booking));
        BOOST_TEST(this->world.resetsTo(callerOf(port)) == 0u);
    }
}

// A server that accepted a copy of the opening packet, and whose answer the caller did not choose,
// may reset the flow on its side.
BOOST_AUTO_TEST_CASE(keepsAFlowThatAnotherServerResetsHalfOpen)
{
    this->world.fromCaller("b1", opening(callerOf(1), booking));
    this->world.fromCaller("b2", opening(callerOf(1), booking));
    this->world.run(20ms);
    const std::vector<World::ToCaller> answers = this->world.packetsTo(callerOf(1));
    BOOST_TEST_REQUIRE(answers.size() == 2u);
    BOOST_TEST_REQUIRE(answers[0].sender != answers[1].sender);
    this->world.fromCaller("b1", { .source = callerOf(1),
                                   .destination = booking,
                                   .sequence = 78,
                                   .acknowledgement = answers[0].segment.sequence + 1,
                                   .flags = tcpflag::ack });
    this->world.run(10ms);
    this->resetFromServer(answers[1].sender, answers[1].segment.sequence + 1);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
    // The reset of the server that the caller chose is for the caller.
    this->resetFromServer(answers[0].sender, answers[0].segment.sequence + 1);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 1u);
}

// The FIN of an open flow went to a server that had an earlier flow of the same addresses and ports
// and acknowledged it; the flow's own server never got it.
BOOST_AUTO_TEST_CASE(aFinReachesTheOwnServerOfAFlowThatReusesPorts)
{
    const FlowKey key{ .source = callerOf(1), .destination = booking };
    this->addServerThatResets("a3").ended.insert(key);
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    const World::ToCaller answer = this->world.packetsTo(callerOf(1)).front();
    const Server::Flow &own = this->world.agent("a1").server.flows.at(key);
    const std::uint64_t before = own.packets;
    for (int copy = 0; copy < 2; ++copy) {
        this->world.fromCaller("b2", { .source = callerOf(1),
                                       .destination = booking,
                                       .sequence = 78,
                                       .acknowledgement = answer.segment.sequence + 1,
                                       .flags = tcpflag::fin | tcpflag::ack });
        this->world.run(200ms);
    }
    BOOST_TEST(own.packets == before + 2);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
}

// A flow was given to the server that had had an earlier flow of the same addresses and ports, and
// was reset there.
BOOST_AUTO_TEST_CASE(keepsAFlowThatReusesPortsOfAnEndedOne)
{
    const FlowKey key{ .source = callerOf(1), .destination = booking };
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    this->world.fromCaller("b1", { .source = callerOf(1),
                                   .destination = booking,
                                   .sequence = 78,
                                   .flags = tcpflag::rst });
    this->world.run(10ms);
    Server &former = this->world.agent("a1").server;
    former.flows.erase(key);
    former.ended.insert(key);
    this->world.fromCaller("b2", opening(callerOf(1), booking));
    this->world.run(10ms);
    BOOST_TEST(this->world.packetsTo(callerOf(1)).back().sender == "a2");
    // The cache of b1 still names a1, so the first copy of the packet may be lost.
    this->world.request("b1", callerOf(1), booking);
    BOOST_TEST(this->world.request("b1", callerOf(1), booking));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
}

// An agent that has restarted does not know which flow a reset of its server belongs to.
BOOST_AUTO_TEST_CASE(dropsAResetOfAFlowThatItDoesNotKnow)
{
    BOOST_TEST(this->world.openFlow("b2", callerOf(1), booking) == "a2");
    this->world.restartAgent("a1");
    this->resetFromServer("a1", 1);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
    BOOST_TEST(this->world.agent("a1").agent->counters().droppedResets == 1u);
}

// A server drops a flow before the caller's acknowledgement reaches the agent, and returns the
// packets that follow.
BOOST_AUTO_TEST_CASE(resetsAFlowThatItsServerResetBeforeItWasOpen)
{
    const FlowKey key{ .source = callerOf(1), .destination = booking };
    this->world.fromCaller("b1", opening(callerOf(1), booking));
    this->world.run(10ms);
    const World::ToCaller answer = this->world.packetsTo(callerOf(1)).front();
    BOOST_TEST_REQUIRE(answer.sender == "a1");
    this->world.agent("a1").server.flows.erase(key);
    this->resetFromServer("a1", answer.segment.sequence + 1);
    for (int copy = 0; copy < 5; ++copy)
        BOOST_TEST(!this->world.request("b1", callerOf(1), booking, 400ms));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) > 0u);
}

// The agent keeps a flow as open whose caller is gone; the caller's ports are used for another flow
// at another server, and a balancer still has the earlier flow's agent in its cache.
BOOST_AUTO_TEST_CASE(keepsAFlowThatReusesPortsOfAnAbandonedOne)
{
    const FlowKey key{ .source = callerOf(1), .destination = booking };
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    Server &former = this->world.agent("a1").server;
    former.flows.erase(key);
    this->world.fromCaller("b2", opening(callerOf(1), booking));
    this->world.run(10ms);
    BOOST_TEST(this->world.packetsTo(callerOf(1)).back().sender == "a2");
    // The cache of b1 still names a1, so the first copy of the packet may be lost.
    this->world.request("b1", callerOf(1), booking);
    BOOST_TEST(this->world.request("b1", callerOf(1), booking));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
}

// The reset of probed data ends the probe before the same server acknowledges the FIN that followed
// the data. It has neither shown that it has the flow.
BOOST_AUTO_TEST_CASE(adoptsNoFlowForTheAcknowledgementOfAFinAfterAReset)
{
    this->addServerThatResets("a3").isUp = false; // the test answers for it
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    const std::uint32_t next = this->world.packetsTo(callerOf(1)).front().segment.sequence + 1;
    const Head data{ .source = callerOf(1),
                     .destination = booking,
                     .sequence = 78,
                     .acknowledgement = next,
                     .length = 50,
                     .flags = tcpflag::ack };
    const Head fin{ .source = callerOf(1),
                    .destination = booking,
                    .sequence = 128,
                    .acknowledgement = next,
                    .flags = tcpflag::fin | tcpflag::ack };
    this->probe("a3", data);
    this->probe("a3", fin);
    this->resetFromServer("a3", next);
    this->acknowledgeFromServer("a3", next, 129);
    this->resetFromServer("a3", next);
    const AgentCounters &counters = this->world.agent("a3").agent->counters();
    BOOST_TEST(counters.probes == 2u);
    BOOST_TEST(counters.adopted == 0u);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
}

// A packet that was sent before the FIN is probed after it.
BOOST_AUTO_TEST_CASE(adoptsNoFlowForTheAcknowledgementOfAFinBeforeAnotherProbe)
{
    this->addServerThatResets("a3").isUp = false; // the test answers for it
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    const std::uint32_t next = this->world.packetsTo(callerOf(1)).front().segment.sequence + 1;
    this->probe("a3", { .source = callerOf(1),
                        .destination = booking,
                        .sequence = 128,
                        .acknowledgement = next,
                        .flags = tcpflag::fin | tcpflag::ack });
    this->probe("a3", { .source = callerOf(1),
                        .destination = booking,
                        .sequence = 78,
                        .acknowledgement = next,
                        .length = 50,
                        .flags = tcpflag::ack });
    this->acknowledgeFromServer("a3", next, 129);
    this->resetFromServer("a3", next);
    BOOST_TEST(this->world.agent("a3").agent->counters().adopted == 0u);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
}

// A balancer has not heard the flow's agent for so long that it has forgotten it.
BOOST_AUTO_TEST_CASE(keepsAFlowOfAnAgentThatABalancerHasForgotten)
{
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    this->world.cut("b2", "a1");
    for (int i = 0; i < 5; ++i) {
        this->world.run(6s);
        BOOST_TEST(this->world.request("b1", callerOf(1), booking));
        this->world.request("b2", callerOf(1), booking, 300ms);
        BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
    }
}

// An agent has been added that a balancer has not heard of, while another balancer has.
BOOST_AUTO_TEST_CASE(keepsAFlowOfAnAgentThatABalancerHasNotHeardOf)
{
    this->world.cut("b2", "a3");
    this->world.addAgent("a3", "zone-a", "booking");
    this->world.agent("a1").server.isFull = true;
    this->world.agent("a2").server.isFull = true;
    this->world.run(1500ms);
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a3");
    this->world.request("b2", callerOf(1), booking, 300ms);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
}

// A new balancer has no list of the agents, since it is cut off from its peer, and one of them.
BOOST_AUTO_TEST_CASE(keepsAFlowWhileANewBalancerHasNoListOfAgents)
{
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    this->world.cut("b2", "b1");
    this->world.cut("b2", "a1");
    this->world.restartBalancer("b2");
    this->world.run(1s);
    this->world.request("b2", callerOf(1), booking, 300ms);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
}

// The FIN is acknowledged by a server that had an earlier flow of the same addresses and ports. The
// caller has that acknowledgement and does not send the FIN again.
BOOST_AUTO_TEST_CASE(aFinReachesTheOwnServerBehindOneThatAcknowledgesIt)
{
    Server &asked = this->addServerThatResets("a3");
    for (std::uint16_t port = 1; port <= 4; ++port) {
        asked.ended.insert({ .source = callerOf(port), .destination = booking });
        BOOST_TEST(this->world.openFlow("b2", callerOf(port), booking) == "a2");
    }
    // Now only the server of a2 knows the flows; b1 asks a2 and a3 through a chain.
    this->world.restartAgent("a2");
    this->world.restartBalancer("b1");
    this->world.run(2s);
    for (std::uint16_t port = 1; port <= 4; ++port) {
        const FlowKey key{ .source = callerOf(port), .destination = booking };
        const std::uint64_t before = this->world.agent("a2").server.flows.at(key).packets;
        const World::ToCaller answer = this->world.packetsTo(callerOf(port)).front();
        this->world.fromCaller("b1", { .source = callerOf(port),
                                       .destination = booking,
                                       .sequence = 78,
                                       .acknowledgement = answer.segment.sequence + 1,
                                       .flags = tcpflag::fin | tcpflag::ack });
        this->world.run(1s);
        BOOST_TEST(this->world.agent("a2").server.flows.at(key).packets == before + 1);
        BOOST_TEST(this->world.resetsTo(callerOf(port)) == 0u);
    }
}

// The cache of a balancer has a flow whose server has ended since; the caller's ports are used for
// another flow at another server.
BOOST_AUTO_TEST_CASE(keepsAFlowThatReusesPortsOfAFlowOfAnEndedServer)
{
    BOOST_TEST(this->world.openFlow("b1", callerOf(1), booking) == "a1");
    this->world.fromCaller("b1", { .source = callerOf(1),
                                   .destination = booking,
                                   .sequence = 78,
                                   .flags = tcpflag::rst });
    this->world.run(10ms);
    this->world.fromCaller("b2", opening(callerOf(1), booking));
    this->world.run(10ms);
    BOOST_TEST(this->world.packetsTo(callerOf(1)).back().sender == "a2");
    BOOST_TEST(this->world.request("b2", callerOf(1), booking));
    World::AgentNode &node = this->world.agent("a1");
    node.server.isUp = false;
    node.agent->onDeregister(node.server.instance, node.server.startedAt, this->world.now,
                             *node.sink);
    this->world.run(1s);
    BOOST_TEST(this->world.request("b1", callerOf(1), booking));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

#include "core/agent.h"

#include <boost/test/unit_test.hpp>

#include <random>

#include "core/agent_test.h"

using namespace cactusdeck;
using namespace cactusdeck::testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(agent)

// Guards against failures of the basic path: handshake, request, response, close, and the reply to
// the balancer.
BOOST_AUTO_TEST_CASE(flowIsServedAndClosed)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Caller caller(network);
    caller.open({ &a });
    BOOST_REQUIRE(caller.isConnected);
    BOOST_TEST(int(network.replies.back().verdict) == int(Verdict::Accepted));
    BOOST_TEST(network.replies.back().incarnation == 3u);
    caller.request("r1", { &a });
    BOOST_TEST(caller.received == "answer:r1");
    caller.send({ &a }, tcpflag::fin | tcpflag::ack);
    BOOST_TEST(a.flows() == 0);
    BOOST_TEST(a.status()["requests"]["waiting"] == 0);
    BOOST_TEST(a.status()["admission"]["inProgress"] == 0);
}

// Guards against delivery of payload to two servers when two agents have accepted the same SYN, and
// against a reset of the connection that the caller uses.
BOOST_AUTO_TEST_CASE(synAcceptedByTwoAgents)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Backend &b = network.add(8001);
    Caller caller(network);
    const auto syn = caller.syn();
    network.frame({ &a }, syn);
    network.frame({ &b }, syn);
    BOOST_TEST(a.server.connections.size() == 1u);
    BOOST_TEST(b.server.connections.size() == 1u);
    BOOST_TEST(caller.serverIsn == a.server.lastIsn); // the first SYN-ACK counts
    network.clearReplies();
    caller.request("pay", { &b, &a });
    BOOST_TEST(a.server.received == "pay");
    BOOST_TEST(b.server.received.empty());
    BOOST_TEST(b.server.connections.empty());
    BOOST_TEST(caller.resets == 0);
    BOOST_TEST(caller.received == "answer:pay");
    BOOST_TEST(b.flows() == 0);
    // The reply tells the balancer which agent owns the flow.
    BOOST_TEST(int(network.replies.back().verdict) == int(Verdict::Owner));
    BOOST_TEST((network.replies.back().agent == a.data));
}

// Guards against a reset of a half-open connection because of a delayed packet of an earlier flow.
BOOST_AUTO_TEST_CASE(delayedPacketDoesNotResetHalfOpenFlow)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Caller caller(network);
    network.holdServerPackets = true; // the SYN-ACK stays in flight
    network.frame({ &a }, caller.syn());
    network.frame({ &a }, buildPacket({ .key = caller.key,
                                        .sequence = caller.isn - 5000,
                                        .acknowledgement = 77,
                                        .flags = tcpflag::ack }));
    network.holdServerPackets = false;
    network.run();
    BOOST_TEST(a.server.connections.size() == 1u);
    BOOST_TEST(caller.isConnected);
    caller.request("r", { &a });
    BOOST_TEST(caller.received == "answer:r");
}

// Guards against a reset of an established flow that no agent of the chain knows, and against
// dropping its packet without a reply to the balancer.
BOOST_AUTO_TEST_CASE(unknownFlowIsForwardedThenDropped)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Backend &b = network.add(8001);
    Caller caller(network);
    const auto data = buildPacket(
            { .key = caller.key, .sequence = 1, .acknowledgement = 1, .flags = tcpflag::ack });
    network.frame({ &a, &b }, data, 0);
    BOOST_TEST(a.counter("forwarded") == 1);
    BOOST_TEST(b.counter("missed") == 1);
    BOOST_TEST(int(network.replies.back().verdict) == int(Verdict::UnknownFlow));
    BOOST_TEST(caller.resets == 0);
    BOOST_TEST(a.server.packets + b.server.packets == 0);
}

// Guards against a reset to the caller from an agent that isn't the last hop, and against delivery
// of a rejected SYN.
BOOST_AUTO_TEST_CASE(onlyLastHopRejects)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Backend &b = network.add(8001);
    a.agent.stop(network.now, a.outbox);
    b.agent.stop(network.now, b.outbox);
    Caller caller(network);
    caller.open({ &a, &b });
    BOOST_TEST(caller.resets == 1);
    // b is draining and returns the frame, so that a decides again as the last hop.
    BOOST_TEST(a.counter("declined") == 1);
    BOOST_TEST(b.counter("declined") == 1);
    BOOST_TEST(a.counter("rejected") == 1);
    BOOST_TEST(b.counter("rejected") == 0);
    BOOST_TEST(a.server.packets + b.server.packets == 0);
    BOOST_TEST(int(network.replies.back().verdict) == int(Verdict::Declined));
    // Each decision is logged once.
    BOOST_TEST(a.eventCount("flow_declined") == 1);
    BOOST_TEST(b.eventCount("flow_declined") == 1);
    BOOST_TEST(a.eventCount("flow_rejected") == 1);
    BOOST_TEST(b.eventCount("flow_rejected") == 0);
}

// Guards against rejection of a flow that an agent could serve: the first hop declines because it
// is busy, the last hop because it is draining. Only as the last hop may a busy agent accept the
// flow.
BOOST_AUTO_TEST_CASE(drainingLastHopReturnsTheFlow)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Backend &b = network.add(8001);
    b.agent.stop(network.now, b.outbox);
    Caller first(network);
    first.open({ &a });
    a.server.isResponding = false;
    first.request("r", { &a }); // occupies the only cold slot
    Caller second(network);
    second.open({ &a, &b });
    BOOST_TEST(second.resets == 0);
    BOOST_TEST(a.counter("declined") == 1);
    BOOST_TEST(a.counter("accepted") == 2);
}

// Guards against a second flow for a retransmitted SYN.
BOOST_AUTO_TEST_CASE(repeatedSynIsTheSameFlow)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Caller caller(network);
    network.holdServerPackets = true;
    const auto syn = caller.syn();
    network.frame({ &a }, syn);
    network.frame({ &a }, syn);
    a.agent.stop(network.now, a.outbox);
    network.frame({ &a }, syn); // a draining agent declines only new flows
    BOOST_TEST(a.counter("accepted") == 1);
    BOOST_TEST(a.server.packets == 3);
    BOOST_TEST(caller.resets == 0);
}

// Guards against errors when a caller reuses its ports: a new SYN must replace a closed flow, but
// not an established one.
BOOST_AUTO_TEST_CASE(reusedPorts)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Caller caller(network);
    caller.open({ &a });
    caller.request("one", { &a });
    const auto late = buildPacket({ .key = caller.key.reversed(),
                                    .sequence = caller.serverIsn + 1,
                                    .acknowledgement = caller.isn + 4,
                                    .flags = tcpflag::ack,
                                    .payload = bytesOf("old") });
    // The caller restarted without closing: the server's challenge ACK makes it reset the old
    // connection, then its SYN is a new flow.
    Caller restarted(network, caller.key, caller.isn + 70000);
    restarted.open({ &a });
    BOOST_TEST(a.server.challenges == 1);
    BOOST_TEST(a.counter("accepted") == 1);
    BOOST_TEST(a.server.connections.empty());
    network.frame({ &a }, restarted.syn());
    BOOST_TEST(a.counter("accepted") == 2);
    BOOST_TEST(restarted.isConnected);
    // A response on the earlier connection arrives late.
    network.fromServer(a, late);
    BOOST_TEST(restarted.received.empty());
    BOOST_TEST(a.counter("lateFromServer") == 1);
    restarted.request("two", { &a });
    BOOST_TEST(restarted.received == "answer:two");
}

// Guards against an answer for the wrong connection when a half-open flow gets a SYN with another
// initial sequence number.
BOOST_AUTO_TEST_CASE(newSynReplacesHalfOpenFlow)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Caller first(network);
    network.holdServerPackets = true;
    network.frame({ &a }, first.syn());
    Caller second(network, first.key, first.isn + 50000);
    network.frame({ &a }, second.syn());
    network.frame({ &a }, first.syn()); // delayed duplicate
    BOOST_TEST(a.server.connections.size() == 1u);
    BOOST_TEST(a.counter("accepted") == 2);
    BOOST_TEST(a.counter("droppedSyn") == 1);
    BOOST_TEST(a.flows() == 1);
}

// Guards against delivery of frames for another service, another address or another run of the
// agent.
BOOST_AUTO_TEST_CASE(wrongServiceAndIncarnation)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Caller caller(network);
    const auto verdictOf = [&](const ForwardFrame &frame) {
        network.clearReplies();
        network.frame(frame, caller.syn());
        BOOST_REQUIRE(network.replies.size() == 1u);
        BOOST_TEST(a.server.packets == 0);
        BOOST_TEST(caller.resets == 0);
        return int(network.replies[0].verdict);
    };
    ForwardFrame frame = network.forward({ &a });
    frame.service = serviceIdOf({ "tickets" });
    BOOST_TEST(verdictOf(frame) == int(Verdict::WrongService));
    frame = network.forward({ &a });
    frame.hops[0].incarnation = 2;
    BOOST_TEST(verdictOf(frame) == int(Verdict::WrongIncarnation));
    frame.hops[0] = { { a.data.address, 9999 }, 3 };
    network.backendsByPort[9999] = &a;
    BOOST_TEST(verdictOf(frame) == int(Verdict::WrongIncarnation));
    caller.key.destination.port = 444; // not an address of the service
    BOOST_TEST(verdictOf(network.forward({ &a })) == int(Verdict::WrongService));
}

// Guards against a second concurrent request to a cold server, and against queued requests that are
// lost or delivered twice.
BOOST_AUTO_TEST_CASE(requestsBeyondTheLimitWait)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    a.server.isResponding = false;
    Caller one(network);
    Caller two(network);
    one.open({ &a });
    two.open({ &a });
    one.request("1", { &a });
    two.request("2", { &a });
    two.repeat({ &a });
    BOOST_TEST(a.server.received == "1"); // coldSlots is 1
    BOOST_TEST(a.status()["requests"]["queued"] == 1);
    a.server.isResponding = true;
    a.server.respond(one.key, "done");
    network.fromServer(a);
    BOOST_TEST(one.received == "done");
    BOOST_TEST(a.server.received == "12");
    BOOST_TEST(two.received == "answer:2");
}

// Guards against execution of a queued request after its deadline or after the caller has cancelled
// it.
BOOST_AUTO_TEST_CASE(queuedRequestsExpireOrAreCancelled)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    a.server.isResponding = false;
    Caller one(network);
    Caller two(network);
    Caller three(network);
    for (Caller *caller : { &one, &two, &three })
        caller->open({ &a });
    one.request("1", { &a });
    two.request("2", { &a });
    three.request("3", { &a });
    three.send({ &a }, tcpflag::rst | tcpflag::ack);
    BOOST_TEST(a.status()["requests"]["queued"] == 1);
    BOOST_TEST(a.server.connections.size() == 2u); // the server got the reset of the third caller
    network.advance(2s, 50ms); // requestDeadline
    BOOST_TEST(a.status()["requests"]["expired"] == 1);
    a.server.respond(one.key, "done");
    network.fromServer(a);
    BOOST_TEST(a.server.received == "1");
    two.repeat({ &a }); // the caller's TCP retransmits the request
    BOOST_TEST(a.server.received == "12");
}

// Guards against an undetected restart of the server: it has lost its connections, and from then on
// must get no more load than a cold server.
BOOST_AUTO_TEST_CASE(restartedServerIsCold)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Caller busy(network);
    busy.open({ &a });
    for (int i = 0; i < 40; ++i) {
        network.advance(10ms, 10ms);
        busy.request("x", { &a });
    }
    BOOST_REQUIRE(a.status()["admission"]["learned"] == 2);
    a.server.restart();
    busy.request("y", { &a });
    BOOST_TEST(busy.resets == 1); // sent by the server
    BOOST_TEST(a.status()["admission"]["learned"] == 1);
    BOOST_TEST(a.flows() == 0);

    // A SYN on an established flow, which the restarted server accepts as a new connection.
    Caller lost(network);
    lost.open({ &a });
    a.server.restart();
    Caller again(network, lost.key, lost.isn + 70000);
    again.open({ &a });
    BOOST_TEST(!again.isConnected);
    BOOST_TEST(a.server.connections.empty()); // reset, because it has not passed admission
    again.open({ &a });
    BOOST_TEST(again.isConnected);
}

// Guards against loss of flows when the agent restarts, and against delivery of payload to the
// server before the server has confirmed that it has the connection.
BOOST_AUTO_TEST_CASE(restartedAgentAdoptsFlows)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Backend &b = network.add(8001);
    Caller held(network);
    Caller other(network);
    held.open({ &a });
    other.open({ &b });
    held.request("before", { &a });
    a.restartAgent(true);
    network.holdServerPackets = true;
    held.request("after", { &a, &b });
    BOOST_TEST(a.server.received == "before");
    network.holdServerPackets = false;
    network.run();
    BOOST_TEST(a.server.received == "beforeafter");
    BOOST_TEST(held.received == "answer:beforeanswer:after");
    BOOST_TEST(a.counter("adopted") == 1);

    // A flow of another server: this server answers the probe with a reset, which must not reach
    // the caller.
    other.request("other", { &a, &b });
    BOOST_TEST(other.received == "answer:other");
    BOOST_TEST(other.resets == 0);
    BOOST_TEST(a.server.received == "beforeafter");
    BOOST_TEST(a.counter("adopted") == 1);

    // If the server doesn't answer the probe, the frame is forwarded to the next hop.
    Caller third(network);
    third.open({ &b });
    a.server.isMute = true;
    third.request("third", { &a, &b });
    network.advance(1s, 50ms);
    BOOST_TEST(third.received == "answer:third");
}

// Guards against loss of a response that the server sends after a restart of the agent and before
// the caller's next packet. The response must not be delivered until the caller has confirmed the
// connection, because it may have another one on the same ports.
BOOST_AUTO_TEST_CASE(serverSendsFirstAfterAgentRestart)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    a.server.isResponding = false;
    Caller caller(network);
    caller.open({ &a });
    caller.request("slow", { &a });
    a.restartAgent(true);
    a.server.respond(caller.key, "late");
    caller.chain = { &a };
    // The agent replaces the response by a keep-alive, and the caller's answer starts the adoption.
    network.fromServer(a);
    BOOST_TEST(caller.received.empty());
    BOOST_TEST(a.counter("adopted") == 1);
    a.server.retransmit(caller.key, "late");
    network.fromServer(a);
    BOOST_TEST(caller.received == "late");
}

// Guards against traffic in a failure domain that is out of service: both sides of its flows are
// reset, later packets are dropped and counted, and the server counts as cold when the domain
// returns.
BOOST_AUTO_TEST_CASE(zoneOutResetsAndDrops)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Caller caller(network);
    caller.open({ &a });
    caller.request("r", { &a });
    a.configure(2, ZoneState::Out);
    network.advance(50ms, 50ms);
    BOOST_TEST(caller.resets == 1);
    BOOST_TEST(a.server.connections.empty());
    const int packets = a.server.packets;
    network.clearReplies();
    caller.request("x", { &a });
    Caller next(network);
    next.open({ &a });
    BOOST_TEST(a.server.packets == packets);
    BOOST_TEST(a.counter("droppedZoneOut") == 2);
    BOOST_TEST(int(network.replies.back().verdict) == int(Verdict::ZoneOut));
    BOOST_TEST(next.resets == 0);
    a.configure(3, ZoneState::In);
    next.open({ &a });
    BOOST_TEST(next.isConnected);
    BOOST_TEST(a.status()["admission"]["learned"] == 1);
}

// Guards against an isolated agent that accepts new flows with an outdated configuration.
BOOST_AUTO_TEST_CASE(staleConfigurationTakesNoNewFlows)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Caller caller(network);
    caller.open({ &a });
    network.configuration = 9; // frames name it, but the agent can't obtain it
    caller.request("1", { &a });
    BOOST_TEST(a.sentConfigurationRequest());
    network.advance(3050ms, 50ms);
    Caller next(network);
    next.open({ &a });
    BOOST_TEST(next.resets == 1);
    caller.request("2", { &a }); // established flows continue
    BOOST_TEST(caller.received == "answer:1answer:2");
    // The flag zoneOut counts only from a sender with a newer configuration.
    ForwardFrame frame = network.forward({ &a }, 0);
    frame.flags = frameflag::zoneOut;
    network.frame(frame, caller.packet(tcpflag::ack));
    BOOST_TEST(a.counter("droppedZoneOut") == 1);
    frame.configuration = 1;
    network.frame(frame, caller.packet(tcpflag::ack));
    BOOST_TEST(a.counter("droppedZoneOut") == 1);
    a.configure(9, ZoneState::In);
    network.advance(50ms, 50ms);
    next.open({ &a });
    BOOST_TEST(next.isConnected);
}

// Guards against draining that interrupts a request, or that never ends.
BOOST_AUTO_TEST_CASE(drainKeepsFlowsUntilTheyEnd)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Caller caller(network);
    Caller session(network);
    caller.open({ &a });
    session.open({ &a });
    a.agent.stop(network.now, a.outbox);
    a.agent.stop(network.now, a.outbox);
    BOOST_TEST(a.eventCount("drain_started") == 1);
    BOOST_TEST(a.status()["phase"] == "draining");
    caller.request("r", { &a });
    BOOST_TEST(caller.received == "answer:r");
    caller.send({ &a }, tcpflag::fin | tcpflag::ack);
    network.advance(10s, 50ms);
    BOOST_TEST(!a.agent.isStopped(network.now));
    BOOST_TEST(a.flows() == 1);
    network.advance(52s, 50ms); // drainDeadline is 60 s
    BOOST_TEST(a.flows() == 0);
    BOOST_TEST(session.resets == 1);
    network.advance(5s, 50ms);
    BOOST_TEST(a.agent.isStopped(network.now));
}

// Guards against UDP flows that move to another server, and against resets in answer to UDP
// packets.
BOOST_AUTO_TEST_CASE(udpHasAffinityAndNoRejection)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Backend &b = network.add(8001);
    Caller caller(network);
    caller.key.protocol = Protocol::Udp;
    const auto datagram = buildPacket({ .key = caller.key, .payload = bytesOf("q") });
    network.frame({ &a }, datagram);
    BOOST_TEST(a.server.packets == 1);
    a.agent.stop(network.now, a.outbox);
    network.frame({ &a, &b }, datagram);
    BOOST_TEST(b.server.packets == 0);
    network.fromServer(a, buildPacket({ .key = caller.key.reversed(), .payload = bytesOf("a") }));
    BOOST_TEST(a.counter("toFabric") == 1);
    caller.key.source.port = 999;
    network.frame({ &a }, buildPacket({ .key = caller.key, .payload = bytesOf("q") }));
    BOOST_TEST(a.server.packets == 2);
    BOOST_TEST(a.counter("toFabric") == 1);
}

// Guards against reads past the end of corrupt datagrams from either side. Only a build with
// sanitizers detects all of them.
BOOST_AUTO_TEST_CASE(corruptDatagramsAreCounted)
{
    TestNetwork network;
    Backend &a = network.add(8000);
    Caller caller(network);
    caller.open({ &a });
    std::mt19937_64 random(11);
    const auto good = network.datagram(network.forward({ &a }), caller.packet(tcpflag::ack));
    for (int i = 0; i < 5000; ++i) {
        auto bytes = good;
        bytes[random() % bytes.size()] = std::uint8_t(random());
        bytes.resize(random() % bytes.size());
        const std::vector<std::uint8_t> exact(bytes.begin(), bytes.end());
        a.agent.onFrame(exact, network.now, a, a.outbox);
        a.agent.onServerPacket(exact, network.now, a, a.outbox);
    }
    BOOST_TEST(a.counter("malformed") > 5000);
}

BOOST_AUTO_TEST_SUITE_END()

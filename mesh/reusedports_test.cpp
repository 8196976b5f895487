#include <boost/test/unit_test.hpp>

#include "mesh/meshworld_test.h"

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace cactusdeck::mesh::test;

// Late packets of a server on addresses and ports that the caller uses for another flow.

namespace {

const Endpoint booking{ 0xC6120001u, 443 };
const Endpoint caller = callerOf(1);
const FlowKey key{ .source = caller, .destination = booking };
// Of the opening packet of the later flow, far from that of the earlier one.
constexpr std::uint32_t laterSequence = 2000000000;

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

    // The caller has had an answer of the server of a1; returns it.
    Head earlierAnswer()
    {
        BOOST_TEST(this->world.openFlow("b1", caller, booking) == "a1");
        BOOST_TEST(this->world.request("b1", caller, booking));
        return headOf(this->world.packetsTo(caller).back().segment);
    }

    // The server of the agent sends a packet.
    void fromServer(const std::string &agent, const Head &head)
    {
        World::AgentNode &node = this->world.agent(agent);
        node.agent->onServerPacket(encodeSegment(head), this->world.now, *node.sink);
    }

    // Opens the later flow as far as the answer of a server; returns its agent.
    std::string startLaterFlow(const std::string &balancer)
    {
        this->world.callerPackets.clear();
        Head head = opening(caller, booking);
        head.sequence = laterSequence;
        this->world.fromCaller(balancer, head);
        this->world.run(10ms);
        const std::vector<World::ToCaller> answers = this->world.packetsTo(caller);
        if (answers.size() != 1 || !answers.front().segment.isOpeningAnswer())
            return "";
        this->next = { .source = caller,
                       .destination = booking,
                       .sequence = laterSequence + 1,
                       .acknowledgement = answers.front().segment.sequence + 1,
                       .flags = tcpflag::ack };
        return answers.front().sender;
    }

    std::string openLaterFlow(const std::string &balancer)
    {
        std::string agent = this->startLaterFlow(balancer);
        this->world.fromCaller(balancer, this->next);
        this->world.run(10ms);
        return agent;
    }

    // Sends a request on the later flow, twice if it is not answered, as a caller does. Returns
    // true if an answer arrived.
    bool requestOnLaterFlow(const std::string &balancer)
    {
        this->next.length = 50;
        const std::size_t before = this->world.packetsTo(caller).size();
        for (int copy = 0; copy < 2; ++copy) {
            this->world.fromCaller(balancer, this->next);
            this->world.run(200ms);
            const std::vector<World::ToCaller> packets = this->world.packetsTo(caller);
            for (std::size_t i = before; i < packets.size(); ++i) {
                const Segment &segment = packets[i].segment;
                if (segment.payloadLength == 0 || segment.sequence != this->next.acknowledgement)
                    continue;
                this->next.sequence += this->next.length;
                this->next.acknowledgement += segment.payloadLength;
                return true;
            }
        }
        return false;
    }

    World world;
    Head next; // packet of the caller on the later flow
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(reusedPorts, Fixture)

// A restarted agent took a late answer for a flow of its server and claimed the caller's next flow,
// whose packets then went to the wrong server and were reset there.
BOOST_AUTO_TEST_CASE(aLateAnswerAfterARestartClaimsNoFlowOfAnotherServer)
{
    const Head late = this->earlierAnswer();
    this->world.agent("a1").server.flows.erase(key);
    this->world.restartAgent("a1");
    this->world.run(1s);
    BOOST_TEST(this->openLaterFlow("b2") == "a2");
    this->fromServer("a1", late);
    this->world.run(1s);
    BOOST_TEST(this->requestOnLaterFlow("b1"));
    this->world.restartBalancer("b2");
    this->world.run(2s);
    BOOST_TEST(this->requestOnLaterFlow("b2"));
    BOOST_TEST(this->world.resetsTo(caller) == 0u);
}

// A restarted agent took the opening packet of the caller's next flow for a copy of the one of the
// flow to which a late answer belonged, and dropped all answers of the next flow.
BOOST_AUTO_TEST_CASE(aLateAnswerAfterARestartDoesNotBlockTheNextFlow)
{
    Head late = this->earlierAnswer();
    this->world.agent("a1").server.flows.erase(key);
    this->world.restartAgent("a1");
    this->world.run(1s);
    this->fromServer("a1", late);
    BOOST_TEST(this->openLaterFlow("b1") == "a1");
    BOOST_TEST(this->requestOnLaterFlow("b1"));
    BOOST_TEST(this->requestOnLaterFlow("b1"));
    const std::size_t before = this->world.packetsTo(caller).size();
    this->fromServer("a1", late);
    BOOST_TEST(this->world.packetsTo(caller).size() == before);
    BOOST_TEST(this->world.resetsTo(caller) == 0u);
}

// A copy of the opening packet that arrived after the agent's restart cut the answers off.
BOOST_AUTO_TEST_CASE(aLateCopyAfterARestartKeepsTheFlow)
{
    // The first numbers of the server are in the lower half of their range, where the fault did not
    // show.
    for (std::uint16_t port = 2; port <= 3; ++port)
        this->world.openFlow("b1", callerOf(port), booking);
    this->earlierAnswer();
    BOOST_TEST(this->world.agent("a1").server.flows.at(key).sequence > 1u << 31);
    this->world.restartAgent("a1");
    this->world.run(1s);
    BOOST_TEST(this->world.request("b1", caller, booking));
    this->world.fromCaller("b1", opening(caller, booking, 1));
    this->world.run(10ms);
    BOOST_TEST(this->world.request("b1", caller, booking));
    BOOST_TEST(this->world.agent("a1").server.openings.size() == 3u);
    BOOST_TEST(this->world.resetsTo(caller) == 0u);
}

// A late answer arrived after the server had accepted the caller's next flow and before the caller
// knew, and was passed on as part of it.
BOOST_AUTO_TEST_CASE(aLateAnswerIsDroppedWhileTheNextFlowOpens)
{
    const Head late = this->earlierAnswer();
    this->world.agent("a1").server.flows.erase(key);
    BOOST_TEST(this->startLaterFlow("b1") == "a1");
    this->fromServer("a1", late);
    BOOST_TEST(this->world.packetsTo(caller).size() == 1u);
    this->world.fromCaller("b1", this->next);
    this->world.run(10ms);
    this->fromServer("a1", late);
    BOOST_TEST(this->world.packetsTo(caller).size() == 1u);
    BOOST_TEST(this->requestOnLaterFlow("b1"));
}

// The caller gave up a flow without a word and used its ports again; the agent of the earlier flow
// claimed the later one, whose packets then went to the wrong server.
BOOST_AUTO_TEST_CASE(anAbandonedFlowClaimsNoFlowOfAnotherServer)
{
    this->earlierAnswer();
    BOOST_TEST(this->openLaterFlow("b2") == "a2");
    BOOST_TEST(this->requestOnLaterFlow("b2"));
    this->world.restartBalancer("b1");
    this->world.run(2s);
    BOOST_TEST(this->requestOnLaterFlow("b1"));
    BOOST_TEST(this->requestOnLaterFlow("b1"));
    BOOST_TEST(this->world.agent("a1").server.laterFlowPackets == 0u);
    BOOST_TEST(this->world.resetsTo(caller) == 0u);
}

// After a restart of all agents, a server that had kept an abandoned flow answered a packet of the
// later flow of its ports with a bare acknowledgement, and its agent claimed the later flow.
BOOST_AUTO_TEST_CASE(anAbandonedFlowOfAProbedServerClaimsNoFlowOfAnotherServer)
{
    this->earlierAnswer();
    this->world.agent("a1").server.acknowledgesLaterFlows = true;
    BOOST_TEST(this->openLaterFlow("b2") == "a2");
    BOOST_TEST(this->requestOnLaterFlow("b2"));
    for (const char *agent : { "a1", "a2" })
        this->world.restartAgent(agent);
    for (const char *balancer : { "b1", "b2" })
        this->world.restartBalancer(balancer);
    this->world.run(2s);
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(this->requestOnLaterFlow("b1"));
    BOOST_TEST(this->world.agent("a1").server.laterFlowPackets <= 2u);
    BOOST_TEST(this->world.resetsTo(caller) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

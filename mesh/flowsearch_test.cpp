#include <boost/test/unit_test.hpp>

#include "mesh/meshworld_test.h"

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace cactusdeck::mesh::test;

// The pattern: many flows move at once, so that asking every agent for every flow would take all of
// a small machine.

namespace {

const Endpoint booking{ 0xC6120001u, 443 };
constexpr int agents = 30;

struct Fixture
{
    Fixture()
    {
        this->world.addBalancer("b1", "zone-a");
        this->world.addBalancer("b2", "zone-a");
        for (int i = 0; i < agents; ++i)
            this->world.addAgent("a" + std::to_string(i), "zone-a", "booking");
        this->world.publish(configurationOf({ { booking, "booking" } }));
        this->world.run(3s);
    }

    // Uses up what a balancer may ask at once, with packets of flows that nobody has.
    void exhaustQuestionLimit(const std::string &balancer)
    {
        for (std::uint16_t i = 0; i < 200; ++i)
            this->world.fromCaller(balancer, { .source = callerOf(std::uint16_t(40000 + i)),
                                               .destination = booking,
                                               .length = 10,
                                               .flags = tcpflag::ack });
        this->world.run(5ms);
    }

    std::uint64_t questions(const std::string &balancer)
    {
        return this->world.balancer(balancer).balancer->counters().questions;
    }

    World world;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(flowSearch, Fixture)

BOOST_AUTO_TEST_CASE(asksFewAgentsAboutManyFlows)
{
    for (std::uint16_t i = 0; i < 300; ++i)
        BOOST_TEST(!this->world.openFlow("b1", callerOf(i), booking).empty());
    this->world.run(2s);
    this->exhaustQuestionLimit("b2");
    const std::uint64_t before = this->questions("b2");
    for (std::uint16_t i = 0; i < 300; ++i)
        BOOST_TEST(this->world.request("b2", callerOf(i), booking, 3ms));
    // Thirty agents for each of 300 flows would be 9,000.
    BOOST_TEST(this->questions("b2") - before < 1500u);
}

BOOST_AUTO_TEST_CASE(findsAFlowThatIsNewerThanTheReports)
{
    this->exhaustQuestionLimit("b2");
    BOOST_TEST(!this->world.openFlow("b1", callerOf(1), booking).empty());
    BOOST_TEST(this->world.request("b2", callerOf(1), booking, 1s));
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
}

BOOST_AUTO_TEST_CASE(resetsLostFlowsAfterTheNextReports)
{
    this->exhaustQuestionLimit("b2");
    const Endpoint caller = callerOf(std::uint16_t(40199));
    BOOST_TEST(this->world.resetsTo(caller) == 0u);
    this->world.run(1s);
    BOOST_TEST(this->world.resetsTo(caller) == 1u);
    for (int i = 0; i < agents; ++i)
        BOOST_TEST(this->world.agent("a" + std::to_string(i)).server.unknownFlowPackets == 0u);
}

// Balancers and agents restart; only the servers know their flows.
BOOST_AUTO_TEST_CASE(findsManyFlowsThroughChainsOfAgents)
{
    constexpr std::uint16_t flows = 200;
    for (std::uint16_t i = 0; i < flows; ++i)
        BOOST_TEST(!this->world.openFlow("b1", callerOf(i), booking).empty());
    for (int i = 0; i < agents; ++i)
        this->world.restartAgent("a" + std::to_string(i));
    this->world.restartBalancer("b1");
    this->world.run(1500ms);
    this->exhaustQuestionLimit("b1");
    const BalancerCounters &counters = this->world.balancer("b1").balancer->counters();
    const std::uint64_t before = counters.questions + counters.probes;
    int answered = 0;
    for (std::uint16_t i = 0; i < flows; ++i)
        answered += this->world.request("b1", callerOf(i), booking, 10ms) ? 1 : 0;
    // The answers to the last ones are on their way.
    this->world.run(100ms);
    BOOST_TEST(answered >= flows / 2);
    BOOST_TEST(counters.searchesFound >= flows);
    // Two seconds of the limit with a packet for each question, and four chains for each other
    // flow. Thirty questions and thirty packets for each flow would be 12,000.
    BOOST_TEST(counters.questions + counters.probes - before < 2 * 2 * 600 + 4 * flows);
    for (std::uint16_t i = 0; i < flows; ++i)
        BOOST_TEST(this->world.resetsTo(callerOf(i)) == 0u);
}

// A new balancer has the list of agents from a peer before it hears their reports.
BOOST_AUTO_TEST_CASE(asksAgentsThatHaveNotReportedYet)
{
    BOOST_TEST(!this->world.openFlow("b1", callerOf(1), booking).empty());
    this->world.run(1s);
    this->world.restartBalancer("b2");
    Balancer &balancer = *this->world.balancer("b2").balancer;
    while (balancer.agents().possibleOwners().size() < agents)
        this->world.run(250us);
    BOOST_TEST(!balancer.agents().at(0).hasReported());
    this->exhaustQuestionLimit("b2");
    BOOST_TEST(this->world.request("b2", callerOf(1), booking, 100ms));
}

// The rest of a chain is not lost with an agent that has just stopped.
BOOST_AUTO_TEST_CASE(findsAFlowAlthoughAChainBreaksOff)
{
    const std::string owner = this->world.openFlow("b1", callerOf(1), booking);
    for (int i = 0; i < agents; ++i)
        this->world.restartAgent("a" + std::to_string(i));
    this->world.restartBalancer("b1");
    this->world.run(1500ms);
    const std::string stopped = owner == "a7" ? "a8" : "a7";
    this->world.agent(stopped).isUp = false;
    this->exhaustQuestionLimit("b1");
    bool isAnswered = false;
    for (int tries = 0; tries < 6 && !isAnswered; ++tries)
        isAnswered = this->world.request("b1", callerOf(1), booking, 200ms);
    BOOST_TEST(isAnswered);
}

BOOST_AUTO_TEST_CASE(searchesExpire)
{
    for (int i = 0; i < agents; ++i)
        this->world.agent("a" + std::to_string(i)).isUp = false;
    this->world.fromCaller(
            "b1",
            { .source = callerOf(1), .destination = booking, .length = 10, .flags = tcpflag::ack });
    this->world.run(500ms);
    BOOST_TEST(this->world.balancer("b1").balancer->counters().searchesExpired == 1u);
    BOOST_TEST(this->world.resetsTo(callerOf(1)) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

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

BOOST_AUTO_TEST_SUITE_END()

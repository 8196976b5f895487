#include <boost/test/unit_test.hpp>

#include "mesh/meshworld_test.h"

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace cactusdeck::mesh::test;

// The store comes back from a copy: it has lost its latest changes and gives out their revisions
// again. Operators write what was lost again.

namespace {

const Endpoint booking{ 0xC6120001u, 443 };
constexpr std::uint16_t firstAddedPort = 1000;

struct Fixture
{
    Fixture()
    {
        for (int i = 0; i < balancerCount; ++i)
            this->world.addBalancer(nameOf(i), i % 2 == 0 ? "zone-a" : "zone-b");
        this->world.addAgent("a1", "zone-a", "booking");
        this->world.addAgent("a2", "zone-b", "booking");
        this->world.publish(configurationOf(this->routes));
        this->world.run(3s);
    }

    static std::string nameOf(int balancer) { return "b" + std::to_string(balancer); }

    // The operator adds a route.
    void publishRoute()
    {
        const auto port = std::uint16_t(firstAddedPort + this->routes.size());
        this->routes[{ booking.address, port }] = "booking";
        this->last = configurationOf(this->routes);
        this->world.publish(this->last);
    }

    // True if every balancer has the last configuration.
    bool isInForce()
    {
        for (int i = 0; i < balancerCount; ++i) {
            const auto &configuration =
                    this->world.balancer(nameOf(i)).balancer->state().configuration();
            if (configuration == nullptr || configuration->version != this->last.version)
                return false;
        }
        return true;
    }

    static constexpr int balancerCount = 5;
    World world;
    std::map<Endpoint, std::string> routes{ { booking, "booking" } };
    FleetConfiguration last;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(storeRestore, Fixture)

// A configuration that the store had acknowledged after its restore was in force nowhere, because
// its revision was not higher than that of the configuration before the restore.
BOOST_AUTO_TEST_CASE(aChangeAfterARestoreIsInForce)
{
    const World::StoreContent copy = this->world.copyStore();
    for (int change = 0; change < 3; ++change) {
        this->publishRoute();
        this->world.run(1s);
    }
    BOOST_TEST(this->isInForce());
    this->world.isStoreSilent = true;
    this->world.run(2s);
    this->world.isStoreSilent = false;
    this->world.restoreStore(copy);
    this->world.publish(this->last);
    this->world.run(4s);
    this->publishRoute();
    this->world.run(2s);
    BOOST_TEST(this->isInForce());
    BOOST_TEST(this->world.openFlow("b0", callerOf(1), this->routes.rbegin()->first) != "");
}

BOOST_AUTO_TEST_SUITE_END()

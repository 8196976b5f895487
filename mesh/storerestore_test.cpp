#include <boost/test/unit_test.hpp>

#include "mesh/meshworld_test.h"

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace cactusdeck::mesh::test;

// The store comes back from a copy: it has lost its latest changes and gives out their revisions
// again. Operators write what was lost again.

namespace {

const Endpoint booking{ 0xC6120001u, 443 };
const ZoneName zoneB{ "zone-b" }; // of b1, b3 and a2
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

    // The store is silent for 2 s and comes back from the copy.
    void restore(const World::StoreContent &copy)
    {
        this->world.isStoreSilent = true;
        this->world.run(2s);
        this->world.isStoreSilent = false;
        this->world.restoreStore(copy);
    }

    // Some changes of configurations, so that a copy made before has a lower revision.
    void publishRoutes(int count)
    {
        for (int change = 0; change < count; ++change) {
            this->publishRoute();
            this->world.run(1s);
        }
    }

    // True if every balancer takes zone-b for evacuated, or every one for in service.
    bool isEvacuatedEverywhere(bool isExpected = true)
    {
        for (int i = 0; i < balancerCount; ++i) {
            const FleetState &state = this->world.balancer(nameOf(i)).balancer->state();
            if (state.isEvacuated(zoneB, this->world.now) != isExpected)
                return false;
        }
        return true;
    }
    // Opens flows through all balancers, and returns how many the server in zone-b got.
    std::size_t openingsInZoneB()
    {
        const std::size_t before = this->world.agent("a2").server.openings.size();
        for (int i = 0; i < balancerCount; ++i)
            this->world.openFlow(nameOf(i), callerOf(++this->port), booking);
        return this->world.agent("a2").server.openings.size() - before;
    }

    static constexpr int balancerCount = 5;
    std::uint16_t port = 1000;
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
    this->publishRoutes(3);
    BOOST_TEST(this->isInForce());
    this->restore(copy);
    this->world.publish(this->last);
    this->world.run(4s);
    this->publishRoute();
    this->world.run(2s);
    BOOST_TEST(this->isInForce());
    BOOST_TEST(this->world.openFlow("b0", callerOf(1), this->routes.rbegin()->first) != "");
}

// An evacuation that the store had acknowledged after its restore was in force nowhere, because its
// revision was not higher than that of the last evacuation before the restore.
BOOST_AUTO_TEST_CASE(anEvacuationAfterARestoreIsInForce)
{
    const World::StoreContent copy = this->world.copyStore();
    this->publishRoutes(3);
    this->world.setEvacuated({ zoneB });
    this->world.run(2s);
    this->world.setEvacuated({});
    this->world.run(2s);
    this->restore(copy);
    this->world.publish(this->last);
    this->world.run(4s);
    BOOST_TEST(this->isEvacuatedEverywhere(false));
    this->world.setEvacuated({ zoneB });
    this->world.run(2s);
    BOOST_TEST(this->isEvacuatedEverywhere());
    BOOST_TEST(this->openingsInZoneB() == 0u);
}

// A zone stayed out of service after operators had ended its evacuation in the restored store.
BOOST_AUTO_TEST_CASE(aZoneReturnsAfterARestore)
{
    this->world.setEvacuated({ zoneB });
    this->world.run(1s);
    const World::StoreContent copy = this->world.copyStore();
    this->publishRoutes(3);
    this->world.setEvacuated({});
    this->world.run(1s);
    this->world.setEvacuated({ zoneB });
    this->world.run(1s);
    this->restore(copy);
    this->world.publish(this->last);
    this->world.run(4s);
    BOOST_TEST(this->isEvacuatedEverywhere());
    this->world.setEvacuated({});
    this->world.run(2s);
    BOOST_TEST(this->isEvacuatedEverywhere(false));
    BOOST_TEST(this->openingsInZoneB() > 0u);
}

// The restored store does not list an evacuation until operators write it again. Meanwhile the
// evacuated servers must get no flow.
BOOST_AUTO_TEST_CASE(anEvacuationThatTheRestoreLostStaysInForce)
{
    const World::StoreContent copy = this->world.copyStore();
    this->publishRoutes(3);
    this->world.setEvacuated({ zoneB });
    this->world.run(2s);
    this->restore(copy);
    this->world.run(2500ms);
    BOOST_TEST(this->openingsInZoneB() == 0u);
    BOOST_TEST(this->world.agent("a1").server.openings.size() > 0u);
    // An agent does not rely on the balancers, which may have started meanwhile.
    this->world.restartBalancer("b1");
    this->world.run(500ms);
    BOOST_TEST(this->openingsInZoneB() == 0u);
    this->world.publish(this->last);
    this->world.setEvacuated({ zoneB });
    this->world.run(5s);
    BOOST_TEST(this->isEvacuatedEverywhere());
    BOOST_TEST(this->openingsInZoneB() == 0u);
    this->world.setEvacuated({});
    this->world.run(2s);
    BOOST_TEST(this->openingsInZoneB() > 0u);
}

// An evacuation that is not written again ends after the grace, on balancers and agents.
BOOST_AUTO_TEST_CASE(anEvacuationThatIsNotWrittenAgainEnds)
{
    const World::StoreContent copy = this->world.copyStore();
    this->world.setEvacuated({ zoneB });
    this->world.run(2s);
    this->restore(copy);
    this->world.run(6s);
    BOOST_TEST(this->isEvacuatedEverywhere(false));
    BOOST_TEST(this->openingsInZoneB() > 0u);
}

// A balancer that was cut off while the store was restored must not pass on the older evacuations,
// whose revision is higher, to a balancer that starts.
BOOST_AUTO_TEST_CASE(aNodeThatStartsFromAPeerOfTheEarlierEraCatchesUp)
{
    const World::StoreContent copy = this->world.copyStore();
    this->publishRoutes(3);
    this->world.setEvacuated({ zoneB });
    this->world.run(2s);
    for (const char *peer : { "b0", "b1", "b2", "b3" })
        this->world.cut("b4", peer);
    this->world.balancer("b4").hasStore = false;
    this->restore(copy);
    this->world.publish(this->last);
    this->world.run(6s);
    for (const char *peer : { "b1", "b2", "b3" })
        this->world.cut("b0", peer);
    this->world.balancer("b0").hasStore = false;
    this->world.heal("b0", "b4");
    this->world.restartBalancer("b0");
    this->world.run(2s);
    const FleetState &state = this->world.balancer("b0").balancer->state();
    BOOST_TEST(state.isEvacuated(zoneB, this->world.now));
    this->publishRoute();
    for (const char *peer : { "b1", "b2", "b3" })
        this->world.heal("b0", peer);
    this->world.run(6s);
    BOOST_TEST(this->isInForce());
    BOOST_TEST(this->isEvacuatedEverywhere(false));
}

// Probes may be answered from before the restore for some seconds. A watch that was opened
// meanwhile from a revision which the restored store had reached again hid the changes up to that
// revision.
BOOST_AUTO_TEST_CASE(aChangeRightAfterARestoreIsInForceWhileProbesAreOutdated)
{
    const World::StoreContent copy = this->world.copyStore();
    this->publishRoutes(3);
    this->world.probeAge = 4s;
    // Shorter than the time after which other balancers become readers.
    this->world.isStoreSilent = true;
    this->world.run(700ms);
    this->world.isStoreSilent = false;
    this->world.restoreStore(copy);
    this->world.publish(this->last);
    this->publishRoute();
    this->publishRoute();
    this->world.run(3s);
    BOOST_TEST(this->isInForce());
}

// Two restores, the second within the time for which evacuations are held after the first.
BOOST_AUTO_TEST_CASE(anEvacuationStaysInForceAfterTwoRestoresInQuickSuccession)
{
    const World::StoreContent copy = this->world.copyStore();
    this->publishRoutes(3);
    this->world.setEvacuated({ zoneB });
    this->world.run(2s);
    this->world.restoreStore(copy);
    this->world.run(2500ms);
    BOOST_TEST(this->isEvacuatedEverywhere());
    this->world.restoreStore(copy);
    this->world.run(2500ms);
    BOOST_TEST(this->isEvacuatedEverywhere());
    BOOST_TEST(this->openingsInZoneB() == 0u);
}

// A balancer and an agent that start while an evacuation is held.
BOOST_AUTO_TEST_CASE(nodesThatStartAfterARestoreHoldItsLostEvacuations)
{
    const World::StoreContent copy = this->world.copyStore();
    this->publishRoutes(3);
    this->world.setEvacuated({ zoneB });
    this->world.run(2s);
    this->restore(copy);
    this->world.run(1s);
    this->world.restartAgent("a2");
    this->world.restartBalancer("b1");
    this->world.run(1s);
    BOOST_TEST(this->openingsInZoneB() == 0u);
}

// The store is restored between two probes, the watches go silent without an error, and probes are
// answered from before the restore.
BOOST_AUTO_TEST_CASE(aChangeAfterARestoreWithoutAnOutageIsInForceWhileProbesAreOutdated)
{
    const World::StoreContent copy = this->world.copyStore();
    this->publishRoutes(3);
    this->world.probeAge = 4s;
    this->world.restoreStore(copy);
    this->world.publish(this->last);
    this->publishRoute();
    this->world.run(3s);
    BOOST_TEST(this->isInForce());
    const TimePoint start = this->world.now;
    while (!this->isInForce() && this->world.now - start < 20s)
        this->world.run(100ms);
    BOOST_TEST_MESSAGE("hidden for 3 s and " << (this->world.now - start) / 1ms << " ms");
}

BOOST_AUTO_TEST_SUITE_END()

#include "scenario/link.h"

#include <boost/test/unit_test.hpp>

#include "scenario/zone.h"

using namespace cactusdeck;
using namespace cactusdeck::scenario;
using namespace std::chrono_literals;

namespace {

struct LinkFixture
{
    Simulation simulation{ 1 };
    Network network{ this->simulation };
    int arrived = 0;

    void send(const Location &from, const Location &to, Traffic traffic, int count = 1)
    {
        for (int i = 0; i < count; ++i)
            this->network.send(from, to, traffic, [this] { ++this->arrived; });
        this->simulation.runUntil(this->simulation.now() + 1s);
    }
};

const Location first{ "b1", "amman-a" };
const Location second{ "b2", "amman-b" };
const Location sameZone{ "s1", "amman-a" };

} // namespace

BOOST_FIXTURE_TEST_SUITE(LinkTest, LinkFixture)

// Guards against a cut of a zone that also drops traffic within the zone, or that drops data when
// only control is cut.
BOOST_AUTO_TEST_CASE(cutDropsTrafficAcrossZoneBorder)
{
    this->network.cut("amman-a", Traffic::Control);
    this->send(first, second, Traffic::Control);
    this->send(second, first, Traffic::Control);
    BOOST_TEST(this->arrived == 0);
    this->send(first, sameZone, Traffic::Control);
    this->send(first, second, Traffic::Data);
    BOOST_TEST(this->arrived == 2);
    this->network.heal("amman-a", Traffic::Control);
    this->send(first, second, Traffic::Control);
    BOOST_TEST(this->arrived == 3);
}

// Guards against loss and duplication at another rate than the configured one.
BOOST_AUTO_TEST_CASE(lossAndDuplicationRatesAreApplied)
{
    this->network.link(Traffic::Control).loss = 0.2;
    this->send(first, second, Traffic::Control, 10000);
    BOOST_TEST(this->arrived > 7800);
    BOOST_TEST(this->arrived < 8200);
    this->arrived = 0;
    this->network.link(Traffic::Data).duplication = 0.1;
    this->send(first, second, Traffic::Data, 10000);
    BOOST_TEST(this->arrived > 10800);
    BOOST_TEST(this->arrived < 11200);
}

// Guards against a second takeOut() of a zone that is out already restarting the clock, which would
// make the last packet look earlier than it was.
BOOST_AUTO_TEST_CASE(lastPacketCountsFromFirstTakeOut)
{
    Zone zone;
    zone.onPacket(this->simulation.now());
    BOOST_TEST((zone.lastPacket() == 0s));
    const TimePoint out = this->simulation.now();
    zone.takeOut(out);
    zone.onPacket(out + 2s);
    zone.takeOut(out + 3s);
    zone.onPacket(out + 4s);
    BOOST_TEST((zone.lastPacket() == 4s));
    zone.putIn();
    zone.onPacket(out + 9s);
    BOOST_TEST((zone.lastPacket() == 4s));
}

BOOST_AUTO_TEST_SUITE_END()

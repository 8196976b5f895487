#include "mesh/serverwatch.h"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(serverwatch)

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace std::chrono_literals;

namespace {

// Runs all checks that become due before the given time, each with the same outcome. Returns their
// number.
int runChecks(ServerWatch &watch, TimePoint &now, TimePoint until, ConnectOutcome outcome)
{
    int checks = 0;
    for (; now < until; now += 5ms) {
        if (!watch.takeCheck(now))
            continue;
        ++checks;
        watch.onOutcome(outcome, now);
    }
    return checks;
}

} // namespace

BOOST_AUTO_TEST_CASE(refusedTwiceAfterUnansweredPacketsMeansGone)
{
    ServerWatch watch;
    TimePoint now{ 1h };
    watch.start(now);
    watch.onServerHeard();
    BOOST_TEST(runChecks(watch, now, now + 1s, ConnectOutcome::Refused) == 0);
    watch.onPacketSent(now);
    const TimePoint sentAt = now;
    BOOST_TEST(runChecks(watch, now, sentAt + 250ms, ConnectOutcome::Refused) == 1);
    BOOST_TEST(!watch.isGone());
    BOOST_TEST(runChecks(watch, now, sentAt + 400ms, ConnectOutcome::Refused) == 1);
    BOOST_TEST(watch.isGone());
    // Another run has started.
    watch.onServerHeard();
    BOOST_TEST(!watch.isGone());
}

BOOST_AUTO_TEST_CASE(timeoutsAndConnectionsProveNothingAboutAKnownServer)
{
    for (const ConnectOutcome outcome : { ConnectOutcome::TimedOut, ConnectOutcome::Connected }) {
        ServerWatch watch;
        TimePoint now{ 1h };
        watch.start(now);
        watch.onServerHeard();
        watch.onPacketSent(now);
        const int checks = runChecks(watch, now, now + 30s, outcome);
        BOOST_TEST(!watch.isGone());
        BOOST_TEST(checks > 3);
        BOOST_TEST(checks < 9);
        // Refusals count only if they follow one another.
        BOOST_TEST(!watch.onOutcome(ConnectOutcome::Refused, now));
        BOOST_TEST(!watch.onOutcome(outcome, now));
        BOOST_TEST(!watch.onOutcome(ConnectOutcome::Refused, now));
        BOOST_TEST(!watch.isGone());
    }
}

BOOST_AUTO_TEST_CASE(aServerThatWasNeverHeardIsGoneAfterTwoTimeouts)
{
    ServerWatch watch;
    TimePoint now{ 1h };
    watch.start(now);
    BOOST_TEST(watch.takeCheck(now + 300ms));
    BOOST_TEST(!watch.onOutcome(ConnectOutcome::TimedOut, now + 600ms));
    BOOST_TEST(!watch.takeCheck(now + 1000ms));
    BOOST_TEST(watch.takeCheck(now + 1100ms));
    BOOST_TEST(watch.onOutcome(ConnectOutcome::TimedOut, now + 1400ms));
    BOOST_TEST(watch.isGone());
    watch.onServerHeard();
    BOOST_TEST(!watch.isGone());
}

BOOST_AUTO_TEST_CASE(hearingTheServerDuringACheckOverridesItsOutcome)
{
    ServerWatch watch;
    TimePoint now{ 1h };
    watch.start(now);
    BOOST_TEST(watch.takeCheck(now + 300ms));
    BOOST_TEST(!watch.onOutcome(ConnectOutcome::Refused, now + 301ms));
    BOOST_TEST(watch.takeCheck(now + 401ms));
    watch.onServerHeard();
    BOOST_TEST(!watch.onOutcome(ConnectOutcome::Refused, now + 402ms));
    BOOST_TEST(!watch.isGone());
}

BOOST_AUTO_TEST_SUITE_END()

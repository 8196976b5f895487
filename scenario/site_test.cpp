#include <boost/test/unit_test.hpp>

#include "scenario/runner.h"

using namespace cactusdeck;
using namespace cactusdeck::scenario;
using namespace std::chrono_literals;

namespace {

const std::string smallSite = "zone a; zone b; balancer b1 in a; balancer b2 in b\n"
                              "service booking slots 5 connections 100 cold 1\n"
                              "server s1 in a for booking; server s2 in b for booking\n"
                              "sessions 10 on booking every 200ms\n";

Measures measuresOf(const std::string &script, SiteOptions options = {})
{
    Runner runner(parseScenario(smallSite + script + "\nexpect broken = 0"), options);
    runner.run();
    return runner.measures();
}

} // namespace

BOOST_AUTO_TEST_SUITE(SiteTest)

// Guards against a run that passes because it had no traffic.
BOOST_AUTO_TEST_CASE(sessionsRun)
{
    const Measures measures = measuresOf("run 10s");
    BOOST_TEST(measures.at("flows") == 10);
    BOOST_TEST(measures.at("answers") >= 100);
    BOOST_TEST(measures.at("broken") == 0);
    BOOST_TEST(measures.at("accepted") == 1);
}

// Guards against a broken-flow check that cannot fail: the failure of a server must be counted as
// broken flows.
BOOST_AUTO_TEST_CASE(failedServerBreaksFlows)
{
    BOOST_TEST(measuresOf("at 8s fail s1; run 20s").at("broken") >= 1);
}

// Guards against an in_force measure that ignores a machine which the change does not reach.
BOOST_AUTO_TEST_CASE(cutMachineDelaysChange)
{
    const Measures measures =
            measuresOf("at 8s cut s1 control; at 8s publish booking slots 4; run 12s");
    BOOST_TEST(measures.at("in_force") > 2);
}

// Guards against an unstable order of events: runs with the same seed must give equal measures.
BOOST_AUTO_TEST_CASE(sameSeedGivesSameRun)
{
    const std::string script = "loss data 5%; loss control 20%; at 8s fail b1; run 12s";
    BOOST_TEST((measuresOf(script, { .seed = 5 }) == measuresOf(script, { .seed = 5 })));
}

BOOST_AUTO_TEST_SUITE_END()

#include "scenario/statement.h"

#include <boost/test/unit_test.hpp>

#include "scenario/measures.h"

using namespace cactusdeck;
using namespace cactusdeck::scenario;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(StatementTest)

// Guards against a number parsed with the wrong unit, which could weaken the bound of an
// expectation.
BOOST_AUTO_TEST_CASE(unitsAreParsed)
{
    const auto statements = parseScenario("at 1500ms pause b2 3s\n"
                                          "loss control 20%; fetches 50/s on ticket # end\n"
                                          "expect served >= 99.9%");
    BOOST_REQUIRE_EQUAL(statements.size(), 4);
    BOOST_TEST((statements[0].at == 1500ms));
    BOOST_TEST((statements[0].time(2) == 3s));
    BOOST_TEST(statements[1].number(2) == 0.2, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(statements[2].number(1) == 50);
    BOOST_TEST(statements[2].textOption("on", "") == "ticket");
    BOOST_TEST(statements[3].number(3) == 0.999, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(statements[3].line == 3);
}

// Guards against a malformed statement that is silently ignored, so that a scenario checks less
// than it states.
BOOST_AUTO_TEST_CASE(malformedStatementIsRejected)
{
    for (const char *text :
         { "at 5 fail b1", "fail @b1", "5s fail", "at 5x fail b1", "expect broken == 0 !" })
        BOOST_CHECK_THROW(parseScenario(text), ScenarioError);
    BOOST_CHECK_THROW(parseScenario("pause b1 3")[0].time(2), ScenarioError);
    BOOST_CHECK_THROW(parseScenario("pause b1")[0].time(2), ScenarioError);
    BOOST_CHECK_THROW(expectationOf(parseScenario("expect broken 0")[0]), ScenarioError);
}

// Guards against an expectation that passes although the run has no measure of its name.
BOOST_AUTO_TEST_CASE(expectationFailsWithoutItsMeasure)
{
    const auto expectation = expectationOf(parseScenario("expect broken = 0")[0]);
    BOOST_TEST(!expectation.isMet({ { "brokn", 0 } }));
    BOOST_TEST(!expectation.isMet({ { "broken", 1 } }));
    BOOST_TEST(expectation.isMet({ { "broken", 0 } }));
    const auto bound = expectationOf(parseScenario("expect in_force <= 2s")[0]);
    BOOST_TEST(bound.isMet({ { "in_force", 2 } }));
    BOOST_TEST(!bound.isMet({ { "in_force", 2.05 } }));
}

BOOST_AUTO_TEST_SUITE_END()

#include "node/logging.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <unistd.h>

#include "node/outcome.h"

using namespace cactusdeck;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> drainLines(EventLog &log)
{
    std::vector<std::string> lines;
    log.drain([&](Level, const std::string &line) { lines.push_back(line); });
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(logging)

// Guards against values that a parser of the log would take for further keys or lines.
BOOST_AUTO_TEST_CASE(valuesAreQuotedWhenNeeded)
{
    const Event event{ Level::Info,
                       "placed",
                       { { "agent", "agent-1" },
                         { "reason", "home agent" },
                         { "text", "a=\"b\\\"\nevent=forged\x01" },
                         { "empty", "" } } };
    BOOST_TEST(formatEvent(event)
               == "event=placed agent=agent-1 reason=\"home agent\" "
                  "text=\"a=\\\"b\\\\\\\"\\nevent=forged?\" empty=\"\"");
}

// Guards against a queue that grows without limit, and against lines that are dropped without being
// counted and reported.
BOOST_AUTO_TEST_CASE(overflowIsCountedAndReportedOnce)
{
    Metrics metrics;
    EventLog log({ .capacity = 3, .metrics = &metrics });
    for (int i = 0; i < 8; ++i)
        log.push({ Level::Info, "line", {} });
    const auto lines = drainLines(log);
    BOOST_REQUIRE(lines.size() == 4u);
    BOOST_TEST(lines.back() == "event=log_dropped lines=5");
    BOOST_TEST(metrics.count(Counter::LogLinesDropped) == 5u);
    log.push({ Level::Info, "line", {} });
    BOOST_TEST(drainLines(log).size() == 1u);
}

// Guards against a lost wake-up: the first line after a drain must wake the writer again.
BOOST_AUTO_TEST_CASE(writerIsWokenOncePerFilledQueue)
{
    int wakes = 0;
    EventLog log({ .wake = [&] { ++wakes; } });
    log.push({ Level::Info, "a", {} });
    log.push({ Level::Info, "b", {} });
    BOOST_TEST(wakes == 1);
    drainLines(log);
    log.push({ Level::Info, "c", {} });
    BOOST_TEST(wakes == 2);
}

BOOST_AUTO_TEST_CASE(lowerLevelsAreDiscarded)
{
    EventLog log({ .level = Level::Warning });
    log.push({ Level::Info, "a", {} });
    log.push({ Level::Error, "b", {} });
    BOOST_TEST(drainLines(log) == std::vector<std::string>{ "event=b" },
               boost::test_tools::per_element());
}

// Guards against a log that is flooded by a host that sends malformed datagrams.
BOOST_AUTO_TEST_CASE(rateLimiterCountsSuppressedEvents)
{
    LogRateLimiter limit(1s);
    const TimePoint start{};
    std::uint64_t suppressed = 99;
    BOOST_TEST(limit.tryAcquire(start, suppressed));
    BOOST_TEST(suppressed == 0u);
    BOOST_TEST(!limit.tryAcquire(start + 1ms, suppressed));
    BOOST_TEST(!limit.tryAcquire(start + 999ms, suppressed));
    BOOST_TEST(limit.tryAcquire(start + 1s, suppressed));
    BOOST_TEST(suppressed == 2u);
}

// Guards against a target setting that has no effect, and against lines that stay in a buffer
// instead of being written at once.
BOOST_AUTO_TEST_CASE(linesAreWrittenToTheLogFile)
{
    const std::string file = "/tmp/cactusdeck_logging_test_" + std::to_string(getpid()) + ".log";
    BOOST_REQUIRE(outcomeOf([&] { return configureLogging({ .target = file }); }));
    writeLogLine(Level::Warning, "event=test value=%d");
    std::ifstream stream(file);
    std::string line;
    std::getline(stream, line);
    std::remove(file.c_str());
    BOOST_TEST(line.ends_with(" WARNING event=test value=%d"));
    BOOST_REQUIRE(outcomeOf([&] { return configureLogging({}); }));
    const auto bad = outcomeOf([] { return configureLogging({ .target = "/nonexistent/x" }); });
    BOOST_TEST((bad.error.kind == ErrorKind::Io));
}

BOOST_AUTO_TEST_SUITE_END()

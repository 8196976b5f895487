#include "mesh/serverrecord.h"

#include <boost/test/unit_test.hpp>

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace std::chrono_literals;

namespace {

const TimePoint start{ 1h };

Heartbeat heartbeatOf(std::int64_t startedAt, std::uint64_t sequence, bool isDraining = false)
{
    return { .instance = "i-1",
             .startedAt = startedAt,
             .sequence = sequence,
             .slots = 5,
             .isDraining = isDraining };
}

} // namespace

BOOST_AUTO_TEST_SUITE(serverRecord)

BOOST_AUTO_TEST_CASE(knowsNothingBeforeTheFirstHeartbeat)
{
    const ServerRecord record;
    BOOST_TEST(int(record.phase()) == int(ServerPhase::Unknown));
    BOOST_TEST(record.incarnation() == 0u);
}

BOOST_AUTO_TEST_CASE(lateHeartbeatsAreStale)
{
    ServerRecord record;
    record.onHeartbeat(heartbeatOf(1, 5, true), start);
    BOOST_TEST(int(record.onHeartbeat(heartbeatOf(1, 4), start + 1s))
               == int(HeartbeatVerdict::Stale));
    BOOST_TEST(int(record.onHeartbeat(heartbeatOf(1, 5), start + 1s))
               == int(HeartbeatVerdict::Stale));
    BOOST_TEST(int(record.phase()) == int(ServerPhase::Draining));
}

BOOST_AUTO_TEST_CASE(sameInstanceIdWithALaterStartIsAnotherRun)
{
    ServerRecord record;
    record.onHeartbeat(heartbeatOf(1000, 50, true), start);
    const std::uint64_t before = record.incarnation();
    BOOST_TEST(int(record.onHeartbeat(heartbeatOf(1400, 1), start + 1s))
               == int(HeartbeatVerdict::NewServer));
    BOOST_TEST(record.incarnation() != before);
    BOOST_TEST(int(record.phase()) == int(ServerPhase::Ready));
    BOOST_TEST(record.startedAfterAgent());
}

// A run crashed before its first heartbeat arrived; the agent has heard only its successor.
BOOST_AUTO_TEST_CASE(theLateFirstHeartbeatOfACrashedRunChangesNothing)
{
    ServerRecord record;
    record.onHeartbeat(heartbeatOf(1000, 1), start);
    const std::uint64_t current = record.incarnation();
    BOOST_TEST(int(record.onHeartbeat(heartbeatOf(400, 1), start + 1s))
               == int(HeartbeatVerdict::Stale));
    // Not even if the current run's heartbeats are delayed: a late one comes alone.
    BOOST_TEST(int(record.onHeartbeat(heartbeatOf(400, 1), start + 5s))
               == int(HeartbeatVerdict::Stale));
    BOOST_TEST(record.incarnation() == current);
    BOOST_TEST(record.startedAfterAgent());
    BOOST_TEST(int(record.onHeartbeat(heartbeatOf(1000, 2), start + 6s))
               == int(HeartbeatVerdict::Updated));
}

// If the clock was set back, the server that seems to be an earlier run may be cold already.
BOOST_AUTO_TEST_CASE(aRunThatSeemsToBeEarlierMayBeCold)
{
    ServerRecord record;
    record.onHeartbeat(heartbeatOf(1000, 50), start);
    Heartbeat cold = heartbeatOf(400, 1);
    cold.coldFor = 2s;
    record.onHeartbeat(cold, start + 1s);
    BOOST_TEST(record.isCold(start + 2s));
}

BOOST_AUTO_TEST_CASE(aHeartbeatWithoutAStartIsOfTheCurrentRunOfItsInstance)
{
    ServerRecord record;
    record.onHeartbeat(heartbeatOf(1000, 50), start);
    const std::uint64_t current = record.incarnation();
    BOOST_TEST(int(record.onHeartbeat(heartbeatOf(0, 51), start + 1s))
               == int(HeartbeatVerdict::Updated));
    BOOST_TEST(record.incarnation() == current);
    BOOST_TEST(int(record.onHeartbeat(heartbeatOf(1000, 52), start + 2s))
               == int(HeartbeatVerdict::Updated));
}

// The agent has started between the two runs, so it does not know the earlier one.
BOOST_AUTO_TEST_CASE(aDelayedHeartbeatOfAnUnknownEarlierRunIsStale)
{
    ServerRecord record;
    record.onHeartbeat(heartbeatOf(2, 7), start);
    const std::uint64_t current = record.incarnation();
    BOOST_TEST(int(record.onHeartbeat(heartbeatOf(1, 51, true), start + 1s))
               == int(HeartbeatVerdict::Stale));
    BOOST_TEST(record.incarnation() == current);
    BOOST_TEST(int(record.phase()) == int(ServerPhase::Ready));
    BOOST_TEST(!record.startedAfterAgent());
    // Accepted once the current run has been silent for long enough: its clock may be behind.
    BOOST_TEST(int(record.onHeartbeat(heartbeatOf(1, 52), start + 4s))
               == int(HeartbeatVerdict::NewServer));
}

BOOST_AUTO_TEST_CASE(aDelayedHeartbeatDoesNotReplaceTheSuccessor)
{
    ServerRecord record;
    record.onHeartbeat(heartbeatOf(1, 50), start);
    record.onHeartbeat(heartbeatOf(2, 1), start + 1s);
    BOOST_TEST(int(record.onHeartbeat(heartbeatOf(1, 51, true), start + 2s))
               == int(HeartbeatVerdict::Stale));
    BOOST_TEST(int(record.phase()) == int(ServerPhase::Ready));
    // The current run has been silent for long enough, so the earlier one is accepted again.
    BOOST_TEST(int(record.onHeartbeat(heartbeatOf(1, 52), start + 5s))
               == int(HeartbeatVerdict::NewServer));
}

// The heartbeats of a run that was accepted again were stale until it had been silent for 3 s.
BOOST_AUTO_TEST_CASE(aRunThatIsAcceptedAgainIsUpdated)
{
    ServerRecord record;
    record.onHeartbeat(heartbeatOf(1, 50), start);
    record.onHeartbeat(heartbeatOf(2, 1), start + 1s);
    record.onHeartbeat(heartbeatOf(1, 51), start + 4s);
    record.onHeartbeat(heartbeatOf(1, 52), start + 5s);
    BOOST_TEST(int(record.onHeartbeat(heartbeatOf(1, 53, true), start + 6s))
               == int(HeartbeatVerdict::Updated));
    BOOST_TEST(int(record.phase()) == int(ServerPhase::Draining));
}

// After a restart of its agent, a successor's first heartbeat may be lost and its clock may be set
// back; it is believed once the earlier run is silent.
BOOST_AUTO_TEST_CASE(aSuccessorThatSeemsToBeEarlierIsAcceptedAfterSilence)
{
    ServerRecord record;
    record.onHeartbeat(heartbeatOf(1000, 50), start);
    BOOST_TEST(int(record.onHeartbeat(heartbeatOf(400, 2), start + 1s))
               == int(HeartbeatVerdict::Stale));
    BOOST_TEST(int(record.onHeartbeat(heartbeatOf(400, 4), start + 3s))
               == int(HeartbeatVerdict::NewServer));
    // It may have flows from before its first heartbeat here.
    BOOST_TEST(!record.startedAfterAgent());
}

BOOST_AUTO_TEST_CASE(earlierFlowsAreRuledOutByTheFirstHeartbeatOnly)
{
    ServerRecord first;
    first.onHeartbeat(heartbeatOf(1, 1), start);
    BOOST_TEST(first.startedAfterAgent());
    ServerRecord later;
    later.onHeartbeat(heartbeatOf(1, 2), start);
    BOOST_TEST(!later.startedAfterAgent());
}

// A machine has come back from a loss of power; its server was 60 ms faster than its agent, which
// therefore missed the first heartbeat.
BOOST_AUTO_TEST_CASE(aServerThatStartedJustBeforeItsAgentHasNoEarlierFlows)
{
    ServerRecord record;
    record.start(start);
    Heartbeat heartbeat = heartbeatOf(1, 2);
    heartbeat.age = 1260ms;
    record.onHeartbeat(heartbeat, start + 1200ms);
    BOOST_TEST(record.startedAfterAgent());
}

BOOST_AUTO_TEST_CASE(aServerThatAnEarlierAgentMayHaveServedMayHaveEarlierFlows)
{
    const auto startedAfterAgent = [](std::uint64_t sequence, std::chrono::milliseconds age) {
        ServerRecord record;
        record.start(start);
        Heartbeat heartbeat = heartbeatOf(1, sequence);
        heartbeat.age = age;
        record.onHeartbeat(heartbeat, start + 1200ms);
        return record.startedAfterAgent();
    };
    BOOST_TEST(!startedAfterAgent(2, 2000ms));
    // The machine's clock was set back, to about the server's start or to before it.
    BOOST_TEST(!startedAfterAgent(40, 1260ms));
    BOOST_TEST(!startedAfterAgent(2, -500ms));
}

BOOST_AUTO_TEST_CASE(deregistrationEndsThePresentRunOnly)
{
    ServerRecord record;
    record.onHeartbeat(heartbeatOf(2, 5), start);
    BOOST_TEST(!record.onDeregister("i-1", 1));
    BOOST_TEST(!record.onDeregister("i-2", 2));
    BOOST_TEST(int(record.phase()) == int(ServerPhase::Ready));
    BOOST_TEST(record.onDeregister("i-1", 0));
    BOOST_TEST(int(record.phase()) == int(ServerPhase::Ended));
    // A heartbeat that overtook the deregistration does not bring the server back.
    record.onHeartbeat(heartbeatOf(2, 6), start + 1s);
    BOOST_TEST(int(record.phase()) == int(ServerPhase::Ended));
}

BOOST_AUTO_TEST_CASE(coldTimeCountsFromTheHeartbeat)
{
    ServerRecord record;
    Heartbeat heartbeat = heartbeatOf(1, 1);
    heartbeat.coldFor = 2s;
    record.onHeartbeat(heartbeat, start);
    BOOST_TEST(record.isCold(start + 1900ms));
    BOOST_TEST(!record.isCold(start + 2s));
    // A server can become cold again without a restart.
    heartbeat.sequence = 2;
    record.onHeartbeat(heartbeat, start + 10s);
    BOOST_TEST(record.isCold(start + 11s));
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include <cmath>

#include "mesh/agentdirectory.h"
#include "mesh/coldstartlimiter.h"
#include "mesh/expectedwait.h"
#include "mesh/latencyhistogram.h"
#include "mesh/serverload.h"

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace std::chrono_literals;

// The choice of a backend server for a new flow by expected cost: wait and service time, plus the
// cost of leaving the failure domain.

namespace {

const TimePoint start{ 1h };
const ServiceName booking{ "booking" };

AgentReport reportOf(const std::string &zone, std::uint32_t flows,
                     std::chrono::microseconds serviceTime = 30ms)
{
    return { .name = NodeId{ zone + std::to_string(flows) },
             .zone = ZoneName{ zone },
             .service = booking,
             .serverIncarnation = 1,
             .phase = ServerPhase::Ready,
             .slots = 5,
             .flows = flows,
             .requestsPerSecond = double(flows),
             .serviceTime = serviceTime,
             .responseBytes = 2000,
             .interval = 500ms };
}

Endpoint host(std::uint32_t number)
{
    return { number, 7000 };
}

struct Fixture
{
    AgentDirectory directory{ { .zone = ZoneName{ "a" }, .costPerKilobyte = 5ms } };
    FleetState state;

    AgentIndex best(TimePoint now = start)
    {
        return this->directory.candidates(booking, this->state, 7, now).at(0).agent;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(meshPlacement, Fixture)

BOOST_AUTO_TEST_CASE(expectedCostAlwaysGrowsWithLoad)
{
    Duration last{};
    for (int flows = 0; flows < 400; flows += 10) {
        const Duration cost = expectedCost(
                { .slots = 5, .flows = double(flows), .serviceTime = 30ms, .requestsPerFlow = 1 });
        BOOST_TEST((cost > last));
        last = cost;
    }
    BOOST_TEST((last > 500ms));
}

BOOST_AUTO_TEST_CASE(staysInTheZoneWhileTheWaitIsShort)
{
    this->directory.onReport(reportOf("a", 40), host(1), start);
    this->directory.onReport(reportOf("b", 0), host(2), start);
    BOOST_TEST(this->best() == 0);
}

// Load pattern: a zone that has one slow server and a quarter of the callers.
BOOST_AUTO_TEST_CASE(leavesTheZoneWhenTheWaitCostsMoreThanTheBytes)
{
    this->directory.onReport(reportOf("a", 160), host(1), start);
    this->directory.onReport(reportOf("b", 20), host(2), start);
    BOOST_TEST(this->best() == 1);
}

BOOST_AUTO_TEST_CASE(fasterServersGetMoreFlows)
{
    this->directory.onReport(reportOf("a", 0, 20ms), host(1), start);
    this->directory.onReport(reportOf("a", 0, 45ms), host(2), start);
    int fast = 0;
    constexpr int flows = 400; // 1.6 times the capacity of the fast server
    for (int i = 0; i < flows; ++i) {
        const AgentIndex chosen =
                this->directory.candidates(booking, this->state, std::uint64_t(i), start)
                        .at(0)
                        .agent;
        this->directory.onPlaced(chosen, start);
        this->directory.onHeard(host(chosen + 1u), start);
        fast += chosen == 0 ? 1 : 0;
    }
    BOOST_TEST(fast > flows * 6 / 10);
    BOOST_TEST(fast < flows * 8 / 10);
}

// A server that refuses requests immediately has a short service time. It must not get every flow.
BOOST_AUTO_TEST_CASE(aServerThatFailsFastDoesNotGetEveryFlow)
{
    const auto flowsOfFirst = [&](std::chrono::microseconds serviceTime) {
        for (std::uint32_t i = 0; i < 10; ++i)
            this->directory.onReport(reportOf("a", 10, i == 0 ? serviceTime : 60ms), host(i + 1),
                                     start);
        int flows = 0;
        for (std::uint64_t flow = 0; flow < 300; ++flow) {
            const auto order = this->directory.candidates(booking, this->state, flow * 7919, start);
            flows += order.front().agent == 0 ? 1 : 0;
            this->directory.onPlaced(order.front().agent, start);
        }
        return flows;
    };
    // Service times below half of the mean count as half of it, so the server gets about as many
    // flows as one of twice the speed. The bound allows a tenth more, since the outlier lowers the
    // mean, and with it that lower bound, by a tenth.
    BOOST_TEST(flowsOfFirst(1ms) <= flowsOfFirst(27ms) * 1.1);
    BOOST_TEST(flowsOfFirst(1ms) < 300);
}

BOOST_AUTO_TEST_CASE(equalServersGetEqualFlows)
{
    for (std::uint32_t i = 1; i <= 4; ++i)
        this->directory.onReport(reportOf("a", 10), host(i), start);
    std::array<int, 4> placed{};
    for (int i = 0; i < 400; ++i) {
        const AgentIndex chosen =
                this->directory.candidates(booking, this->state, std::uint64_t(i) * 7919, start)
                        .at(0)
                        .agent;
        this->directory.onPlaced(chosen, start);
        this->directory.onHeard(host(chosen + 1u), start);
        ++placed[chosen];
    }
    for (const int count : placed)
        BOOST_TEST(std::abs(count - 100) <= 10);
}

BOOST_AUTO_TEST_CASE(silentAgentsComeLast)
{
    this->directory.onReport(reportOf("a", 0), host(1), start);
    this->directory.onReport(reportOf("b", 30), host(2), start + 2s);
    BOOST_TEST(this->best(start + 2s) == 1);
    BOOST_TEST(this->directory.candidates(booking, this->state, 7, start + 2s).size() == 2u);
}

BOOST_AUTO_TEST_CASE(anAgentThatIgnoresOpeningPacketsComesLast)
{
    this->directory.onReport(reportOf("a", 0), host(1), start);
    this->directory.onReport(reportOf("b", 30), host(2), start);
    this->directory.onPlaced(0, start + 10ms);
    this->directory.onPlaced(0, start + 20ms);
    BOOST_TEST(this->best(start + 100ms) == 0);
    BOOST_TEST(this->best(start + 200ms) == 1);
    this->directory.onHeard(host(1), start + 250ms);
    BOOST_TEST(this->best(start + 260ms) == 0);
}

BOOST_AUTO_TEST_CASE(onlyReadyServersInServiceAreCandidates)
{
    AgentReport draining = reportOf("a", 0);
    draining.phase = ServerPhase::Draining;
    this->directory.onReport(draining, host(1), start);
    this->directory.onReport(reportOf("b", 0), host(2), start);
    this->state.adoptEvacuations({ .era = 1, .revision = 3 }, { ZoneName{ "b" } }, start);
    BOOST_TEST(this->directory.candidates(booking, this->state, 7, start).empty());
}

BOOST_AUTO_TEST_CASE(ownerStateFollowsTheServer)
{
    this->directory.onReport(reportOf("a", 0), host(1), start);
    BOOST_TEST(int(this->directory.ownerState(0, 0)) == int(OwnerState::Present));
    // After a long silence the agent is removed; whether its flows still exist is not known.
    this->directory.forgetSilent(start + 60s);
    BOOST_TEST(int(this->directory.ownerState(0, 0)) == int(OwnerState::Lost));
    this->directory.onReport(reportOf("a", 0), host(1), start + 61s);
    BOOST_TEST(int(this->directory.ownerState(0, 0)) == int(OwnerState::Present));
    AgentReport restarted = reportOf("a", 0);
    restarted.serverIncarnation = 2;
    this->directory.onReport(restarted, host(1), start + 62s);
    BOOST_TEST(int(this->directory.ownerState(0, 0)) == int(OwnerState::Ended));
    BOOST_TEST(int(this->directory.ownerState(0, 1)) == int(OwnerState::Present));
}

// Until the next heartbeat, a restarted agent reports no server run. The balancer must not conclude
// that the server's flows have ended.
BOOST_AUTO_TEST_CASE(anAgentRestartEndsNoFlow)
{
    this->directory.onReport(reportOf("a", 0), host(1), start);
    AgentReport restarted = reportOf("a", 0);
    restarted.serverIncarnation = 0;
    restarted.phase = ServerPhase::Unknown;
    this->directory.onReport(restarted, host(1), start + 1s);
    this->directory.onReport(reportOf("a", 0), host(1), start + 2s);
    BOOST_TEST(int(this->directory.ownerState(0, 0)) == int(OwnerState::Present));
}

BOOST_AUTO_TEST_CASE(coldStartLimiterBoundsEverySecond)
{
    ColdStartLimiter limiter;
    std::vector<TimePoint> admitted;
    for (TimePoint now = start; now < start + 5s; now += 10ms) {
        if (!limiter.mayAdmit(3, now))
            continue;
        limiter.add(now);
        admitted.push_back(now);
    }
    for (std::size_t i = 3; i < admitted.size(); ++i)
        BOOST_TEST((admitted[i] - admitted[i - 3] > 1s));
    BOOST_TEST(admitted.size() >= 12u);
}

BOOST_AUTO_TEST_CASE(coldStartLimiterAdmitsEverythingWithoutALimit)
{
    ColdStartLimiter limiter;
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(limiter.mayAdmit(0, start));
        limiter.add(start);
    }
}

BOOST_AUTO_TEST_CASE(serviceTimeExcludesQueueing)
{
    ServerLoad load;
    TimePoint now = start;
    for (int i = 0; i < 64; ++i) {
        now += 40ms;
        load.onResponse(120ms, 9, 5, now); // ten requests on five slots
    }
    BOOST_TEST((load.serviceTime() == 60ms));
}

BOOST_AUTO_TEST_CASE(serviceTimeNeedsEnoughSamples)
{
    ServerLoad load;
    load.reset(start);
    for (int i = 1; i <= 7; ++i)
        load.onResponse(2ms, load.onRequest(start), 5, start + 2ms);
    BOOST_TEST((load.serviceTime() == Duration::zero()));
    load.onResponse(2ms, load.onRequest(start), 5, start + 2ms);
    BOOST_TEST((load.serviceTime() == 2ms));
}

BOOST_AUTO_TEST_CASE(histogramCountsEveryTime)
{
    LatencyHistogram histogram;
    for (const Duration time : { Duration(10us), Duration(30ms), Duration(31ms), Duration(20s) })
        histogram.add(time);
    const std::vector<LatencyHistogram::Bucket> buckets = histogram.cumulative();
    BOOST_TEST(buckets.front().count == 1u);
    BOOST_TEST(std::isinf(buckets.back().below.count()));
    BOOST_TEST(buckets.back().count == 4u);
    for (const LatencyHistogram::Bucket &bucket : buckets) {
        if (bucket.below.count() > 0.05 && bucket.below.count() < 8)
            BOOST_TEST(bucket.count == 3u);
    }
}

BOOST_AUTO_TEST_CASE(loadFollowsRequestsInProgress)
{
    ServerLoad load;
    BOOST_TEST(load.onRequest(start) == 0u);
    BOOST_TEST(load.onRequest(start) == 1u);
    BOOST_TEST(load.meanInProgress(start + 5s) > 1.9);
    load.onResponse(10ms, 0, 5, start + 5s);
    load.onAbandoned(start + 5s);
    BOOST_TEST(load.inProgress() == 0u);
    BOOST_TEST(load.meanInProgress(start + 10s) < 0.1);
    load.onAbandoned(start + 10s);
    BOOST_TEST(load.inProgress() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

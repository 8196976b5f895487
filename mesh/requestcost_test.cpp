#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

#include "mesh/agentdirectory.h"
#include "mesh/requestcost.h"
#include "mesh/servicestarts.h"

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace std::chrono_literals;

// What requests cost by route, and the choice of a server by it.

namespace {

const TimePoint start{ 1h };
const Endpoint feed{ 0xC6120001u, 443 };
const Endpoint booking{ 0xC6120001u, 444 };
const ServiceName service{ "desk" };

RouteLoad loadOf(Endpoint route, std::uint32_t flows, double rate,
                 std::chrono::microseconds serviceTime, std::uint32_t samples = 128)
{
    return { .route = route,
             .flows = flows,
             .requestsPerSecond = rate,
             .serviceTime = serviceTime,
             .samples = samples };
}

// Service times of a route whose requests cost seven times the usual in three of a hundred cases.
class HeavyTail
{
public:
    explicit HeavyTail(std::uint32_t seed)
        : random(seed)
    { }
    std::chrono::microseconds next(std::chrono::microseconds mean)
    {
        const double tail = this->uniform(this->random) < 0.03 ? 7 : 1;
        return std::chrono::microseconds(
                std::int64_t(double(mean.count()) * tail * this->spread(this->random)));
    }

private:
    std::mt19937 random;
    std::uniform_real_distribution<double> uniform{ 0, 1 };
    std::lognormal_distribution<double> spread{ -0.125, 0.5 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(requestCost)

// Load pattern: a server with two slots gets eight requests at once.
BOOST_AUTO_TEST_CASE(queueingIsNoPartOfTheServiceTime)
{
    ServiceStarts starts;
    std::vector<std::uint64_t> requests(8);
    for (std::uint64_t &request : requests)
        request = starts.onRequest(2, start);
    for (std::size_t i = 0; i < requests.size(); ++i) {
        const auto time = starts.onAnswer(requests[i], 2, start + 20ms * (i / 2 + 1));
        BOOST_REQUIRE(time.has_value());
        BOOST_TEST((*time == 20ms));
    }
}

// Load pattern: equal servers, requests with a heavy tail.
BOOST_AUTO_TEST_CASE(equalServersSeemEquallyFastInSpiteOfAHeavyTail)
{
    HeavyTail times(1);
    std::vector<std::vector<RouteLoad>> servers;
    ServiceCosts costs;
    for (int server = 0; server < 40; ++server) {
        RouteCosts measured;
        measured.onFlowOpened(feed);
        for (int i = 0; i < 400; ++i)
            measured.onAnswer(feed, times.next(19ms));
        servers.push_back(measured.loads(start));
        costs.add(servers.back());
    }
    costs.finish();
    for (const std::vector<RouteLoad> &loads : servers)
        BOOST_TEST(std::abs(costs.slownessOf(loads) - 1) < 0.35);
}

// Load pattern: a server that turns five times slower.
BOOST_AUTO_TEST_CASE(noticesAServerThatTurnsSlowWithinSomeRequests)
{
    RouteCosts measured;
    for (int i = 0; i < 200; ++i)
        measured.onAnswer(feed, 20ms);
    for (int i = 0; i < 12; ++i)
        measured.onAnswer(feed, 100ms);
    BOOST_TEST((measured.loads(start).at(0).serviceTime > 70ms));
}

BOOST_AUTO_TEST_CASE(aServerThatGetsTheExpensiveRouteIsNotSlow)
{
    const std::vector<RouteLoad> cheap{ loadOf(feed, 40, 20, 4ms) };
    const std::vector<RouteLoad> expensive{ loadOf(booking, 40, 20, 29ms) };
    const std::vector<RouteLoad> slow{ loadOf(feed, 40, 20, 12ms) };
    ServiceCosts costs;
    for (int i = 0; i < 5; ++i) {
        costs.add(cheap);
        costs.add(expensive);
    }
    costs.finish();
    BOOST_TEST(std::abs(costs.slownessOf(expensive) - 1) < 0.05);
    BOOST_TEST(std::abs(costs.slownessOf(cheap) - 1) < 0.05);
    BOOST_TEST(costs.slownessOf(slow) > 1.5);
    BOOST_TEST(costs.loadOf(expensive) > costs.loadOf(cheap) * 5);
}

// Load pattern: flows of an expensive and of a cheap route, on servers with equal numbers of flows.
BOOST_AUTO_TEST_CASE(prefersTheServerWithLessWorkOverTheOneWithFewerFlows)
{
    AgentDirectory directory({ .zone = ZoneName{ "a" }, .requestSchedulingMaxSlots = 2 });
    const auto report = [&](std::uint32_t host, const std::vector<RouteLoad> &routes) {
        AgentReport agent{ .name = NodeId{ std::to_string(host) },
                           .zone = ZoneName{ "a" },
                           .service = service,
                           .serverIncarnation = 1,
                           .phase = ServerPhase::Ready,
                           .slots = 2,
                           .interval = 500ms,
                           .routes = routes };
        for (const RouteLoad &load : routes)
            agent.flows += load.flows;
        directory.onReport(agent, { host, 7000 }, start);
    };
    report(1, { loadOf(booking, 10, 50, 29ms) });
    report(2, { loadOf(feed, 20, 100, 4ms) });
    FleetState state;
    for (std::uint64_t flow = 0; flow < 20; ++flow)
        BOOST_TEST(directory.choose(service, feed, state, flow * 7919, start).order.front().agent
                   == 1);
}

// Load pattern: a herd of callers opens flows in half a second, through eight balancers that all
// know the same reports.
BOOST_AUTO_TEST_CASE(balancersThatKnowTheSameReportsDoNotAllChooseOneServer)
{
    constexpr std::uint32_t servers = 16;
    constexpr int balancers = 8;
    constexpr int flowsOfEach = 40;
    const auto busiestOverMean = [&](std::uint32_t maxSlots) {
        std::vector<int> placed(servers);
        for (int balancer = 0; balancer < balancers; ++balancer) {
            AgentDirectory directory(
                    { .zone = ZoneName{ "a" }, .requestSchedulingMaxSlots = maxSlots });
            for (std::uint32_t i = 0; i < servers; ++i)
                directory.onReport({ .name = NodeId{ std::to_string(i) },
                                     .zone = ZoneName{ "a" },
                                     .service = service,
                                     .serverIncarnation = 1,
                                     .phase = ServerPhase::Ready,
                                     .slots = 2,
                                     .flows = 20 + (i * 7) % 5,
                                     .requestsPerSecond = 20,
                                     .serviceTime = std::chrono::milliseconds(17 + i % 5),
                                     .interval = 500ms,
                                     .routes = { loadOf(feed, 20 + (i * 7) % 5, 20,
                                                        std::chrono::milliseconds(17 + i % 5)) } },
                                   { i + 1, 7000 }, start);
            FleetState state;
            for (int i = 0; i < flowsOfEach; ++i) {
                const std::uint64_t flow = std::uint64_t(balancer * 1000 + i) * 0x9E3779B97F4A7C15u;
                const auto choice = directory.choose(service, feed, state, flow, start);
                const AgentIndex chosen = choice.order.front().agent;
                directory.onPlaced(chosen, start, choice.work);
                directory.onHeard({ chosen + 1u, 7000 }, start);
                ++placed[chosen];
            }
        }
        const double mean = double(balancers * flowsOfEach) / servers;
        return *std::max_element(placed.begin(), placed.end()) / mean;
    };
    const double before = busiestOverMean(0);
    const double now = busiestOverMean(2);
    BOOST_TEST_MESSAGE("busiest over mean: " << before << " without costs, " << now << " with");
    BOOST_TEST(now < 1.6);
    BOOST_TEST(now < before);
}

// A small model of a service: flows of two routes with unlike costs and a heavy tail, on servers of
// unlike speed, placed through balancers whose reports are half a second old.
namespace {

struct Result
{
    std::chrono::milliseconds p99{ 0 };
    double busiestOverMean = 0; // of the time for which servers were busy
};

class Herd
{
public:
    explicit Herd(std::uint32_t maxSlots)
    {
        for (int i = 0; i < balancerCount; ++i)
            this->balancers.push_back(AgentDirectory(
                    { .zone = ZoneName{ "a" }, .requestSchedulingMaxSlots = maxSlots }));
        for (std::uint32_t i = 0; i < serverCount; ++i)
            this->servers.push_back(
                    { .slowness = i % 4 == 3 ? 1.7 : 0.8, .freeAt = { start, start } });
    }

    Result run()
    {
        std::mt19937 random(7);
        std::exponential_distribution<double> gap(flowsPerSecond);
        std::vector<std::chrono::microseconds> waits;
        TimePoint nextReport = start;
        for (TimePoint now = start; now < start + 10s;) {
            for (; nextReport <= now; nextReport += 500ms)
                this->report(nextReport);
            const bool isCheap = random() % 2 == 0;
            const Endpoint route = isCheap ? feed : booking;
            const std::size_t server = this->place(route, random() % balancerCount, random(), now);
            waits.push_back(this->serve(server, route, isCheap ? 4ms : 29ms, now));
            now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
        }
        std::sort(waits.begin(), waits.end());
        Result result{ .p99 = std::chrono::duration_cast<std::chrono::milliseconds>(
                               waits[waits.size() * 99 / 100]) };
        Duration total{};
        Duration busiest{};
        for (const Server &server : this->servers) {
            total += server.busy;
            busiest = std::max(busiest, server.busy);
        }
        result.busiestOverMean = double(busiest.count()) * serverCount / double(total.count());
        return result;
    }

private:
    static constexpr int balancerCount = 6;
    static constexpr std::uint32_t serverCount = 16;
    static constexpr double flowsPerSecond = 1200; // about 70% of the capacity

    struct Server
    {
        double slowness = 1;
        std::array<TimePoint, 2> freeAt;
        Duration busy{};
        RouteCosts costs;
        std::vector<std::pair<TimePoint, Endpoint>> ends; // of the requests in progress
    };

    std::size_t place(Endpoint route, std::size_t balancer, std::uint64_t seed, TimePoint now)
    {
        AgentDirectory &directory = this->balancers[balancer];
        const auto choice =
                directory.choose(service, route, this->state, seed * 0x9E3779B97F4A7C15u, now);
        const AgentIndex chosen = choice.order.front().agent;
        directory.onPlaced(chosen, now, choice.work);
        directory.onHeard({ chosen + 1u, 7000 }, now);
        return chosen;
    }

    std::chrono::microseconds serve(std::size_t index, Endpoint route,
                                    std::chrono::microseconds work, TimePoint now)
    {
        Server &server = this->servers[index];
        TimePoint &slot = *std::min_element(server.freeAt.begin(), server.freeAt.end());
        const auto time = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(this->times.next(work)) * server.slowness);
        slot = std::max(slot, now) + time;
        server.busy += time;
        server.costs.onFlowOpened(route);
        server.costs.onRequest(route, now);
        server.costs.onAnswer(route, time);
        server.ends.push_back({ slot, route });
        return std::chrono::duration_cast<std::chrono::microseconds>(slot - now);
    }

    void report(TimePoint now)
    {
        for (std::uint32_t i = 0; i < serverCount; ++i) {
            Server &server = this->servers[i];
            std::erase_if(server.ends, [&](const auto &end) {
                if (end.first <= now)
                    server.costs.onFlowEnded(end.second);
                return end.first <= now;
            });
            AgentReport report{ .name = NodeId{ std::to_string(i) },
                                .zone = ZoneName{ "a" },
                                .service = service,
                                .serverIncarnation = 1,
                                .phase = ServerPhase::Ready,
                                .slots = 2,
                                .flows = std::uint32_t(server.ends.size()),
                                .requestsInProgress = double(server.ends.size()),
                                .interval = 500ms,
                                .routes = server.costs.loads(now) };
            double seconds = 0;
            for (const RouteLoad &load : report.routes) {
                report.requestsPerSecond += load.requestsPerSecond;
                seconds += load.requestsPerSecond
                           * std::chrono::duration<double>(load.serviceTime).count();
            }
            if (report.requestsPerSecond > 0)
                report.serviceTime = std::chrono::microseconds(
                        std::int64_t(1e6 * seconds / report.requestsPerSecond));
            for (AgentDirectory &directory : this->balancers)
                directory.onReport(report, { i + 1, 7000 }, now);
        }
    }

    std::vector<AgentDirectory> balancers;
    std::vector<Server> servers;
    FleetState state;
    HeavyTail times{ 3 };
};

} // namespace

BOOST_AUTO_TEST_CASE(waitsAreShorterThanWithoutCostsUnderAHeavyTailAndOldReports)
{
    const Result before = Herd(0).run();
    const Result now = Herd(2).run();
    BOOST_TEST_MESSAGE("p99 " << before.p99.count() << " ms, busiest over mean "
                              << before.busiestOverMean << " without costs; " << now.p99.count()
                              << " ms, " << now.busiestOverMean << " with");
    BOOST_TEST((now.p99 * 2 < before.p99));
    BOOST_TEST(now.busiestOverMean < 1.35);
}

BOOST_AUTO_TEST_SUITE_END()

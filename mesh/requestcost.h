#ifndef CACTUSDECK_MESH_REQUESTCOST_H
#define CACTUSDECK_MESH_REQUESTCOST_H

#include <cstdint>
#include <map>
#include <vector>

#include "core/types.h"

// What requests cost, by route. An agent measures the requests of its server; a balancer combines
// the measurements of a service's servers, so that it can tell an expensive request from a cheap
// one and a slow server from one that had expensive requests.
//
//     RouteCosts costs;                                // at the agent
//     costs.onFlowOpened(route);
//     costs.onRequest(route, now);
//     costs.onAnswer(route, serviceTime);
//     report.routes = costs.loads(now);
//
//     ServiceCosts service;                            // at the balancer
//     for (const AgentReport &report : ...) service.add(report.routes);
//     service.finish();
//     const double slowness = service.slownessOf(report.routes);

namespace cactusdeck::mesh {

// The load that the flows of one route put on one server.
struct RouteLoad
{
    Endpoint route; // the address that callers use
    std::uint32_t flows = 0; // open
    double requestsPerSecond = 0;
    std::chrono::microseconds serviceTime{ 0 }; // mean of one request without queueing
    std::uint32_t samples = 0; // that the mean is of, at most RouteCosts::maxSamples
};

class RouteCosts
{
public:
    // The mean follows the last samples. With half of them, the speeds of equal servers would seem
    // to differ by a tenth where one request in thirty takes seven times as long as the others.
    static constexpr std::uint32_t maxSamples = 128;
    // Routes in a report; the busiest ones. One takes 20 bytes.
    static constexpr std::size_t maxReportedRoutes = 6;

    void onFlowOpened(Endpoint route) { ++this->routes[route].flows; }
    void onFlowEnded(Endpoint route);
    void onRequest(Endpoint route, TimePoint now);
    // The time that the request would have taken without queueing.
    void onAnswer(Endpoint route, Duration serviceTime);
    // For a new run of the server, which may be of another speed. The flows stay counted.
    void restart(TimePoint now);

    std::vector<RouteLoad> loads(TimePoint now) const;
    // The mean service time of the route's requests; zero if none has been measured.
    Duration serviceTimeOf(Endpoint route) const;
    // The same over all routes.
    Duration meanServiceTime() const;

private:
    static constexpr std::chrono::milliseconds rateTimeConstant{ 2000 };
    // A sample counts as at most this many times the mean, so that one very long request does not
    // make a server look slow.
    static constexpr std::int64_t maxSampleShare = 4;
    // The limit above applies from this number of samples on.
    static constexpr std::uint32_t minSamplesToBound = 8;
    // The latest samples show that a server has become slower or faster before the mean does. They
    // replace it if the two differ by more than this factor.
    static constexpr std::int64_t changeFactor = 2;
    static constexpr std::uint32_t recentSamples = 8;

    struct Entry
    {
        std::uint32_t flows = 0;
        double rate = 0; // requests per second
        TimePoint rateAt{};
        Duration mean{};
        Duration recentMean{}; // of about the last recentSamples
        std::uint32_t samples = 0;
    };

    static double rateAt(const Entry &entry, TimePoint now);

    std::map<Endpoint, Entry> routes;
};

// The costs of one service's requests, over all of its servers.
class ServiceCosts
{
public:
    struct Route
    {
        Duration work{}; // mean service time of a request at a server of mean speed
        double requestsPerFlow = 0; // per second, while a flow is open
    };

    void add(const std::vector<RouteLoad> &loads);
    // Must be called after the last add and before any of the functions below.
    void finish();

    // False if no server has stated its routes.
    bool isKnown() const { return !this->routes.empty(); }
    // For a route that is not known, the mean of the service.
    Route routeOf(Endpoint route) const;
    // How much longer than the mean server's a server's requests of the same routes take. Close to
    // 1 while there are few measurements.
    double slownessOf(const std::vector<RouteLoad> &loads) const;
    // The slots that a server's flows are expected to use in the mean, at mean speed.
    double loadOf(const std::vector<RouteLoad> &loads) const;
    // The service time of the service's mean request.
    Duration meanWork() const { return this->mean; }

private:
    // Per second. Bounds the quotient when flows are short, with one request each.
    static constexpr double maxRequestsPerFlow = 50;
    // A server's own measurements count as much as the mean's with this number of samples.
    static constexpr double priorSamples = 16;
    // Bounds of slownessOf. A server that seems faster than the lower one is probably failing
    // requests: in the known deployments, speeds differ by a factor of 2.4 at most.
    static constexpr double minSlowness = 0.5;
    static constexpr double maxSlowness = 16;

    struct Total
    {
        double flows = 0;
        double requestsPerSecond = 0;
        double samples = 0;
        double seconds = 0; // of all samples
        Route result;
    };

    std::map<Endpoint, Total> routes;
    Duration mean{};
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_REQUESTCOST_H

#include "mesh/requestcost.h"

#include <algorithm>
#include <cmath>

namespace cactusdeck::mesh {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

double RouteCosts::rateAt(const Entry &entry, TimePoint now)
{
    const Seconds passed = std::max(now - entry.rateAt, Duration::zero());
    return entry.rate * std::exp(-passed / Seconds(rateTimeConstant));
}

void RouteCosts::onFlowEnded(Endpoint route)
{
    const auto it = this->routes.find(route);
    if (it != this->routes.end() && it->second.flows > 0)
        --it->second.flows;
}

void RouteCosts::onRequest(Endpoint route, TimePoint now)
{
    Entry &entry = this->routes[route];
    entry.rate = rateAt(entry, now) + 1 / Seconds(rateTimeConstant).count();
    entry.rateAt = now;
}

void RouteCosts::onAnswer(Endpoint route, Duration serviceTime)
{
    Entry &entry = this->routes[route];
    const Duration sample = entry.samples < minSamplesToBound
                                    ? serviceTime
                                    : std::min(serviceTime, entry.mean * maxSampleShare);
    entry.samples = std::min(entry.samples + 1, maxSamples);
    entry.mean += (sample - entry.mean) / std::int64_t(entry.samples);
    entry.recentMean +=
            (sample - entry.recentMean) / std::int64_t(std::min(entry.samples, recentSamples));
    const bool hasChanged = entry.recentMean > entry.mean * changeFactor
                            || entry.recentMean * changeFactor < entry.mean;
    if (entry.samples <= recentSamples * 2 || !hasChanged)
        return;
    entry.mean = entry.recentMean;
    entry.samples = recentSamples;
}

void RouteCosts::restart(TimePoint now)
{
    for (auto &[route, entry] : this->routes)
        entry = { .flows = entry.flows, .rate = rateAt(entry, now), .rateAt = now };
}

Duration RouteCosts::serviceTimeOf(Endpoint route) const
{
    const auto it = this->routes.find(route);
    return it == this->routes.end() ? Duration::zero() : it->second.mean;
}

Duration RouteCosts::meanServiceTime() const
{
    Duration total{};
    std::int64_t samples = 0;
    for (const auto &[route, entry] : this->routes) {
        total += entry.mean * std::int64_t(entry.samples);
        samples += entry.samples;
    }
    return samples == 0 ? Duration::zero() : total / samples;
}

std::vector<RouteLoad> RouteCosts::loads(TimePoint now) const
{
    std::vector<RouteLoad> loads;
    for (const auto &[route, entry] : this->routes) {
        if (entry.flows == 0 && entry.samples == 0)
            continue;
        loads.push_back(
                { .route = route,
                  .flows = entry.flows,
                  .requestsPerSecond = rateAt(entry, now),
                  .serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(entry.mean),
                  .samples = entry.samples });
    }
    std::sort(loads.begin(), loads.end(), [](const RouteLoad &a, const RouteLoad &b) {
        return a.requestsPerSecond * Seconds(a.serviceTime).count() + a.flows
               > b.requestsPerSecond * Seconds(b.serviceTime).count() + b.flows;
    });
    loads.resize(std::min(loads.size(), maxReportedRoutes));
    return loads;
}

void ServiceCosts::add(const std::vector<RouteLoad> &loads)
{
    for (const RouteLoad &load : loads) {
        Total &total = this->routes[load.route];
        total.flows += load.flows;
        total.requestsPerSecond += load.requestsPerSecond;
        total.samples += load.samples;
        total.seconds += load.samples * Seconds(load.serviceTime).count();
    }
}

void ServiceCosts::finish()
{
    double samples = 0;
    double seconds = 0;
    for (auto &[route, total] : this->routes) {
        samples += total.samples;
        seconds += total.seconds;
        if (total.samples > 0)
            total.result.work =
                    std::chrono::duration_cast<Duration>(Seconds(total.seconds / total.samples));
        if (total.flows > 0)
            total.result.requestsPerFlow =
                    std::min(total.requestsPerSecond / total.flows, maxRequestsPerFlow);
    }
    if (samples > 0)
        this->mean = std::chrono::duration_cast<Duration>(Seconds(seconds / samples));
}

ServiceCosts::Route ServiceCosts::routeOf(Endpoint route) const
{
    const auto it = this->routes.find(route);
    if (it != this->routes.end() && it->second.samples > 0)
        return it->second.result;
    Route unknown{ .work = this->mean };
    if (it != this->routes.end())
        unknown.requestsPerFlow = it->second.result.requestsPerFlow;
    return unknown;
}

double ServiceCosts::slownessOf(const std::vector<RouteLoad> &loads) const
{
    const double prior = priorSamples * Seconds(this->mean).count();
    double measured = prior;
    double expected = prior;
    for (const RouteLoad &load : loads) {
        measured += load.samples * Seconds(load.serviceTime).count();
        expected += load.samples * Seconds(this->routeOf(load.route).work).count();
    }
    return expected > 0 ? std::clamp(measured / expected, minSlowness, maxSlowness) : 1;
}

double ServiceCosts::loadOf(const std::vector<RouteLoad> &loads) const
{
    double slots = 0;
    for (const RouteLoad &load : loads) {
        const Route route = this->routeOf(load.route);
        slots += load.flows * route.requestsPerFlow * Seconds(route.work).count();
    }
    return slots;
}

} // namespace cactusdeck::mesh

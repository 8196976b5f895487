#include "mesh/expectedwait.h"

#include <algorithm>
#include <cmath>

namespace cactusdeck::mesh {

namespace {

using Seconds = std::chrono::duration<double>;

// The queueing formula diverges at full utilisation; above this utilisation the wait grows
// linearly.
constexpr double maxFormulaUtilisation = 0.95;
// Slope of the linear part, in service times per unit of utilisation. Excess requests queue up as
// long as the overload lasts, which is seconds rather than one service time.
constexpr double overloadWeight = 20;

double waitInServiceTimes(double utilisation, double slots)
{
    const double bounded = std::min(utilisation, maxFormulaUtilisation);
    const double wait = std::pow(bounded, std::sqrt(2 * (slots + 1)) - 1) / (slots * (1 - bounded));
    return wait + (utilisation - bounded) * overloadWeight;
}

} // namespace

double expectedLoad(const ServerEstimate &estimate)
{
    const double perFlow = estimate.requestsPerFlow * Seconds(estimate.serviceTime).count();
    // The flow count predicts the coming load; requests in progress are the present load. A server
    // that has become slower than its measured service time shows it first in the latter.
    return std::max(estimate.flows * perFlow, estimate.requestsInProgress) + perFlow;
}

Duration expectedCost(const ServerEstimate &estimate)
{
    const double slots = std::max<double>(1, estimate.slots);
    const double wait = waitInServiceTimes(expectedLoad(estimate) / slots, slots);
    Seconds cost = Seconds(estimate.serviceTime) * (1 + wait);
    if (estimate.isOtherZone)
        cost += transferCost(estimate.costPerKilobyte, estimate.responseBytes);
    return std::chrono::duration_cast<Duration>(cost);
}

Duration transferCost(Duration costPerKilobyte, double responseBytes)
{
    return std::chrono::duration_cast<Duration>(Seconds(costPerKilobyte) * (responseBytes / 1024));
}

Duration expectedTime(const ScheduledServer &server)
{
    const double slots = std::max<double>(1, server.slots);
    // Requests in progress show a server that has slowed down, or a burst, before its flows do.
    const double load = std::max(server.load * server.slowness, server.requestsInProgress)
                        + server.flowLoad * server.slowness;
    const Seconds queue = Seconds(server.meanWork) * waitInServiceTimes(load / slots, slots);
    // The first requests of new flows arrive at once; the server has done part of them meanwhile.
    const Seconds backlog = std::max(Seconds(server.placedWork) * server.slowness / slots
                                             - Seconds(server.sinceReport),
                                     Seconds::zero());
    const Seconds time = (Seconds(server.work) + queue) * server.slowness + backlog;
    return std::chrono::duration_cast<Duration>(time) + server.transfer;
}

} // namespace cactusdeck::mesh

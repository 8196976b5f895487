#include "mesh/expectedwait.h"

#include <algorithm>
#include <cmath>

namespace cactusdeck::mesh {

namespace {

using Seconds = std::chrono::duration<double>;

// The queue formula has no value at full use. Above this use the wait grows in proportion.
constexpr double maxFormulaUtilisation = 0.95;
// Requests beyond the limit pile up for as long as the excess lasts; seconds rather than one
// service time, so each point of use weighs this many service times.
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
    // The flows tell what will come, the requests in progress what is there; a server that is
    // slower than its measured service time shows in the latter first.
    return std::max(estimate.flows * perFlow, estimate.requestsInProgress) + perFlow;
}

Duration expectedCost(const ServerEstimate &estimate)
{
    const double slots = std::max<double>(1, estimate.slots);
    const double wait = waitInServiceTimes(expectedLoad(estimate) / slots, slots);
    Seconds cost = Seconds(estimate.serviceTime) * (1 + wait);
    if (estimate.isOtherZone)
        cost += Seconds(estimate.costPerKilobyte) * (estimate.responseBytes / 1024);
    return std::chrono::duration_cast<Duration>(cost);
}

} // namespace cactusdeck::mesh

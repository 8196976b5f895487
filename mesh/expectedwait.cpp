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
        cost += Seconds(estimate.costPerKilobyte) * (estimate.responseBytes / 1024);
    return std::chrono::duration_cast<Duration>(cost);
}

} // namespace cactusdeck::mesh

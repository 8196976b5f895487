#include "mesh/expectedwait.h"

#include <algorithm>
#include <cmath>

namespace cactusdeck::mesh {

namespace {

using Seconds = std::chrono::duration<double>;

// The queue formula has no value at full use. Above this use the wait grows in proportion.
constexpr double formulaLimit = 0.95;
// Requests beyond the limit pile up for as long as the excess lasts; seconds rather than one
// service time, so each point of use weighs this many service times.
constexpr double excessWeight = 20;

double waitInServiceTimes(double use, double slots)
{
    const double bounded = std::min(use, formulaLimit);
    const double wait = std::pow(bounded, std::sqrt(2 * (slots + 1)) - 1) / (slots * (1 - bounded));
    return wait + (use - bounded) * excessWeight;
}

} // namespace

double expectedLoad(const ServerOutlook &outlook)
{
    const double perFlow = outlook.requestsPerFlow * Seconds(outlook.serviceTime).count();
    // The flows tell what will come, the requests in progress what is there; a server that is
    // slower than its measured service time shows in the latter first.
    return std::max(outlook.flows * perFlow, outlook.requestsInProgress) + perFlow;
}

Duration expectedCost(const ServerOutlook &outlook)
{
    const double slots = std::max<double>(1, outlook.slots);
    const double wait = waitInServiceTimes(expectedLoad(outlook) / slots, slots);
    Seconds cost = Seconds(outlook.serviceTime) * (1 + wait);
    if (outlook.isOtherZone)
        cost += Seconds(outlook.costPerKilobyte) * (outlook.responseBytes / 1024);
    return std::chrono::duration_cast<Duration>(cost);
}

} // namespace cactusdeck::mesh

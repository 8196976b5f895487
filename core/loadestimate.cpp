#include "core/loadestimate.h"

namespace cactusdeck {

namespace {

using namespace std::chrono_literals;

// The weight of a report halves in this time. With a shorter time the load of a busy agent would be
// discounted between two flows of a service with little traffic.
constexpr std::chrono::duration<double> halfLife = 2s;
// Load that each new flow without a reply adds to an agent of weight 1.
constexpr double loadPerFlow = 128;
// An agent that has not replied to three new flows for 200 ms counts as not responding. A reply
// takes a few ms, and at 1% packet loss three missing replies are very unlikely to be chance.
constexpr std::uint16_t unansweredLimit = 3;
constexpr Duration unansweredTime = 200ms;
// An agent that isn't responding is tried again with one flow after this time.
constexpr Duration retryTime = 2s;

} // namespace

void LoadEstimate::onPlaced(TimePoint now)
{
    if (this->placed == 0)
        this->firstUnanswered = now;
    if (this->placed < UINT16_MAX)
        ++this->placed;
    this->lastPlaced = now;
}

void LoadEstimate::onReply(std::uint16_t reported, TimePoint now)
{
    this->utilisation = reported;
    this->placed = 0;
    this->reportedAt = now;
}

double LoadEstimate::load(std::uint16_t weight, TimePoint now) const
{
    const std::chrono::duration<double> age = now - this->reportedAt;
    // A hyperbola instead of an exponential: cheaper, and equally good for comparing agents.
    const double fading = halfLife / (halfLife + age);
    return this->utilisation * fading + loadPerFlow * this->placed / (weight == 0 ? 1 : weight);
}

bool LoadEstimate::isResponding(TimePoint now) const
{
    if (this->placed < unansweredLimit || now - this->firstUnanswered < unansweredTime)
        return true;
    return now - this->lastPlaced > retryTime;
}

} // namespace cactusdeck

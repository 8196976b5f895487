#include "core/loadestimate.h"

namespace cactusdeck {

namespace {

using namespace std::chrono_literals;

// A report counts half after this time. Shorter, and the estimate would forget a loaded agent
// between two flows of a quiet service.
constexpr std::chrono::duration<double> halfLife = 2s;
// Load that one unanswered new flow adds to an agent of weight 1.
constexpr double loadPerFlow = 128;
// Three new flows without a reply for 200 ms can't be chance at 1% loss; a reply takes a few ms.
constexpr std::uint16_t unansweredLimit = 3;
constexpr Duration unansweredTime = 200ms;
// A silent agent is tried again with one flow after this time.
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
    // Cheaper than a power of two, and as good for comparing.
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

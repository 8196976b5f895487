#include "mesh/serverload.h"

#include <algorithm>
#include <cmath>

namespace cactusdeck::mesh {

namespace {

double decay(Duration passed, Duration timeConstant)
{
    return std::exp(-std::chrono::duration<double>(passed)
                    / std::chrono::duration<double>(timeConstant));
}

// Number of responses after which both totals are halved, so that the mean size follows the
// traffic.
constexpr std::uint64_t responseHalvingLimit = 64;

} // namespace

void ServerLoad::advance(TimePoint now)
{
    if (now <= this->updated)
        return;
    const Duration passed = now - this->updated;
    const double kept = decay(passed, meanTimeConstant);
    this->mean = this->mean * kept + double(this->current) * (1 - kept);
    this->rate *= decay(passed, rateTimeConstant);
    this->updated = now;
}

std::uint32_t ServerLoad::onRequest(TimePoint now)
{
    this->advance(now);
    this->rate += 1 / std::chrono::duration<double>(rateTimeConstant).count();
    return this->current++;
}

void ServerLoad::onResponse(Duration latency, std::uint32_t inProgressBefore, std::uint32_t slots,
                            TimePoint now)
{
    this->onAbandoned(now);
    ++this->responses;
    if (this->responses >= responseHalvingLimit) {
        this->responses /= 2;
        this->bytes /= 2;
    }
    // If all slots are busy, the latency includes waiting for other requests; divide it out.
    const double waiting =
            inProgressBefore >= slots ? double(inProgressBefore + 1) / double(slots) : 1;
    const auto sample = std::chrono::duration_cast<Duration>(latency / waiting);
    this->serviceSamples = std::min(this->serviceSamples + 1, maxServiceSamples);
    this->service += (sample - this->service) / this->serviceSamples;
}

void ServerLoad::onAbandoned(TimePoint now)
{
    this->advance(now);
    this->current -= std::min<std::uint32_t>(1, this->current);
}

void ServerLoad::reset(TimePoint now)
{
    *this = ServerLoad();
    this->updated = now;
}

double ServerLoad::meanInProgress(TimePoint now) const
{
    ServerLoad copy = *this;
    copy.advance(now);
    return copy.mean;
}

double ServerLoad::requestsPerSecond(TimePoint now) const
{
    ServerLoad copy = *this;
    copy.advance(now);
    return copy.rate;
}

double ServerLoad::responseBytes() const
{
    return this->responses == 0 ? 0 : double(this->bytes) / double(this->responses);
}

} // namespace cactusdeck::mesh

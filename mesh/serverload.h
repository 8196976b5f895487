#ifndef CACTUSDECK_MESH_SERVERLOAD_H
#define CACTUSDECK_MESH_SERVERLOAD_H

#include <cstdint>

#include "core/types.h"

// The load of a backend server, measured by its agent from the packets that pass it: requests in
// progress, request rate, and service time (the time for one request without queueing).
//
//     const std::uint32_t before = load.onRequest(now);
//     load.onResponse(now - requestedAt, before, slots, now);

namespace cactusdeck::mesh {

class ServerLoad
{
public:
    // Returns the number of requests that were in progress before this one.
    std::uint32_t onRequest(TimePoint now);
    // inProgressBefore is the value that onRequest returned for the request.
    void onResponse(Duration latency, std::uint32_t inProgressBefore, std::uint32_t slots,
                    TimePoint now);
    // The caller has given up the request, or the flow has ended.
    void onAbandoned(TimePoint now);
    void onResponseBytes(std::uint32_t bytes) { this->bytes += bytes; }
    // For a new run of the server: nothing is in progress and the service time is unknown.
    void reset(TimePoint now);

    std::uint32_t inProgress() const { return this->current; }
    double meanInProgress(TimePoint now) const;
    double requestsPerSecond(TimePoint now) const;
    // Zero until there are enough samples: the first responses may be refusals, which take almost
    // no time and would make the server look fast.
    Duration serviceTime() const
    {
        return this->serviceSamples < minServiceSamples ? Duration::zero() : this->service;
    }
    double responseBytes() const;

private:
    // Longer than one request, and shorter than the load bursts to be followed, which last seconds.
    static constexpr std::chrono::milliseconds meanTimeConstant{ 700 };
    static constexpr std::chrono::milliseconds rateTimeConstant{ 2000 };
    // A new sample weighs 1/8 in the mean service time; under load 16 samples arrive within a
    // second.
    static constexpr std::int64_t maxServiceSamples = 8;
    static constexpr std::int64_t minServiceSamples = 8;

    void advance(TimePoint now);

    std::uint32_t current = 0;
    double mean = 0;
    double rate = 0; // requests per second
    TimePoint updated{};
    Duration service{};
    std::int64_t serviceSamples = 0;
    std::uint64_t bytes = 0;
    std::uint64_t responses = 0;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_SERVERLOAD_H

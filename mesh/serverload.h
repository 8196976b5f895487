#ifndef CACTUSDECK_MESH_SERVERLOAD_H
#define CACTUSDECK_MESH_SERVERLOAD_H

#include <cstdint>

#include "core/types.h"

// The load of a backend server as its agent sees it in passing packets: requests in progress, their
// rate, and the time that the server takes for one when no other request waits.
//
//     const std::uint32_t before = load.onRequest(now);
//     load.onResponse(now - requestedAt, before, slots, now);

namespace cactusdeck::mesh {

class ServerLoad
{
public:
    // Returns the requests that were in progress before this one.
    std::uint32_t onRequest(TimePoint now);
    // inProgressBefore is what onRequest returned for the request.
    void onResponse(Duration latency, std::uint32_t inProgressBefore, std::uint32_t slots,
                    TimePoint now);
    // The caller gave the request up, or the flow ended.
    void onAbandoned(TimePoint now);
    void onResponseBytes(std::uint32_t bytes) { this->bytes += bytes; }
    // A new run of the server has nothing in progress and an unknown speed.
    void reset(TimePoint now);

    std::uint32_t inProgress() const { return this->current; }
    double meanInProgress(TimePoint now) const;
    double requestsPerSecond(TimePoint now) const;
    // Zero until measured: one of the first answers may be a refusal, which takes no time.
    Duration serviceTime() const
    {
        return this->serviceSamples < minServiceSamples ? Duration::zero() : this->service;
    }
    double responseBytes() const;

private:
    // Shorter than the interval of bursts that matter (seconds), longer than one request.
    static constexpr std::chrono::milliseconds meanTimeConstant{ 700 };
    static constexpr std::chrono::milliseconds rateTimeConstant{ 2000 };
    // Weight of one sample of the service time; 16 samples arrive within a second under load.
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

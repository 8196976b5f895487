#ifndef CACTUSDECK_CORE_CAPACITYWEIGHT_H
#define CACTUSDECK_CORE_CAPACITYWEIGHT_H

#include <cstdint>
#include <optional>

#include "core/latencybaseline.h"
#include "core/types.h"

// The weight that an agent announces for its capacity: the number of requests per second that its
// slots complete at mean latency, in units of 1.25 requests per second.
//
//     if (auto changed = weight.update(slots, admission.baseline(), now))
//         announcer.setWeight(*changed, now, outbox);

namespace cactusdeck {

class CapacityWeight
{
public:
    // Minimum time between changes. Each change moves buckets and makes every agent of the service
    // report the buckets in which it holds flows.
    static constexpr std::chrono::seconds changeInterval{ 30 };
    // The weight is rounded to an eighth of an octave (9%), since a server's load may exceed the
    // mean of its service by a tenth. The balancers' choice between two home agents can't
    // compensate for a wrong weight, because a slow server is the second home agent of more buckets
    // than its weight implies.
    static constexpr double stepsPerOctave = 8;
    // In steps. Prevents a latency that varies around the boundary of two steps from changing the
    // weight each time.
    static constexpr double hysteresis = 1.5;
    // Assumed until the latency baseline is known.
    static constexpr std::chrono::milliseconds initialLatency{ 100 };

    std::optional<std::uint16_t> update(std::uint32_t slots, const LatencyBaseline &baseline,
                                        TimePoint now);
    std::uint16_t value() const { return this->announced; }

private:
    std::uint16_t announced = 1;
    std::optional<double> step;
    TimePoint changedAt;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_CAPACITYWEIGHT_H

#ifndef CACTUSDECK_CORE_CAPACITYWEIGHT_H
#define CACTUSDECK_CORE_CAPACITYWEIGHT_H

#include <cstdint>
#include <optional>

#include "core/latencybaseline.h"
#include "core/types.h"

// The capacity that an agent announces: the requests per second that its slots complete at mean
// latency, in units of 1.25 per second.
//
//     if (auto changed = weight.update(slots, admission.baseline(), now))
//         announcer.setWeight(*changed, now, outbox);

namespace cactusdeck {

class CapacityWeight
{
public:
    // A change of weight moves buckets and makes every agent of the service report its holdings.
    static constexpr std::chrono::seconds changeInterval{ 30 };
    // Steps of an eighth of an octave (9%), under the tenth by which loads may differ. The
    // balancers' choice between two home agents can't make up for a wrong weight: the second home
    // of a bucket is a slow server more often than its weight says.
    static constexpr double stepsPerOctave = 8;
    // Steps. Keeps a latency between two steps from changing the weight.
    static constexpr double hysteresis = 1.5;
    // Assumed until the baseline is known.
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

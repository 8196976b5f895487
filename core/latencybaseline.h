#ifndef CACTUSDECK_CORE_LATENCYBASELINE_H
#define CACTUSDECK_CORE_LATENCYBASELINE_H

#include <algorithm>
#include <cstdint>

#include "core/types.h"

namespace cactusdeck {

// Usual time from a request to the first byte of its response.
//
//     baseline.add(latency);
//     if (baseline.isKnown() && latency > baseline.slowLimit())
//         ...
class LatencyBaseline
{
public:
    static constexpr std::uint32_t enoughSamples = 8;
    // Below these margins scheduling noise on a fast server would count as overload.
    static constexpr std::chrono::milliseconds slowMargin{ 5 };
    static constexpr std::chrono::milliseconds coldMargin{ 20 };

    void add(Duration latency)
    {
        if (this->samples++ == 0) {
            this->value = latency;
        } else if (latency < this->value) {
            this->value -= (this->value - latency) / 8;
        } else {
            // Rises slowly and from capped samples, so that overload doesn't become the baseline.
            this->value += (std::min(latency, this->value * 3) - this->value) / 32;
        }
    }
    bool isKnown() const { return this->samples >= enoughSamples; }
    Duration latency() const { return this->value; }
    Duration slowLimit() const
    {
        return std::max<Duration>(this->value * 3, this->value + slowMargin);
    }
    Duration coldLimit() const
    {
        return std::max<Duration>(this->value * 8, this->value + coldMargin);
    }

private:
    Duration value{};
    std::uint32_t samples = 0;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_LATENCYBASELINE_H

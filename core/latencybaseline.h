#ifndef CACTUSDECK_CORE_LATENCYBASELINE_H
#define CACTUSDECK_CORE_LATENCYBASELINE_H

#include <algorithm>
#include <cstdint>

#include "core/types.h"

namespace cactusdeck {

// Usual time from a request to the first byte of its response, and the mean.
//
//     baseline.add(latency);
//     if (baseline.isKnown() && latency > baseline.slowLimit())
//         ...
class LatencyBaseline
{
public:
    static constexpr std::int64_t enoughSamples = 8;
    // Of the mean. Service times that differ by a half leave an error of a sixteenth.
    static constexpr std::int64_t meanSamples = 64;
    // Below these margins scheduling noise on a fast server would count as overload.
    static constexpr std::chrono::milliseconds slowMargin{ 5 };
    static constexpr std::chrono::milliseconds coldMargin{ 20 };

    void add(Duration latency)
    {
        // Samples are capped, so that overload doesn't become the baseline.
        const Duration capped = this->samples == 0 ? latency : std::min(latency, this->value * 3);
        ++this->samples;
        this->average += (capped - this->average) / std::min(this->samples, meanSamples);
        if (this->samples == 1)
            this->value = latency;
        else if (latency < this->value)
            this->value -= (this->value - latency) / 8;
        else
            this->value += (capped - this->value) / 32; // slowly
    }
    bool isKnown() const { return this->samples >= enoughSamples; }
    // Near the fastest responses, so that overload shows against it. Too low for a capacity.
    Duration latency() const { return this->value; }
    Duration mean() const { return this->average; }
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
    Duration average{};
    std::int64_t samples = 0;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_LATENCYBASELINE_H

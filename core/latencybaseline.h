#ifndef CACTUSDECK_CORE_LATENCYBASELINE_H
#define CACTUSDECK_CORE_LATENCYBASELINE_H

#include <algorithm>
#include <cstdint>

#include "core/types.h"

namespace cactusdeck {

// Baseline and mean of the time from a request to the first byte of its response.
//
//     baseline.add(latency);
//     if (baseline.isKnown() && latency > baseline.slowLimit())
//         ...
class LatencyBaseline
{
public:
    static constexpr std::int64_t enoughSamples = 8;
    // Window of the moving average mean(). With service times that vary by a half, its error is a
    // sixteenth.
    static constexpr std::int64_t meanSamples = 64;
    // Smallest distance of the limits from the baseline. On a fast server, scheduling noise within
    // these margins would otherwise count as overload.
    static constexpr std::chrono::milliseconds slowMargin{ 5 };
    static constexpr std::chrono::milliseconds coldMargin{ 20 };

    void add(Duration latency)
    {
        // Samples are capped, so that slow responses under overload don't raise the baseline much.
        const Duration capped = this->samples == 0 ? latency : std::min(latency, this->value * 3);
        ++this->samples;
        this->average += (capped - this->average) / std::min(this->samples, meanSamples);
        if (this->samples == 1)
            this->value = latency;
        else if (latency < this->value)
            this->value -= (this->value - latency) / 8;
        else
            this->value += (capped - this->value) / 32; // rises more slowly than it falls
    }
    bool isKnown() const { return this->samples >= enoughSamples; }
    // The baseline. It stays near the fastest responses, so that overload stands out against it. It
    // is too low to compute a capacity from; mean() serves for that.
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

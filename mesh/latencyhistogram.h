#ifndef CACTUSDECK_MESH_LATENCYHISTOGRAM_H
#define CACTUSDECK_MESH_LATENCYHISTOGRAM_H

#include <cstdint>
#include <vector>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include "core/types.h"

// A histogram of durations for the metrics, with two buckets per doubling from 1 ms to 8.192 s, one
// bucket below this range and one above it.
//
//     histogram.add(now - requestedAt);
//     for (const LatencyHistogram::Bucket &bucket : histogram.cumulative()) ...

namespace cactusdeck::mesh {

class LatencyHistogram
{
public:
    struct Bucket
    {
        std::chrono::duration<double> below; // upper bound; infinite for the last one
        std::uint64_t count = 0; // of all durations below the bound
    };

    void add(Duration time) { this->bins(std::chrono::duration<double>(time).count()); }

    std::vector<Bucket> cumulative() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Bins =
            decltype(boost::histogram::make_histogram_with(std::vector<double>(), Axis(1, 1, 2)));

    static constexpr double minSeconds = 0.001;
    static constexpr double maxSeconds = 8.192; // 13 doublings of minSeconds
    static constexpr int bucketCount = 26;

    Bins bins = boost::histogram::make_histogram_with(std::vector<double>(),
                                                      Axis(bucketCount, minSeconds, maxSeconds));
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_LATENCYHISTOGRAM_H

#include "mesh/latencyhistogram.h"

namespace cactusdeck::mesh {

std::vector<LatencyHistogram::Bucket> LatencyHistogram::cumulative() const
{
    std::vector<Bucket> buckets;
    buckets.reserve(bucketCount + 2);
    std::uint64_t total = 0;
    // Index -1 is the underflow bucket and bucketCount the overflow bucket.
    for (int i = -1; i <= bucketCount; ++i) {
        total += std::uint64_t(this->bins.at(i));
        buckets.push_back(
                { std::chrono::duration<double>(this->bins.axis().bin(i).upper()), total });
    }
    return buckets;
}

} // namespace cactusdeck::mesh

#include "node/metrics.h"

#include <mutex>
#include <vector>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace cactusdeck {

namespace {

namespace bh = boost::histogram;
using nlohmann::json;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Bins = decltype(bh::make_histogram_with(std::vector<double>(), Axis(1, 1, 2)));

struct CounterInfo
{
    const char *name;
    const char *unit;
};

constexpr std::array<CounterInfo, counterCount> counterInfo = { {
        { "packets_received", "packets" },
        { "packets_sent", "packets" },
        { "packets_dropped", "packets" },
        { "server_packets_foreign", "packets" },
        { "malformed_datagrams", "datagrams" },
        { "control_received", "messages" },
        { "control_sent", "messages" },
        { "control_bytes_received", "bytes" },
        { "control_bytes_sent", "bytes" },
        { "control_dropped", "messages" },
        { "store_calls", "calls" },
        { "store_failures", "calls" },
        { "log_lines_dropped", "lines" },
        { "events_rejected", "events" },
} };

struct HistogramInfo
{
    const char *name;
    const char *unit;
    double first; // lower bound of the first bucket
    double last; // upper bound of the last one
    unsigned buckets;
};

// Four buckets per doubling limit the error of a percentile to 19%, since 2^(1/4) is 1.19.
constexpr std::array<HistogramInfo, histogramCount> histogramInfo = { {
        { "packet_latency", "ns", 16, 16 << 20, 80 },
        { "batch_size", "datagrams", 1, 1 << 8, 32 },
        { "log_queue", "lines", 1, 1 << 14, 56 },
        { "store_latency", "us", 16, 16 << 22, 88 },
} };

// Returns the upper bound of the bucket that contains the percentile, or null without observations.
// Values above the last bucket count as its upper bound.
json percentile(const Bins &bins, double total, double share)
{
    double sum = 0;
    for (auto &&bin : bh::indexed(bins, bh::coverage::all)) {
        sum += *bin;
        if (total > 0 && sum >= total * share)
            return std::min(bin.bin().upper(), bins.axis().value(bins.axis().size()));
    }
    return nullptr;
}

} // namespace

struct Metrics::Histogram
{
    explicit Histogram(const HistogramInfo &metric)
        : info(metric)
        , bins(bh::make_histogram_with(std::vector<double>(),
                                       Axis(metric.buckets, metric.first, metric.last)))
    { }

    json toJson() const
    {
        const std::lock_guard lock(this->mutex);
        double total = 0;
        json buckets = json::array();
        for (auto &&bin : bh::indexed(this->bins, bh::coverage::all)) {
            if (*bin == 0)
                continue;
            total += *bin;
            // The upper bound of the overflow bucket is infinity, which JSON output writes as null.
            buckets.push_back({ { "below", bin.bin().upper() }, { "count", *bin } });
        }
        return { { "unit", this->info.unit },
                 { "count", total },
                 { "p50", percentile(this->bins, total, 0.5) },
                 { "p99", percentile(this->bins, total, 0.99) },
                 { "buckets", buckets } };
    }

    const HistogramInfo &info;
    mutable std::mutex mutex;
    Bins bins;
};

Metrics::Metrics()
{
    for (std::size_t i = 0; i < histogramCount; ++i)
        this->histograms[i] = std::make_unique<Histogram>(histogramInfo[i]);
}

Metrics::~Metrics() = default;

void Metrics::record(HistogramId metric, double value, double weight)
{
    Histogram &histogram = *this->histograms[std::size_t(metric)];
    const std::lock_guard lock(histogram.mutex);
    histogram.bins(value, bh::weight(weight));
}

json Metrics::toJson() const
{
    json counterJson = json::object();
    for (std::size_t i = 0; i < counterCount; ++i)
        counterJson[counterInfo[i].name] = { { "unit", counterInfo[i].unit },
                                             { "value", this->count(Counter(i)) } };
    json histogramJson = json::object();
    for (const auto &histogram : this->histograms)
        histogramJson[histogram->info.name] = histogram->toJson();
    return { { "counters", counterJson }, { "histograms", histogramJson } };
}

} // namespace cactusdeck

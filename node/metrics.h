#ifndef CACTUSDECK_NODE_METRICS_H
#define CACTUSDECK_NODE_METRICS_H

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>

#include <nlohmann/json.hpp>

// Counters and histograms of one node, exported by the JSON-RPC method "metrics".
//
//     metrics.add(Counter::PacketsReceived, batch.size());
//     metrics.record(Measure::BatchSize, batch.size());
//     nlohmann::json json = metrics.toJson();
//
// All functions may be called from any thread. record() locks a mutex of the histogram, so the
// packet loop calls it once per batch and not once per packet.

namespace cactusdeck {

enum class Counter : std::uint8_t {
    PacketsReceived,
    PacketsSent,
    PacketsDropped, // send buffer full, packet too long, or other send error
    ServerPacketsForeign, // discarded, since they did not come from the backend server's endpoint
    MalformedDatagrams,
    ControlReceived,
    ControlSent,
    ControlBytesReceived,
    ControlBytesSent,
    ControlDropped, // send error, too many deliveries in progress, or failed delivery
    StoreCalls,
    StoreFailures,
    LogLinesDropped,
    EventsRejected, // posted while the packet loop's queue was full, or after the loop ended
};
inline constexpr std::size_t counterCount = std::size_t(Counter::EventsRejected) + 1;

enum class HistogramId : std::uint8_t {
    PacketLatency, // ns per packet: time to process and send a batch, divided by its size
    BatchSize, // datagrams
    LogQueue, // queued lines each time that the writer runs
    StoreLatency, // us per call, without watches
};
inline constexpr std::size_t histogramCount = std::size_t(HistogramId::StoreLatency) + 1;

class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void add(Counter counter, std::uint64_t amount = 1)
    {
        this->counters[std::size_t(counter)].fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t count(Counter counter) const
    {
        return this->counters[std::size_t(counter)].load(std::memory_order_relaxed);
    }
    // Adds a value to a histogram. The weight is the number of observations with this value.
    void record(HistogramId metric, double value, double weight = 1);

    // {"counters": {name: {"unit", "value"}}, "histograms": {name: {"unit", "count", "p50", "p99",
    // "buckets": [{"below", "count"}]}}}. A percentile is the upper bound of its bucket.
    nlohmann::json toJson() const;

private:
    struct Histogram;

    std::array<std::atomic<std::uint64_t>, counterCount> counters{};
    std::array<std::unique_ptr<Histogram>, histogramCount> histograms;
};

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_METRICS_H

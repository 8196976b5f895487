#ifndef CACTUSDECK_NODE_METRICS_H
#define CACTUSDECK_NODE_METRICS_H

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>

#include <nlohmann/json.hpp>

// Counters and histograms of one node, read over JSON-RPC.
//
//     metrics.add(Counter::PacketsReceived, batch.size());
//     metrics.record(Measure::BatchSize, batch.size());
//     nlohmann::json json = metrics.toJson();
//
// All functions may be called from any thread. record() takes a mutex of its histogram; the packet
// path calls it once per batch, not once per packet.

namespace cactusdeck {

enum class Counter : std::uint8_t {
    PacketsReceived,
    PacketsSent,
    PacketsDropped, // the socket did not take them
    ServerPacketsForeign, // not from the backend server's endpoint
    MalformedDatagrams,
    ControlReceived,
    ControlSent,
    ControlBytesReceived,
    ControlBytesSent,
    ControlDropped, // the socket or the delivery queue did not take them
    StoreCalls,
    StoreFailures,
    LogLinesDropped,
    EventsRejected, // posted while the loop's queue was full
};
inline constexpr std::size_t counterCount = std::size_t(Counter::EventsRejected) + 1;

enum class HistogramId : std::uint8_t {
    PacketLatency, // ns from receipt of the batch until all its actions are sent, per packet
    BatchSize, // datagrams
    LogQueue, // lines that waited when the writer ran
    StoreLatency, // us
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
    // weight: number of observations that the value stands for.
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

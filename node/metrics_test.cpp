#include "node/metrics.h"

#include <boost/test/unit_test.hpp>

#include <thread>
#include <vector>

using namespace cactusdeck;

BOOST_AUTO_TEST_SUITE(metrics)

// Guards against updates that are lost when several threads update at the same time.
BOOST_AUTO_TEST_CASE(concurrentUpdatesAreAllCounted)
{
    Metrics metrics;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int n = 0; n < 1000; ++n) {
                metrics.add(Counter::PacketsSent, 2);
                metrics.record(HistogramId::BatchSize, 8);
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    const auto json = metrics.toJson();
    BOOST_TEST(json["counters"]["packets_sent"]["value"] == 8000);
    BOOST_TEST(json["histograms"]["batch_size"]["count"] == 4000);
}

// Guards against percentiles over batches instead of packets, and against percentiles that are
// wrong by one bucket.
BOOST_AUTO_TEST_CASE(percentilesUseWeights)
{
    Metrics metrics;
    metrics.record(HistogramId::PacketLatency, 100, 98);
    metrics.record(HistogramId::PacketLatency, 5000, 2);
    const auto json = metrics.toJson()["histograms"]["packet_latency"];
    BOOST_TEST(json["unit"] == "ns");
    BOOST_TEST(json["count"] == 100);
    BOOST_TEST(json["p50"].get<double>() >= 100);
    BOOST_TEST(json["p50"].get<double>() <= 119);
    BOOST_TEST(json["p99"].get<double>() >= 5000);
    BOOST_TEST(json["p99"].get<double>() <= 5950);
}

// Guards against JSON that can't be written, for values outside the range of the buckets and for a
// histogram without values.
BOOST_AUTO_TEST_CASE(extremesAndEmptyHistogramsAreExported)
{
    Metrics metrics;
    metrics.record(HistogramId::StoreLatency, 0);
    metrics.record(HistogramId::StoreLatency, 1e12);
    const auto json = nlohmann::json::parse(metrics.toJson().dump());
    BOOST_TEST(json["histograms"]["store_latency"]["count"] == 2);
    BOOST_TEST(json["histograms"]["store_latency"]["p50"].is_number());
    BOOST_TEST(json["histograms"]["log_queue"]["p99"].is_null());
    for (const auto &histogram : json["histograms"])
        BOOST_TEST(!histogram["unit"].get<std::string>().empty());
}

BOOST_AUTO_TEST_SUITE_END()

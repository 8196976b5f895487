#include "mesh/peermessage.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(peerMessage)

BOOST_AUTO_TEST_CASE(messagesSurviveTheirEncoding)
{
    const BalancerHello hello{ .name = NodeId{ "b1" },
                               .zone = ZoneName{ "z" },
                               .configuration = 7,
                               .evacuationsAsOf = { .era = 2, .revision = 9 },
                               .isStoreReachable = true,
                               .wantsAnswer = true,
                               .balancers = { { 0x0A000001, 7000 }, { 0xFF00FF01, 65535 } } };
    const auto decodedHello = decodePeerMessage(encode(hello));
    BOOST_REQUIRE(decodedHello.has_value());
    const auto &copy = std::get<BalancerHello>(*decodedHello);
    BOOST_TEST(copy.name.value == "b1");
    BOOST_TEST(copy.configuration == 7u);
    BOOST_TEST((copy.evacuationsAsOf == StorePosition{ .era = 2, .revision = 9 }));
    BOOST_TEST(copy.isStoreReachable);
    BOOST_TEST(!copy.isLeaving);
    BOOST_TEST(copy.wantsAnswer);
    BOOST_TEST((copy.balancers == hello.balancers));

    const AgentReport report{ .name = NodeId{ "a1" },
                              .zone = ZoneName{ "z" },
                              .service = ServiceName{ "booking" },
                              .serverIncarnation = 0xFEDCBA9876543210ull,
                              .phase = ServerPhase::Draining,
                              .isCold = true,
                              .slots = 5,
                              .flows = 130,
                              .requestsInProgress = 2.5,
                              .serviceTime = 31ms,
                              .interval = 500ms };
    const auto decodedReport = decodePeerMessage(encode(report));
    BOOST_REQUIRE(decodedReport.has_value());
    const auto &second = std::get<AgentReport>(*decodedReport);
    BOOST_TEST(second.serverIncarnation == report.serverIncarnation);
    BOOST_TEST(int(second.phase) == int(ServerPhase::Draining));
    BOOST_TEST(second.flows == 130u);
    BOOST_TEST((second.serviceTime == 31ms));
}

// Balancers of an earlier release send the store's revision of the configuration in the place of
// the version, and no era. The two must not be compared.
BOOST_AUTO_TEST_CASE(aRevisionOfAnEarlierReleaseIsNoVersion)
{
    using nlohmann::json;
    const json noEndpoints = json::binary({});
    std::vector<std::uint8_t> notice = { 0xC1 };
    json::to_cbor(json{ 2, 500, 9, false, 100, 0.0, 15000, "z", noEndpoints, noEndpoints }, notice);
    const auto decoded = decodePeerMessage(notice);
    BOOST_REQUIRE(decoded.has_value());
    const auto &copy = std::get<BalancerNotice>(*decoded);
    BOOST_TEST(copy.configuration == 0u);
    BOOST_TEST(copy.limits.connections == 100u);
}

// Fuzz test with a fixed seed: mutated messages are decoded or refused, never read past their end.
BOOST_AUTO_TEST_CASE(mutatedMessagesAreRefusedOrDecoded)
{
    std::mt19937 random(20261204);
    const std::vector<std::uint8_t> original =
            encode(BalancerNotice{ .configuration = 7, .balancers = { { 0x0A000001, 7000 } } });
    std::size_t refused = 0;
    for (int i = 0; i < 20000; ++i) {
        std::vector<std::uint8_t> bytes = original;
        bytes.resize(1 + random() % bytes.size());
        for (int j = 0; j < 3; ++j)
            bytes[random() % bytes.size()] = std::uint8_t(random());
        refused += decodePeerMessage(bytes).has_value() ? 0 : 1;
    }
    BOOST_TEST(refused > 10000u);
}

BOOST_AUTO_TEST_SUITE_END()

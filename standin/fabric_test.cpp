#include "standin/fabric.h"

#include <boost/test/unit_test.hpp>

#include "core/frame.h"

using namespace cactusdeck;

namespace {

const Endpoint service{ 0xC633640A, 443 };
const Endpoint fabricEndpoint{ 0x7F000001, 7000 };
const Endpoint serverEndpoint{ 0x7F000001, 8200 };
constexpr std::chrono::milliseconds step{ 5 };

FabricOptions trafficOptions()
{
    return fabricOptionsOf(nlohmann::json::parse(R"({
        "seed": 3, "drop": 0.02, "duplicate": 0.02, "reorder": 0.05,
        "groups": [
            {"name": "s", "service": "198.51.100.10:443", "session": true, "initial": 10,
             "arrivalsPerSecond": 5, "bookingShare": 0.5, "pauseMilliseconds": 100},
            {"name": "f", "service": "198.51.100.10:443", "arrivalsPerSecond": 20,
             "maxAnswerBytes": 20000}]})"));
}

// A fabric with its callers that is connected directly to one backend server, on a fake clock.
struct World
{
    TimePoint now{};
    Fabric fabric{ trafficOptions() };
    BackendServer server{
        { .name = "s1", .zone = "z1", .addresses = { service }, .coldCompletions = 0 }, TimePoint{}
    };
    std::function<void(std::vector<std::uint8_t> &)> tamper = [](auto &) {};

    void runStep()
    {
        this->now += step;
        FrameBuffer buffer;
        PacketSends toServer;
        PacketSends toFabric;
        this->fabric.onDatagram(encodeAttach({ .data = serverEndpoint }, buffer), this->now,
                                toServer);
        this->fabric.onTimer(this->now, toServer);
        for (int i = 0; i < 3; ++i) {
            for (const PacketSend &send : std::exchange(toServer, {}))
                this->server.onPacket(send.packet, fabricEndpoint, this->now, toFabric);
            this->server.onTimer(this->now, toFabric);
            for (PacketSend &send : std::exchange(toFabric, {})) {
                this->tamper(send.packet);
                this->fabric.onDatagram(send.packet, this->now, toServer);
            }
        }
        // Packets that are still queued after three rounds are dropped.
    }

    nlohmann::json run(std::chrono::seconds duration)
    {
        while (this->now < TimePoint{} + duration)
            this->runStep();
        this->fabric.finish(this->now);
        while (!this->fabric.isDone(this->now))
            this->runStep();
        return this->fabric.report(nlohmann::json::array({ this->server.counters(this->now, 0) }));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(fabric)

// Guards against faults reported by mistake: TCP must recover from lost, duplicated and reordered
// packets, so a run over an impaired network alone reports none.
BOOST_AUTO_TEST_CASE(impairedNetworkAloneBreaksNothing)
{
    World world;
    const auto report = world.run(std::chrono::seconds(10));
    BOOST_TEST(report.at("flows") > 150);
    BOOST_TEST(report.at("flows") == report.at("attempts"));
    for (const char *name :
         { "broken", "unfinished", "misdelivered", "duplicated", "untrueRefusals", "refused" })
        BOOST_TEST(report.at(name) == 0, name);
    BOOST_TEST(report.at("answers") == report.at("executed"));
}

// Guards against a duplicate check that never reports: a request executed by two servers, or twice
// by one server, must count as duplicated.
BOOST_AUTO_TEST_CASE(requestExecutedTwiceIsReported)
{
    World world;
    world.run(std::chrono::seconds(2));
    const auto first = world.server.counters(world.now, 0);
    auto second = first;
    second["executed"] = { { "s1-1", 1 } };
    BOOST_REQUIRE(first.at("executed").contains("s1-1"));
    BOOST_TEST(world.fabric.report(nlohmann::json::array({ first, second })).at("duplicated") == 1);
    second["executed"] = { { "s1-1000", 2 } };
    BOOST_TEST(world.fabric.report(nlohmann::json::array({ first, second })).at("duplicated") == 1);
}

// Guards against a caller that accepts an answer to another request or a corrupted answer.
BOOST_AUTO_TEST_CASE(wrongAnswersAreReported)
{
    World world;
    int tampered = 0;
    world.tamper = [&](std::vector<std::uint8_t> &packet) {
        const auto payload = parsePacket(packet)->payload;
        if (payload.size() < 100 || payload[0] != '{' || ++tampered % 20 != 0)
            return;
        // The changed byte belongs to the body, or to a header with the request identifier.
        std::uint8_t &byte = packet[packet.size() - 2];
        byte = byte == 'x' ? 'y' : 'x';
    };
    const auto report = world.run(std::chrono::seconds(3));
    BOOST_TEST(report.at("wrongAnswers") > 0);
    BOOST_TEST(report.at("broken") == report.at("wrongAnswers"));
}

// Guards against resets that are not reported, and against excusing broken flows of servers outside
// the zone that was taken out.
BOOST_AUTO_TEST_CASE(onlyZoneTakenOutExcusesBrokenFlows)
{
    for (const char *zone : { "z1", "z2" }) {
        World world;
        while (world.now < TimePoint{} + std::chrono::seconds(2))
            world.runStep();
        world.fabric.setZoneOut(zone, true, world.now);
        world.server.restart(world.now);
        const auto report = world.run(std::chrono::seconds(4));
        BOOST_TEST((report.at("zoneOut") > 0) == (zone == std::string("z1")));
        BOOST_TEST((report.at("broken") > 0) == (zone == std::string("z2")));
    }
}

// Guards against a check of refusals that never reports: a flow that was refused to the caller
// although a server executed its request must count as an untrue refusal.
BOOST_AUTO_TEST_CASE(untrueRefusalIsReported)
{
    World world;
    world.tamper = [](std::vector<std::uint8_t> &packet) {
        const auto view = parsePacket(packet);
        if (view->has(tcpflag::syn))
            packet = buildPacket({ .key = view->key,
                                   .acknowledgement = view->acknowledgement,
                                   .flags = tcpflag::rst | tcpflag::ack });
    };
    world.run(std::chrono::seconds(1));
    auto counters = world.server.counters(world.now, 0);
    BOOST_TEST(world.fabric.report(nlohmann::json::array({ counters })).at("refused") > 0);
    BOOST_TEST(world.fabric.report(nlohmann::json::array({ counters })).at("untrueRefusals") == 0);
    counters["executed"]["s1-1"] = 1;
    BOOST_TEST(world.fabric.report(nlohmann::json::array({ counters })).at("untrueRefusals") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

#include "standin/backendserver.h"

#include <boost/test/unit_test.hpp>

using namespace cactusdeck;

namespace {

const Endpoint service{ 0xC633640A, 443 };
const Endpoint agent{ 0x7F000001, 8100 };

// Callers connected to one backend server, without packet loss or delay.
struct ServerFixture
{
    TimePoint now{};
    BackendServer server;
    std::map<Endpoint, TcpConnection> callers;

    explicit ServerFixture(BackendOptions options)
        : server(std::move(options), TimePoint{})
    { }

    void deliver(const std::vector<std::uint8_t> &packet)
    {
        PacketSends out;
        this->server.onPacket(packet, agent, this->now, out);
        this->toCallers(out);
    }

    void toCallers(PacketSends &out)
    {
        for (const PacketSend &send : std::exchange(out, {})) {
            const auto view = parsePacket(send.packet);
            PacketList answers;
            const auto found = this->callers.find(view->key.destination);
            if (found != this->callers.end())
                found->second.onPacket(*view, this->now, answers);
            for (const auto &answer : answers)
                this->deliver(answer);
        }
    }

    TcpConnection &connect(std::uint16_t port, Endpoint to = service)
    {
        PacketList packets;
        const Endpoint from{ 0x0A000001, port };
        auto caller = TcpConnection::connect({ .key = { from, to } }, this->now, packets);
        const auto place = this->callers.emplace(from, caller).first;
        this->deliver(packets.front());
        return place->second;
    }

    void request(TcpConnection &caller, const std::string &id)
    {
        PacketList packets;
        caller.write(encodeRequest({ .id = id, .answerBytes = 10 }), this->now, packets);
        for (const auto &packet : packets)
            this->deliver(packet);
    }

    void advance(std::chrono::milliseconds time)
    {
        PacketSends out;
        this->now += time;
        this->server.onTimer(this->now, out);
        this->toCallers(out);
    }

    nlohmann::json counters() const { return this->server.counters(this->now, 0); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(backendserver)

// Guards against a cold overload that is not counted, and against counting requests that the cold
// server has slots for or that reach it after it has warmed up.
BOOST_AUTO_TEST_CASE(coldOverloadIsCounted)
{
    ServerFixture fixture({ .addresses = { service }, .coldCompletions = 2, .coldSlots = 1 });
    TcpConnection &first = fixture.connect(1);
    TcpConnection &second = fixture.connect(2);
    fixture.request(first, "a-1");
    BOOST_TEST(fixture.counters().at("overloads") == 0);
    fixture.request(second, "b-1");
    BOOST_TEST(fixture.counters().at("overloads") == 1);
    fixture.advance(std::chrono::seconds(5));
    BOOST_TEST(fixture.counters().at("completions") == 2);
    BOOST_TEST(fixture.counters().at("isCold") == false);
    fixture.request(first, "a-2");
    fixture.request(second, "b-2");
    BOOST_TEST(fixture.counters().at("overloads") == 1);
}

// Guards against counting requests that were already on the way when the server silently turned
// cold as overloads caused by the load balancer.
BOOST_AUTO_TEST_CASE(overloadsAfterSilentColdAreCountedSeparately)
{
    ServerFixture fixture({ .addresses = { service }, .coldCompletions = 0, .coldSlots = 0 });
    TcpConnection &caller = fixture.connect(1);
    fixture.server.turnColdSilently(fixture.now);
    BOOST_TEST(fixture.server.health(fixture.now).at("status") == "serving");
    fixture.request(caller, "a-1");
    BOOST_TEST(fixture.counters().at("unwarnedOverloads") == 1);
    fixture.advance(std::chrono::seconds(2));
    fixture.server.turnColdSilently(fixture.now - std::chrono::seconds(2));
    fixture.request(caller, "a-2");
    BOOST_TEST(fixture.counters().at("overloads") == 1);
}

// Guards against a simulated server that hides delivery errors: it must count packets for another
// service and connections above its limit, and reset a connection that it does not have.
BOOST_AUTO_TEST_CASE(foreignPacketsAndSheddingAreCounted)
{
    ServerFixture fixture({ .addresses = { service }, .connections = 1, .coldCompletions = 0 });
    fixture.connect(1, { service.address, 80 });
    BOOST_TEST(fixture.counters().at("misdelivered") == 1);
    TcpConnection &first = fixture.connect(2);
    BOOST_TEST((first.state() == TcpState::Established));
    BOOST_TEST((fixture.connect(3).state() == TcpState::Refused));
    BOOST_TEST(fixture.counters().at("shed") == 1);
    fixture.server.restart(fixture.now);
    fixture.request(first, "a-1");
    BOOST_TEST((first.state() == TcpState::Reset));
    BOOST_TEST(fixture.counters().at("executed").empty());
}

// Guards against executing a request whose connection was reset while the request waited for a
// slot.
BOOST_AUTO_TEST_CASE(resetCancelsWaitingRequest)
{
    ServerFixture fixture({ .addresses = { service }, .slots = 1, .coldCompletions = 0 });
    TcpConnection &first = fixture.connect(1);
    TcpConnection &second = fixture.connect(2);
    fixture.request(first, "a-1");
    fixture.request(second, "b-1");
    PacketList packets;
    second.abort(packets);
    fixture.deliver(packets.front());
    fixture.advance(std::chrono::seconds(1));
    fixture.advance(std::chrono::seconds(1));
    BOOST_TEST(fixture.counters().at("cancelled") == 1);
    BOOST_TEST(fixture.counters().at("executed").contains("a-1"));
    BOOST_TEST(!fixture.counters().at("executed").contains("b-1"));
}

// Guards against a health endpoint that ignores its lag or its fixed status: tests of agents need
// servers whose reported health is outdated or wrong.
BOOST_AUTO_TEST_CASE(healthCanLagOrBeFixed)
{
    ServerFixture fixture({ .coldCompletions = 0, .healthLag = std::chrono::seconds(1) });
    const auto status = [&] { return fixture.server.health(fixture.now).at("status"); };
    BOOST_TEST(status() == "serving");
    fixture.server.drain(fixture.now);
    BOOST_TEST(status() == "serving");
    fixture.advance(std::chrono::milliseconds(1100));
    BOOST_TEST(status() == "draining");
    ServerFixture fixed({ .fixedHealthStatus = "serving" });
    fixed.server.drain(fixed.now);
    BOOST_TEST(fixed.server.health(fixed.now).at("status") == "serving");
}

BOOST_AUTO_TEST_SUITE_END()

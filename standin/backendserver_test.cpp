#include "standin/backendserver.h"

#include <boost/test/unit_test.hpp>

using namespace cactusdeck;

namespace {

const Endpoint service{ 0xC633640A, 443 };
const Endpoint agent{ 0x7F000001, 8100 };

// Callers that talk to one backend server over a perfect link.
struct Bench
{
    TimePoint now{};
    BackendServer server;
    std::map<Endpoint, TcpConnection> callers;

    explicit Bench(BackendOptions options)
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

    void pass(std::chrono::milliseconds time)
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

// Guards against a cold overload that isn't counted, or counted when the load was bearable.
BOOST_AUTO_TEST_CASE(coldOverloadIsCounted)
{
    Bench bench({ .addresses = { service }, .coldCompletions = 2, .coldSlots = 1 });
    TcpConnection &first = bench.connect(1);
    TcpConnection &second = bench.connect(2);
    bench.request(first, "a-1");
    BOOST_TEST(bench.counters().at("overloads") == 0);
    bench.request(second, "b-1");
    BOOST_TEST(bench.counters().at("overloads") == 1);
    bench.pass(std::chrono::seconds(5));
    BOOST_TEST(bench.counters().at("completions") == 2);
    BOOST_TEST(bench.counters().at("isCold") == false);
    bench.request(first, "a-2");
    bench.request(second, "b-2");
    BOOST_TEST(bench.counters().at("overloads") == 1);
}

// Guards against blaming the system for requests that were on the way when the server turned cold.
BOOST_AUTO_TEST_CASE(silentColdOverloadsAreCountedApart)
{
    Bench bench({ .addresses = { service }, .coldCompletions = 0, .coldSlots = 0 });
    TcpConnection &caller = bench.connect(1);
    bench.server.chill(bench.now);
    BOOST_TEST(bench.server.health(bench.now).at("status") == "serving");
    bench.request(caller, "a-1");
    BOOST_TEST(bench.counters().at("unwarnedOverloads") == 1);
    bench.pass(std::chrono::seconds(2));
    bench.server.chill(bench.now - std::chrono::seconds(2));
    bench.request(caller, "a-2");
    BOOST_TEST(bench.counters().at("overloads") == 1);
}

// Guards against a server that would hide a delivery error: packets for another service, for a
// connection it doesn't have, and connections above its limit.
BOOST_AUTO_TEST_CASE(foreignPacketsAndSheddingAreCounted)
{
    Bench bench({ .addresses = { service }, .connections = 1, .coldCompletions = 0 });
    bench.connect(1, { service.address, 80 });
    BOOST_TEST(bench.counters().at("misdelivered") == 1);
    TcpConnection &first = bench.connect(2);
    BOOST_TEST((first.state() == TcpState::Established));
    BOOST_TEST((bench.connect(3).state() == TcpState::Refused));
    BOOST_TEST(bench.counters().at("shed") == 1);
    bench.server.restart(bench.now);
    bench.request(first, "a-1");
    BOOST_TEST((first.state() == TcpState::Reset));
    BOOST_TEST(bench.counters().at("executed").empty());
}

// Guards against lost cancellations: a waiting request of a closed connection must not run.
BOOST_AUTO_TEST_CASE(resetCancelsWaitingRequest)
{
    Bench bench({ .addresses = { service }, .slots = 1, .coldCompletions = 0 });
    TcpConnection &first = bench.connect(1);
    TcpConnection &second = bench.connect(2);
    bench.request(first, "a-1");
    bench.request(second, "b-1");
    PacketList packets;
    second.abort(packets);
    bench.deliver(packets.front());
    bench.pass(std::chrono::seconds(1));
    bench.pass(std::chrono::seconds(1));
    BOOST_TEST(bench.counters().at("cancelled") == 1);
    BOOST_TEST(bench.counters().at("executed").contains("a-1"));
    BOOST_TEST(!bench.counters().at("executed").contains("b-1"));
}

// Guards against health that is always right, which no agent could be tested with.
BOOST_AUTO_TEST_CASE(healthLagsAndLies)
{
    Bench bench({ .coldCompletions = 0, .healthLag = std::chrono::seconds(1) });
    const auto status = [&] { return bench.server.health(bench.now).at("status"); };
    BOOST_TEST(status() == "serving");
    bench.server.drain(bench.now);
    BOOST_TEST(status() == "serving");
    bench.pass(std::chrono::milliseconds(1100));
    BOOST_TEST(status() == "draining");
    Bench liar({ .healthLie = "serving" });
    liar.server.drain(liar.now);
    BOOST_TEST(liar.server.health(liar.now).at("status") == "serving");
}

BOOST_AUTO_TEST_SUITE_END()

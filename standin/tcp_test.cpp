#include "standin/tcp.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <random>

using namespace cactusdeck;

namespace {

const FlowKey key{ { 0x0A000001, 4000 }, { 0xC633640A, 443 }, Protocol::Tcp };
constexpr std::chrono::milliseconds step{ 5 };

// Two ends of a connection over an in-memory link that drops, duplicates and reorders packets.
struct Pipe
{
    std::mt19937_64 random{ 11 };
    double loss = 0;
    TimePoint now{};
    std::optional<TcpConnection> caller;
    std::optional<TcpConnection> server;
    PacketList toServer;
    PacketList toCaller;
    std::string atServer;
    std::string atCaller;

    explicit Pipe(double lossRate)
        : loss(lossRate)
    {
        this->caller = TcpConnection::connect({ .key = key, .initialSequence = 0xFFFFFF00 },
                                              this->now, this->toServer);
    }

    PacketList impair(PacketList &packets)
    {
        std::uniform_real_distribution<double> share(0, 1);
        PacketList passed;
        for (auto &packet : std::exchange(packets, {})) {
            const bool isDuplicate = share(this->random) < this->loss;
            if (share(this->random) >= this->loss)
                passed.push_back(packet);
            if (isDuplicate)
                passed.push_back(packet);
        }
        if (this->loss > 0)
            std::shuffle(passed.begin(), passed.end(), this->random);
        return passed;
    }

    void runStep()
    {
        this->now += step;
        for (const auto &packet : this->impair(this->toServer)) {
            const auto view = parsePacket(packet);
            if (this->server)
                this->server->onPacket(*view, this->now, this->toCaller);
            else if (view->isSyn())
                this->server = TcpConnection::accept(
                        { .key = key.reversed(), .initialSequence = 0xFFFFFFF0 }, *view, this->now,
                        this->toCaller);
        }
        for (const auto &packet : this->impair(this->toCaller))
            this->caller->onPacket(*parsePacket(packet), this->now, this->toServer);
        this->caller->onTimer(this->now, this->toServer);
        this->atCaller += this->caller->takeReceived();
        if (this->server) {
            this->server->onTimer(this->now, this->toCaller);
            this->atServer += this->server->takeReceived();
        }
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        for (int i = 0; i < 20000 && !condition(); ++i)
            this->runStep();
        return condition();
    }
};

std::string textOf(std::size_t size)
{
    std::string text(size, ' ');
    for (std::size_t i = 0; i < size; ++i)
        text[i] = char('a' + i * 7 % 26);
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tcp)

// Guards against missing, repeated or misordered bytes when packets are lost, duplicated and
// reordered and sequence numbers wrap around, and against a close that never completes.
BOOST_AUTO_TEST_CASE(bothDirectionsAreCompleteOverLossyPipe)
{
    Pipe pipe(0.2);
    BOOST_REQUIRE(pipe.runUntil([&] { return pipe.caller->isOpen(); }));
    const std::string request = textOf(30000);
    const std::string answer = textOf(200000);
    pipe.caller->write(request, pipe.now, pipe.toServer);
    BOOST_REQUIRE(pipe.runUntil([&] { return pipe.atServer.size() >= request.size(); }));
    pipe.server->write(answer, pipe.now, pipe.toCaller);
    pipe.server->close(pipe.now, pipe.toCaller);
    BOOST_REQUIRE(pipe.runUntil([&] { return pipe.caller->isPeerClosed(); }));
    BOOST_TEST((pipe.atServer == request));
    BOOST_TEST((pipe.atCaller == answer));
    pipe.caller->close(pipe.now, pipe.toServer);
    BOOST_TEST(pipe.runUntil([&] {
        return pipe.caller->state() == TcpState::Closed && pipe.server->state() == TcpState::Closed;
    }));
}

// Guards against a server that does not answer the keep-alive probe by which a restarted agent
// finds out whether the server still has a connection. It must answer with a plain acknowledgement
// and leave the stream unchanged.
BOOST_AUTO_TEST_CASE(keepAliveProbeIsAcknowledged)
{
    Pipe pipe(0);
    BOOST_REQUIRE(pipe.runUntil(
            [&] { return pipe.server && pipe.server->isOpen() && pipe.caller->isOpen(); }));
    pipe.caller->write("abc", pipe.now, pipe.toServer);
    BOOST_REQUIRE(pipe.runUntil([&] { return pipe.atServer == "abc"; }));
    const std::uint32_t callerNext = 0xFFFFFF00 + 4;
    const auto probe = buildPacket({ .key = key,
                                     .sequence = callerNext - 1,
                                     .acknowledgement = 0xFFFFFFF1,
                                     .flags = tcpflag::ack });
    PacketList out;
    pipe.server->onPacket(*parsePacket(probe), pipe.now, out);
    BOOST_REQUIRE(out.size() == 1u);
    const auto view = parsePacket(out.front());
    BOOST_TEST(int(view->flags) == int(tcpflag::ack));
    BOOST_TEST(view->acknowledgement == callerNext);
    BOOST_TEST(view->payload.empty());
}

// Guards against a connection that a forged or late reset ends. Only an RST with the exact sequence
// number may end it (RFC 5961), so that each flow reported as reset received a reset that real TCP
// accepts too.
BOOST_AUTO_TEST_CASE(onlyExactResetEndsConnection)
{
    Pipe pipe(0);
    BOOST_REQUIRE(pipe.runUntil([&] { return pipe.server && pipe.caller->isOpen(); }));
    PacketList out;
    const auto reset = [&](std::uint32_t sequence) {
        const auto packet =
                buildPacket({ .key = key.reversed(), .sequence = sequence, .flags = tcpflag::rst });
        pipe.caller->onPacket(*parsePacket(packet), pipe.now, out);
    };
    reset(0xFFFFFFF0);
    reset(0xFFFFFFF9);
    BOOST_TEST(pipe.caller->isOpen());
    BOOST_TEST(out.size() == 1u); // challenge acknowledgement
    reset(0xFFFFFFF1);
    BOOST_TEST((pipe.caller->state() == TcpState::Reset));
}

// Guards against an established caller that accepts the SYN-ACK of a second server: it must answer
// with a challenge acknowledgement.
BOOST_AUTO_TEST_CASE(secondSynAckIsChallenged)
{
    Pipe pipe(0);
    BOOST_REQUIRE(pipe.runUntil([&] { return pipe.caller->isOpen(); }));
    const auto other = buildPacket({ .key = key.reversed(),
                                     .sequence = 5000,
                                     .acknowledgement = 0xFFFFFF01,
                                     .flags = tcpflag::syn | tcpflag::ack });
    PacketList out;
    pipe.caller->onPacket(*parsePacket(other), pipe.now, out);
    BOOST_REQUIRE(out.size() == 1u);
    BOOST_TEST(parsePacket(out.front())->acknowledgement == 0xFFFFFFF1);
    BOOST_TEST(pipe.caller->isOpen());
}

BOOST_AUTO_TEST_SUITE_END()

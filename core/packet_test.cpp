#include "core/packet.h"

#include <boost/test/unit_test.hpp>

#include <random>

#include "core/frame.h"
#include "core/message.h"

using namespace cactusdeck;

namespace {

const FlowKey key{ { 0x0A000001, 4000 }, { 0xC633640A, 443 }, Protocol::Tcp };

std::vector<std::uint8_t> forwardDatagram()
{
    ForwardFrame frame{ .flags = frameflag::newFlow,
                        .service = ServiceId(77),
                        .bucket = 9,
                        .digest = 5,
                        .configuration = 12,
                        .terms = { .priority = 2,
                                   .targetLatency = std::chrono::milliseconds(250),
                                   .timeout = std::chrono::milliseconds(1500) },
                        .replyTo = { 0x7F000001, 7100 },
                        .hopIndex = 1,
                        .hopCount = 2 };
    frame.hops[0] = { { 0x7F000001, 8000 }, 3 };
    frame.hops[1] = { { 0x7F000001, 8001 }, 4 };
    FrameBuffer buffer;
    const auto header = encodeForward(frame, buffer);
    std::vector<std::uint8_t> datagram(header.begin(), header.end());
    const auto packet = buildPacket({ .key = key, .flags = tcpflag::syn });
    datagram.insert(datagram.end(), packet.begin(), packet.end());
    return datagram;
}

// True if the bytes decode as a control message.
bool decodes(std::span<const std::uint8_t> bytes)
{
    return leaf::try_handle_all(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(decodeMessage(bytes));
                return true;
            },
            [] { return false; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(packet)

BOOST_AUTO_TEST_CASE(packetRoundTrip)
{
    const std::uint8_t payload[] = { 'h', 'i', '!' };
    const auto bytes = buildPacket({ .key = key,
                                     .sequence = 100,
                                     .acknowledgement = 200,
                                     .flags = tcpflag::ack | tcpflag::psh,
                                     .payload = payload });
    const auto view = parsePacket(bytes);
    BOOST_REQUIRE(view);
    BOOST_TEST((view->key == key));
    BOOST_TEST(view->sequence == 100u);
    BOOST_TEST(view->acknowledgement == 200u);
    BOOST_TEST(view->payload.size() == 3u);
    BOOST_TEST(!view->isSyn());
}

// Guards against a reset that the caller's TCP ignores: a reset that answers a SYN must acknowledge
// that SYN.
BOOST_AUTO_TEST_CASE(resetOfSynAcknowledgesIt)
{
    const auto syn = buildPacket({ .key = key, .sequence = 41, .flags = tcpflag::syn });
    const auto reset = buildResetFor(*parsePacket(syn));
    const auto view = parsePacket(reset);
    BOOST_REQUIRE(view);
    BOOST_TEST((view->key == key.reversed()));
    BOOST_TEST(view->acknowledgement == 42u);
    BOOST_TEST(int(view->flags) == int(tcpflag::rst | tcpflag::ack));
}

BOOST_AUTO_TEST_CASE(forwardFrameRoundTrip)
{
    const auto datagram = forwardDatagram();
    const auto frame = decodeForward(datagram);
    BOOST_REQUIRE(frame);
    BOOST_TEST(frame->hopCount == 2);
    BOOST_TEST(frame->hops[1].incarnation == 4u);
    BOOST_TEST(frame->configuration == 12u);
    BOOST_TEST((frame->terms
                == RequestTerms{ .priority = 2,
                                 .targetLatency = std::chrono::milliseconds(250),
                                 .timeout = std::chrono::milliseconds(1500) }));
    BOOST_TEST(parsePacket(frame->packet).has_value());
}

// Guards against reads past the end of a truncated or corrupt datagram. Only a build with
// sanitizers detects all of them.
BOOST_AUTO_TEST_CASE(mutatedDatagramsAreRejectedOrParsed)
{
    std::mt19937_64 random(7);
    const auto frame = forwardDatagram();
    NodeRecord record{ .id = { "agent-1" }, .zone = { "amman-a" }, .group = { "booking" } };
    const auto message = encodeMessage(Gossip{ .from = { "b1" }, .records = { record, record } });
    BOOST_TEST(decodes(message));
    std::size_t rejected = 0;
    for (int round = 0; round < 20000; ++round) {
        std::vector<std::uint8_t> bytes = round % 2 == 0 ? frame : message;
        for (std::uint64_t i = random() % 4 + 1; i > 0; --i)
            bytes[random() % bytes.size()] = std::uint8_t(random());
        bytes.resize(bytes.size() - random() % std::min<std::size_t>(bytes.size(), 40));
        // A copy without spare capacity, so that sanitizers detect a read past the end.
        const std::vector<std::uint8_t> exact(bytes.begin(), bytes.end());
        const auto forward = decodeForward(exact);
        if (!forward || !parsePacket(forward->packet))
            ++rejected;
        decodes(exact);
        decodeReply(exact);
        decodeAttach(exact);
    }
    BOOST_TEST(rejected > 10000u);
}

BOOST_AUTO_TEST_CASE(messageWithWrongTypesIsRejected)
{
    const auto wrong = nlohmann::json::to_cbor(nlohmann::json::array({ 1, 8, "text" }));
    BOOST_TEST(!decodes(wrong));
    const auto version = nlohmann::json::to_cbor(nlohmann::json::array({ 9, 8, nullptr }));
    BOOST_TEST(!decodes(version));
}

BOOST_AUTO_TEST_SUITE_END()

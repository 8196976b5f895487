#include "node/datasocket.h"

#include <boost/test/unit_test.hpp>

#include <poll.h>

#include "node/outcome.h"

using namespace cactusdeck;

namespace {

DataSocket bindLoopback()
{
    auto socket = outcomeOf([] { return DataSocket::bind({ 0x7F000001, 0 }); });
    BOOST_REQUIRE_MESSAGE(socket, socket.error.message);
    return std::move(*socket.value);
}

// Receives the next batch. Over loopback a datagram has arrived when sendmmsg returns, so the
// timeout of 10 s is only reached if a datagram is lost.
std::size_t waitAndReceive(DataSocket &socket)
{
    pollfd descriptor{ socket.descriptor(), POLLIN, 0 };
    poll(&descriptor, 1, 10000);
    return socket.receive();
}

std::vector<std::uint8_t> bytesOf(std::size_t size, std::uint8_t value)
{
    return std::vector<std::uint8_t>(size, value);
}

} // namespace

BOOST_AUTO_TEST_SUITE(dataSocket)

// Guards against batches that lose, corrupt or reorder datagrams, also if more datagrams are queued
// than fit into one batch.
BOOST_AUTO_TEST_CASE(batchRoundTrip)
{
    DataSocket sender = bindLoopback();
    DataSocket receiver = bindLoopback();
    constexpr std::size_t count = batchSize + 10;
    for (std::size_t i = 0; i < count; ++i) {
        const auto header = bytesOf(i % 3, 0xAA);
        const auto packet = bytesOf(i + 1, std::uint8_t(i));
        sender.queue(receiver.local(), header, packet, PacketLifetime::Temporary);
    }
    sender.flush();
    BOOST_TEST(sender.takeCounts().sent == count);
    std::size_t next = 0;
    while (next < count) {
        const std::size_t received = waitAndReceive(receiver);
        BOOST_REQUIRE(received > 0u);
        for (std::size_t i = 0; i < received; ++i, ++next) {
            const Datagram datagram = receiver.datagram(i);
            BOOST_TEST((datagram.from == sender.local()));
            BOOST_TEST(datagram.bytes.size() == next % 3 + next + 1);
            BOOST_TEST(datagram.bytes.back() == std::uint8_t(next));
        }
    }
}

// Guards against a forwarded packet that is corrupted: it is sent from the receive buffer, behind a
// new header, without being copied.
BOOST_AUTO_TEST_CASE(receivedPacketIsForwardedFromItsBuffer)
{
    DataSocket first = bindLoopback();
    DataSocket middle = bindLoopback();
    DataSocket last = bindLoopback();
    first.queue(middle.local(), {}, bytesOf(1400, 7), PacketLifetime::Temporary);
    first.flush();
    BOOST_REQUIRE(waitAndReceive(middle) == 1u);
    const auto packet = middle.datagram(0).bytes;
    BOOST_TEST(middle.isInReceiveBuffers(packet));
    BOOST_TEST(!first.isInReceiveBuffers(packet));
    middle.queue(last.local(), bytesOf(60, 1), packet, PacketLifetime::Stable);
    middle.flush();
    BOOST_REQUIRE(waitAndReceive(last) == 1u);
    const auto bytes = last.datagram(0).bytes;
    BOOST_REQUIRE(bytes.size() == 1460u);
    BOOST_TEST(bytes[59] == 1);
    BOOST_TEST(bytes[60] == 7);
}

// Guards against a flush that stops at a datagram that can't be sent and drops the ones behind it.
// The first datagram can't be sent because of port 0, the last one because of its length.
BOOST_AUTO_TEST_CASE(datagramThatFailsToSendDoesNotAffectOthers)
{
    DataSocket sender = bindLoopback();
    DataSocket receiver = bindLoopback();
    sender.queue({ 0x7F000001, 0 }, {}, bytesOf(1, 1), PacketLifetime::Temporary);
    sender.queue(receiver.local(), {}, bytesOf(1, 2), PacketLifetime::Temporary);
    sender.queue(receiver.local(), {}, bytesOf(datagramCapacity + 1, 3), PacketLifetime::Temporary);
    sender.flush();
    const auto counts = sender.takeCounts();
    BOOST_TEST(counts.sent == 1u);
    BOOST_TEST(counts.dropped == 2u);
    BOOST_REQUIRE(waitAndReceive(receiver) == 1u);
    BOOST_TEST(receiver.datagram(0).bytes[0] == 2);
}

// Guards against a truncated packet that is handled as if it were complete.
BOOST_AUTO_TEST_CASE(longDatagramIsMarkedAsTruncated)
{
    DataSocket sender = bindLoopback();
    DataSocket receiver = bindLoopback();
    sender.queue(receiver.local(), bytesOf(100, 1), bytesOf(datagramCapacity, 2),
                 PacketLifetime::Temporary);
    sender.flush();
    BOOST_REQUIRE(waitAndReceive(receiver) == 1u);
    BOOST_TEST(receiver.datagram(0).truncated);
}

BOOST_AUTO_TEST_CASE(bindErrorNamesTheOccupiedEndpoint)
{
    const DataSocket socket = bindLoopback();
    const auto second = outcomeOf([&] { return DataSocket::bind(socket.local()); });
    BOOST_TEST((second.error.kind == ErrorKind::Io));
    BOOST_TEST(second.error.message.find(toString(socket.local())) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

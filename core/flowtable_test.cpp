#include "core/flowtable.h"

#include <boost/test/unit_test.hpp>

#include "core/holdingsreporter.h"

using namespace cactusdeck;
using namespace std::chrono_literals;

namespace {

const FlowKey key{ { 0x0A000001, 4000 }, { 0xC633640A, 443 }, Protocol::Tcp };
const ServiceId service{ 7 };
const TimePoint start{ 1000s };

// A packet with given sequence numbers, and a view of its bytes.
struct Segment
{
    explicit Segment(PacketOptions options)
        : bytes(buildPacket(options))
        , view(*parsePacket(this->bytes))
    { }
    std::vector<std::uint8_t> bytes;
    PacketView view;
};

Segment fromCaller(std::uint32_t sequence, std::uint32_t acknowledgement,
                   std::uint8_t flags = tcpflag::ack, std::span<const std::uint8_t> payload = {})
{
    return Segment({ key, sequence, acknowledgement, flags, payload });
}

Segment fromServer(std::uint32_t sequence, std::uint32_t acknowledgement,
                   std::uint8_t flags = tcpflag::ack, std::span<const std::uint8_t> payload = {})
{
    return Segment({ key.reversed(), sequence, acknowledgement, flags, payload });
}

constexpr std::uint8_t synAck = tcpflag::syn | tcpflag::ack;
constexpr std::uint8_t finAck = tcpflag::fin | tcpflag::ack;

// A flow after its handshake: caller ISN 100, server ISN 5000.
Flow &establish(FlowTable &table, std::uint32_t callerIsn = 100, std::uint32_t serverIsn = 5000)
{
    Flow &flow = table.openTcp(key, service, callerIsn, start);
    table.recordServerPacket(flow, fromServer(serverIsn, callerIsn + 1, synAck).view, start);
    table.recordCallerPacket(flow, fromCaller(callerIsn + 1, serverIsn + 1).view, start);
    return flow;
}

} // namespace

BOOST_AUTO_TEST_SUITE(flowtable)

// Guards against delivery of payload that belongs to another server's connection: a packet that
// acknowledges another server's SYN must not be accepted for this agent's flow.
BOOST_AUTO_TEST_CASE(acknowledgementDecidesOwnership)
{
    FlowTable table;
    Flow &flow = table.openTcp(key, service, 100, start);
    BOOST_TEST(!flow.acceptsFromCaller(fromCaller(101, 5001).view)); // nothing sent yet
    table.recordServerPacket(flow, fromServer(5000, 101, synAck).view, start);
    BOOST_TEST(!flow.acceptsFromCaller(fromCaller(101, 5002).view));
    BOOST_TEST(!flow.acceptsFromCaller(fromCaller(101, 5000).view));
    BOOST_TEST(!flow.acceptsFromCaller(fromCaller(101, 0, 0).view)); // neither ACK nor RST
    BOOST_TEST(flow.acceptsFromCaller(fromCaller(101, 5001).view));
    BOOST_TEST(flow.isConnectedElsewhere(fromCaller(101, 9001).view));
    // A delayed packet of an earlier flow doesn't prove that this SYN found another server.
    BOOST_TEST(!flow.isConnectedElsewhere(fromCaller(50, 9001).view));
}

// Guards against acknowledgements that are refused, or accepted wrongly, after sequence numbers
// have wrapped at 4 GiB.
BOOST_AUTO_TEST_CASE(windowsFollowLongFlows)
{
    FlowTable table;
    Flow &flow = establish(table, 0xFFFFFF00, 0xFFFFFFF0);
    std::uint32_t sequence = 0xFFFFFFF1;
    const std::vector<std::uint8_t> payload(60000);
    for (int i = 0; i < 100000; ++i) { // 6 GB
        table.recordServerPacket(flow, fromServer(sequence, 0xFFFFFF01, tcpflag::ack, payload).view,
                                 start);
        sequence += std::uint32_t(payload.size());
        const Segment ack = fromCaller(0xFFFFFF01, sequence);
        BOOST_REQUIRE(flow.acceptsFromCaller(ack.view));
        table.recordCallerPacket(flow, ack.view, start);
    }
    BOOST_TEST(!flow.acceptsFromCaller(fromCaller(0xFFFFFF01, sequence + 1).view));
    BOOST_TEST(!flow.acceptsFromCaller(fromCaller(0xFFFFFF01, sequence - (1u << 30)).view));
}

// Guards against a response of an earlier flow that reaches the caller of a new flow on the same
// port.
BOOST_AUTO_TEST_CASE(lateResponseDoesNotAnswerNewFlow)
{
    FlowTable table;
    const std::uint8_t payload[] = { 'o', 'l', 'd' };
    Flow &old = establish(table, 100, 5000);
    const Segment late = fromServer(5001, 101, tcpflag::ack, payload);
    BOOST_TEST(old.acceptsFromServer(late.view));
    table.close(old, FlowState::Reset, start);
    Flow &flow = establish(table, 70000, 900000);
    BOOST_TEST(!flow.acceptsFromServer(late.view));
    BOOST_TEST(!flow.acceptsFromServer(fromServer(5001, 0, tcpflag::rst).view));
    BOOST_TEST(flow.acceptsFromServer(fromServer(900001, 70001, tcpflag::ack, payload).view));
}

// Guards against flows that still count as open after both sides have closed, and against counters
// that are decremented twice.
BOOST_AUTO_TEST_CASE(closingReachesTimeWait)
{
    FlowTable table;
    Flow &flow = establish(table);
    BOOST_TEST(table.openCount() == 1u);
    table.recordCallerPacket(flow, fromCaller(101, 5001, finAck).view, start);
    BOOST_TEST(int(flow.state) == int(FlowState::Closing));
    table.recordServerPacket(flow, fromServer(5001, 102, finAck).view, start);
    BOOST_TEST(int(flow.state) == int(FlowState::Closing));
    table.recordCallerPacket(flow, fromCaller(102, 5002).view, start);
    BOOST_TEST(int(flow.state) == int(FlowState::TimeWait));
    BOOST_TEST(table.openCount() == 0u);
    BOOST_TEST(table.countIn(service, flow.bucket) == 0u);
    const auto idle = [](ServiceId) -> Duration { return 10h; };
    std::size_t expired = 0;
    table.expire(start + FlowTable::timeWait, idle, [&](Flow &) { ++expired; });
    BOOST_TEST(expired == 0u);
    table.expire(start + FlowTable::timeWait + 1ms, idle, [&](Flow &) { ++expired; });
    BOOST_TEST(expired == 1u);
    BOOST_TEST(table.size() == 0u);
    BOOST_TEST(table.openCount() == 0u);
}

// Guards against a forged or delayed reset that closes the flow in the table although the server
// ignores the reset and keeps the connection.
BOOST_AUTO_TEST_CASE(onlyExactResetOfCallerCloses)
{
    FlowTable table;
    Flow &flow = establish(table);
    const std::vector<std::uint8_t> payload(1000);
    table.recordCallerPacket(flow, fromCaller(101, 5001, tcpflag::ack, payload).view, start);
    table.recordCallerPacket(flow, fromCaller(500, 5001, tcpflag::rst | tcpflag::ack).view, start);
    BOOST_TEST(!flow.isClosed());
    BOOST_TEST(!flow.acceptsFromCaller(fromCaller(5000, 0, tcpflag::rst).view));
    table.recordCallerPacket(flow, fromCaller(1101, 5001, tcpflag::rst | tcpflag::ack).view, start);
    BOOST_TEST(int(flow.state) == int(FlowState::Reset));
}

// Guards against flows that expire before or long after the idle timeout of their service.
BOOST_AUTO_TEST_CASE(idleTimeoutComesFromTheContract)
{
    FlowTable table;
    establish(table);
    const auto idle = [](ServiceId) -> Duration { return 600s; };
    std::size_t expired = 0;
    table.expire(start + 600s, idle, [&](Flow &) { ++expired; });
    BOOST_TEST(expired == 0u);
    table.expire(start + 601s, idle, [&](Flow &) { ++expired; });
    BOOST_TEST(expired == 1u);
}

// Guards against holdings reports that leave out a bucket with flows of which the agent isn't a
// home agent, that name a bucket of which it is one, or that are repeated without a change.
BOOST_AUTO_TEST_CASE(holdingsAreBucketsAwayFromHome)
{
    FlowTable table;
    HoldingsReporter reporter(NodeId{ "a0" });
    std::vector<Member> members{ { { "a0" }, 1 } };
    reporter.setMembers(service, members);
    const Flow &flow = establish(table);
    auto report = reporter.update(service, table); // first report under this table
    BOOST_REQUIRE(report);
    BOOST_TEST(bucketsOf(*report).empty());
    BOOST_TEST(!reporter.update(service, table));
    // Members join until a0 is no longer a home agent of the bucket.
    for (int i = 1; PlacementTable(members).isHome(flow.bucket, { "a0" }); ++i)
        members.push_back({ { std::string("a").append(std::to_string(i)) }, 1 });
    reporter.setMembers(service, members);
    report = reporter.update(service, table);
    BOOST_REQUIRE(report);
    BOOST_TEST(report->digest == PlacementTable(members).digest());
    BOOST_REQUIRE(bucketsOf(*report).size() == 1u);
    BOOST_TEST(bucketsOf(*report)[0] == flow.bucket);
    table.erase(key);
    report = reporter.update(service, table);
    BOOST_REQUIRE(report);
    BOOST_TEST(bucketsOf(*report).empty());
}

BOOST_AUTO_TEST_SUITE_END()

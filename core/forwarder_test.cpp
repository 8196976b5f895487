#include "core/forwarder.h"

#include <boost/test/unit_test.hpp>

#include <set>

#include <roaring/roaring.h>

#include "core/holdingsindex.h"

using namespace cactusdeck;
using namespace std::chrono_literals;

namespace {

const Endpoint service{ 0xC633640A, 443 };
const Endpoint balancer{ 0x7F000001, 7100 };

FlowKey flow(std::uint16_t port, Protocol protocol = Protocol::Tcp)
{
    return { { 0x0A000001, port }, service, protocol };
}

// A forwarder with one service carried by several agents, and helpers that send packets and
// replies.
struct Fixture
{
    explicit Fixture(int agentCount)
        : forwarder({ .replyTo = balancer, .flowCacheEntries = 1 << 10 })
    {
        for (int i = 0; i < agentCount; ++i)
            this->records.push_back({ .id = { "agent-" + std::to_string(i) },
                                      .role = Role::Agent,
                                      .data = { 0x7F000001, std::uint16_t(8000 + i) },
                                      .incarnation = 5,
                                      .weight = 4 });
        this->rebuild({});
    }

    void rebuild(const ServiceReports &reports)
    {
        std::vector<Member> members;
        ServiceRoute route{ .id = ServiceId(7) };
        for (const NodeRecord &record : this->records) {
            route.serviceAgents.push_back(
                    this->forwarder.agents().update(record, this->zoneOut.contains(record.id)));
            if (record.phase != Phase::Draining && !this->zoneOut.contains(record.id))
                members.push_back({ record.id, record.weight });
        }
        route.table = PlacementTable(members);
        for (const Member &member : route.table.members())
            route.memberSlots.push_back(*this->forwarder.agents().find(member.id));
        indexHoldings(reports, this->forwarder.agents(), route);
        this->digest = route.table.digest();
        this->forwarder.routing().setService(std::move(route), { { service, Protocol::Tcp } });
    }

    RouteReason send(std::uint16_t port, std::uint8_t flags)
    {
        const auto bytes = buildPacket({ .key = flow(port), .flags = flags });
        return this->forwarder.route(*parsePacket(bytes), this->now, this->frame);
    }

    void reply(std::uint16_t port, Verdict verdict, Endpoint agent, std::uint16_t utilisation = 0)
    {
        this->forwarder.onReply({ .verdict = verdict,
                                  .service = ServiceId(7),
                                  .flowHash = hashOf(flow(port)),
                                  .agent = agent,
                                  .incarnation = 5,
                                  .utilisation = utilisation },
                                this->now);
    }

    Forwarder forwarder;
    std::vector<NodeRecord> records;
    std::set<NodeId> zoneOut;
    TableDigest digest = 0;
    ForwardFrame frame;
    TimePoint now{ 1h };
};

std::vector<std::uint8_t> bitmapOf(Bucket bucket)
{
    roaring_bitmap_t *bitmap = roaring_bitmap_create();
    roaring_bitmap_add(bitmap, bucket);
    std::vector<std::uint8_t> bytes(roaring_bitmap_portable_size_in_bytes(bitmap));
    roaring_bitmap_portable_serialize(bitmap, reinterpret_cast<char *>(bytes.data()));
    roaring_bitmap_free(bitmap);
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(forwarder)

BOOST_AUTO_TEST_CASE(unknownAddressIsDropped)
{
    Fixture fixture(2);
    const auto bytes =
            buildPacket({ .key = { { 1, 2 }, { 3, 4 }, Protocol::Tcp }, .flags = tcpflag::syn });
    const auto reason = fixture.forwarder.route(*parsePacket(bytes), fixture.now, fixture.frame);
    BOOST_TEST((reason == RouteReason::UnknownService));
}

// Guards against loss of a flow when the balancer that cached its owner is replaced: without a
// cache entry the chain must name all agents of a service that has at most maxHops of them.
BOOST_AUTO_TEST_CASE(unknownFlowIsOfferedToAllAgents)
{
    Fixture fixture(7);
    BOOST_TEST((fixture.send(4000, tcpflag::ack) == RouteReason::Lookup));
    BOOST_TEST(fixture.frame.hopCount == 7);
    BOOST_TEST(!fixture.frame.has(frameflag::newFlow));
    BOOST_TEST(fixture.frame.has(frameflag::replyWanted));
}

// Guards against loss of a flow whose SYN two agents accepted: until an agent is confirmed as the
// owner by the caller's acknowledgement, packets must be offered to the other agents as well.
BOOST_AUTO_TEST_CASE(acceptedFlowKeepsTheFullChainUntilItIsConfirmed)
{
    Fixture fixture(7);
    fixture.send(4000, tcpflag::syn);
    fixture.reply(4000, Verdict::Accepted, fixture.records[6].data);
    BOOST_TEST((fixture.send(4000, tcpflag::ack) == RouteReason::Lookup));
    BOOST_TEST((fixture.frame.hops[0].agent == fixture.records[6].data));
    BOOST_TEST(fixture.frame.hopCount == 7);
    fixture.reply(4000, Verdict::Owner, fixture.records[2].data);
    fixture.reply(4000, Verdict::Accepted, fixture.records[6].data);
    BOOST_TEST((fixture.send(4000, tcpflag::ack) == RouteReason::CachedOwner));
    BOOST_TEST((fixture.frame.hops[0].agent == fixture.records[2].data));
    BOOST_TEST(fixture.frame.hopCount == 1);
}

BOOST_AUTO_TEST_CASE(confirmedFlowGoesToItsOwner)
{
    Fixture fixture(7);
    fixture.send(4000, tcpflag::ack);
    fixture.reply(4000, Verdict::Owner, fixture.records[6].data);
    BOOST_TEST((fixture.send(4000, tcpflag::ack) == RouteReason::CachedOwner));
    BOOST_TEST((fixture.frame.hops[0].agent == fixture.records[6].data));
    BOOST_TEST(fixture.frame.hops[0].incarnation == 5u);
}

// Guards against forwarding packets of a cached flow to an agent that uses the address of a removed
// agent.
BOOST_AUTO_TEST_CASE(reusedAgentAddressInvalidatesTheCache)
{
    Fixture fixture(3);
    fixture.send(4000, tcpflag::ack);
    fixture.reply(4000, Verdict::Owner, fixture.records[2].data);
    fixture.forwarder.agents().remove(fixture.records[2].id);
    fixture.records[2].id = { "other" };
    fixture.rebuild({});
    BOOST_TEST((fixture.send(4000, tcpflag::ack) == RouteReason::Lookup));
}

// Guards against a SYN whose retransmissions all go first to the same failed agent.
BOOST_AUTO_TEST_CASE(retriedSynGoesToTheOtherHomeFirst)
{
    Fixture fixture(4);
    BOOST_TEST((fixture.send(4000, tcpflag::syn) == RouteReason::NewFlow));
    const Hop first = fixture.frame.hops[0];
    BOOST_TEST((fixture.send(4000, tcpflag::syn) == RouteReason::RetriedNewFlow));
    BOOST_TEST((fixture.frame.hops[0] != first));
    BOOST_TEST((fixture.frame.hops[1] == first));
}

// Guards against an unresponsive agent that is sent its share of new flows until the membership
// protocol notices the failure.
BOOST_AUTO_TEST_CASE(silentAgentGetsNoFurtherNewFlows)
{
    Fixture fixture(4);
    const Endpoint silent = fixture.records[0].data;
    const auto sendBurst = [&](std::uint16_t from) {
        int toSilent = 0;
        for (std::uint16_t port = from; port < from + 200; ++port) {
            fixture.send(port, tcpflag::syn);
            const Endpoint first = fixture.frame.hops[0].agent;
            if (first == silent)
                ++toSilent;
            else
                fixture.reply(port, Verdict::Accepted, first, 500);
        }
        return toSilent;
    };
    BOOST_TEST(sendBurst(1000) >= 3);
    fixture.now += 300ms;
    BOOST_TEST(sendBurst(2000) == 0);
}

BOOST_AUTO_TEST_CASE(lessLoadedHomeTakesNewFlows)
{
    Fixture fixture(2);
    fixture.reply(1, Verdict::Owner, fixture.records[0].data, 900);
    fixture.reply(1, Verdict::Owner, fixture.records[1].data, 100);
    for (std::uint16_t port = 4000; port < 4005; ++port) {
        fixture.send(port, tcpflag::syn);
        BOOST_TEST((fixture.frame.hops[0].agent == fixture.records[1].data));
    }
}

// Guards against SYNs that are forwarded through all agents of a service whose agents are full.
BOOST_AUTO_TEST_CASE(declinesUseUpTheRetryBudget)
{
    Fixture fixture(7);
    fixture.send(1000, tcpflag::syn);
    BOOST_TEST(fixture.frame.hopCount == 7);
    for (std::uint16_t port = 1001; port < 1200; ++port) {
        fixture.send(port, tcpflag::syn);
        fixture.reply(port, Verdict::Declined, fixture.records[3].data, fullUtilisation);
    }
    fixture.send(1200, tcpflag::syn);
    BOOST_TEST(fixture.frame.hopCount == 2);
}

// Guards against loss of flows after membership changes: the chain must include an agent that
// reported flows in the bucket even if it is no longer in the table, and an agent whose report was
// made under another table.
BOOST_AUTO_TEST_CASE(reportedHoldersAndUnconfirmedAgentsAreAsked)
{
    Fixture fixture(20);
    fixture.records[5].phase = Phase::Draining;
    fixture.rebuild({});
    const Bucket bucket = bucketOf(hashOf(flow(4000)));
    ServiceReports reports;
    for (const NodeRecord &record : fixture.records)
        reports[record.id] = {
            .agent = record.id,
            .digest = fixture.digest,
            .buckets = bitmapOf(record.id == fixture.records[5].id ? bucket : Bucket(bucket + 1))
        };
    reports[fixture.records[9].id].digest = fixture.digest + 1;
    fixture.rebuild(reports);
    fixture.send(4000, tcpflag::ack);
    std::set<Endpoint> asked;
    for (std::size_t i = 0; i < fixture.frame.hopCount; ++i)
        asked.insert(fixture.frame.hops[i].agent);
    BOOST_TEST(asked.contains(fixture.records[5].data));
    BOOST_TEST(asked.contains(fixture.records[9].data));
}

// Guards against packets that are still routed into a failure domain that is out of service, from a
// cache entry or from the placement table.
BOOST_AUTO_TEST_CASE(zoneOutReceivesNothing)
{
    Fixture fixture(3);
    fixture.send(4000, tcpflag::ack);
    fixture.reply(4000, Verdict::Owner, fixture.records[1].data);
    fixture.zoneOut.insert(fixture.records[1].id);
    fixture.rebuild({});
    BOOST_TEST((fixture.send(4000, tcpflag::ack) == RouteReason::ZoneOut));
    for (std::uint16_t port = 5000; port < 5100; ++port) {
        fixture.send(port, port % 2 == 0 ? tcpflag::syn : tcpflag::ack);
        for (std::size_t i = 0; i < fixture.frame.hopCount; ++i)
            BOOST_TEST((fixture.frame.hops[i].agent != fixture.records[1].data));
    }
}

BOOST_AUTO_TEST_SUITE_END()

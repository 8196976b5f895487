#include <boost/test/unit_test.hpp>

#include "mesh/meshworld_test.h"

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace cactusdeck::mesh::test;

// Requests that an agent holds until its server has a free slot.

namespace {

const Endpoint booking{ 0xC6120001u, 443 };
const Endpoint balancer{ 0x0A000001u, 7000 };
const Endpoint agentEndpoint{ 0x0A000002u, 7000 };
const Endpoint server{ 0x0A000002u, 8000 };
constexpr std::uint32_t callerStart = 77;
constexpr std::uint32_t serverStart = 5000;

class RecordingSink : public Sink
{
public:
    void toServer(std::span<const std::uint8_t> packet) override
    {
        this->serverPackets.push_back(headOf(*parseSegment(packet)));
    }
    void toCaller(Endpoint, std::span<const std::uint8_t> packet) override
    {
        this->callerPackets.push_back(headOf(*parseSegment(packet)));
    }
    void toNode(Endpoint, std::span<const std::uint8_t>, std::span<const std::uint8_t>) override { }
    void log(Level, const char *, EventFields) override { }

    std::vector<Head> serverPackets;
    std::vector<Head> callerPackets;
};

// An agent whose server has one slot.
struct Fixture
{
    Fixture()
    {
        this->agent.start(this->now, this->sink);
        this->agent.onHeartbeat({ .instance = "server",
                                  .startedAt = 1,
                                  .sequence = 1,
                                  .service = ServiceName{ "booking" },
                                  .address = server,
                                  .slots = 1 },
                                this->now, this->sink);
    }

    void fromCaller(const Head &head)
    {
        ForwardFrame frame{ .service = serviceIdOf(ServiceName{ "booking" }),
                            .terms = this->terms,
                            .replyTo = balancer,
                            .hopCount = 1 };
        frame.hops[0].agent = agentEndpoint;
        FrameBuffer buffer;
        const auto header = encodeForward(frame, buffer);
        const Bytes packet = encodeSegment(head);
        Bytes datagram(header.begin(), header.end());
        datagram.insert(datagram.end(), packet.begin(), packet.end());
        this->agent.onDatagram(datagram, balancer, this->now, this->sink);
    }
    void fromServer(const Head &head)
    {
        this->agent.onServerPacket(encodeSegment(head), this->now, this->sink);
    }
    // Opens a flow from the port. Its first request has the sequence number start + 1.
    void open(std::uint16_t port, std::uint32_t start = callerStart)
    {
        Head head = opening(callerOf(port), booking);
        head.sequence = start;
        this->fromCaller(head);
        this->fromServer({ .source = booking,
                           .destination = callerOf(port),
                           .sequence = serverStart,
                           .acknowledgement = start + 1,
                           .flags = tcpflag::syn | tcpflag::ack });
    }
    Head requestOf(std::uint16_t port, std::uint32_t sequence,
                   std::uint32_t acknowledgement = serverStart + 1) const
    {
        return { .source = callerOf(port),
                 .destination = booking,
                 .sequence = sequence,
                 .acknowledgement = acknowledgement,
                 .length = 10,
                 .flags = tcpflag::ack };
    }
    Head answerTo(std::uint16_t port, std::uint32_t sequence = serverStart + 1) const
    {
        return { .source = booking,
                 .destination = callerOf(port),
                 .sequence = sequence,
                 .length = 100,
                 .flags = tcpflag::ack };
    }
    // Runs the agent's timers.
    void run(Duration duration)
    {
        const TimePoint end = this->now + duration;
        while (this->agent.nextTimer() <= end) {
            this->now = std::max(this->now, this->agent.nextTimer());
            this->agent.onTimer(this->now, this->sink);
            this->agent.takeServerCheck(this->now);
        }
        this->now = end;
    }
    // The requests that the server has got from the port, by sequence number.
    std::vector<std::uint32_t> requestsOf(std::uint16_t port) const
    {
        std::vector<std::uint32_t> sequences;
        for (const Head &head : this->sink.serverPackets) {
            if (head.source == callerOf(port) && head.length > 0)
                sequences.push_back(head.sequence);
        }
        return sequences;
    }

    using Sequences = std::vector<std::uint32_t>;

    TimePoint now{ 1h };
    RequestTerms terms{ .priority = 1, .targetLatency = 250ms, .timeout = 1500ms };
    RecordingSink sink;
    Agent agent{ { .name = NodeId{ "a1" },
                   .zone = ZoneName{ "zone-a" },
                   .service = ServiceName{ "booking" },
                   .mesh = agentEndpoint,
                   .server = server,
                   .seeds = { balancer },
                   .codec = &testCodec,
                   .requestSchedulingMaxSlots = 2 } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(heldRequests, Fixture)

BOOST_AUTO_TEST_CASE(aRequestWaitsForTheAnswerToAnother)
{
    this->open(1);
    this->open(2);
    this->fromCaller(this->requestOf(1, 78));
    this->fromCaller(this->requestOf(2, 78));
    BOOST_TEST(this->requestsOf(2).empty());
    this->fromServer(this->answerTo(1));
    BOOST_TEST((this->requestsOf(2) == Sequences{ 78 }));
}

// The server sends its last answer again, since the packet that acknowledges it is held.
BOOST_AUTO_TEST_CASE(aCopyOfTheLastAnswerIsNoAnswerToAHeldRequest)
{
    this->open(1);
    this->open(2);
    this->fromCaller(this->requestOf(1, 78));
    this->fromServer(this->answerTo(1));
    this->fromCaller(this->requestOf(2, 78));
    this->fromCaller(this->requestOf(1, 88, serverStart + 101));
    BOOST_TEST(this->agent.requests().waiting() == 1u);
    this->run(200ms);
    this->fromServer(this->answerTo(1));
    BOOST_TEST(this->agent.requests().waiting() == 1u);
    // Nor does the caller's copy of it pass the requests before it.
    this->fromCaller(this->requestOf(1, 88, serverStart + 101));
    BOOST_TEST((this->requestsOf(1) == Sequences{ 78 }));
    this->fromServer(this->answerTo(2));
    BOOST_TEST((this->requestsOf(1) == Sequences{ 78, 88 }));
}

BOOST_AUTO_TEST_CASE(aRequestGoesToTheServerWhenItHasLostTheFlowOfAnother)
{
    this->open(1);
    this->open(2);
    this->fromCaller(this->requestOf(1, 78));
    this->fromCaller(this->requestOf(2, 78));
    Head bounced = this->requestOf(1, 78);
    bounced.isBounced = true;
    this->fromServer(bounced);
    BOOST_TEST(this->agent.requests().atServer() == 1u);
    BOOST_TEST((this->requestsOf(2) == Sequences{ 78 }));
}

BOOST_AUTO_TEST_CASE(aHeldPacketIsNotSentOnALaterFlowOfTheSamePorts)
{
    this->open(1);
    this->open(2);
    this->fromCaller(this->requestOf(1, 78));
    this->fromCaller(this->requestOf(2, 78));
    this->open(2, 900000);
    this->fromCaller(this->requestOf(2, 900001));
    this->fromServer(this->answerTo(1));
    BOOST_TEST((this->requestsOf(2) == Sequences{ 900001 }));
}

// The callers of some routes wait for longer than the agent counts a request as in progress.
BOOST_AUTO_TEST_CASE(aRequestIsHeldForAsLongAsItsCallerWaits)
{
    this->terms.timeout = 20s;
    this->open(1);
    this->open(2);
    this->fromCaller(this->requestOf(1, 78));
    this->fromCaller(this->requestOf(2, 78));
    this->run(7s);
    this->open(3);
    this->fromServer(this->answerTo(1));
    BOOST_TEST((this->requestsOf(2) == Sequences{ 78 }));
    this->fromServer(this->answerTo(2));
    this->fromCaller(this->requestOf(3, 78));
    BOOST_TEST((this->requestsOf(3) == Sequences{ 78 }));
}

BOOST_AUTO_TEST_CASE(anExpiredRequestIsNoLoadAndItsCopyIsHeldAgain)
{
    this->open(1);
    this->open(2);
    this->terms.timeout = 20s;
    this->fromCaller(this->requestOf(1, 78));
    this->terms.timeout = 1500ms;
    this->fromCaller(this->requestOf(2, 78));
    BOOST_TEST(this->agent.load().inProgress() == 2u);
    this->run(1500ms);
    BOOST_TEST(this->agent.requests().waiting() == 0u);
    BOOST_TEST(this->agent.load().inProgress() == 1u);
    this->fromCaller(this->requestOf(2, 78));
    BOOST_TEST(this->agent.requests().waiting() == 1u);
    BOOST_TEST(this->requestsOf(2).empty());
    this->fromServer(this->answerTo(1));
    BOOST_TEST((this->requestsOf(2) == Sequences{ 78 }));
}

BOOST_AUTO_TEST_SUITE_END()

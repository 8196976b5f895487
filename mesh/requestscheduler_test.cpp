#include <boost/test/unit_test.hpp>

#include <array>
#include <queue>
#include <unordered_map>

#include "mesh/meshworld_test.h"
#include "mesh/requestscheduler.h"

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace cactusdeck::mesh::test;

// Which request a server with few slots gets next, when more come than it can answer in time.

namespace {

const TimePoint start{ 1h };
const Endpoint address{ 0xC6120001u, 443 };
const RequestTerms confirmation{ .priority = 1, .targetLatency = 250ms, .timeout = 2000ms };
const RequestTerms feed{ .priority = 2, .targetLatency = 250ms, .timeout = 1500ms };

// A server with two slots whose requests all take the same time, behind a scheduler.
class Model
{
public:
    Model() { this->scheduler.setSlots(slots); }

    void request(std::uint16_t port, const RequestTerms &terms, TimePoint now)
    {
        this->advance(now);
        const Bytes bytes = encodeSegment({ .source = callerOf(port),
                                            .destination = address,
                                            .sequence = 78,
                                            .length = 10,
                                            .flags = tcpflag::ack });
        const auto segment = testCodec.parse(bytes);
        this->arrivals[segment->key] = { now, terms };
        if (this->scheduler.offer(*segment, terms, work, now))
            this->begin(segment->key, now);
    }

    void advance(TimePoint now)
    {
        while (!this->ends.empty() && this->ends.top().first <= now) {
            const auto [at, key] = this->ends.top();
            this->ends.pop();
            this->scheduler.finish(key);
            const auto &[arrivedAt, terms] = this->arrivals.at(key);
            this->answered[terms.priority] += 1;
            this->inTime[terms.priority] += at - arrivedAt <= terms.targetLatency ? 1 : 0;
            this->scheduler.expire(at);
            while (const FlowKey *next = this->scheduler.next(at)) {
                const FlowKey taken = *next;
                BOOST_TEST(!this->scheduler.take(taken, at).empty());
                this->begin(taken, at);
            }
        }
    }

    static constexpr std::uint32_t slots = 2;
    static constexpr std::chrono::milliseconds work{ 20 };

    RequestScheduler scheduler;
    std::size_t mostAtServer = 0;
    std::array<int, 3> answered{}; // by priority
    std::array<int, 3> inTime{};

private:
    using End = std::pair<TimePoint, FlowKey>;
    struct Later
    {
        bool operator()(const End &a, const End &b) const { return a.first > b.first; }
    };

    void begin(const FlowKey &key, TimePoint now)
    {
        this->ends.push({ now + work, key });
        this->mostAtServer = std::max(this->mostAtServer, this->ends.size());
    }

    std::unordered_map<FlowKey, std::pair<TimePoint, RequestTerms>, FlowKeyHash> arrivals;
    std::priority_queue<End, std::vector<End>, Later> ends;
};

} // namespace

BOOST_AUTO_TEST_SUITE(requestScheduler)

// Load pattern: a herd of callers returns, ten times as many as the server can answer in time.
BOOST_AUTO_TEST_CASE(aHerdIsServedByPriorityAndNobodyStarves)
{
    Model model;
    for (std::uint16_t i = 0; i < 240; ++i)
        model.request(std::uint16_t(1000 + i), i % 2 == 0 ? confirmation : feed, start);
    model.advance(start + 10s);
    BOOST_TEST(model.mostAtServer == Model::slots);
    // 23 requests can be answered in time. One of eight goes to the one that has waited longest.
    BOOST_TEST(model.inTime[1] >= 19);
    BOOST_TEST(model.inTime[2] >= 1);
    // Everybody who still waits is answered, as far as the server can.
    BOOST_TEST(model.answered[1] + model.answered[2] >= 140);
    BOOST_TEST(model.answered[2] >= 18);
}

// Load pattern: half as many requests again as the server can answer, for ten seconds.
BOOST_AUTO_TEST_CASE(underALastingOverloadMostAnswersAreInTime)
{
    Model model;
    std::uint16_t port = 1;
    for (Duration at{}; at < 10s; at += 6667us) {
        ++port;
        model.request(port, port % 4 == 0 ? confirmation : feed, start + at);
    }
    model.advance(start + 20s);
    const int answered = model.answered[1] + model.answered[2];
    const int inTime = model.inTime[1] + model.inTime[2];
    BOOST_TEST_MESSAGE("answered " << answered << ", in time " << inTime << ", of the higher class "
                                   << model.answered[1] << ", " << model.inTime[1]);
    BOOST_TEST(inTime > answered * 7 / 10);
    BOOST_TEST(model.inTime[1] > 375 * 8 / 10);
}

BOOST_AUTO_TEST_CASE(aRequestWhoseCallerHasGoneIsDropped)
{
    Model model;
    for (std::uint16_t port = 1; port <= 3; ++port)
        model.request(port, feed, start);
    BOOST_TEST(model.scheduler.waiting() == 1u);
    BOOST_TEST((model.scheduler.nextTimer() == start + 1500ms));
    // The server hangs; its slots are used again once nobody waits for what it does.
    BOOST_TEST(model.scheduler.expire(start + 1500ms).size() == 1u);
    BOOST_TEST(model.scheduler.waiting() == 0u);
    BOOST_TEST(model.scheduler.atServer() == 0u);
}

// All packets of a request arrive in order, and those without a new request are never held.
BOOST_AUTO_TEST_CASE(packetsOfAHeldRequestStayInOrder)
{
    Model model;
    for (std::uint16_t port = 1; port <= 2; ++port)
        model.request(port, feed, start);
    std::vector<Bytes> packets;
    for (std::uint32_t sequence : { 78u, 88u, 78u }) {
        packets.push_back(encodeSegment({ .source = callerOf(3),
                                          .destination = address,
                                          .sequence = sequence,
                                          .length = 10,
                                          .flags = tcpflag::ack }));
        BOOST_TEST(!model.scheduler.offer(*testCodec.parse(packets.back()), feed, 20ms, start));
    }
    const FlowKey key{ .source = callerOf(3), .destination = address };
    model.scheduler.finish({ .source = callerOf(1), .destination = address });
    const auto released = model.scheduler.take(key, start + 1ms);
    BOOST_REQUIRE(released.size() == 2u); // without the retransmission
    BOOST_TEST((released[0] == packets[0]));
    BOOST_TEST((released[1] == packets[1]));
}

BOOST_AUTO_TEST_SUITE_END()

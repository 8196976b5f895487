#include "core/admission.h"

#include <boost/test/unit_test.hpp>

#include "core/capacityweight.h"
#include "core/requestqueue.h"

using namespace cactusdeck;
using namespace std::chrono_literals;

namespace {

constexpr AdmissionLimits limits{
    .slots = 8, .coldSlots = 1, .connections = 100, .requestDeadline = 10s
};

// A server with a given latency and a constant supply of requests.
struct Load
{
    explicit Load(AdmissionLimits admissionLimits = limits)
    {
        this->admission.start(this->now);
        this->admission.setLimits(admissionLimits);
    }

    // Begins requests until one isn't admitted. Returns the number of requests in progress.
    std::uint32_t fill()
    {
        while (const auto ticket = this->admission.begin(this->now))
            this->tickets.push_back(*ticket);
        return std::uint32_t(this->tickets.size());
    }
    void completeAll(Duration latency)
    {
        this->now += latency;
        this->admission.noteServerPacket(this->now);
        for (const std::uint32_t ticket : this->tickets) {
            this->admission.onFirstResponse(ticket, this->now);
            this->admission.end(ticket, this->now);
        }
        this->tickets.clear();
    }
    void run(int rounds, Duration latency = 10ms)
    {
        for (int i = 0; i < rounds; ++i) {
            this->fill();
            this->completeAll(latency);
        }
    }
    ServerHealth health(ServerStatus status, std::uint64_t startedAt = 1) const
    {
        return { .reachable = true, .status = status, .startedAt = startedAt };
    }

    TimePoint now{ 1000s };
    Admission admission;
    std::vector<std::uint32_t> tickets;
};

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

// Guards against overload of a cold server: the limit must rise only after enough completions at
// normal latency, at most double each time, and never exceed the slots.
BOOST_AUTO_TEST_CASE(coldServerStaysWithinLearnedLimit)
{
    Load load;
    std::uint32_t allowed = 1;
    std::uint32_t completions = 0;
    for (int round = 0; round < 100; ++round) {
        const std::uint32_t inProgress = load.fill();
        BOOST_TEST(inProgress <= allowed);
        load.completeAll(10ms);
        completions += inProgress;
        if (completions >= std::max(4u, 2 * allowed)) {
            completions = 0;
            allowed = std::min(allowed * 2, limits.slots);
        }
    }
    BOOST_TEST(load.fill() == limits.slots);
}

// Guards against a limit that grows while the server is still cold: without a baseline its slow
// responses look normal, so only a drop in latency or many responses show that it is warm.
BOOST_AUTO_TEST_CASE(firstColdPhaseDoesNotRaiseTheLimit)
{
    Load load;
    load.run(12, 300ms);
    BOOST_TEST(load.admission.learned() == 1u);
    load.run(4, 20ms);
    BOOST_TEST(load.admission.learned() == 2u);
}

// Guards against a second request for a cold server that is still working on one that its caller
// has cancelled.
BOOST_AUTO_TEST_CASE(abandonedRequestKeepsItsSlot)
{
    Load load;
    const auto ticket = load.admission.begin(load.now);
    BOOST_REQUIRE(ticket);
    load.admission.end(*ticket, load.now);
    BOOST_TEST(!load.admission.begin(load.now));
    load.now += limits.requestDeadline;
    load.admission.onTimer(load.now);
    BOOST_TEST(load.admission.begin(load.now).has_value());
}

// Guards against a limit that grows through requests under light load, which don't show that the
// server can handle more.
BOOST_AUTO_TEST_CASE(unusedLimitDoesNotGrow)
{
    Load load;
    load.run(35); // counts as warmed up from the 32nd response; 4 completions then double the limit
    BOOST_TEST(load.admission.learned() == 2u);
    for (int i = 0; i < 100; ++i) {
        load.tickets.push_back(*load.admission.begin(load.now));
        load.completeAll(10ms);
    }
    BOOST_TEST(load.admission.learned() == 2u);
}

// Guards against a late reaction to overload, which shows as latency above 3 times the baseline,
// and against one reaction for each slow response.
BOOST_AUTO_TEST_CASE(slowResponsesHalveTheLimitOnce)
{
    Load load;
    load.run(60);
    BOOST_REQUIRE(load.admission.learned() == 8u);
    load.run(1, 50ms);
    BOOST_TEST(load.admission.learned() == 4u); // halved once, not for each of the 8 responses
    BOOST_TEST(load.admission.coldResets() == 0u);
}

// Guards against an undetected restart of the server under load, after which it is cold: responses
// take longer than 8 times the baseline, or none arrive.
BOOST_AUTO_TEST_CASE(silentColdServerIsDetected)
{
    Load slow;
    slow.run(60);
    slow.run(1, 200ms);
    BOOST_TEST(slow.admission.learned() == 1u);

    Load stuck;
    stuck.run(60);
    stuck.fill();
    stuck.now += 150ms; // no response, so the timer must detect it
    stuck.admission.onTimer(stuck.now);
    BOOST_TEST(stuck.admission.learned() == 1u);
    BOOST_TEST(!stuck.admission.begin(stuck.now));
}

// Guards against a burst of requests for a server that may have become cold while it was idle.
BOOST_AUTO_TEST_CASE(idleServerGetsOneRequestBeforeABurst)
{
    Load load;
    load.run(60);
    load.now += 5s;
    BOOST_TEST(load.fill() == 1u);
    load.completeAll(10ms);
    BOOST_TEST(load.fill() == 8u);
}

// Guards against wrong health reports: "serving" must never raise the limit, and a permanent "cold"
// or "shedding" must not hold it down permanently.
BOOST_AUTO_TEST_CASE(wrongHealthReportsOnlyLowerTheLimit)
{
    Load load;
    for (int i = 0; i < 50; ++i) {
        load.admission.onHealth(load.health(ServerStatus::Serving), load.now);
        load.now += 100ms;
    }
    BOOST_TEST(load.fill() == 1u);
    load.completeAll(10ms);
    load.run(60);
    BOOST_REQUIRE(load.admission.learned() == 8u);

    load.admission.onHealth(load.health(ServerStatus::Cold), load.now);
    BOOST_TEST(load.admission.learned() == 1u);
    load.run(60);
    BOOST_TEST(load.fill() == 1u); // "cold" counts until maxHealthStatusAge
    load.completeAll(10ms);
    load.now += Admission::maxHealthStatusAge;
    load.admission.onHealth(load.health(ServerStatus::Cold), load.now);
    load.run(60);
    BOOST_TEST(load.fill() == 8u);
    load.completeAll(10ms);

    load.admission.onHealth(load.health(ServerStatus::Shedding), load.now);
    load.admission.onHealth(load.health(ServerStatus::Shedding), load.now);
    BOOST_TEST(load.admission.learned() == 4u);
}

// Guards against a server that counts as warm although the start time in its health reports shows
// that it has restarted.
BOOST_AUTO_TEST_CASE(newStartTimeMeansCold)
{
    Load load;
    BOOST_TEST(!load.admission.onHealth(load.health(ServerStatus::Serving, 1), load.now));
    load.run(60);
    BOOST_TEST(load.admission.onHealth(load.health(ServerStatus::Serving, 2), load.now));
    BOOST_TEST(load.fill() == 1u);
}

// Guards against treating load shedding as a restart: a server that still responds on connections
// from before the suspected restart hasn't restarted.
BOOST_AUTO_TEST_CASE(shedConnectionIsNoRestart)
{
    Load load;
    load.run(60);
    const TimePoint opened = load.now - 1s;
    load.admission.onLostConnection(load.now);
    BOOST_TEST(load.admission.learned() == 1u);
    load.admission.onFlowResponse(load.now + 1ms, load.now + 1ms); // a newer flow proves nothing
    BOOST_TEST(load.admission.learned() == 1u);
    load.admission.onFlowResponse(opened, load.now + 2ms);
    BOOST_TEST(load.admission.learned() == 4u);
}

// Guards against new flows for a server that no longer answers, and against a server that never
// gets new flows again.
BOOST_AUTO_TEST_CASE(silentServerGetsOnlyTrialFlows)
{
    Load load;
    const Admission::FlowRequest request{ .connections = 1 };
    load.admission.noteDelivery(load.now);
    load.now += Admission::silenceLimit + 1ms;
    int accepted = 0;
    for (int i = 0; i < 100; ++i, load.now += 50ms)
        accepted += load.admission.decideFlow(request, load.now) == FlowDecision::Accept ? 1 : 0;
    BOOST_TEST(accepted == 5);
    load.admission.noteServerPacket(load.now);
    BOOST_TEST(int(load.admission.decideFlow(request, load.now)) == int(FlowDecision::Accept));
    BOOST_TEST(load.admission.coldResets() == 1u);
}

// Guards against more connections than the contract allows, and against a busy agent that accepts
// flows which the next hop could accept.
BOOST_AUTO_TEST_CASE(newFlowsAreDeclinedAtLimits)
{
    Load load;
    const auto decide = [&](std::size_t connections, std::size_t waiting, bool isLastHop) {
        return int(load.admission.decideFlow({ connections, waiting, isLastHop }, load.now));
    };
    BOOST_TEST(decide(99, 0, true) == int(FlowDecision::Accept));
    BOOST_TEST(decide(100, 0, true) == int(FlowDecision::Connections));
    BOOST_TEST(decide(0, 1, false) == int(FlowDecision::Busy));
    BOOST_TEST(decide(0, 1, true) == int(FlowDecision::Accept));
    // 50 sequential requests of 100 ms, the assumed latency, take half of the request deadline.
    BOOST_TEST(decide(0, 50, true) == int(FlowDecision::Accept));
    BOOST_TEST(decide(0, 51, true) == int(FlowDecision::Busy));
}

// Guards against overload after a restart of the agent: requests from before the restart, which the
// server's health endpoint reports, must count as in progress.
BOOST_AUTO_TEST_CASE(inheritedRequestsCount)
{
    Load load({ .slots = 8, .coldSlots = 4, .connections = 100, .requestDeadline = 10s });
    ServerHealth health = load.health(ServerStatus::Serving);
    health.inProgress = 3;
    load.admission.onHealth(health, load.now);
    BOOST_TEST(load.fill() == 1u);
    load.now += 10s; // the reported requests count for at most the request deadline
    load.admission.onTimer(load.now);
    BOOST_TEST(load.fill() == 4u);
}

// Guards against requests that stay queued beyond their deadline, and against retransmissions that
// are queued a second time.
BOOST_AUTO_TEST_CASE(queueKeepsOrderAndDeadlines)
{
    RequestQueue queue;
    const TimePoint now{ 1000s };
    const std::uint8_t payload[] = { 'x' };
    const auto packet = [&](std::uint16_t port, std::uint32_t sequence) {
        return buildPacket({ .key = { { 1, port }, { 2, 80 }, Protocol::Tcp },
                             .sequence = sequence,
                             .flags = tcpflag::ack,
                             .payload = payload });
    };
    const auto push = [&](std::uint16_t port, std::uint32_t sequence, Duration wait) {
        const auto bytes = packet(port, sequence);
        return queue.push(*parsePacket(bytes), now + wait);
    };
    BOOST_TEST(push(1, 10, 5s));
    BOOST_TEST(push(2, 10, 1s));
    BOOST_TEST(push(1, 11, 9s)); // the first packet's deadline holds
    BOOST_TEST(push(1, 10, 9s)); // retransmission
    BOOST_TEST(queue.front(now)->source.port == 1);
    std::vector<std::uint16_t> expired;
    const auto note = [&](const FlowKey &key) { expired.push_back(key.source.port); };
    queue.expire(now + 1s, note);
    BOOST_TEST(expired == std::vector<std::uint16_t>{ 2 }, boost::test_tools::per_element());
    BOOST_TEST(queue.take(FlowKey(*queue.front(now))).size() == 2u);
    BOOST_TEST(push(3, 10, 5s));
    queue.expire(now + 5s, note);
    BOOST_TEST(queue.size() == 0u);
    BOOST_TEST((queue.front(now) == nullptr));
    std::size_t held = 0;
    for (std::uint16_t port = 1; port <= 2000; ++port)
        held += push(port, 1, 1s) ? 1 : 0;
    BOOST_TEST(held == RequestQueue::maxFlows);
}

// Guards against placement tables that change with every change in latency.
BOOST_AUTO_TEST_CASE(weightChangesRarely)
{
    CapacityWeight weight;
    LatencyBaseline baseline;
    TimePoint now{ 1000s };
    BOOST_TEST(weight.update(5, baseline, now).has_value());
    const std::uint16_t first = weight.value();
    for (int i = 0; i < 200; ++i)
        baseline.add(25ms);
    BOOST_TEST(!weight.update(5, baseline, now + 29s));
    BOOST_TEST(weight.update(5, baseline, now + 30s).has_value());
    BOOST_TEST(double(weight.value()) / first == 4.0, boost::test_tools::tolerance(0.15));
    for (int i = 0; i < 200; ++i)
        baseline.add(27ms);
    BOOST_TEST(!weight.update(5, baseline, now + 90s));
}

// Guards against a weight above a server's capacity when its latency varies: a slow server has
// fewer samples, and the error would unbalance the load.
BOOST_AUTO_TEST_CASE(weightFollowsTheMeanLatency)
{
    const auto weightOf = [](Duration latency, Duration spread) {
        CapacityWeight weight;
        LatencyBaseline baseline;
        for (int i = 0; i < 400; ++i)
            baseline.add(latency + (i * 7 % 5 - 2) * spread / 2);
        weight.update(5, baseline, TimePoint{ 1000s });
        return double(weight.value());
    };
    const double fast = weightOf(50ms, 0ms);
    BOOST_TEST(fast / weightOf(200ms, 0ms) == 4.0, boost::test_tools::tolerance(0.05));
    BOOST_TEST(fast / weightOf(200ms, 80ms) == 4.0, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_SUITE_END()

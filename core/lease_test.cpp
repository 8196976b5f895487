#include "core/lease.h"

#include <boost/test/unit_test.hpp>

#include "core/fakestore_test.h"
#include "core/statuswriter.h"

using namespace cactusdeck;
using namespace std::chrono_literals;

namespace {

// A balancer that is a candidate for the lease and writes the status.
struct Candidate
{
    StoreCalls calls;
    Lease lease;
    StatusWriter writer;
    Outbox outbox;
    bool paused = false;
    bool crashed = false;

    Candidate(const std::string &id, std::uint64_t seed)
        : calls({ .seed = seed })
        , lease(calls, { .holder = NodeId{ id } })
        , writer(calls, lease, NodeId{ id })
    {
        this->lease.setCandidate(true);
        this->writer.update("{\"by\": \"" + id + "\"}", { { 0x7F000001u, 7101 } });
    }
};

struct Fleet
{
    FakeStore store;
    TimePoint now{ 1h };
    Candidate a{ "a", 1 };
    Candidate b{ "b", 2 };

    // Gives each answer to both users of the node's calls; a slot ignores answers to other calls.
    void step(Candidate &node, const std::vector<StoreAnswer> &answers)
    {
        for (const StoreAnswer &answer : answers) {
            node.lease.onAnswer(answer, this->now, node.outbox);
            node.writer.onAnswer(answer, this->now, node.outbox);
        }
        node.lease.onTimer(this->now, node.outbox);
        node.writer.onTimer(this->now, node.outbox);
    }
    void run(Duration time)
    {
        for (const TimePoint end = this->now + time; this->now < end; this->now += 50ms) {
            for (auto &[node, answers] :
                 { std::pair<Candidate &, std::vector<StoreAnswer> &>{ this->a, this->answersOfA },
                   { this->b, this->answersOfB } }) {
                if (node.paused || node.crashed)
                    continue;
                this->store.executeCalls(node.outbox, this->now);
                this->store.delay = 0ms;
                const auto due = this->store.answers(this->now);
                answers.insert(answers.end(), due.begin(), due.end());
                this->step(node, std::exchange(answers, {}));
            }
            const bool both = this->a.lease.term(this->now) && this->b.lease.term(this->now);
            this->stepsWithTwoHolders += both && !this->a.paused && !this->b.paused ? 1 : 0;
        }
    }
    std::optional<std::uint64_t> term(const Candidate &node) { return node.lease.term(this->now); }
    FleetStatus status()
    {
        return parseFleetStatus(this->store.objects["status/fleet"].value).value();
    }

    int stepsWithTwoHolders = 0;
    std::vector<StoreAnswer> answersOfA;
    std::vector<StoreAnswer> answersOfB;
};

} // namespace

BOOST_AUTO_TEST_SUITE(lease)

// Guards against two holders at a time, and against a needless change of the holder.
BOOST_AUTO_TEST_CASE(oneHolderRenews)
{
    Fleet fleet;
    fleet.run(1min);
    BOOST_TEST(fleet.term(fleet.a).has_value() != fleet.term(fleet.b).has_value());
    BOOST_TEST(fleet.term(fleet.a).value_or(1) == 1u);
    BOOST_TEST(fleet.term(fleet.b).value_or(1) == 1u);
    BOOST_TEST(fleet.stepsWithTwoHolders == 0);
    BOOST_TEST(fleet.store.calls
               < 60); // two candidates and the status writer: less than one call a second
}

BOOST_AUTO_TEST_CASE(anotherTakesOverAfterCrashAndAfterRelease)
{
    Fleet fleet;
    fleet.b.lease.setCandidate(false);
    fleet.run(5s);
    BOOST_TEST(fleet.term(fleet.a).value() == 1u);
    fleet.b.lease.setCandidate(true);
    fleet.run(5s);
    fleet.a.crashed = true;
    fleet.run(8s);
    BOOST_TEST(!fleet.term(fleet.b).has_value());
    fleet.run(8s);
    BOOST_TEST(fleet.term(fleet.b).value() == 2u);
    fleet.a.crashed = false;
    fleet.run(1s);
    BOOST_TEST(!fleet.term(fleet.a).has_value());
    fleet.b.lease.setCandidate(false);
    fleet.run(4s); // a released lease is taken without waiting for its expiry
    BOOST_TEST(fleet.term(fleet.a).value() == 3u);
    BOOST_TEST(fleet.stepsWithTwoHolders == 0);
}

// Guards against a former holder that resumes after a pause and overwrites the status written by
// its successor.
BOOST_AUTO_TEST_CASE(pausedHolderStepsDown)
{
    Fleet fleet;
    fleet.b.lease.setCandidate(false);
    fleet.run(5s);
    fleet.b.lease.setCandidate(true);
    fleet.a.paused = true;
    // The status write that a sent before its pause reaches the store after b has taken over.
    const std::uint64_t oldVersion = fleet.store.objects["status/fleet"].version;
    fleet.run(30s);
    BOOST_TEST(fleet.term(fleet.b).value() == 2u);
    BOOST_TEST(!fleet.term(fleet.a).has_value()); // by the clock alone, before a timer runs
    fleet.a.paused = false;
    Outbox late;
    late.store.push_back({ .id = 999,
                           .operation = StoreOperation::Put,
                           .key = "status/fleet",
                           .value = "{\"term\": 1}",
                           .version = oldVersion });
    fleet.store.executeCalls(late, fleet.now);
    fleet.run(10s);
    BOOST_TEST(fleet.status().term == 2u);
    BOOST_TEST(fleet.status().writer.value == "b");
    BOOST_TEST(!fleet.term(fleet.a).has_value());
    BOOST_TEST(fleet.stepsWithTwoHolders == 0);
}

// Guards against a holder that keeps its term although its timer was late, after a pause shorter
// than the lease.
BOOST_AUTO_TEST_CASE(lateTimerEndsTheTerm)
{
    Fleet fleet;
    fleet.b.crashed = true;
    fleet.run(5s);
    BOOST_TEST(fleet.term(fleet.a).value() == 1u);
    fleet.now += 3s;
    BOOST_TEST(!fleet.term(fleet.a).has_value());
    fleet.run(2s);
    BOOST_TEST(fleet.term(fleet.a).value() == 2u); // acquired again, with a new term
}

// Guards against a holder that keeps the lease without renewing it while the store is unreachable.
BOOST_AUTO_TEST_CASE(holderStepsDownAtExpiryInAnOutage)
{
    Fleet fleet;
    fleet.b.crashed = true;
    fleet.run(5s);
    fleet.store.down = true;
    fleet.run(9s);
    BOOST_TEST(!fleet.term(fleet.a).has_value());
    const int callsBefore = fleet.store.calls;
    fleet.run(60s);
    BOOST_TEST(fleet.store.calls - callsBefore < 150);
    fleet.store.down = false;
    fleet.run(3s);
    BOOST_TEST(fleet.term(fleet.a).has_value());
}

// Guards against a holder that loses the lease to its own renewal, because the answer to that write
// was lost.
BOOST_AUTO_TEST_CASE(lostAnswerOnRenewalKeepsTheTerm)
{
    Fleet fleet;
    fleet.b.crashed = true;
    fleet.run(5s);
    fleet.store.loseKey = "lease/status";
    fleet.store.loseAnswers = 1;
    int interruptions = 0;
    for (int i = 0; i < 200; ++i) {
        fleet.run(50ms);
        interruptions += fleet.term(fleet.a) == 1u ? 0 : 1;
    }
    BOOST_TEST(fleet.store.loseAnswers == 0);
    BOOST_TEST(interruptions == 0);
}

// Guards against reusing a term after the lease object was deleted or damaged. The status object
// still has the last term.
BOOST_AUTO_TEST_CASE(termExceedsThatOfTheStatusObject)
{
    Fleet fleet;
    fleet.b.crashed = true;
    fleet.store.put("status/fleet",
                    R"({"term": 41, "writer": "z", "summary": {}, "balancers": []})");
    fleet.store.put("lease/status", "damaged");
    fleet.run(30s);
    BOOST_TEST(fleet.term(fleet.a).value() == 42u);
    BOOST_TEST(fleet.status().term == 42u);
    BOOST_TEST(fleet.status().balancers.size() == 1u);
}

// Guards against status writes more often than every 10 s or without a change.
BOOST_AUTO_TEST_CASE(statusIsWrittenWhenChangedAndNotTooOften)
{
    Fleet fleet;
    fleet.b.crashed = true;
    fleet.run(5s);
    const auto version = [&] { return fleet.store.objects["status/fleet"].version; };
    const std::uint64_t first = version();
    fleet.run(60s);
    BOOST_TEST(version() == first);
    for (int i = 0; i < 600; ++i) {
        fleet.a.writer.update("{\"round\": " + std::to_string(i) + "}", {});
        fleet.run(100ms);
    }
    BOOST_TEST(version() - first >= 5u);
    BOOST_TEST(version() - first <= 7u);
    BOOST_TEST(!parseFleetStatus("{}"));
}

BOOST_AUTO_TEST_SUITE_END()

#include "core/publisher.h"

#include <boost/test/unit_test.hpp>

#include "core/fakestore_test.h"

using namespace cactusdeck;
using namespace std::chrono_literals;

namespace {

const ZoneName z1{ "z1" };
const ZoneName z2{ "z2" };

PublisherOptions options(const std::string &changeId)
{
    return { .changeId = changeId,
             .author = "ann",
             .reason = "because",
             .time = 1000ms,
             .knownZones = { z1, z2 } };
}

// Runs one operator command against the store.
struct Command
{
    FakeStore &store;
    StoreCalls calls{ { .seed = 3, .callsPerSecond = 200 } };
    Publisher publisher;
    Outbox outbox;
    TimePoint now{ 1h };

    Command(FakeStore &fake, PublisherOptions publisherOptions)
        : store(fake)
        , publisher(calls, std::move(publisherOptions))
    { }
    Command &publish(std::vector<ServiceContract> contracts)
    {
        this->publisher.publish(std::move(contracts), this->now, this->outbox);
        return *this;
    }
    Command &setZone(const ZoneName &zone, ZoneState state)
    {
        this->publisher.setZone(zone, state, this->now, this->outbox);
        return *this;
    }
    Command &run(Duration time)
    {
        for (const TimePoint end = this->now + time; this->now < end && !this->publisher.outcome();
             this->now += 10ms) {
            this->store.executeCalls(this->outbox, this->now);
            for (const StoreAnswer &answer : this->store.answers(this->now))
                this->publisher.onAnswer(answer, this->now, this->outbox);
            this->publisher.onTimer(this->now, this->outbox);
        }
        return *this;
    }
    // Stops just before the head is written, so that another command can run in between.
    Command &runToHeadWrite()
    {
        for (int i = 0; i < 1000; ++i) {
            const auto isHeadWrite = [](const StoreCall &call) {
                return call.operation == StoreOperation::Put && call.key == headKey;
            };
            if (std::any_of(this->outbox.store.begin(), this->outbox.store.end(), isHeadWrite))
                return *this;
            this->run(10ms);
        }
        BOOST_FAIL("no head write");
        return *this;
    }
    PublishOutcome finish()
    {
        this->run(60s);
        BOOST_REQUIRE(this->publisher.outcome().has_value());
        return *this->publisher.outcome();
    }
};

ConfigurationHead headOf(FakeStore &store)
{
    return parseHead(store.objects["config/head"].value).value();
}

const std::vector<ServiceContract> two = { testContract("a", 1), testContract("b", 2) };

PublishOutcome publishTwo(FakeStore &store)
{
    return Command(store, options("first")).publish(two).finish();
}

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(PublishResult)
BOOST_TEST_DONT_PRINT_LOG_VALUE(ErrorKind)
BOOST_TEST_DONT_PRINT_LOG_VALUE(ZoneState)

BOOST_AUTO_TEST_SUITE(publisher)

BOOST_AUTO_TEST_CASE(publishReplacesTheFullSet)
{
    FakeStore store;
    const PublishOutcome first = publishTwo(store);
    BOOST_TEST(first.result == PublishResult::Accepted);
    BOOST_TEST(first.version == 1u);
    BOOST_TEST(first.diff.added.size() == 2u);
    const PublishOutcome second =
            Command(store, options("second"))
                    .publish({ testContract("b", 2, 7), testContract("c", 3) })
                    .finish();
    BOOST_TEST(second.version == 2u);
    BOOST_TEST((second.diff.added == std::vector<ServiceName>{ { "c" } }));
    BOOST_TEST((second.diff.changed == std::vector<ServiceName>{ { "b" } }));
    BOOST_TEST((second.diff.removed == std::vector<ServiceName>{ { "a" } }));
    const ConfigurationHead head = headOf(store);
    BOOST_TEST(head.services.size() == 2u);
    BOOST_TEST(head.changes.size() == 2u);
    BOOST_TEST(head.changes[1].author == "ann");
    BOOST_TEST(head.changes[1].summary == "1 added (c), 1 changed (b), 1 removed (a); because");
    for (const auto &[service, hash] : head.services)
        BOOST_TEST(contractHash(store.objects[serviceKey(service, hash)].value) == hash);
}

// Guards against an incomplete publish that takes effect. The service objects are written first,
// and nothing refers to them until the head is replaced.
BOOST_AUTO_TEST_CASE(publishThatStopsHalfwayChangesNothing)
{
    FakeStore store;
    publishTwo(store);
    const std::string before = store.objects["config/head"].value;
    Command command(store, options("second"));
    command.publish({ testContract("a", 1, 9), testContract("c", 3) }).runToHeadWrite();
    store.down = true;
    command.run(1s);
    BOOST_TEST(store.objects["config/head"].value == before);
    // The service object of the next publish exists already.
    store.down = false;
    const PublishOutcome next =
            Command(store, options("third")).publish({ testContract("a", 1, 9) }).finish();
    BOOST_TEST(next.result == PublishResult::Accepted);
    BOOST_TEST(next.version == 2u);
}

// Guards against a concurrent publisher whose change silently overwrites another one.
BOOST_AUTO_TEST_CASE(racingPublishersGetOneWinner)
{
    FakeStore store;
    publishTwo(store);
    Command loser(store, options("loser"));
    loser.publish({ testContract("a", 1, 8) }).runToHeadWrite();
    Command winner(store, options("winner"));
    BOOST_TEST(winner.publish({ testContract("a", 1, 9) }).finish().version == 2u);
    const PublishOutcome outcome = loser.finish();
    BOOST_TEST(outcome.result == PublishResult::Conflict);
    BOOST_TEST(outcome.winner->changeId == "winner");
    BOOST_TEST(outcome.winner->author == "ann");
    BOOST_TEST(outcome.version == 2u);
    BOOST_TEST(outcome.error.kind == ErrorKind::Conflict);
    BOOST_TEST(headOf(store).changeId == "winner");
}

// Guards against a change that is reported as failed, or made twice, when the answer to the write
// that accepted it is lost.
BOOST_AUTO_TEST_CASE(lostAnswerOnTheHeadWriteIsResolved)
{
    for (const int lost : { 1, 3 }) {
        FakeStore store;
        publishTwo(store);
        store.loseAnswers = lost;
        const PublishOutcome outcome =
                Command(store, options("second")).publish({ testContract("a", 1, 8) }).finish();
        BOOST_TEST(outcome.result == PublishResult::Accepted);
        BOOST_TEST(outcome.version == 2u);
        BOOST_TEST(headOf(store).version == 2u);
    }
}

// Guards against the same failure when the head that is read back is stale, or when another change
// was accepted before it is read back.
BOOST_AUTO_TEST_CASE(lostAnswerIsResolvedDespiteStaleReadsAndLaterChanges)
{
    FakeStore store;
    publishTwo(store);
    store.loseAnswers = 1;
    Command command(store, options("second"));
    command.publish({ testContract("a", 1, 8) }).runToHeadWrite().run(20ms);
    Command(store, options("third")).publish({ testContract("a", 1, 9) }).finish();
    store.staleReads = 2;
    const PublishOutcome outcome = command.finish();
    BOOST_TEST(outcome.result == PublishResult::Accepted);
    BOOST_TEST(outcome.version == 2u);
    BOOST_TEST(headOf(store).changeId == "third");
}

// Guards against a publish that, after a stale read, reverts a newer version or reports that
// nothing has to change.
BOOST_AUTO_TEST_CASE(staleReadNeverUndoesANewerVersion)
{
    FakeStore store;
    publishTwo(store);
    Command(store, options("second")).publish({ testContract("a", 1, 8) }).finish();
    store.staleReads = 1; // shows the first version
    const PublishOutcome publish =
            Command(store, options("third")).publish({ testContract("c", 3) }).finish();
    BOOST_TEST(publish.result == PublishResult::Conflict);
    BOOST_TEST(publish.winner->changeId == "second");
    store.staleReads = 1;
    const PublishOutcome same = Command(store, options("fourth")).publish(two).finish();
    BOOST_TEST(same.result != PublishResult::Unchanged);
    store.staleReads = 1;
    PublisherOptions knowing = options("fifth");
    knowing.newestKnown = headOf(store).version;
    BOOST_TEST(Command(store, knowing).publish({ testContract("c", 3) }).finish().result
               == PublishResult::Accepted);
}

BOOST_AUTO_TEST_CASE(unchangedIsConfirmedWithoutANewVersion)
{
    FakeStore store;
    publishTwo(store);
    Command command(store, options("second"));
    // Another publisher rewrites the unchanged head at the same time, which gives it a newer object
    // version.
    command.publish(two).runToHeadWrite();
    store.put("config/head", store.objects["config/head"].value);
    const PublishOutcome outcome = command.finish();
    BOOST_TEST(outcome.result == PublishResult::Unchanged);
    BOOST_TEST(outcome.version == 1u);
    BOOST_TEST(headOf(store).version == 1u);
}

// Guards against a zone change that fails because of an unrelated publish, so that an operator must
// repeat it, and against one that overwrites a concurrent change of the same zone.
BOOST_AUTO_TEST_CASE(zoneChangeIsRebasedUnlessTheZoneWasChanged)
{
    FakeStore store;
    publishTwo(store);
    Command out(store, options("out"));
    out.setZone(z1, ZoneState::Out).runToHeadWrite();
    Command(store, options("other")).publish({ testContract("a", 1, 8) }).finish();
    BOOST_TEST(out.finish().version == 3u);
    BOOST_TEST(headOf(store).services.size() == 1u);
    BOOST_TEST(headOf(store).zones.at(z1) == ZoneState::Out);

    Command in(store, options("in"));
    in.setZone(z1, ZoneState::In).runToHeadWrite();
    Command(store, options("in2")).setZone(z1, ZoneState::In).finish();
    const PublishOutcome lost = in.finish();
    BOOST_TEST(lost.result == PublishResult::Conflict);
    BOOST_TEST(lost.winner->changeId == "in2");
}

// Guards against taking all zones out of service, also by two operators at the same time.
BOOST_AUTO_TEST_CASE(lastZoneStaysIn)
{
    FakeStore store;
    publishTwo(store);
    Command first(store, options("first-out"));
    first.setZone(z1, ZoneState::Out).runToHeadWrite();
    BOOST_TEST(Command(store, options("out2")).setZone(z2, ZoneState::Out).finish().result
               == PublishResult::Accepted);
    const PublishOutcome refused = first.finish();
    BOOST_TEST(refused.result == PublishResult::Rejected);
    BOOST_TEST(refused.message.find("last one that is in") != std::string::npos);
    PublisherOptions forced = options("forced");
    forced.force = true;
    BOOST_TEST(Command(store, forced).setZone(z1, ZoneState::Out).finish().result
               == PublishResult::Accepted);
    const PublishOutcome unknown =
            Command(store, options("typo")).setZone({ "z3" }, ZoneState::Out).finish();
    BOOST_TEST(unknown.error.kind == ErrorKind::UnknownZone);
}

// Guards against reporting an outcome that isn't certain, such as a failure when the head write may
// have taken effect.
BOOST_AUTO_TEST_CASE(outagesAreReportedPrecisely)
{
    FakeStore store;
    store.down = true;
    const PublishOutcome before = publishTwo(store);
    BOOST_TEST(before.result == PublishResult::NotAccepted);
    BOOST_TEST(before.error.kind == ErrorKind::StoreUnavailable);
    store.down = false;
    publishTwo(store);

    Command command(store, options("second"));
    command.publish({ testContract("a", 1, 8) }).runToHeadWrite();
    store.silent = true;
    const PublishOutcome unknown = command.finish();
    BOOST_TEST(unknown.result == PublishResult::OutcomeUnknown);
    BOOST_TEST(unknown.message.find("outcome not known yet") != std::string::npos);
    BOOST_TEST(unknown.message.find("cactusdeck status --change second") != std::string::npos);
    // The change was accepted, which the command in the message shows.
    store.silent = false;
    Command check(store, options("second"));
    check.publisher.lookUp(check.now, check.outbox);
    BOOST_TEST(check.finish().version == 2u);
    Command other(store, options("never"));
    other.publisher.lookUp(other.now, other.outbox);
    BOOST_TEST(other.finish().error.kind == ErrorKind::NotFound);
}

BOOST_AUTO_TEST_CASE(publishSucceedsAfterOutage)
{
    FakeStore store;
    publishTwo(store);
    Command command(store, options("second"));
    command.publish({ testContract("a", 1, 8), testContract("c", 3) }).runToHeadWrite();
    store.down = true;
    command.run(10s);
    store.down = false;
    store.delay = 3s; // longer than the first timeout
    BOOST_TEST(command.finish().result == PublishResult::Accepted);
    BOOST_TEST(headOf(store).version == 2u);
}

// Guards against changing a head that can't be parsed, and against writing a configuration that
// nodes would refuse.
BOOST_AUTO_TEST_CASE(invalidInputIsRejected)
{
    FakeStore store;
    const auto rejected = [&](const std::vector<ServiceContract> &contracts,
                              const PublisherOptions &with) {
        const PublishOutcome outcome = Command(store, with).publish(contracts).finish();
        BOOST_TEST(outcome.result == PublishResult::Rejected);
        return outcome.message;
    };
    BOOST_TEST(rejected({ two[0], two[0] }, options("x")).find("two contracts")
               != std::string::npos);
    BOOST_TEST(rejected({}, options("x")).find("must be forced") != std::string::npos);
    BOOST_TEST(rejected(two, options("")).find("identifier") != std::string::npos);
    PublisherOptions anonymous = options("x");
    anonymous.author.clear();
    BOOST_TEST(rejected(two, anonymous).find("author") != std::string::npos);
    publishTwo(store);
    BOOST_TEST(rejected({ two[0] }, options("first")).find("before") != std::string::npos);
    store.put("config/head", "{\"version\": 2}");
    BOOST_TEST(rejected(two, options("x")).find("config/head: /changeId") != std::string::npos);
    BOOST_TEST(store.objects["config/head"].value == "{\"version\": 2}");
}

BOOST_AUTO_TEST_SUITE_END()

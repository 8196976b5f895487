#include "mesh/statereader.h"

#include <map>

#include <boost/test/unit_test.hpp>

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace std::chrono_literals;

namespace {

class RecordingSink : public Sink
{
public:
    void toServer(std::span<const std::uint8_t>) override { }
    void toCaller(Endpoint, std::span<const std::uint8_t>) override { }
    void toNode(Endpoint, std::span<const std::uint8_t>, std::span<const std::uint8_t>) override { }
    void log(Level, const char *name, EventFields) override { this->events.emplace_back(name); }

    std::vector<std::string> events;
};

std::optional<FleetConfiguration> decode(const nlohmann::json &content)
{
    if (!content.is_number())
        return std::nullopt;
    return FleetConfiguration{ .version = content.get<std::uint64_t>() };
}

struct Fixture
{
    Fixture()
        : reader(decode, 1)
    {
        this->reader.setActive(true, this->now);
    }

    bool isEvacuated(const std::string &name)
    {
        return this->state.isEvacuated(ZoneName{ name }, this->now);
    }

    StoreQuery query(StoreTopic topic)
    {
        for (const StoreQuery &query : this->reader.takeQueries(this->now))
            (query.isProbe ? this->probe : this->asked[std::size_t(query.topic)]) = query;
        return this->asked[std::size_t(topic)];
    }

    bool answer(StoreTopic topic, Revision asOf, std::vector<StoreObject> objects = {})
    {
        return this->reader.onResult({ .query = this->query(topic),
                                       .kind = StoreResultKind::Answered,
                                       .era = this->era,
                                       .asOf = asOf,
                                       .objects = std::move(objects) },
                                     this->now, this->state, this->sink);
    }

    // Waits for the next probe and answers it.
    void answerProbe(Revision asOf, std::vector<StoreObject> zones = {})
    {
        this->finishProbe({ .kind = StoreResultKind::Answered,
                            .era = this->era,
                            .asOf = asOf,
                            .objects = std::move(zones) });
    }
    void failProbe() { this->finishProbe({}); }

    void finishProbe(StoreResult result)
    {
        const std::uint64_t before = this->probe.id;
        while (this->probe.id == before) {
            this->now += 10ms;
            this->query(StoreTopic::Configuration);
        }
        result.query = this->probe;
        this->reader.onResult(result, this->now, this->state, this->sink);
    }

    TimePoint now{ 1h };
    StoreEra era = 1;
    std::array<StoreQuery, storeTopicCount> asked;
    StoreQuery probe;
    StateReader reader;
    FleetState state;
    RecordingSink sink;
};

StoreObject zone(const std::string &name, bool isDeleted = false)
{
    return { .name = name, .revision = 1, .isDeleted = isDeleted };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(stateReader, Fixture)

BOOST_AUTO_TEST_CASE(listsThenWatchesFromTheAnswer)
{
    BOOST_TEST(this->query(StoreTopic::Configuration).since == 0u);
    BOOST_TEST(this->answer(StoreTopic::Configuration, 40,
                            { { .name = "main", .revision = 38, .content = 5 } }));
    const StoreQuery watch = this->query(StoreTopic::Configuration);
    BOOST_TEST(watch.since == 40u);
    BOOST_TEST((watch.wait == StateReader::watchTime));
    BOOST_TEST(this->state.configuration()->version == 5u);
}

// A list of several pages counts as one that was taken with its first page.
BOOST_AUTO_TEST_CASE(appliesAListWhenAllOfItsPagesHaveBeenRead)
{
    BOOST_TEST(this->answer(StoreTopic::Evacuations, 40, { zone("old") }));
    this->reader.setActive(false, this->now);
    this->reader.setActive(true, this->now);
    for (int page = 0; page < 5; ++page) {
        const StoreQuery query = this->query(StoreTopic::Evacuations);
        BOOST_TEST(query.since == 0u);
        BOOST_TEST(query.after == (page == 0 ? "" : "z" + std::to_string(page - 1)));
        BOOST_TEST(this->isEvacuated("old"));
        BOOST_TEST(!this->isEvacuated("z0"));
        StoreResult result{ .query = query,
                            .kind = StoreResultKind::Answered,
                            .era = this->era,
                            .asOf = Revision(50 + page),
                            .objects = { zone("z" + std::to_string(page)) } };
        if (page < 4)
            result.next = "z" + std::to_string(page);
        BOOST_TEST(this->reader.onResult(result, this->now, this->state, this->sink)
                   == (page == 4));
    }
    BOOST_TEST(!this->isEvacuated("old"));
    for (int page = 0; page < 5; ++page)
        BOOST_TEST(this->isEvacuated("z" + std::to_string(page)));
    BOOST_TEST(this->query(StoreTopic::Evacuations).since == 50u);
}

BOOST_AUTO_TEST_CASE(listsAgainWhenHistoryIsLost)
{
    this->answer(StoreTopic::Configuration, 40);
    this->reader.onResult({ .query = this->query(StoreTopic::Configuration),
                            .kind = StoreResultKind::HistoryLost },
                          this->now, this->state, this->sink);
    BOOST_TEST(this->query(StoreTopic::Configuration).since == 0u);
}

// The store loses its history repeatedly. Lists and watches must not alternate without a pause.
BOOST_AUTO_TEST_CASE(backsOffWhileHistoryIsLostRepeatedly)
{
    int queries = 0;
    for (const TimePoint end = this->now + 10s; this->now < end; this->now += 10ms) {
        for (const StoreQuery &query : this->reader.takeQueries(this->now)) {
            ++queries;
            const bool isList = query.since == 0;
            this->reader.onResult(
                    { .query = query,
                      .kind = isList ? StoreResultKind::Answered : StoreResultKind::HistoryLost,
                      .asOf = 40 },
                    this->now, this->state, this->sink);
        }
    }
    // For each of the two topics, a list and a watch every two seconds, and more during the first,
    // shorter pauses.
    BOOST_TEST(queries < 60);
    BOOST_TEST(queries > 10);
}

BOOST_AUTO_TEST_CASE(keepsTheLastReadableConfiguration)
{
    this->answer(StoreTopic::Configuration, 40,
                 { { .name = "main", .revision = 38, .content = 5 } });
    BOOST_TEST(!this->answer(StoreTopic::Configuration, 42,
                             { { .name = "main", .revision = 41, .content = "rubbish" } }));
    BOOST_TEST(this->state.configuration()->version == 5u);
    BOOST_TEST(this->sink.events.back() == "configuration_unreadable");
}

BOOST_AUTO_TEST_CASE(followsZonesThroughEvents)
{
    BOOST_TEST(this->answer(StoreTopic::Evacuations, 10, { zone("a") }));
    BOOST_TEST(this->answer(StoreTopic::Evacuations, 12, { zone("b") }));
    BOOST_TEST(this->isEvacuated("a"));
    BOOST_TEST(this->isEvacuated("b"));
    BOOST_TEST(this->answer(StoreTopic::Evacuations, 15, { zone("a", true) }));
    BOOST_TEST(!this->isEvacuated("a"));
    BOOST_TEST(!this->answer(StoreTopic::Evacuations, 16));
}

// Probes cost a tenth of the other queries.
BOOST_AUTO_TEST_CASE(backsOffWhileTheStoreIsUnreachable)
{
    std::size_t queries = 0;
    std::size_t probes = 0;
    const TimePoint end = this->now + 10s;
    while (this->now < end) {
        for (const StoreQuery &query : this->reader.takeQueries(this->now)) {
            (query.isProbe ? probes : queries) += 1;
            this->reader.onResult({ .query = query }, this->now, this->state, this->sink);
        }
        this->now += 10ms;
    }
    BOOST_TEST(queries <= 2u);
    BOOST_TEST(probes >= 15u);
    BOOST_TEST(probes <= 25u);
    BOOST_TEST(!this->reader.isReachable());
    this->now += 3s;
    this->answerProbe(40);
    this->answer(StoreTopic::Configuration, 40);
    BOOST_TEST(this->reader.isReachable());
}

// The watches may have been opened while the store did not answer, so their answers never arrive.
BOOST_AUTO_TEST_CASE(listsOrWatchesAgainAfterAProbeWithoutAnswer)
{
    this->answer(StoreTopic::Configuration, 40);
    this->answer(StoreTopic::Evacuations, 40);
    const StoreQuery silent = this->query(StoreTopic::Evacuations);
    this->failProbe();
    const StoreQuery before = this->query(StoreTopic::Evacuations);
    BOOST_TEST(before.id == silent.id); // nothing but a probe until one is answered
    this->answerProbe(40);
    const StoreQuery next = this->query(StoreTopic::Evacuations);
    BOOST_TEST(next.id != silent.id);
    BOOST_TEST(next.since == 40u);
    // A late answer to the query that was given up changes nothing.
    BOOST_TEST(!this->reader.onResult({ .query = silent,
                                        .kind = StoreResultKind::Answered,
                                        .asOf = 41,
                                        .objects = { zone("late") } },
                                      this->now, this->state, this->sink));
    BOOST_TEST(!this->isEvacuated("late"));
    BOOST_TEST(this->answer(StoreTopic::Evacuations, 42, { zone("a") }));
}

BOOST_AUTO_TEST_CASE(opensAWatchAgainThatMissesAChange)
{
    this->answer(StoreTopic::Configuration, 40);
    this->answer(StoreTopic::Evacuations, 40, { zone("a") });
    const StoreQuery configuration = this->query(StoreTopic::Configuration);
    const StoreQuery evacuations = this->query(StoreTopic::Evacuations);
    // An older answer, and one of the same revision, say nothing about the watches.
    this->answerProbe(39);
    this->answerProbe(40, { zone("a") });
    this->now += 500ms;
    BOOST_TEST(this->query(StoreTopic::Configuration).id == configuration.id);
    // The change is not an evacuation, so only the other watch may have missed it.
    this->answerProbe(41, { zone("a") });
    this->now += 500ms;
    BOOST_TEST(this->query(StoreTopic::Configuration).id != configuration.id);
    BOOST_TEST(this->query(StoreTopic::Evacuations).id == evacuations.id);
    // The new watch would have reported the change at once, so it is kept.
    const StoreQuery second = this->query(StoreTopic::Configuration);
    this->answerProbe(41, { zone("a") });
    this->now += 500ms;
    BOOST_TEST(this->query(StoreTopic::Configuration).id == second.id);
    this->answerProbe(42, { zone("a"), zone("b") });
    this->now += 500ms;
    BOOST_TEST(this->query(StoreTopic::Evacuations).id != evacuations.id);
    BOOST_TEST(this->asked[std::size_t(StoreTopic::Evacuations)].since == 40u);
}

// A watch that reports the change shortly after the probe is not opened again.
BOOST_AUTO_TEST_CASE(givesAWatchTimeToReportAChange)
{
    this->answer(StoreTopic::Configuration, 40);
    this->answer(StoreTopic::Evacuations, 40);
    this->answerProbe(41, { zone("a") });
    this->now += 20ms;
    BOOST_TEST(this->answer(StoreTopic::Evacuations, 41, { zone("a") }));
    const StoreQuery watch = this->query(StoreTopic::Evacuations);
    this->now += 500ms;
    BOOST_TEST(this->query(StoreTopic::Evacuations).id == watch.id);
    BOOST_TEST(watch.since == 41u);
}

// Two lost probes make the reader unreachable, within the time in which another node must take its
// place.
BOOST_AUTO_TEST_CASE(noticesWithinTwoSecondsThatTheStoreIsLost)
{
    this->answer(StoreTopic::Configuration, 40);
    this->answer(StoreTopic::Evacuations, 40);
    const TimePoint lostAt = this->now;
    std::map<std::uint64_t, std::pair<StoreQuery, TimePoint>> waiting;
    while (this->reader.isReachable() && this->now - lostAt < 10s) {
        for (const StoreQuery &query : this->reader.takeQueries(this->now))
            waiting[query.id] = { query, this->now + query.timeout };
        for (const auto &[id, entry] : waiting) {
            if (this->now == entry.second)
                this->reader.onResult({ .query = entry.first }, this->now, this->state, this->sink);
        }
        this->now += 1ms;
    }
    BOOST_TEST((this->now - lostAt < 1700ms));
}

// Revisions of the earlier era stand for other changes after a restore of the store.
BOOST_AUTO_TEST_CASE(listsAllTopicsInANewEra)
{
    this->answer(StoreTopic::Configuration, 40);
    this->answer(StoreTopic::Evacuations, 40, { zone("a") });
    const StoreQuery watch = this->query(StoreTopic::Evacuations);
    this->era = 2;
    this->answerProbe(41, { zone("a"), zone("b") });
    BOOST_TEST(this->query(StoreTopic::Configuration).since == 0u);
    BOOST_TEST(this->query(StoreTopic::Evacuations).since == 0u);
    // The watch of the earlier era does not report what happened since.
    BOOST_TEST(!this->reader.onResult({ .query = watch,
                                        .kind = StoreResultKind::Answered,
                                        .era = 2,
                                        .asOf = 41,
                                        .objects = { zone("c") } },
                                      this->now, this->state, this->sink));
    BOOST_TEST(!this->isEvacuated("c"));
    BOOST_TEST(this->answer(StoreTopic::Evacuations, 41, { zone("a"), zone("b") }));
    BOOST_TEST(this->isEvacuated("a"));
    BOOST_TEST(this->isEvacuated("b"));
    // The new era starts below the last revision of the earlier one; its changes are noticed.
    this->answer(StoreTopic::Configuration, 30);
    const StoreQuery next = this->query(StoreTopic::Configuration);
    BOOST_TEST(next.since == 30u);
}

// The store has been restored while it did not answer, the answer of the next probe dates from
// before, and the restored store has reached the revisions of the watches again.
BOOST_AUTO_TEST_CASE(learnsTheEraAfterAnOutageInSpiteOfAnOutdatedProbe)
{
    this->answer(StoreTopic::Configuration, 40);
    this->answer(StoreTopic::Evacuations, 40);
    this->query(StoreTopic::Evacuations);
    this->failProbe();
    this->answerProbe(40);
    BOOST_TEST(this->query(StoreTopic::Configuration).since == 0u);
    this->era = 2;
    this->answer(StoreTopic::Configuration, 41);
    BOOST_TEST(this->query(StoreTopic::Configuration).since == 0u);
    BOOST_TEST(this->query(StoreTopic::Evacuations).since == 0u);
}

// A watch that reports its changes in a newer era may have missed others.
BOOST_AUTO_TEST_CASE(listsAgainWhenAWatchEndsInANewEra)
{
    this->answer(StoreTopic::Configuration, 40);
    this->answer(StoreTopic::Evacuations, 40);
    this->query(StoreTopic::Evacuations);
    this->era = 2;
    BOOST_TEST(!this->answer(StoreTopic::Evacuations, 42, { zone("b") }));
    BOOST_TEST(this->query(StoreTopic::Evacuations).since == 0u);
    BOOST_TEST(this->answer(StoreTopic::Evacuations, 42, { zone("a"), zone("b") }));
    BOOST_TEST(this->isEvacuated("a"));
}

// A watch that has gone silent is noticed also while the revisions are lower than before a restore.
BOOST_AUTO_TEST_CASE(opensAWatchAgainThatMissesAChangeOfANewEra)
{
    this->answer(StoreTopic::Configuration, 40);
    this->answer(StoreTopic::Evacuations, 40);
    this->era = 2;
    this->answerProbe(30);
    this->answer(StoreTopic::Configuration, 30);
    this->answer(StoreTopic::Evacuations, 30);
    const StoreQuery watch = this->query(StoreTopic::Configuration);
    this->answerProbe(31);
    this->now += 500ms;
    BOOST_TEST(this->query(StoreTopic::Configuration).id != watch.id);
}

// A reader that was suspended, and a server of the store that lags, answer from before a restore.
BOOST_AUTO_TEST_CASE(ignoresAnswersOfAnEarlierEra)
{
    this->era = 2;
    this->answer(StoreTopic::Configuration, 30);
    this->answer(StoreTopic::Evacuations, 30, { zone("a") });
    this->query(StoreTopic::Evacuations);
    this->era = 1;
    // An outdated answer of a probe does not touch the watches.
    const StoreQuery watch = this->query(StoreTopic::Evacuations);
    this->answerProbe(45, { zone("b") });
    this->now += 500ms;
    BOOST_TEST(this->query(StoreTopic::Evacuations).id == watch.id);
    BOOST_TEST(this->reader.isReachable());
    BOOST_TEST(!this->answer(StoreTopic::Evacuations, 45, { zone("b") }));
    BOOST_TEST(!this->isEvacuated("b"));
    this->era = 2;
    this->answerProbe(31);
    this->now += 500ms; // more than the backoff
    BOOST_TEST(this->answer(StoreTopic::Evacuations, 31, { zone("c") }));
    BOOST_TEST(this->isEvacuated("a"));
    BOOST_TEST(this->isEvacuated("c"));
}

BOOST_AUTO_TEST_CASE(asksNothingWhileInactive)
{
    this->reader.setActive(false, this->now);
    BOOST_TEST(this->reader.takeQueries(this->now).empty());
    BOOST_TEST((this->reader.nextQuery() == TimePoint::max()));
}

BOOST_AUTO_TEST_SUITE_END()

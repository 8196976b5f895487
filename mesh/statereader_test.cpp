#include "mesh/statereader.h"

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

    StoreQuery query(StoreTopic topic)
    {
        for (const StoreQuery &query : this->reader.takeQueries(this->now))
            this->asked[std::size_t(query.topic)] = query;
        return this->asked[std::size_t(topic)];
    }

    bool answer(StoreTopic topic, Revision asOf, std::vector<StoreObject> objects = {})
    {
        return this->reader.onResult({ .query = this->query(topic),
                                       .kind = StoreResultKind::Answered,
                                       .asOf = asOf,
                                       .objects = std::move(objects) },
                                     this->now, this->state, this->sink);
    }

    TimePoint now{ 1h };
    std::array<StoreQuery, storeTopicCount> asked;
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
    BOOST_TEST(this->state.isEvacuated(ZoneName{ "a" }));
    BOOST_TEST(this->state.isEvacuated(ZoneName{ "b" }));
    BOOST_TEST(this->answer(StoreTopic::Evacuations, 15, { zone("a", true) }));
    BOOST_TEST(!this->state.isEvacuated(ZoneName{ "a" }));
    BOOST_TEST(!this->answer(StoreTopic::Evacuations, 16));
}

BOOST_AUTO_TEST_CASE(backsOffWhileTheStoreIsUnreachable)
{
    std::size_t queries = 0;
    const TimePoint end = this->now + 10s;
    while (this->now < end) {
        for (const StoreQuery &query : this->reader.takeQueries(this->now)) {
            ++queries;
            this->reader.onResult({ .query = query }, this->now, this->state, this->sink);
        }
        this->now += 10ms;
    }
    BOOST_TEST(queries >= 10u);
    BOOST_TEST(queries <= 20u);
    BOOST_TEST(!this->reader.isReachable());
    this->now += 3s;
    this->answer(StoreTopic::Configuration, 40);
    BOOST_TEST(this->reader.isReachable());
}

BOOST_AUTO_TEST_CASE(asksNothingWhileInactive)
{
    this->reader.setActive(false, this->now);
    BOOST_TEST(this->reader.takeQueries(this->now).empty());
    BOOST_TEST((this->reader.nextQuery() == TimePoint::max()));
}

BOOST_AUTO_TEST_SUITE_END()

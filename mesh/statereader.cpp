#include "mesh/statereader.h"

#include <algorithm>

namespace cactusdeck::mesh {

namespace {

constexpr std::array<const char *, storeTopicCount> topicNames = { "configuration", "evacuations" };
// Name of the object that contains the configuration in force.
constexpr const char *configurationObject = "main";

} // namespace

StateReader::StateReader(ConfigurationDecoder configurationDecoder, std::uint64_t seed)
    : decodeConfiguration(std::move(configurationDecoder))
    , random(seed)
{ }

void StateReader::setActive(bool isActive, TimePoint now)
{
    if (isActive == this->active)
        return;
    this->active = isActive;
    if (!isActive)
        return;
    // Changes during the inactive time are unknown and the store's history may not reach back that
    // far, so list everything again.
    for (Topic &topic : this->topics) {
        topic.revision = 0;
        topic.nextAt = now;
        topic.backoff = firstBackoff;
    }
    this->failures = 0;
}

std::vector<StoreQuery> StateReader::takeQueries(TimePoint now)
{
    std::vector<StoreQuery> queries;
    for (std::size_t i = 0; this->active && i < storeTopicCount; ++i) {
        Topic &topic = this->topics[i];
        if (topic.isQueryPending || now < topic.nextAt)
            continue;
        topic.isQueryPending = true;
        ++this->queryCount;
        StoreQuery query{ .topic = StoreTopic(i), .since = topic.revision };
        if (topic.revision != 0)
            query.wait = watchTime;
        queries.push_back(query);
    }
    return queries;
}

TimePoint StateReader::nextQuery() const
{
    TimePoint next = TimePoint::max();
    for (const Topic &topic : this->topics) {
        if (this->active && !topic.isQueryPending)
            next = std::min(next, topic.nextAt);
    }
    return next;
}

bool StateReader::onResult(const StoreResult &result, TimePoint now, FleetState &state, Sink &sink)
{
    Topic &topic = this->topics[std::size_t(result.query.topic)];
    topic.isQueryPending = false;
    topic.nextAt = now;
    if (result.kind == StoreResultKind::Failed) {
        this->onFailure(topic, now, sink);
        return false;
    }
    if (!this->isReachable())
        sink.log(Level::Info, "store_regained",
                 { { "topic", topicNames[std::size_t(result.query.topic)] } });
    this->failures = 0;
    this->answeredAt = now;
    if (result.kind == StoreResultKind::HistoryLost) {
        // A single loss is normal and needs no pause. If history is lost again before a watch
        // succeeds, another list will not help, so back off.
        if (topic.hasLostHistory)
            this->backOff(topic, now);
        topic.hasLostHistory = true;
        sink.log(Level::Info, "store_history_lost",
                 { { "topic", topicNames[std::size_t(result.query.topic)] },
                   { "revision", std::to_string(topic.revision) } });
        topic.revision = 0;
        return false;
    }
    if (result.query.since != 0)
        topic.hasLostHistory = false;
    if (!topic.hasLostHistory)
        topic.backoff = firstBackoff;
    // Revision 0 would mean that a list is still needed.
    topic.revision = std::max<Revision>(result.asOf, 1);
    return this->apply(result, state, sink);
}

void StateReader::onFailure(Topic &topic, TimePoint now, Sink &sink)
{
    ++this->failureCount;
    const bool wasReachable = this->isReachable();
    ++this->failures;
    if (wasReachable && !this->isReachable())
        sink.log(Level::Warning, "store_lost",
                 { { "revision", std::to_string(topic.revision) },
                   { "backoff_ms", std::to_string(topic.backoff.count()) } });
    this->backOff(topic, now);
}

void StateReader::backOff(Topic &topic, TimePoint now)
{
    // Jitter keeps the readers from querying the store at the same moment after an outage.
    std::uniform_int_distribution<std::int64_t> jitter(0, topic.backoff.count() / 4);
    topic.nextAt = now + topic.backoff + std::chrono::milliseconds(jitter(this->random));
    topic.backoff = std::min(topic.backoff * 2, maxBackoff);
}

bool StateReader::apply(const StoreResult &result, FleetState &state, Sink &sink)
{
    if (result.query.topic == StoreTopic::Configuration)
        return this->applyConfiguration(result, state, sink);
    return this->applyEvacuations(result, state);
}

bool StateReader::applyConfiguration(const StoreResult &result, FleetState &state, Sink &sink)
{
    bool isChanged = false;
    for (const StoreObject &object : result.objects) {
        if (object.name != configurationObject || object.isDeleted
            || object.revision <= state.configurationRevision())
            continue;
        const std::optional<FleetConfiguration> decoded = this->decodeConfiguration(object.content);
        if (!decoded) {
            sink.log(Level::Error, "configuration_unreadable",
                     { { "revision", std::to_string(object.revision) },
                       { "kept", std::to_string(state.configurationRevision()) } });
            continue;
        }
        isChanged |= state.adoptConfiguration(object.revision,
                                              std::make_shared<const FleetConfiguration>(*decoded));
    }
    return isChanged;
}

bool StateReader::applyEvacuations(const StoreResult &result, FleetState &state)
{
    if (result.query.since == 0)
        this->zones.clear();
    for (const StoreObject &object : result.objects) {
        if (object.isDeleted)
            this->zones.erase(ZoneName{ object.name });
        else
            this->zones.insert(ZoneName{ object.name });
    }
    return state.adoptEvacuations(result.asOf, this->zones);
}

} // namespace cactusdeck::mesh

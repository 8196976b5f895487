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
    this->listAll(now);
    this->probes = { .nextAt = now + probeInterval, .backoff = firstProbeBackoff };
    this->isStoreDoubted = false;
}

void StateReader::listAll(TimePoint now)
{
    for (Topic &topic : this->topics)
        topic = { { .nextAt = now, .backoff = firstBackoff } };
}

bool StateReader::isReachable() const
{
    return this->probes.failures < failureLimit
           && std::all_of(this->topics.begin(), this->topics.end(),
                          [](const Topic &topic) { return topic.failures < failureLimit; });
}

std::vector<StoreQuery> StateReader::takeQueries(TimePoint now)
{
    std::vector<StoreQuery> queries;
    if (!this->active)
        return queries;
    for (std::size_t i = 0; i < storeTopicCount; ++i) {
        Topic &topic = this->topics[i];
        if (topic.pendingQuery != 0 && now >= topic.overdueAt)
            topic.pendingQuery = 0;
        if (topic.pendingQuery == 0 && now >= topic.nextAt && !this->isStoreDoubted)
            queries.push_back(this->nextQueryOf(StoreTopic(i)));
    }
    if (this->probes.pendingQuery == 0 && now >= this->probes.nextAt)
        queries.push_back(this->nextProbe());
    return queries;
}

StoreQuery StateReader::nextQueryOf(StoreTopic name)
{
    Topic &topic = this->topics[std::size_t(name)];
    topic.pendingQuery = ++this->queryCount;
    topic.isWatchPending = topic.revision != 0;
    topic.coveredRevision = this->seenRevision;
    topic.overdueAt = TimePoint::max();
    StoreQuery query{ .topic = name,
                      .since = topic.revision,
                      .after = topic.isWatchPending ? std::string() : topic.pages.after,
                      .timeout = listTimeout,
                      .id = topic.pendingQuery };
    if (topic.isWatchPending) {
        query.wait = watchTime;
        query.timeout = watchTime + watchMargin;
    }
    return query;
}

StoreQuery StateReader::nextProbe()
{
    this->probes.pendingQuery = ++this->queryCount;
    // The list of evacuations is short.
    return { .topic = StoreTopic::Evacuations,
             .timeout = probeTimeout,
             .isProbe = true,
             .id = this->probes.pendingQuery };
}

TimePoint StateReader::nextQuery() const
{
    TimePoint next = TimePoint::max();
    if (!this->active)
        return next;
    for (const Topic &topic : this->topics) {
        if (topic.pendingQuery != 0)
            next = std::min(next, topic.overdueAt);
        else if (!this->isStoreDoubted)
            next = std::min(next, topic.nextAt);
    }
    return this->probes.pendingQuery == 0 ? std::min(next, this->probes.nextAt) : next;
}

bool StateReader::onResult(const StoreResult &result, TimePoint now, FleetState &state, Sink &sink)
{
    this->noticeEra(result, now, sink);
    if (result.query.isProbe) {
        this->onProbe(result, now, sink);
        return false;
    }
    Topic &topic = this->topics[std::size_t(result.query.topic)];
    if (topic.pendingQuery != result.query.id)
        return false; // given up; the query that replaced it reports the same changes
    topic.nextAt = now;
    if (result.kind == StoreResultKind::Failed || this->isOfEarlierEra(result)) {
        this->onFailure(topic, result, now, sink);
        return false;
    }
    this->onAnswer(topic, result, now, sink);
    if (result.kind == StoreResultKind::HistoryLost) {
        // A single loss is normal and needs no pause. If history is lost again before a watch
        // succeeds, another list will not help, so back off.
        if (topic.hasLostHistory)
            this->backOff(topic, maxBackoff, now);
        topic.hasLostHistory = true;
        sink.log(Level::Info, "store_history_lost",
                 { { "topic", topicNames[std::size_t(result.query.topic)] },
                   { "revision", std::to_string(topic.revision) } });
        topic.revision = 0;
        topic.pages = {};
        return false;
    }
    const std::optional<StoreResult> whole =
            result.query.since == 0 ? wholeList(topic, result) : result;
    if (!whole)
        return false;
    if (result.query.since != 0)
        topic.hasLostHistory = false;
    if (!topic.hasLostHistory)
        topic.backoff = firstBackoff;
    // Revision 0 would mean that a list is still needed.
    topic.revision = std::max<Revision>(whole->asOf, 1);
    return this->apply(*whole, now, state, sink);
}

std::optional<StoreResult> StateReader::wholeList(Topic &topic, const StoreResult &page)
{
    Pages &pages = topic.pages;
    if (page.query.after.empty())
        pages = { .asOf = page.asOf };
    pages.objects.insert(pages.objects.end(), page.objects.begin(), page.objects.end());
    if (page.next) {
        pages.after = *page.next;
        return std::nullopt;
    }
    StoreResult whole = page;
    whole.asOf = pages.asOf;
    whole.objects = std::move(pages.objects);
    pages = {};
    return whole;
}

bool StateReader::isOfEarlierEra(const StoreResult &result) const
{
    return result.era != 0 && result.era < this->era;
}

void StateReader::noticeEra(const StoreResult &result, TimePoint now, Sink &sink)
{
    if (result.era <= this->era)
        return;
    sink.log(Level::Info, "store_era",
             { { "era", std::to_string(result.era) },
               { "previous", std::to_string(this->era) },
               { "probe", result.query.isProbe ? "yes" : "no" },
               { "store_revision", std::to_string(result.asOf) },
               { "seen_revision", std::to_string(this->seenRevision) } });
    const bool isRestored = this->era != 0;
    this->era = result.era;
    if (!isRestored)
        return;
    this->seenRevision = 0;
    this->listAll(now);
}

void StateReader::onProbe(const StoreResult &result, TimePoint now, Sink &sink)
{
    if (this->probes.pendingQuery != result.query.id)
        return;
    if (result.kind != StoreResultKind::Failed) {
        this->onAnswer(this->probes, result, now, sink);
        // The store may have been restored while it did not answer, and this answer may date from
        // before. A list is up to date and shows the era, also if a watch would show no change.
        Topic &configuration = this->topics[std::size_t(StoreTopic::Configuration)];
        if (this->isStoreDoubted && configuration.pendingQuery == 0)
            configuration.revision = 0;
        this->isStoreDoubted = false;
        this->probes.backoff = firstProbeBackoff;
        this->probes.nextAt = now + probeInterval + this->jitterOf(probeInterval / 5);
        if (!this->isOfEarlierEra(result))
            this->checkWatches(result, now, sink);
        return;
    }
    this->onFailure(this->probes, result, now, sink);
    for (Topic &topic : this->topics) {
        if (topic.isWatchPending)
            topic.pendingQuery = 0;
    }
}

void StateReader::checkWatches(const StoreResult &probe, TimePoint now, Sink &sink)
{
    std::set<ZoneName> probedZones;
    for (const StoreObject &object : probe.objects) {
        if (!object.isDeleted)
            probedZones.insert(ZoneName{ object.name });
    }
    for (std::size_t i = 0; i < storeTopicCount; ++i) {
        Topic &topic = this->topics[i];
        if (!topic.isWatchPending || topic.pendingQuery == 0
            || probe.asOf <= std::max(topic.coveredRevision, topic.revision))
            continue;
        if (StoreTopic(i) == StoreTopic::Evacuations && !probe.next && probedZones == this->zones)
            continue;
        if (topic.overdueAt != TimePoint::max())
            continue;
        topic.overdueAt = now + watchDelay;
        sink.log(Level::Debug, "store_watch_behind",
                 { { "topic", topicNames[i] },
                   { "revision", std::to_string(topic.revision) },
                   { "store_revision", std::to_string(probe.asOf) } });
    }
}

void StateReader::onAnswer(Channel &channel, const StoreResult &result, TimePoint now, Sink &sink)
{
    const bool wasReachable = this->isReachable();
    channel.pendingQuery = 0;
    channel.failures = 0;
    this->answeredAt = now;
    if (!this->isOfEarlierEra(result))
        this->seenRevision = std::max(this->seenRevision, result.asOf);
    if (!wasReachable && this->isReachable())
        sink.log(Level::Info, "store_regained",
                 { { "topic", topicNames[std::size_t(result.query.topic)] } });
}

void StateReader::onFailure(Channel &channel, const StoreResult &result, TimePoint now, Sink &sink)
{
    ++this->failureCount;
    const bool wasReachable = this->isReachable();
    channel.pendingQuery = 0;
    ++channel.failures;
    this->backOff(channel, result.query.isProbe ? maxProbeBackoff : maxBackoff, now);
    // Find out soon whether the store answers at all.
    if (!this->isStoreDoubted && !result.query.isProbe)
        this->probes.nextAt = std::min(this->probes.nextAt, now);
    this->isStoreDoubted = true;
    if (wasReachable && !this->isReachable())
        sink.log(Level::Warning, "store_lost",
                 { { "topic", topicNames[std::size_t(result.query.topic)] },
                   { "revision", std::to_string(this->seenRevision) },
                   { "backoff_ms", std::to_string(channel.backoff.count()) } });
}

Duration StateReader::jitterOf(std::chrono::milliseconds range)
{
    std::uniform_int_distribution<std::int64_t> jitter(0, range.count());
    return std::chrono::milliseconds(jitter(this->random));
}

void StateReader::backOff(Channel &channel, std::chrono::milliseconds limit, TimePoint now)
{
    // Jitter keeps the readers from querying the store at the same moment after an outage.
    channel.nextAt = now + channel.backoff + this->jitterOf(channel.backoff / 4);
    channel.backoff = std::min(channel.backoff * 2, limit);
}

bool StateReader::apply(const StoreResult &result, TimePoint now, FleetState &state, Sink &sink)
{
    if (result.query.topic == StoreTopic::Configuration)
        return this->applyConfiguration(result, state, sink);
    return this->applyEvacuations(result, now, state);
}

bool StateReader::applyConfiguration(const StoreResult &result, FleetState &state, Sink &sink)
{
    bool isChanged = false;
    for (const StoreObject &object : result.objects) {
        if (object.name != configurationObject || object.isDeleted)
            continue;
        const std::optional<FleetConfiguration> decoded = this->decodeConfiguration(object.content);
        if (!decoded || decoded->version == 0) {
            sink.log(Level::Error, "configuration_unreadable",
                     { { "revision", std::to_string(object.revision) },
                       { "kept", std::to_string(state.configurationVersion()) } });
            continue;
        }
        if (decoded->version < state.configurationVersion()) {
            sink.log(Level::Warning, "configuration_refused",
                     { { "configuration", std::to_string(decoded->version) },
                       { "kept", std::to_string(state.configurationVersion()) },
                       { "era", std::to_string(result.era) },
                       { "revision", std::to_string(object.revision) } });
            continue;
        }
        isChanged |= state.adoptConfiguration(std::make_shared<const FleetConfiguration>(*decoded));
    }
    return isChanged;
}

bool StateReader::applyEvacuations(const StoreResult &result, TimePoint now, FleetState &state)
{
    if (result.query.since == 0)
        this->zones.clear();
    for (const StoreObject &object : result.objects) {
        if (object.isDeleted)
            this->zones.erase(ZoneName{ object.name });
        else
            this->zones.insert(ZoneName{ object.name });
    }
    return state.adoptEvacuations({ .era = this->era, .revision = result.asOf }, this->zones, now);
}

} // namespace cactusdeck::mesh

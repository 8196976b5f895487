#include "core/configspread.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactusdeck {

namespace {

// Number of sources kept for a version. Further ones would only be asked after all of these failed.
constexpr std::size_t maxSources = 4;
// Each requester is sent at most one snapshot in this interval. Requesters repeat their requests
// more often than that, and a snapshot of 1,500 services has about 600 KB.
constexpr std::chrono::milliseconds snapshotInterval{ 300 };

// Number of requests before the timeout grows. With 20% loss a request and its answer both arrive
// in 64% of the cases, so that after 4 requests 2% are still without an answer.
constexpr int quickAttempts = 4;

void remove(std::vector<Endpoint> &endpoints, Endpoint endpoint)
{
    endpoints.erase(std::remove(endpoints.begin(), endpoints.end(), endpoint), endpoints.end());
}

} // namespace

ConfigurationSpread::ConfigurationSpread(ConfigurationSpreadOptions spreadOptions)
    : options(std::move(spreadOptions))
    , random(this->options.seed)
    , log(this->options.group)
{ }

void ConfigurationSpread::setPeers(std::vector<Endpoint> endpoints)
{
    this->peers = std::move(endpoints);
    remove(this->peers, this->options.replyTo);
}

void ConfigurationSpread::setNotifiedAgents(std::vector<Endpoint> endpoints)
{
    this->notifiedAgents = std::move(endpoints);
}

bool ConfigurationSpread::adopt(ConfigurationPointer configuration, TimePoint now, Outbox &outbox)
{
    if (!this->log.adopt(std::move(configuration)))
        return false;
    this->startNotices(now, outbox);
    this->onAdopted(now, outbox);
    return true;
}

void ConfigurationSpread::onAdopted(TimePoint now, Outbox &outbox)
{
    this->request = {};
    this->wantSnapshot = false;
    outbox.events.push_back({ Level::Info,
                              "configuration_adopted",
                              { { "version", std::to_string(this->current()->version()) },
                                { "change", this->current()->changeId() } } });
    if (!this->pendingVersion)
        return;
    if (this->pendingVersion->version <= this->current()->version()) {
        this->pendingVersion.reset();
        return;
    }
    this->pendingVersion->behindSince = this->pendingVersion->firstSeen;
    this->sendRequest(now, outbox);
}

void ConfigurationSpread::startNotices(TimePoint now, Outbox &outbox)
{
    // An agent has only the services of its group, so it can't answer the requests that its notices
    // would cause.
    if (this->options.group)
        return;
    this->notices = { .roundsLeft = this->options.rounds,
                      .interval = this->options.firstRepeat,
                      .notifiedAgents = this->notifiedAgents,
                      .peers = this->peers };
    std::shuffle(this->notices.peers.begin(), this->notices.peers.end(), this->random);
    if (this->pendingVersion) {
        for (const Endpoint source : this->pendingVersion->sources)
            this->dropFromNotices(source);
    }
    this->sendNotices(now, outbox);
}

void ConfigurationSpread::sendNotices(TimePoint now, Outbox &outbox)
{
    const ConfigurationNotice notice{ this->options.id, this->options.replyTo,
                                      this->current()->version() };
    for (const Endpoint agent : this->notices.notifiedAgents)
        outbox.send(agent, notice);
    auto &list = this->notices.peers;
    const auto count = std::ptrdiff_t(std::min(this->options.fanout, list.size()));
    for (std::ptrdiff_t i = 0; i < count; ++i)
        outbox.send(list[std::size_t(i)], notice);
    // The next round goes to other peers.
    std::rotate(list.begin(), list.begin() + count, list.end());
    --this->notices.roundsLeft;
    this->notices.nextAt = now + this->notices.interval;
    this->notices.interval *= 2;
}

void ConfigurationSpread::dropFromNotices(Endpoint endpoint)
{
    if (this->notices.roundsLeft <= 0)
        return;
    remove(this->notices.notifiedAgents, endpoint);
    remove(this->notices.peers, endpoint);
}

void ConfigurationSpread::addSource(Endpoint from)
{
    if (from.port == 0 || from == this->options.replyTo)
        return;
    auto &sources = this->pendingVersion->sources;
    if (!sources.empty() && sources.front() == from)
        return;
    remove(sources, from);
    sources.insert(sources.begin(), from);
    if (sources.size() > maxSources)
        sources.pop_back();
}

void ConfigurationSpread::onVersionSeen(ConfigurationVersion version, Endpoint from, TimePoint now,
                                        Outbox &outbox)
{
    const ConfigurationVersion have = this->current()->version();
    if (version == have)
        this->dropFromNotices(from);
    if (version <= have)
        return;
    if (!this->pendingVersion)
        this->pendingVersion = { .version = version, .firstSeen = now, .behindSince = now };
    this->pendingVersion->lastSeen = now;
    if (version > this->pendingVersion->version) {
        this->pendingVersion->version = version;
        this->pendingVersion->firstSeen = now;
    }
    this->addSource(from);
    if (!this->request.waiting)
        this->sendRequest(now, outbox);
}

void ConfigurationSpread::onNotice(const ConfigurationNotice &notice, TimePoint now, Outbox &outbox)
{
    this->onVersionSeen(notice.version, notice.replyTo, now, outbox);
}

std::optional<Endpoint> ConfigurationSpread::sourceForAttempt(int turn)
{
    // Takes each source in turn, then a random peer, since the sources may have failed.
    static const std::vector<Endpoint> none;
    const auto &sources = this->pendingVersion ? this->pendingVersion->sources : none;
    const std::size_t index = std::size_t(turn) % (sources.size() + 1);
    if (index < sources.size())
        return sources[index];
    if (!this->peers.empty())
        return this->peers[this->random() % this->peers.size()];
    if (!sources.empty())
        return sources.front();
    return std::nullopt;
}

std::vector<Endpoint> ConfigurationSpread::chooseSources()
{
    std::vector<Endpoint> chosen;
    const int attempts = this->request.attempts;
    if (const std::optional<Endpoint> first = this->sourceForAttempt(attempts))
        chosen.push_back(*first);
    // A repeated request goes to two nodes: at 20% loss, 13% of the attempts fail instead of 36%. A
    // request for a snapshot goes to one, since a snapshot is too large to be sent twice.
    if (attempts == 0 || chosen.empty() || this->requestBase() == 0)
        return chosen;
    const std::optional<Endpoint> second = this->sourceForAttempt(attempts + 1);
    if (second != chosen.front())
        chosen.push_back(*second);
    return chosen;
}

ConfigurationVersion ConfigurationSpread::requestBase() const
{
    return this->wantSnapshot ? 0 : this->current()->version();
}

void ConfigurationSpread::sendRequest(TimePoint now, Outbox &outbox)
{
    for (const Endpoint to : this->chooseSources())
        outbox.send(to, ConfigurationRequest{ this->options.replyTo, this->requestBase(),
                                              this->options.group });
    const double growth = std::pow(1.5, std::clamp(this->request.attempts - quickAttempts, 0, 20));
    const double jitter = std::uniform_real_distribution<double>(0.8, 1.2)(this->random);
    const auto timeout = std::chrono::duration_cast<Duration>(
            std::min<std::chrono::duration<double>>(this->options.firstTimeout * growth,
                                                    this->options.timeoutCap)
            * jitter);
    this->request.nextAt = now + timeout;
    this->request.waiting = true;
    ++this->request.attempts;
}

void ConfigurationSpread::onRequest(const ConfigurationRequest &message, TimePoint now,
                                    Outbox &outbox)
{
    this->dropFromNotices(message.replyTo);
    // The version of a requester is useful only if that node could answer a request of this one: it
    // has the whole configuration, or that of the same group.
    if (!message.group || message.group == this->options.group)
        this->onVersionSeen(message.have, message.replyTo, now, outbox);
    std::optional<ConfigurationDelta> delta = this->log.answer(message);
    if (!delta)
        return;
    if (delta->from == 0 && delta->to != 0) {
        const auto [last, isFirst] = this->lastSnapshotAt.emplace(message.replyTo, now);
        if (!isFirst && now - last->second < snapshotInterval)
            return;
        last->second = now;
    }
    if (delta->from == delta->to)
        delta->head = { { "sender", this->options.replyTo } };
    outbox.send(message.replyTo, std::move(*delta));
}

bool ConfigurationSpread::onDelta(const ConfigurationDelta &delta, TimePoint now, Outbox &outbox)
{
    if (delta.from == delta.to) {
        this->onEmptyDelta(delta, now);
        return false;
    }
    const bool isFirst = this->current()->version() == 0;
    const bool adopted =
            leaf::try_handle_all([&]() -> Result<bool> { return this->log.apply(delta); },
                                 [&](const Error &error) {
                                     this->onRefused(delta, error, outbox);
                                     return false;
                                 },
                                 [] { return false; });
    if (!adopted)
        return false;
    // The first configuration of a joining node is one that all other nodes already have.
    if (!isFirst)
        this->startNotices(now, outbox);
    this->onAdopted(now, outbox);
    return true;
}

void ConfigurationSpread::onRefused(const ConfigurationDelta &delta, const Error &error,
                                    Outbox &outbox)
{
    outbox.events.push_back({ Level::Warning,
                              "configuration_delta_refused",
                              { { "from", std::to_string(delta.from) },
                                { "to", std::to_string(delta.to) },
                                { "reason", error.message } } });
    // The delta doesn't match the configuration of this node, so later deltas wouldn't match
    // either.
    if (error.kind == ErrorKind::InvalidContract && delta.from != 0)
        this->wantSnapshot = true;
}

void ConfigurationSpread::onEmptyDelta(const ConfigurationDelta &delta, TimePoint now)
{
    // The sender has nothing newer than delta.to, so it is no source of a later version. Without
    // this check, a version number from a corrupt frame would count as missing until
    // pendingVersionLifetime is over.
    if (!this->pendingVersion || delta.to >= this->pendingVersion->version)
        return;
    const auto field = delta.head.find("sender"); // end() if head isn't an object
    Endpoint sender;
    if (field == delta.head.end() || !field->is_string()
        || !parseEndpoint(field->get_ref<const std::string &>(), sender))
        return;
    auto &sources = this->pendingVersion->sources;
    const bool isSource = std::count(sources.begin(), sources.end(), sender) > 0;
    remove(sources, sender);
    if (isSource && sources.empty()) {
        this->pendingVersion.reset();
        this->request = {};
        return;
    }
    this->request.nextAt = std::min(this->request.nextAt, now + this->options.firstTimeout);
}

bool ConfigurationSpread::needsRequest() const
{
    return this->pendingVersion || (this->current()->version() == 0 && !this->peers.empty());
}

void ConfigurationSpread::onTimer(TimePoint now, Outbox &outbox)
{
    if (this->pendingVersion
        && now - this->pendingVersion->lastSeen > this->options.pendingVersionLifetime) {
        outbox.events.push_back(
                { Level::Warning,
                  "configuration_version_given_up",
                  { { "version", std::to_string(this->pendingVersion->version) } } });
        this->pendingVersion.reset();
        this->request = {};
    }
    if (this->needsRequest() && (!this->request.waiting || now >= this->request.nextAt))
        this->sendRequest(now, outbox);
    if (this->notices.roundsLeft > 0 && now >= this->notices.nextAt)
        this->sendNotices(now, outbox);
    std::erase_if(this->lastSnapshotAt,
                  [&](const auto &entry) { return now - entry.second > snapshotInterval; });
}

ConfigurationVersion ConfigurationSpread::newestSeen() const
{
    return this->pendingVersion ? this->pendingVersion->version : this->current()->version();
}

Duration ConfigurationSpread::staleDuration(TimePoint now) const
{
    return this->pendingVersion ? now - this->pendingVersion->behindSince : Duration::zero();
}

} // namespace cactusdeck

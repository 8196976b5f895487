#include "mesh/balancer.h"

#include <algorithm>
#include <tuple>

// How a balancer knows the others: hellos and contacts, the choice of store readers, and the
// transfer of state.

namespace cactusdeck::mesh {

namespace {

// Successive calls with the same turn go round all of the endpoints.
std::vector<Endpoint> nextInTurn(const std::vector<Endpoint> &endpoints, std::size_t count,
                                 std::size_t &turn)
{
    std::vector<Endpoint> result;
    const std::size_t taken = std::min(count, endpoints.size());
    for (std::size_t i = 0; i < taken; ++i)
        result.push_back(endpoints[(turn + i) % endpoints.size()]);
    turn += taken;
    return result;
}

} // namespace

std::uint64_t Balancer::rankOf(Endpoint endpoint)
{
    // SplitMix64 finaliser. All nodes compute the same ranks.
    std::uint64_t value = (std::uint64_t(endpoint.address) << 16) | endpoint.port;
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ull;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBull;
    return value ^ (value >> 31);
}

void Balancer::onHello(const BalancerHello &hello, Endpoint from, TimePoint now, Sink &sink)
{
    if (hello.isLeaving) {
        this->peers.remove(from);
        this->peerStates.erase(from);
        return;
    }
    if (this->peers.onHeard(
                from,
                { .zone = hello.zone, .interval = hello.interval, .isReader = hello.isReader },
                now))
        sink.log(Level::Info, "balancer_heard",
                 { { "node", hello.name.value },
                   { "endpoint", toString(from) },
                   { "zone", hello.zone.value } });
    PeerState &peer = this->peerStates[from];
    const bool hasJustStarted = hello.isSenderNew && !peer.isNew;
    peer = { .isStoreReachable = hello.isStoreReachable,
             .isReader = hello.isReader,
             .isNew = hello.isSenderNew,
             .configuration = hello.configuration,
             .evacuationsAsOf = hello.evacuationsAsOf,
             .knowsFormerTargets = hello.knowsFormerTargets };
    // A new balancer needs reports of all agents soon. The agents learn of it by the next notices;
    // the store readers, which are few, tell them at once, unless many balancers start together.
    if (hasJustStarted) {
        this->newcomers[from] = now;
        if (this->storeReader.isActive() && !this->isNew(now))
            this->announceNewcomer(from, sink);
    }
    this->greet(this->peers.add(hello.balancers, now), now, sink);
    this->onContacts(hello, now, sink);
    this->chooseFetch(now);
    // A node of an earlier release compares its revision with our version, and would answer the
    // answer.
    const bool isOlder = !hello.isOfEarlierRelease
                         && (hello.configuration < this->fleet.configurationVersion()
                             || hello.evacuationsAsOf < this->fleet.evacuationsAsOf());
    if (isOlder || hello.wantsAnswer)
        this->answerHello(hello, from, now, sink);
}

void Balancer::onContacts(const BalancerHello &hello, TimePoint now, Sink &sink)
{
    std::vector<Endpoint> unheard;
    for (const PeerSet::Contact &contact : hello.contacts) {
        if (contact.age < std::chrono::milliseconds::zero()
            || contact.balancer == this->options.mesh)
            continue;
        this->peers.add({ contact.balancer }, now);
        this->peers.onContact(contact.balancer, now - contact.age);
        if (this->peers.mayGreet(contact.balancer, now))
            unheard.push_back(contact.balancer);
    }
    this->greet(unheard, now, sink);
}

void Balancer::greet(const std::vector<Endpoint> &balancers, TimePoint now, Sink &sink)
{
    for (const Endpoint &balancer : balancers)
        this->sendHello(balancer, true, now, sink);
}

void Balancer::announceNewcomer(Endpoint balancer, Sink &sink)
{
    for (const AgentIndex index : this->directory.possibleOwners()) {
        const AgentDirectory::Agent &agent = this->directory.at(index);
        BalancerNotice notice = this->noticeFor(agent);
        notice.newcomers = { balancer };
        this->sendNotice(agent, notice, sink);
    }
}

std::optional<Endpoint> Balancer::takeFetch()
{
    if (!this->fetchFrom)
        return std::nullopt;
    this->isFetching = true;
    return std::exchange(this->fetchFrom, std::nullopt);
}

void Balancer::onFetched(Endpoint peer, std::span<const std::uint8_t> state, TimePoint now,
                         Sink &sink)
{
    this->isFetching = false;
    this->sent.add(MessageKind::State, this->peers.isHome(peer), state.size());
    const nlohmann::json document =
            nlohmann::json::from_cbor(state.begin(), state.end(), true, false);
    const bool isWhole = document.is_array() && document.size() == 2 && document[0].is_binary()
                         && document[1].is_binary();
    const std::optional<FleetState> decoded =
            isWhole ? FleetState::decode(document[0].get_binary(), now) : std::nullopt;
    if (!decoded) {
        sink.log(Level::Error, "state_malformed", { { "peer", toString(peer) } });
        return;
    }
    for (const Endpoint &agent : decodeEndpoints(document[1].get_binary()))
        this->directory.addFromPeer(agent, now);
    this->hasAgentList = true;
    PeerState &fetched = this->peerStates[peer];
    fetched.configuration = decoded->configurationVersion();
    fetched.evacuationsAsOf = decoded->evacuationsAsOf();
    fetched.knowsFormerTargets = decoded->knowsFormerTargets();
    if (this->fleet.adopt(*decoded, now))
        this->onStateChanged("peer", now, sink);
    this->chooseFetch(now);
}

bool Balancer::hasNewerState(Endpoint peer) const
{
    const auto it = this->peerStates.find(peer);
    return it != this->peerStates.end()
           && (it->second.configuration > this->fleet.configurationVersion()
               || it->second.evacuationsAsOf > this->fleet.evacuationsAsOf()
               || (it->second.knowsFormerTargets && !this->fleet.knowsFormerTargets()));
}

void Balancer::chooseFetch(TimePoint now)
{
    if (this->isFetching)
        return;
    std::optional<Endpoint> remote;
    bool isFirstOfZone = true;
    this->fetchFrom.reset();
    for (const Endpoint &peer : this->peers.live(now)) {
        const bool isHome = this->peers.isHome(peer);
        isFirstOfZone &= !isHome || rankOf(this->options.mesh) < rankOf(peer);
        if (!this->hasNewerState(peer))
            continue;
        if (isHome) {
            this->fetchFrom = peer;
            break;
        }
        remote = peer;
    }
    if (this->fetchFrom || !remote) {
        this->fetchNotBefore = {};
        return;
    }
    if (this->fetchNotBefore == TimePoint{})
        this->fetchNotBefore = isFirstOfZone ? now : now + remoteFetchDelay;
    if (now < this->fetchNotBefore)
        return;
    this->fetchFrom = remote;
    this->fetchNotBefore = {};
}

std::vector<std::uint8_t> Balancer::encodeState(TimePoint now) const
{
    std::vector<Endpoint> agents;
    for (const AgentIndex agent : this->directory.possibleOwners()) {
        if (!this->directory.isAbandoned(this->directory.at(agent), now))
            agents.push_back(this->directory.at(agent).endpoint);
    }
    nlohmann::json document = nlohmann::json::array();
    document.push_back(nlohmann::json::binary(this->fleet.encode(now)));
    document.push_back(nlohmann::json::binary(encodeEndpoints(agents)));
    return nlohmann::json::to_cbor(document);
}

void Balancer::onFetchFailed(Endpoint peer, TimePoint now, Sink &sink)
{
    this->isFetching = false;
    sink.log(Level::Warning, "state_fetch_failed", { { "peer", toString(peer) } });
    // Try another peer; this one is tried again after its next hello.
    if (const auto it = this->peerStates.find(peer); it != this->peerStates.end()) {
        it->second.configuration = 0;
        it->second.evacuationsAsOf = {};
        it->second.knowsFormerTargets = false;
    }
    this->chooseFetch(now);
}

void Balancer::addBalancers(const std::vector<Endpoint> &found, TimePoint now, Sink &sink)
{
    const std::vector<Endpoint> added = this->peers.add(found, now);
    if (added.empty())
        return;
    sink.log(Level::Info, "balancers_found", { { "count", std::to_string(found.size()) } });
    this->greet(added, now, sink);
}

void Balancer::addFound(const std::vector<Endpoint> &found, TimePoint now, Sink &sink)
{
    const std::vector<Endpoint> unheard = this->peers.addFound(found, now);
    sink.log(Level::Info, "directory_read",
             { { "entries", std::to_string(found.size()) },
               { "unheard", std::to_string(unheard.size()) } });
    this->greet(unheard, now, sink);
}

std::chrono::milliseconds Balancer::intervalFor(std::size_t recipients, std::size_t hellos)
{
    const std::size_t rounds = std::max<std::size_t>(1, (recipients + hellos - 1) / hellos);
    return helloInterval * std::int64_t(rounds);
}

BalancerHello Balancer::helloFor(Endpoint to, TimePoint now) const
{
    const bool isReader = this->storeReader.isActive();
    const bool isHome = this->peers.isHome(to);
    return { .name = this->options.name,
             .zone = this->options.zone,
             .configuration = this->fleet.configurationVersion(),
             .evacuationsAsOf = this->fleet.evacuationsAsOf(),
             .isStoreReachable = this->storeReader.isReachable(),
             .isLeaving = this->isStopping,
             .isSenderNew = this->isNew(now),
             .isReader = isReader,
             .knownBalancers = std::uint32_t(this->peers.size()),
             .interval =
                     isReader ? std::max(readerInterval, this->homeInterval / contactsPerInterval)
                     : isHome ? this->homeInterval
                              : this->remoteInterval,
             .contacts = isHome ? this->contacts : this->readerContacts,
             .knowsFormerTargets = this->fleet.knowsFormerTargets() };
}

void Balancer::sendHello(Endpoint to, bool wantsAnswer, TimePoint now, Sink &sink)
{
    BalancerHello hello = this->helloFor(to, now);
    hello.wantsAnswer = wantsAnswer;
    this->sendHello(to, hello, sink);
}

void Balancer::sendHello(Endpoint to, const BalancerHello &hello, Sink &sink)
{
    const std::vector<std::uint8_t> bytes = encode(hello);
    this->sent.add(MessageKind::Hello, this->peers.isHome(to), bytes.size());
    sink.toNode(to, bytes, {});
}

void Balancer::answerHello(const BalancerHello &hello, Endpoint to, TimePoint now, Sink &sink)
{
    BalancerHello answer = this->helloFor(to, now);
    if (hello.knownBalancers < this->peers.size())
        answer.balancers = this->peers.live(now);
    this->sendHello(to, answer, sink);
}

void Balancer::sendHellos(HelloScope scope, bool wantsAnswer, TimePoint now, Sink &sink)
{
    PeerSet::Split split = this->peers.split(now);
    if (scope == HelloScope::Neighbours)
        split.remote = this->peers.nextOfRemoteZones(hellosPerRemoteZone, this->zoneTurn, now);
    for (const std::vector<Endpoint> *recipients : { &split.home, &split.remote }) {
        for (const Endpoint &peer : *recipients)
            this->sendHello(peer, wantsAnswer, now, sink);
    }
}

void Balancer::sendRegularHellos(TimePoint now, Sink &sink)
{
    this->nextHellos = now + helloInterval;
    const PeerSet::Split split = this->peers.split(now);
    this->homeInterval = intervalFor(split.home.size(), homeHellos);
    this->remoteInterval = intervalFor(split.remote.size(), remoteHellos);
    this->peers.setIntervals(this->homeInterval, this->remoteInterval);
    this->chooseContacts(now);
    std::vector<Endpoint> recipients = nextInTurn(split.home, homeHellos, this->homeTurn);
    const std::vector<Endpoint> remote =
            this->storeReader.isActive()
                    ? this->peers.nextOfRemoteZones(hellosPerRemoteZone, this->zoneTurn, now)
                    : nextInTurn(split.remote, remoteHellos, this->remoteTurn);
    recipients.insert(recipients.end(), remote.begin(), remote.end());
    for (const Endpoint &peer : recipients)
        this->sendHello(peer, false, now, sink);
    this->greet(this->peers.nextFound(foundHellos), now, sink);
    this->contacts.clear();
    this->readerContacts.clear();
}

void Balancer::chooseContacts(TimePoint now)
{
    this->readerContacts.clear();
    for (const auto &[endpoint, state] : this->peerStates) {
        if (state.isReader && this->peers.isLive(endpoint, now)
            && this->readerContacts.size() < maxStoreReaders)
            this->readerContacts.push_back(this->peers.contactOf(endpoint, now));
    }
    this->contacts = this->readerContacts;
    const std::vector<PeerSet::Contact> others =
            this->peers.nextContacts(contactsPerHello - this->contacts.size(), now);
    this->contacts.insert(this->contacts.end(), others.begin(), others.end());
}

void Balancer::chooseReaders(TimePoint now, Sink &sink)
{
    const bool wasActive = this->storeReader.isActive();
    this->readerRank = this->rankAsReader(now);
    const bool isChosen = this->readerRank.has_value();
    this->storeReader.setActive(isChosen, now);
    if (isChosen != wasActive && !this->isStopping)
        this->sendHellos(HelloScope::Everyone, false, now, sink);
}

std::optional<std::size_t> Balancer::rankAsReader(TimePoint now) const
{
    if (this->isStopping)
        return std::nullopt;
    const std::vector<Endpoint> live = this->peers.live(now);
    // A balancer that has just started and heard no peer yet does not read the store for a moment.
    if (live.empty())
        return now - this->startedAt >= firstStateDelay ? std::optional<std::size_t>(0)
                                                        : std::nullopt;
    // Balancers that cannot reach the store rank after those that can.
    using Rank = std::tuple<bool, std::uint64_t>;
    const bool isReachable =
            this->storeReader.isReachable() || now - this->storeLostAt > storeRetryTime;
    const Rank own{ !isReachable, rankOf(this->options.mesh) };
    std::size_t before = 0;
    bool hasReader = false;
    for (const Endpoint &peer : live) {
        const auto state = this->peerStates.find(peer);
        const bool isPeerReachable =
                state == this->peerStates.end() || state->second.isStoreReachable;
        before += Rank{ !isPeerReachable, rankOf(peer) } < own ? 1 : 0;
        hasReader |= state != this->peerStates.end() && state->second.isReader;
    }
    // A new balancer does not know all peers yet, so its rank is worth little.
    if (this->isNew(now) && hasReader && !this->storeReader.isActive())
        return std::nullopt;
    return before < maxStoreReaders ? std::optional(before) : std::nullopt;
}

} // namespace cactusdeck::mesh

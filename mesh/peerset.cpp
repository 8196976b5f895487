#include "mesh/peerset.h"

#include <algorithm>

namespace cactusdeck::mesh {

void PeerSet::setIntervals(std::chrono::milliseconds home, std::chrono::milliseconds remote)
{
    this->homeInterval = home;
    this->remoteInterval = remote;
}

Duration PeerSet::silenceLimit(const Peer &peer) const
{
    // A balancer that does not know the whole fleet yet states too short an interval.
    std::chrono::milliseconds interval = peer.interval;
    if (!peer.isReader)
        interval =
                std::max(interval, this->isHome(peer) ? this->homeInterval : this->remoteInterval);
    return std::max<Duration>(minSilence, interval * silentIntervals + silenceMargin);
}

bool PeerSet::isLive(const Peer &peer, TimePoint now) const
{
    return peer.heard != TimePoint{} && now - peer.heard <= this->silenceLimit(peer);
}

void PeerSet::addSeeds(const std::vector<Endpoint> &endpoints, TimePoint now)
{
    this->add(endpoints, now);
    for (const Endpoint &endpoint : endpoints) {
        if (const auto it = this->peers.find(endpoint); it != this->peers.end())
            it->second.isSeed = true;
    }
}

std::vector<Endpoint> PeerSet::add(const std::vector<Endpoint> &endpoints, TimePoint now)
{
    std::vector<Endpoint> added;
    for (const Endpoint &endpoint : endpoints) {
        if (endpoint != this->options.self
            && this->peers.try_emplace(endpoint, Peer{ .heard = {}, .added = now }).second)
            added.push_back(endpoint);
    }
    return added;
}

std::vector<Endpoint> PeerSet::addFound(const std::vector<Endpoint> &endpoints, TimePoint now)
{
    std::vector<Endpoint> unheard;
    for (const Endpoint &endpoint : endpoints) {
        if (endpoint == this->options.self || this->peers.contains(endpoint))
            continue;
        this->found.insert(endpoint);
        unheard.push_back(endpoint);
    }
    this->foundAt = now;
    return unheard;
}

std::vector<Endpoint> PeerSet::nextFound(std::size_t count)
{
    std::vector<Endpoint> result;
    auto it = this->found.upper_bound(this->lastFound);
    while (result.size() < std::min(count, this->found.size())) {
        if (it == this->found.end())
            it = this->found.begin();
        result.push_back(*it++);
    }
    if (!result.empty())
        this->lastFound = result.back();
    return result;
}

bool PeerSet::onHeard(Endpoint endpoint, const Statement &statement, TimePoint now)
{
    if (endpoint == this->options.self)
        return false;
    Peer &peer = this->peers[endpoint];
    const bool wasSilent = !this->isLive(peer, now);
    this->found.erase(endpoint);
    peer.heard = now;
    peer.interval = statement.interval;
    peer.isReader = statement.isReader;
    if (!statement.zone.value.empty())
        peer.zone = statement.zone;
    this->lastHeardAny = now;
    return wasSilent;
}

void PeerSet::onContact(Endpoint endpoint, TimePoint heardAt)
{
    const auto it = this->peers.find(endpoint);
    if (it != this->peers.end() && it->second.heard != TimePoint{})
        it->second.heard = std::max(it->second.heard, heardAt);
}

bool PeerSet::mayGreet(Endpoint endpoint, TimePoint now)
{
    const auto it = this->peers.find(endpoint);
    if (it == this->peers.end() || it->second.heard != TimePoint{}
        || now - it->second.greeted < greetingGap)
        return false;
    it->second.greeted = now;
    return true;
}

void PeerSet::remove(Endpoint endpoint)
{
    const auto it = this->peers.find(endpoint);
    if (it == this->peers.end())
        return;
    it->second.heard = {};
    if (!it->second.isSeed)
        this->peers.erase(it);
}

void PeerSet::forgetSilent(TimePoint now)
{
    std::erase_if(this->peers, [&](const auto &entry) {
        const Peer &peer = entry.second;
        const Duration limit = std::max<Duration>(forgetTimeout, this->silenceLimit(peer) * 2);
        return !peer.isSeed && now - std::max(peer.heard, peer.added) > limit;
    });
    if (now - this->foundAt > forgetTimeout)
        this->found.clear();
}

std::vector<Endpoint> PeerSet::all() const
{
    std::vector<Endpoint> endpoints;
    for (const auto &[endpoint, peer] : this->peers)
        endpoints.push_back(endpoint);
    return endpoints;
}

std::vector<Endpoint> PeerSet::live(TimePoint now) const
{
    std::vector<Endpoint> endpoints;
    for (const auto &[endpoint, peer] : this->peers) {
        if (this->isLive(peer, now))
            endpoints.push_back(endpoint);
    }
    return endpoints;
}

bool PeerSet::isHome(const Peer &peer) const
{
    return peer.zone.value.empty() || peer.zone == this->options.zone;
}

bool PeerSet::isHome(Endpoint endpoint) const
{
    const auto it = this->peers.find(endpoint);
    return it == this->peers.end() || this->isHome(it->second);
}

PeerSet::Split PeerSet::split(TimePoint now) const
{
    Split result;
    bool hasLiveHome = false;
    for (const auto &[endpoint, peer] : this->peers) {
        (this->isHome(peer) ? result.home : result.remote).push_back(endpoint);
        hasLiveHome |= this->isHome(peer) && this->isLive(peer, now);
    }
    if (!hasLiveHome)
        return { .home = this->all() };
    return result;
}

std::vector<PeerSet::Contact> PeerSet::nextContacts(std::size_t count, TimePoint now)
{
    std::vector<Contact> contacts;
    auto it = this->peers.upper_bound(this->lastContact);
    for (std::size_t i = 0; i < this->peers.size() && contacts.size() < count; ++i) {
        if (it == this->peers.end())
            it = this->peers.begin();
        if (this->isLive(it->second, now))
            contacts.push_back(this->contactOf(it->first, now));
        this->lastContact = it->first;
        ++it;
    }
    return contacts;
}

std::vector<Endpoint> PeerSet::nextOfRemoteZones(std::size_t count, std::size_t &turn,
                                                 TimePoint now) const
{
    std::map<ZoneName, std::vector<Endpoint>> zones;
    for (const auto &[endpoint, peer] : this->peers) {
        if (!this->isHome(peer) && this->isLive(peer, now))
            zones[peer.zone].push_back(endpoint);
    }
    std::vector<Endpoint> result;
    for (const auto &[zone, endpoints] : zones) {
        const std::size_t sends = std::min(count, endpoints.size());
        for (std::size_t i = 0; i < sends; ++i)
            result.push_back(endpoints[(turn + i) % endpoints.size()]);
    }
    turn += count;
    return result;
}

bool PeerSet::isLive(Endpoint endpoint, TimePoint now) const
{
    const auto it = this->peers.find(endpoint);
    return it != this->peers.end() && this->isLive(it->second, now);
}

PeerSet::Contact PeerSet::contactOf(Endpoint endpoint, TimePoint now) const
{
    return { .balancer = endpoint,
             .age = std::chrono::duration_cast<std::chrono::milliseconds>(
                     now - this->peers.at(endpoint).heard) };
}

} // namespace cactusdeck::mesh

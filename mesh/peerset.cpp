#include "mesh/peerset.h"

#include <algorithm>

namespace cactusdeck::mesh {

void PeerSet::addSeeds(const std::vector<Endpoint> &endpoints, TimePoint now)
{
    this->add(endpoints, now);
    for (const Endpoint &endpoint : endpoints) {
        if (const auto it = this->peers.find(endpoint); it != this->peers.end())
            it->second.isSeed = true;
    }
}

bool PeerSet::add(const std::vector<Endpoint> &endpoints, TimePoint now)
{
    bool hasNew = false;
    for (const Endpoint &endpoint : endpoints) {
        if (endpoint != this->self)
            hasNew |= this->peers.try_emplace(endpoint, Peer{ .heard = {}, .added = now }).second;
    }
    return hasNew;
}

bool PeerSet::onHeard(Endpoint endpoint, TimePoint now)
{
    if (endpoint == this->self)
        return false;
    Peer &peer = this->peers[endpoint];
    const bool wasSilent = peer.heard == TimePoint{} || now - peer.heard > silenceTimeout;
    peer.heard = now;
    this->lastHeardAny = now;
    return wasSilent;
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
        return !peer.isSeed && now - std::max(peer.heard, peer.added) > forgetTimeout;
    });
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
        if (peer.heard != TimePoint{} && now - peer.heard <= silenceTimeout)
            endpoints.push_back(endpoint);
    }
    return endpoints;
}

} // namespace cactusdeck::mesh

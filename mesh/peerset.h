#ifndef CACTUSDECK_MESH_PEERSET_H
#define CACTUSDECK_MESH_PEERSET_H

#include <cstddef>
#include <map>
#include <vector>

#include "core/types.h"

// The balancers that a node knows. Endpoints come from settings, from other nodes and from the
// directory in the store; a balancer counts as live while it is heard.
//
//     peers.add(settings.seeds, now);
//     peers.onHeard(from, now);
//     for (Endpoint peer : peers.all()) send(peer, hello);

namespace cactusdeck::mesh {

class PeerSet
{
public:
    // A balancer that says nothing for this time is not live; three of its longest intervals.
    static constexpr std::chrono::milliseconds silenceTimeout{ 2000 };
    // One that is never heard again is forgotten, so that replaced machines cost no messages.
    static constexpr std::chrono::seconds forgetTimeout{ 20 };

    explicit PeerSet(Endpoint ownEndpoint)
        : self(ownEndpoint)
    { }

    // Seeds are never forgotten.
    void addSeeds(const std::vector<Endpoint> &endpoints, TimePoint now);
    // True if one of them is new.
    bool add(const std::vector<Endpoint> &endpoints, TimePoint now);
    // True if the balancer was unknown or silent before.
    bool onHeard(Endpoint endpoint, TimePoint now);
    void remove(Endpoint endpoint);
    void forgetSilent(TimePoint now);

    std::vector<Endpoint> all() const;
    std::vector<Endpoint> live(TimePoint now) const;
    std::size_t size() const { return this->peers.size(); }
    // The last time that any balancer was heard; the epoch if none was.
    TimePoint lastHeard() const { return this->lastHeardAny; }

private:
    struct Peer
    {
        TimePoint heard; // the epoch: never
        TimePoint added;
        bool isSeed = false;
    };

    Endpoint self;
    std::map<Endpoint, Peer> peers;
    TimePoint lastHeardAny{};
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_PEERSET_H

#ifndef CACTUSDECK_MESH_PEERSET_H
#define CACTUSDECK_MESH_PEERSET_H

#include <cstddef>
#include <map>
#include <vector>

#include "core/types.h"

// The balancers that a node knows. Their endpoints come from the settings, from other nodes and
// from the directory in the store. A balancer counts as live as long as messages arrive from it.
//
//     peers.add(settings.seeds, now);
//     peers.onHeard(from, now);
//     for (Endpoint peer : peers.all()) send(peer, hello);

namespace cactusdeck::mesh {

class PeerSet
{
public:
    // A balancer that sends nothing for this time does not count as live. It covers three of the
    // longest intervals between hellos.
    static constexpr std::chrono::milliseconds silenceTimeout{ 2000 };
    // A balancer that stays silent for this time is removed, so that no more messages are sent to
    // machines that have been replaced.
    static constexpr std::chrono::seconds forgetTimeout{ 20 };

    explicit PeerSet(Endpoint ownEndpoint)
        : self(ownEndpoint)
    { }

    // Seeds are never removed for being silent.
    void addSeeds(const std::vector<Endpoint> &endpoints, TimePoint now);
    // Returns true if at least one endpoint is new.
    bool add(const std::vector<Endpoint> &endpoints, TimePoint now);
    // Returns true if the balancer was unknown or not live before.
    bool onHeard(Endpoint endpoint, TimePoint now);
    void remove(Endpoint endpoint);
    void forgetSilent(TimePoint now);

    std::vector<Endpoint> all() const;
    std::vector<Endpoint> live(TimePoint now) const;
    std::size_t size() const { return this->peers.size(); }
    // The last time that any balancer was heard; the epoch if none has been heard.
    TimePoint lastHeard() const { return this->lastHeardAny; }

private:
    struct Peer
    {
        TimePoint heard; // last message; the epoch if none has arrived
        TimePoint added;
        bool isSeed = false;
    };

    Endpoint self;
    std::map<Endpoint, Peer> peers;
    TimePoint lastHeardAny{};
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_PEERSET_H

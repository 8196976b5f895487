#ifndef CACTUSDECK_MESH_PEERSET_H
#define CACTUSDECK_MESH_PEERSET_H

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "core/types.h"

// The balancers that a node knows. Their endpoints come from the settings, from other nodes and
// from the directory in the store. Balancers of the node's own failure domain (home) exchange
// messages often, those of other domains (remote) less often the more there are, so that the
// control traffic of a node doesn't grow with the fleet. Each balancer states how often it sends to
// this node, and counts as live until several of its messages are missing. Most of the endpoints in
// a long directory may be of machines that have gone, so they are only tried until they are heard.
//
//     PeerSet peers({ .self = settings.mesh, .zone = settings.zone });
//     peers.addSeeds(settings.seeds, now);
//     peers.onHeard(from, { .zone = hello.zone, .interval = hello.interval }, now);
//     for (Endpoint peer : peers.split(now).home) send(peer, hello);

namespace cactusdeck::mesh {

class PeerSet
{
public:
    struct Options
    {
        Endpoint self;
        ZoneName zone;
    };

    // What a balancer states about itself.
    struct Statement
    {
        ZoneName zone; // empty: not stated
        std::chrono::milliseconds interval{ 0 }; // longest time between its messages to this node
        bool isReader = false; // reads the store, so that its end must be noticed soon
    };

    struct Split
    {
        std::vector<Endpoint> home;
        std::vector<Endpoint> remote;
    };

    // When a balancer was last heard, as passed on to other nodes.
    struct Contact
    {
        Endpoint balancer;
        std::chrono::milliseconds age{ 0 };
    };

    explicit PeerSet(Options setOptions)
        : options(std::move(setOptions))
        , lastContact(this->options.self)
    { }

    // The intervals at which this node sends to home and remote balancers.
    void setIntervals(std::chrono::milliseconds home, std::chrono::milliseconds remote);
    // Seeds are never removed for being silent.
    void addSeeds(const std::vector<Endpoint> &endpoints, TimePoint now);
    // Returns the endpoints that are new.
    std::vector<Endpoint> add(const std::vector<Endpoint> &endpoints, TimePoint now);
    // Adds endpoints of the directory, which become balancers of this set when they are heard.
    // Returns those that are not, as each reading of the directory is a reason to try them again.
    std::vector<Endpoint> addFound(const std::vector<Endpoint> &endpoints, TimePoint now);
    // Up to count of the found endpoints that have not been heard; successive calls go round them.
    std::vector<Endpoint> nextFound(std::size_t count);
    // Returns true if the balancer was unknown or not live before.
    bool onHeard(Endpoint endpoint, const Statement &statement, TimePoint now);
    // Another node has heard the balancer at this time. Only balancers that have been heard here
    // are affected.
    void onContact(Endpoint endpoint, TimePoint heardAt);
    void remove(Endpoint endpoint);
    void forgetSilent(TimePoint now);

    // True once in greetingGap for a balancer that has not been heard yet.
    bool mayGreet(Endpoint endpoint, TimePoint now);
    std::vector<Endpoint> all() const;
    std::vector<Endpoint> live(TimePoint now) const;
    // Balancers whose domain is not known yet are home. If no home balancer is live, all are home.
    Split split(TimePoint now) const;
    bool isHome(Endpoint endpoint) const;
    // Up to count live balancers; successive calls go round all of them.
    std::vector<Contact> nextContacts(std::size_t count, TimePoint now);
    // Up to count live balancers of each remote domain. Successive calls with the same turn go
    // round all of them; nodes with different turns choose different balancers.
    std::vector<Endpoint> nextOfRemoteZones(std::size_t count, std::size_t &turn,
                                            TimePoint now) const;
    bool isLive(Endpoint endpoint, TimePoint now) const;
    // How long ago the balancer was heard. It must be live.
    Contact contactOf(Endpoint endpoint, TimePoint now) const;
    std::size_t size() const { return this->peers.size(); }
    // False if no balancer but this node is known, heard or not.
    bool knowsOthers() const { return !this->peers.empty() || !this->found.empty(); }
    // The last time that any balancer was heard; the epoch if none has been heard.
    TimePoint lastHeard() const { return this->lastHeardAny; }

private:
    static constexpr std::chrono::milliseconds greetingGap{ 1000 };
    // A balancer is not live after this time, or if it states a longer interval, after this many
    // intervals and a margin for transmission.
    static constexpr std::chrono::milliseconds minSilence{ 2000 };
    static constexpr int silentIntervals = 6;
    static constexpr std::chrono::milliseconds silenceMargin{ 500 };
    // A balancer that stays silent for this time, or for twice its silence limit, is removed, so
    // that no more messages are sent to machines that have been replaced.
    static constexpr std::chrono::seconds forgetTimeout{ 20 };

    struct Peer
    {
        TimePoint heard; // last message; the epoch if none has arrived
        TimePoint added;
        TimePoint greeted;
        ZoneName zone; // empty: not known yet
        std::chrono::milliseconds interval{ 0 };
        bool isReader = false;
        bool isSeed = false;
    };

    bool isHome(const Peer &peer) const;
    Duration silenceLimit(const Peer &peer) const;
    bool isLive(const Peer &peer, TimePoint now) const;

    Options options;
    std::map<Endpoint, Peer> peers;
    std::chrono::milliseconds homeInterval{ 0 };
    std::chrono::milliseconds remoteInterval{ 0 };
    TimePoint lastHeardAny{};
    Endpoint lastContact; // of the last call of nextContacts
    std::set<Endpoint> found; // in the directory, and not heard yet
    TimePoint foundAt{}; // when the last of them was added
    Endpoint lastFound; // of the last call of nextFound
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_PEERSET_H

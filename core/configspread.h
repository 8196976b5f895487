#ifndef CACTUSDECK_CORE_CONFIGSPREAD_H
#define CACTUSDECK_CORE_CONFIGSPREAD_H

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "core/configuration.h"
#include "core/outbox.h"

// Distributes configuration versions between nodes: notifies others of a new version, and requests
// a newer version from the nodes that are known to have it.
//
//     ConfigurationSpread spread({ .id = ..., .replyTo = control, .seed = 1 });
//     spread.setPeers(balancers);                 // control endpoints, own one excluded
//     spread.setNotifiedAgents(monitoredAgents);  // balancers only
//     if (spread.adopt(configuration, now, outbox))            // from the store
//         use(spread.current());
//     spread.onVersionSeen(version, from, now, outbox);        // heartbeat, ack, gossip, data
//     spread.onNotice(notice, now, outbox);
//     spread.onRequest(request, now, outbox);
//     if (spread.onDelta(delta, now, outbox))
//         use(spread.current());
//     spread.onTimer(now, outbox);
//
// All endpoints are control endpoints. A node without any configuration requests one from its peers
// without having been notified of a version.

namespace cactusdeck {

struct ConfigurationSpreadOptions
{
    NodeId id;
    Endpoint replyTo; // own control endpoint
    std::optional<GroupName> group; // agents: fetch only what this group may host
    std::uint64_t seed = 0;
    // Peers notified in each round. Larger sets of peers are covered because each notified peer
    // notifies others in turn.
    std::size_t fanout = 8;
    // Rounds of notices for one version. With 20% loss, 5 rounds leave 0.03% of the receivers
    // without a notice; those learn of the version from heartbeats and data frames.
    int rounds = 5;
    // From the first round of notices to the second; doubles with each round.
    Duration firstRepeat = std::chrono::milliseconds(100);
    Duration firstTimeout = std::chrono::milliseconds(150); // of a request
    Duration timeoutCap = std::chrono::seconds(2);
    // A newer version is discarded if no node mentions it again within this time, since its number
    // may come from a corrupt frame.
    Duration pendingVersionLifetime = std::chrono::seconds(60);
};

class ConfigurationSpread
{
public:
    explicit ConfigurationSpread(ConfigurationSpreadOptions options);

    void setPeers(std::vector<Endpoint> peers);
    // Agents that this node notifies: each of them gets a notice in every round until it is known
    // to have the version.
    void setNotifiedAgents(std::vector<Endpoint> notifiedAgents);

    const ConfigurationPointer &current() const { return this->log.current(); }

    // Returns true if the configuration is newer than the current one; others are then notified.
    bool adopt(ConfigurationPointer configuration, TimePoint now, Outbox &outbox);

    // The node at `from` has this version. An endpoint without a port means that the node isn't
    // known; the version is then requested from peers.
    void onVersionSeen(ConfigurationVersion version, Endpoint from, TimePoint now, Outbox &outbox);
    void onNotice(const ConfigurationNotice &notice, TimePoint now, Outbox &outbox);
    void onRequest(const ConfigurationRequest &request, TimePoint now, Outbox &outbox);
    // Returns true if a newer version was adopted. An invalid delta is logged and changes nothing.
    bool onDelta(const ConfigurationDelta &delta, TimePoint now, Outbox &outbox);
    void onTimer(TimePoint now, Outbox &outbox);

    // The newest version that any node has mentioned, at least the current one.
    ConfigurationVersion newestSeen() const;
    // How long this node has known of a newer version without having it; zero if it is up to date.
    Duration staleDuration(TimePoint now) const;

private:
    // A version newer than the current one that other nodes mentioned and that isn't here yet.
    struct PendingVersion
    {
        ConfigurationVersion version = 0;
        TimePoint firstSeen; // when this version was first mentioned
        TimePoint lastSeen; // when any newer version was last mentioned
        TimePoint behindSince; // when the node was last up to date
        std::vector<Endpoint> sources; // nodes that mentioned it, most recent first
    };
    struct Request
    {
        TimePoint nextAt; // when the request is repeated if no answer arrives
        int attempts = 0;
        bool waiting = false; // for an answer
    };
    struct Notices
    {
        int roundsLeft = 0;
        TimePoint nextAt;
        Duration interval{};
        // Nodes that aren't known to have the version.
        std::vector<Endpoint> notifiedAgents;
        std::vector<Endpoint> peers;
    };

    ConfigurationSpreadOptions options;
    std::mt19937_64 random;
    ConfigurationLog log;
    std::vector<Endpoint> peers;
    std::vector<Endpoint> notifiedAgents;
    std::optional<PendingVersion> pendingVersion;
    Request request;
    bool wantSnapshot = false; // a delta didn't match the current configuration
    Notices notices;
    std::map<Endpoint, TimePoint> lastSnapshotAt; // by requester

    void startNotices(TimePoint now, Outbox &outbox);
    void sendNotices(TimePoint now, Outbox &outbox);
    void dropFromNotices(Endpoint endpoint);
    void addSource(Endpoint from);
    void removeSource(Endpoint from);
    void sendRequest(TimePoint now, Outbox &outbox);
    std::optional<Endpoint> sourceForAttempt(int turn);
    std::vector<Endpoint> chooseSources();
    ConfigurationVersion requestBase() const;
    void onAdopted(TimePoint now, Outbox &outbox);
    bool needsRequest() const;
    void onRefused(const ConfigurationDelta &delta, const Error &error, Outbox &outbox);
    void onEmptyDelta(const ConfigurationDelta &delta, TimePoint now);
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_CONFIGSPREAD_H

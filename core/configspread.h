#ifndef CACTUSDECK_CORE_CONFIGSPREAD_H
#define CACTUSDECK_CORE_CONFIGSPREAD_H

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "core/configuration.h"
#include "core/outbox.h"

// Spreads configuration versions between nodes: tells others of a new version, and fetches a newer
// one from whoever names it.
//
//     ConfigurationSpread spread({ .id = ..., .replyTo = control, .seed = 1 });
//     spread.setPeers(balancers);                 // control endpoints, own one excluded
//     spread.setDependants(monitoredAgents);      // balancers only
//     if (spread.adopt(configuration, now, outbox))            // from the store
//         use(spread.current());
//     spread.onVersionSeen(version, from, now, outbox);        // heartbeat, ack, gossip, data
//     frame spread.onNotice(notice, now, outbox); spread.onRequest(request, now, outbox); if
//     (spread.onDelta(delta, now, outbox))
//         use(spread.current());
//     spread.onTimer(now, outbox);
//
// Endpoints are control endpoints. A node without any configuration asks its peers by itself.

namespace cactusdeck {

struct ConfigurationSpreadOptions
{
    NodeId id;
    Endpoint replyTo; // own control endpoint
    std::optional<GroupName> group; // agents: fetch only what this group may host
    std::uint64_t seed = 0;
    // Peers notified in each round. Larger sets are covered because each notified peer does the
    // same.
    std::size_t fanout = 8;
    // Rounds of notices for one version. With 20% loss, 5 rounds leave 0.03% of the receivers
    // without one; those learn of the version from heartbeats and frames.
    int rounds = 5;
    Duration firstRepeat = std::chrono::milliseconds(100); // doubles from round to round
    Duration firstTimeout = std::chrono::milliseconds(150); // of a request
    Duration timeoutCap = std::chrono::seconds(2);
    // A version that nobody delivers and nobody names again is given up after this time, since it
    // may come from a corrupt frame.
    Duration pendingVersionLifetime = std::chrono::seconds(60);
};

class ConfigurationSpread
{
public:
    explicit ConfigurationSpread(ConfigurationSpreadOptions options);

    void setPeers(std::vector<Endpoint> peers);
    // All of them get every notice until they are known to have the version.
    void setDependants(std::vector<Endpoint> dependants);

    const ConfigurationPointer &current() const { return this->log.current(); }

    // True when the configuration is newer than the current one; then others are notified.
    bool adopt(ConfigurationPointer configuration, TimePoint now, Outbox &outbox);

    // The node at `from` has this version. An endpoint without a port means that it isn't known;
    // then peers are asked.
    void onVersionSeen(ConfigurationVersion version, Endpoint from, TimePoint now, Outbox &outbox);
    void onNotice(const ConfigurationNotice &notice, TimePoint now, Outbox &outbox);
    void onRequest(const ConfigurationRequest &request, TimePoint now, Outbox &outbox);
    // True when a newer version was adopted. A faulty delta is logged and changes nothing.
    bool onDelta(const ConfigurationDelta &delta, TimePoint now, Outbox &outbox);
    void onTimer(TimePoint now, Outbox &outbox);

    // Newest version that anybody named, at least the current one.
    ConfigurationVersion newestSeen() const;
    // How long a newer version has been known without being obtained; zero when up to date.
    Duration staleDuration(TimePoint now) const;

private:
    // A newer version that others named.
    struct PendingVersion
    {
        ConfigurationVersion version = 0;
        TimePoint firstSeen; // when this version was first named
        TimePoint lastSeen;
        TimePoint behindSince; // when the node was last up to date
        std::vector<Endpoint> sources; // most recent first
    };
    struct Request
    {
        TimePoint nextAt; // when the next one is sent if no answer comes
        int attempts = 0;
        bool waiting = false;
    };
    struct Notices
    {
        int roundsLeft = 0;
        TimePoint nextAt;
        Duration interval{};
        std::vector<Endpoint> dependants; // not known to have the version
        std::vector<Endpoint> peers;
    };

    ConfigurationSpreadOptions options;
    std::mt19937_64 random;
    ConfigurationLog log;
    std::vector<Endpoint> peers;
    std::vector<Endpoint> dependants;
    std::optional<PendingVersion> pendingVersion;
    Request request;
    bool wantSnapshot = false; // the last delta didn't fit
    Notices notices;
    std::map<Endpoint, TimePoint> lastSnapshotAt; // when each requester was last sent one

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

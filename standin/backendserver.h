#ifndef CACTUSDECK_STANDIN_BACKENDSERVER_H
#define CACTUSDECK_STANDIN_BACKENDSERVER_H

#include <deque>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "standin/request.h"
#include "standin/tcp.h"

// A backend server of the stand-in: answers requests over TCP packets, with slots, a cold phase,
// shedding and drain. It counts everything that the system must prevent.
//
//     BackendServer server({ .name = "booking-1", .zone = "amman-a", .addresses = { endpoint } });
//     server.onPacket(packet, agent, now, sends);    // answers go to the packet's source endpoint
//     server.onTimer(now, sends);                    // every few milliseconds
//     server.chill(now);                             // cold without telling anybody
//     nlohmann::json counters = server.counters(now, wallClockMilliseconds);
//
// A cold server slows down by coldFactor. A request that makes more than coldSlots requests at once
// on a cold server counts as an overload, and takes overloadFactor times longer.

namespace cactusdeck {

struct PacketSend
{
    Endpoint to;
    std::vector<std::uint8_t> packet;
};
using PacketSends = std::vector<PacketSend>;

struct BackendOptions
{
    std::string name;
    std::string zone;
    std::vector<Endpoint> addresses; // of its services; empty: any
    std::size_t slots = 5; // requests in progress; others wait
    std::size_t connections = 2000; // above: RST
    Duration latency = std::chrono::milliseconds(20); // of a request at speed 1
    double speed = 1;
    std::size_t coldCompletions = 10; // answers until a cold server is warm
    std::size_t coldSlots = 1;
    double coldFactor = 10;
    double overloadFactor = 5;
    // Overloads are counted apart in this time after the server turned cold without warning:
    // requests already on the way can't be held back.
    Duration coldGracePeriod = std::chrono::seconds(1);
    Duration healthLag{}; // GET /health tells what was true so long ago
    std::string fixedHealthStatus; // status that GET /health always tells; empty: the true one
    std::uint64_t startedAt = 1; // told by GET /health, rises with each restart
    std::uint64_t seed = 1;
};

class BackendServer
{
public:
    BackendServer(BackendOptions options, TimePoint now);

    void onPacket(std::span<const std::uint8_t> packet, Endpoint agent, TimePoint now,
                  PacketSends &out);
    void onTimer(TimePoint now, PacketSends &out);

    void drain(TimePoint now);
    void turnColdSilently(TimePoint now);
    // Forgets all connections and requests, as a new process would; the counters stay.
    void restart(TimePoint now);

    nlohmann::json health(TimePoint now);
    nlohmann::json counters(TimePoint now, std::int64_t wallMilliseconds) const;

private:
    struct Connection
    {
        TcpConnection tcp;
        Endpoint agent;
        std::uint64_t number = 0; // tells a later connection of the same flow apart
        std::string input;
        bool isBusy = false;
    };
    struct Job
    {
        FlowKey key;
        std::uint64_t connection = 0;
        Request request;
        TimePoint finishAt;
    };

    void accept(const PacketView &view, Endpoint agent, TimePoint now, PacketSends &out);
    void readRequest(Connection &connection, TimePoint now);
    void startWaiting(TimePoint now);
    void startJob(Job job, TimePoint now);
    void finishJob(const Job &job, TimePoint now, PacketSends &out);
    void cancelWaiting(const Connection &connection);
    void becomeCold(TimePoint now, bool isSilent);
    const char *status() const;
    Connection *find(const FlowKey &key);

    BackendOptions options;
    std::mt19937_64 random;
    std::map<FlowKey, Connection> connectionsByKey; // key from the server's side
    std::deque<Job> waiting;
    std::vector<Job> running;
    std::uint64_t nextConnection = 1;

    bool isDraining = false;
    TimePoint drainedAt;
    bool isCold = true;
    bool isSilent = false; // cold, but health says serving
    TimePoint coldSince;
    std::size_t completionsSinceCold = 0;
    std::uint64_t startedAt = 0;
    std::deque<std::pair<TimePoint, nlohmann::json>> healthHistory;

    std::unordered_map<std::string, std::uint32_t> executed; // by request id
    std::unordered_map<std::string, std::uint32_t> accepted; // flow to initial sequence number
    std::uint64_t packetCount = 0;
    std::uint64_t misdelivered = 0;
    std::uint64_t overloads = 0;
    std::uint64_t unwarnedOverloads = 0;
    std::uint64_t shed = 0;
    std::uint64_t acceptedAfterDrain = 0;
    std::uint64_t completions = 0;
    std::uint64_t cancelled = 0;
    std::size_t maxInProgress = 0;
    TimePoint lastPacket;
};

} // namespace cactusdeck

#endif // CACTUSDECK_STANDIN_BACKENDSERVER_H

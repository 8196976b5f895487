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

// Simulates a backend server that answers requests over TCP packets, with a limited number of
// request slots, a cold phase after it starts, load shedding and drain. Counts the faults that the
// load balancer must prevent, such as misdelivered packets and overloads of a cold server.
//
//     BackendServer server({ .name = "booking-1", .zone = "amman-a", .addresses = { endpoint } });
//     server.onPacket(packet, agent, now, sends);    // answers go to the packet's source endpoint
//     server.onTimer(now, sends);                    // every few milliseconds
//     server.turnColdSilently(now);                  // cold, but health still reports serving
//     nlohmann::json counters = server.counters(now, wallClockMilliseconds);
//
// Requests on a cold server take coldFactor times longer. A request that brings the requests in
// progress on a cold server above coldSlots counts as an overload; a request that starts while
// coldSlots requests are running takes another overloadFactor times longer.

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
    std::vector<Endpoint> addresses; // addresses of its services; empty: any address
    std::size_t slots = 5; // requests executed at once; further ones wait
    std::size_t connections = 2000; // a SYN above this number is answered with RST
    Duration latency = std::chrono::milliseconds(20); // mean service time at speed 1
    double speed = 1;
    std::size_t coldCompletions = 10; // completed requests until a cold server is warm
    std::size_t coldSlots = 1; // requests that a cold server can execute at once
    double coldFactor = 10;
    double overloadFactor = 5;
    // Overloads within this time after the server silently turned cold are counted separately, as
    // unwarnedOverloads: the load balancer cannot hold back requests that are already on the way.
    Duration coldGracePeriod = std::chrono::seconds(1);
    Duration healthLag{}; // GET /health reports the status of this long ago
    std::string fixedHealthStatus; // status that GET /health always reports; empty: the actual one
    std::uint64_t startedAt = 1; // reported by GET /health; incremented on each restart
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
    // Makes the server cold while its health endpoint still reports serving.
    void turnColdSilently(TimePoint now);
    // Drops all connections and requests, as a process restart does. The counters are kept.
    void restart(TimePoint now);

    nlohmann::json health(TimePoint now);
    nlohmann::json counters(TimePoint now, std::int64_t wallMilliseconds) const;

private:
    struct Connection
    {
        TcpConnection tcp;
        Endpoint agent;
        std::uint64_t number = 0; // distinguishes successive connections with the same flow key
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
    std::map<FlowKey, Connection> connectionsByKey; // in each key, the source is this server
    std::deque<Job> waiting;
    std::vector<Job> running;
    std::uint64_t nextConnection = 1;

    bool isDraining = false;
    TimePoint drainedAt;
    bool isCold = true;
    bool isSilent = false; // cold, but the health endpoint reports serving
    TimePoint coldSince;
    std::size_t completionsSinceCold = 0;
    std::uint64_t startedAt = 0;
    std::deque<std::pair<TimePoint, nlohmann::json>> healthHistory;

    std::unordered_map<std::string, std::uint32_t> executed; // number of executions by request id
    std::unordered_map<std::string, std::uint32_t> accepted; // initial sequence number by flow
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

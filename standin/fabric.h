#ifndef CACTUSDECK_STANDIN_FABRIC_H
#define CACTUSDECK_STANDIN_FABRIC_H

#include <map>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "standin/backendserver.h"
#include "standin/caller.h"

// Simulates the network fabric and the callers behind it: sends each packet of a caller to a random
// attached balancer, delivers return packets to the callers, and drops, duplicates or reorders
// packets in both directions.
//
//     Fabric fabric(fabricOptionsOf(json));
//     fabric.onDatagram(bytes, now, sends);       // attach frames and return packets
//     fabric.onTimer(now, sends);                 // every few milliseconds
//     fabric.finish(now);                         // starts no new callers, closes sessions
//     if (fabric.isDone(now))
//         std::cout << fabric.report(serverCounters);

namespace cactusdeck {

// Callers with the same service and traffic pattern.
struct CallerGroup
{
    std::string name;
    Endpoint service;
    bool isSession = false;
    double arrivalsPerSecond = 10;
    std::size_t initial = 0; // callers that start together with the traffic
    double bookingShare = 0; // fraction of the requests that are bookings
    std::size_t minAnswer = 200; // bytes
    std::size_t maxAnswer = 2000;
    std::chrono::milliseconds pause{ 500 }; // between an answer and the next request
    Duration startDelay{}; // from the start of the traffic to the first arrival
};

struct FabricOptions
{
    std::uint64_t seed = 1;
    double drop = 0; // drop, duplicate and reorder: probability per packet, in both directions
    double duplicate = 0;
    double reorder = 0; // such a packet is delayed by a random time up to reorderDelay
    std::chrono::milliseconds reorderDelay{ 10 };
    std::size_t callerEndpoints = 50000; // number of source endpoints, reused round-robin
    std::size_t minBalancers = 1; // the traffic starts when this many are attached
    std::vector<CallerGroup> groups;
    std::vector<Endpoint> servers; // health endpoints, from which the counters are read
};

// Throws nlohmann::json::exception on a missing key or a wrong type.
FabricOptions fabricOptionsOf(const nlohmann::json &json);

// The outcome of a caller that has ended.
struct FlowRecord
{
    std::string flow; // "10.0.0.1:4000>198.51.100.10:443/tcp"
    std::uint32_t serverSequence = 0; // initial sequence number of the server
    CallerOutcome outcome = CallerOutcome::Running;
    std::string firstRequest;
    TimePoint endedAt;
};

class Fabric
{
public:
    // A balancer that sends no attach frame for this time is detached.
    static constexpr std::chrono::seconds attachLifetime{ 2 };

    explicit Fabric(FabricOptions options);

    void onDatagram(std::span<const std::uint8_t> datagram, TimePoint now, PacketSends &out);
    void onTimer(TimePoint now, PacketSends &out);

    // Records that an operator took the zone out of service or returned it. A flow whose server is
    // in the zone is not counted as broken if it ends between the two, or within
    // brokenFlowDetectionTime after the return.
    void setZoneOut(const std::string &zone, bool isOut, TimePoint now);
    void finish(TimePoint now);
    // True if finish() was called and all callers have ended or finishLimit has passed since.
    bool isDone(TimePoint now) const;

    nlohmann::json counters() const;
    // Takes the counters of all servers, to find requests that were executed more than once, flows
    // that were refused although a request was executed, and the zones of broken flows.
    nlohmann::json report(const nlohmann::json &serverCounters) const;

    const std::vector<Endpoint> &servers() const { return this->options.servers; }

private:
    struct ZoneOut
    {
        std::string zone;
        TimePoint from;
        TimePoint until;
    };
    struct PacketInTransit
    {
        Endpoint balancer; // port 0: addressed to a caller
        std::vector<std::uint8_t> packet;
    };
    struct LiveCaller
    {
        Caller caller;
        TimePoint removeAt; // until then, late packets of an ended flow are acknowledged
        bool isRecorded = false;
    };

    void startCallers(TimePoint now, PacketSends &out);
    void startCaller(const CallerGroup &group, TimePoint now, PacketSends &out);
    Endpoint nextUnusedEndpoint();
    void sendToBalancers(PacketList &packets, TimePoint now, PacketSends &out);
    void impair(PacketInTransit packet, TimePoint now, PacketSends &out);
    void deliver(PacketInTransit packet, TimePoint now, PacketSends &out);
    void deliverToCaller(std::span<const std::uint8_t> packet, TimePoint now, PacketSends &out);
    void recordEnd(LiveCaller &live, TimePoint now);
    bool isExcusedByZoneOut(const FlowRecord &record, const nlohmann::json &serverCounters) const;
    // Returns true with the given probability.
    bool chance(double probability);

    FabricOptions options;
    std::mt19937_64 random;
    std::map<Endpoint, TimePoint> balancers; // data endpoint to last attach frame
    std::map<Endpoint, LiveCaller> callers;
    std::multimap<TimePoint, PacketInTransit> delayedPackets;
    std::vector<TimePoint> nextArrivals; // by index of the group
    std::vector<FlowRecord> records; // callers that ended otherwise than as Finished
    std::vector<ZoneOut> zonesOut;
    bool isStarted = false;
    bool isFinishing = false;
    TimePoint finishedAt;
    std::size_t nextEndpoint = 0;
    std::uint64_t attempts = 0;
    std::uint64_t established = 0;
    std::uint64_t finished = 0;
    std::uint64_t uncleanCloses = 0;
    std::uint64_t answers = 0;
    std::uint64_t strays = 0; // packets to a caller endpoint without that connection
    std::uint64_t unrouted = 0; // packets dropped because no balancer was attached
    Duration slowest{};
};

} // namespace cactusdeck

#endif // CACTUSDECK_STANDIN_FABRIC_H

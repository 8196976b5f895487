#ifndef CACTUSDECK_STANDIN_FABRIC_H
#define CACTUSDECK_STANDIN_FABRIC_H

#include <map>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "standin/backendserver.h"
#include "standin/caller.h"

// The network fabric with its callers: spreads packets at random over the attached balancers and
// delivers return packets to the callers.
//
//     Fabric fabric(fabricOptionsOf(json));
//     fabric.onDatagram(bytes, now, sends);       // attach frames and return packets
//     fabric.onTimer(now, sends);                 // every few milliseconds
//     fabric.finish(now);                         // no new callers, sessions close
//     if (fabric.isDone(now))
//         std::cout << fabric.report(serverCounters);

namespace cactusdeck {

// A kind of traffic.
struct CallerGroup
{
    std::string name;
    Endpoint service;
    bool isSession = false;
    double arrivalsPerSecond = 10;
    std::size_t initial = 0; // callers that begin at once
    double bookingShare = 0;
    std::size_t minAnswer = 200; // bytes
    std::size_t maxAnswer = 2000;
    std::chrono::milliseconds pause{ 500 }; // between an answer and the next request
    Duration startDelay{}; // arrivals begin so much later than the traffic
};

struct FabricOptions
{
    std::uint64_t seed = 1;
    double drop = 0; // probabilities for each packet, in both directions
    double duplicate = 0;
    double reorder = 0; // delayed at random by up to reorderDelay
    std::chrono::milliseconds reorderDelay{ 10 };
    std::size_t callerEndpoints = 50000; // reused in turn
    std::size_t minBalancers = 1; // callers begin when so many are attached
    std::vector<CallerGroup> groups;
    std::vector<Endpoint> servers; // health endpoints, for their counters
};

// Throws nlohmann::json::exception on a missing key or a wrong type.
FabricOptions fabricOptionsOf(const nlohmann::json &json);

// What remains of a caller that ended.
struct FlowRecord
{
    std::string flow; // "10.0.0.1:4000>198.51.100.10:443/tcp"
    std::uint32_t serverSequence = 0;
    CallerOutcome outcome = CallerOutcome::Running;
    std::string firstRequest;
    TimePoint endedAt;
};

class Fabric
{
public:
    // An attached balancer that is silent for so long is detached.
    static constexpr std::chrono::seconds attachLifetime{ 2 };

    explicit Fabric(FabricOptions options);

    void onDatagram(std::span<const std::uint8_t> datagram, TimePoint now, PacketSends &out);
    void onTimer(TimePoint now, PacketSends &out);

    // Operators take a zone out or back in: flows that break in between and up to zoneNotice later
    // are not counted as broken if their server is in the zone.
    void setZoneOut(const std::string &zone, bool isOut, TimePoint now);
    void finish(TimePoint now);
    // All callers ended, or finishLimit has passed since finish().
    bool isDone(TimePoint now) const;

    nlohmann::json counters() const;
    // The counters of all servers are needed to tell duplicates, untrue refusals, and the zones of
    // broken flows.
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
        Endpoint balancer; // port 0: to a caller
        std::vector<std::uint8_t> packet;
    };
    struct LiveCaller
    {
        Caller caller;
        TimePoint removeAt; // after the end, late packets are still acknowledged until then
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
    bool chance(double probability);

    FabricOptions options;
    std::mt19937_64 random;
    std::map<Endpoint, TimePoint> balancers; // data endpoint to last attach frame
    std::map<Endpoint, LiveCaller> callers;
    std::multimap<TimePoint, PacketInTransit> delayedPackets;
    std::vector<TimePoint> nextArrivals; // by group
    std::vector<FlowRecord> records; // all but finished ones, and those only in numbers
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
    std::uint64_t strays = 0;
    std::uint64_t unrouted = 0;
    Duration slowest{};
};

} // namespace cactusdeck

#endif // CACTUSDECK_STANDIN_FABRIC_H

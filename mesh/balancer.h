#ifndef CACTUSDECK_MESH_BALANCER_H
#define CACTUSDECK_MESH_BALANCER_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "core/flowcache.h"
#include "core/frame.h"
#include "core/tokenbucket.h"
#include "mesh/agentdirectory.h"
#include "mesh/flowsearch.h"
#include "mesh/peerset.h"
#include "mesh/segment.h"
#include "mesh/sink.h"
#include "mesh/statereader.h"

// An entry instance: places new flows at agents and hands packets of known flows to their agents.
// It owns no flow. What it remembers of flows can be lost at any time; the agents are asked then.
//
//     Balancer balancer({ .name = ..., .zone = ..., .codec = &codec, ... });
//     balancer.start(now, sink);
//     balancer.onCallerPacket(bytes, now, sink);      // from the fabric
//     balancer.onDatagram(bytes, from, now, sink);    // frames and messages of other nodes
//     balancer.onTimer(now, sink);                    // at nextTimer()
//     for (const StoreQuery &query : balancer.takeQueries(now)) ...
//     if (const auto peer = balancer.takeFetch()) ... // ask it for its state
//
// The class does no I/O and reads no clock. All times passed in must not go backwards.

namespace cactusdeck::mesh {

struct BalancerOptions
{
    NodeId name;
    ZoneName zone;
    Endpoint mesh; // own endpoint for frames and messages
    std::vector<Endpoint> seeds; // mesh endpoints of balancers
    const SegmentCodec *codec = nullptr;
    StateReader::ConfigurationDecoder decodeConfiguration;
    Duration costPerKilobyte{}; // of bytes that leave the failure domain
    std::size_t flowCacheEntries = 1 << 14; // 16 bytes each
    std::uint64_t seed = 0;
};

// Since the start; packets unless stated otherwise.
struct BalancerCounters
{
    std::uint64_t packets = 0; // from callers
    std::uint64_t malformed = 0;
    std::uint64_t placed = 0; // opening packets given to an agent
    std::uint64_t held = 0; // until the balancer had its state
    std::uint64_t placedInZone = 0; // of these, to one of the own failure domain
    std::uint64_t forwarded = 0; // to the remembered agent of their flow
    std::uint64_t searches = 0; // flows
    std::uint64_t questions = 0; // to agents, about flows
    std::uint64_t probes = 0; // given to agents whose servers may hold the flow
    std::uint64_t searchesFound = 0; // flows
    std::uint64_t searchesExpired = 0; // flows
    std::uint64_t resetNoRoute = 0;
    std::uint64_t resetNoServer = 0;
    std::uint64_t resetEnded = 0; // flows whose backend server is gone
    std::uint64_t dropped = 0;
    std::uint64_t stateChanges = 0;
};

class Balancer
{
public:
    explicit Balancer(BalancerOptions options);

    void start(TimePoint now, Sink &sink);
    void onCallerPacket(std::span<const std::uint8_t> packet, TimePoint now, Sink &sink);
    void onDatagram(std::span<const std::uint8_t> datagram, Endpoint from, TimePoint now,
                    Sink &sink);

    std::vector<StoreQuery> takeQueries(TimePoint now);
    void onStoreResult(const StoreResult &result, TimePoint now, Sink &sink);
    // A peer whose state is newer and should be fetched.
    std::optional<Endpoint> takeFetch();
    void onFetched(Endpoint peer, std::span<const std::uint8_t> state, TimePoint now, Sink &sink);
    void onFetchFailed(Endpoint peer, Sink &sink);
    // What peers fetch: the state and the agents that may hold flows.
    std::vector<std::uint8_t> encodeState() const;
    const FleetState &state() const { return this->fleet; }

    // Mesh endpoints found in the directory.
    void addBalancers(const std::vector<Endpoint> &balancers, TimePoint now, Sink &sink);
    bool needsDirectory(TimePoint now) const;

    TimePoint nextTimer() const;
    void onTimer(TimePoint now, Sink &sink);
    // The machine stood still: what peers and the store said meanwhile is unknown.
    void onPaused(TimePoint now, Sink &sink);
    // Leaves the fabric, and ends once no packets have come for a while.
    void stop(TimePoint now, Sink &sink);
    bool isStopped(TimePoint now) const;
    // Whether the fabric should send packets here.
    bool isReady(TimePoint now) const;

    const BalancerCounters &counters() const { return this->counts; }
    const AgentDirectory &agents() const { return this->directory; }
    std::size_t liveBalancers(TimePoint now) const { return this->peers.live(now).size() + 1; }
    const StateReader &reader() const { return this->storeReader; }

private:
    static constexpr std::chrono::milliseconds helloInterval{ 500 };
    static constexpr double helloBytesPerSecond = 3000; // under half of the budget of 7 KB/s
    static constexpr double helloBytes = 90;
    static constexpr double helloBytesPerPeer = 6;
    // Agents and peers answer a new balancer within a second; before that its view is partial.
    static constexpr std::chrono::milliseconds settleTime{ 1200 };
    // A flow is called lost only by a balancer that must have heard of every agent.
    // Peers name the agents they know when a new balancer fetches their state; where all balancers
    // are new, agents report every 100 ms until they hear one.
    static constexpr std::chrono::milliseconds agentDiscoveryTime{ 800 };
    // The first agent that a new balancer hears must not get every flow. Agents that run report
    // within 150 ms; peers name the agents to wait for.
    static constexpr std::chrono::milliseconds firstPlacementDelay{ 250 };
    // Packets that come before a new balancer can handle them. Callers repeat them after 200 ms, so
    // one that waits longer than an opening (1.4 s) is of no use.
    static constexpr std::size_t startupPacketCapacity = 512;
    static constexpr std::chrono::milliseconds startupPacketTimeout{ 1000 };
    static constexpr std::chrono::milliseconds housekeepingInterval{ 250 };
    // Nodes that read the store; the others hear from them.
    static constexpr std::size_t maxStoreReaders = 3;
    // Peers that run have told a new balancer their state by then. If not, readers ask the store.
    static constexpr std::chrono::milliseconds firstStateDelay{ 60 };
    // A store that could not be reached is tried again by a low-ranked reader after this time.
    static constexpr std::chrono::milliseconds storeRetryTime{ 4000 };
    // Questions about flows: as long as they are few, every agent is asked, which is faster than to
    // wait for reports. A machine with a tenth of a core spends a tenth of it on these.
    static constexpr double questionsPerSecond = 600;
    static constexpr double questionBurst = 1200;
    static constexpr std::size_t placementHops = 4;
    // The second copy of an opening packet means that its first agent may be gone.
    static constexpr std::uint32_t agentSuspectCopy = 2;
    static constexpr std::chrono::milliseconds stopQuietTime{ 1000 };
    // Of the time that the platform grants a stopping process (6 s).
    static constexpr std::chrono::milliseconds stopLimit{ 4500 };
    static constexpr std::chrono::milliseconds directoryDelay{ 1500 };

    struct StartupPacket
    {
        std::vector<std::uint8_t> bytes;
        TimePoint at;
    };

    struct PeerState
    {
        bool isStoreReachable = true;
    };

    void handlePacket(std::span<const std::uint8_t> packet, TimePoint at, TimePoint now,
                      Sink &sink);
    // Keeps a packet until the balancer can handle it.
    void hold(const Segment &segment, TimePoint at, Sink &sink);
    void releaseStartupPackets(TimePoint now, Sink &sink);
    // False while flows would go to the few agents that were heard first.
    bool canPlace(TimePoint now) const;
    void onOpening(const Segment &segment, const Route &route, TimePoint now, Sink &sink);
    void onEstablished(const Segment &segment, TimePoint now, Sink &sink);
    void onNoRoute(const Segment &segment, TimePoint now, Sink &sink);
    void search(const Segment &segment, std::uint64_t flowHash, TimePoint now, Sink &sink);
    void onSearchAnswer(std::uint64_t flowHash, AgentIndex agent, SearchAnswer answer,
                        TimePoint now, Sink &sink);
    void onSearchDeadline(std::uint64_t flowHash, TimePoint now, Sink &sink);
    void probe(std::uint64_t flowHash, FlowSearch &search, TimePoint now, Sink &sink);
    void finishSearch(std::uint64_t flowHash, TimePoint now, Sink &sink);
    // What a search sends. Silent agents are asked too, but their answers are not waited for.
    struct SearchSends
    {
        std::vector<AgentIndex> questions;
        std::vector<std::vector<AgentIndex>> chains;
    };
    // Whom to ask for a flow, and who is ruled out by reports.
    SearchPlan planSearch(const FlowKey &key, SearchSends &sends, TimePoint now);
    static void planChains(const FlowKey &key, std::vector<AgentIndex> agents, SearchPlan &plan,
                           SearchSends &sends, TimePoint now);
    void ask(AgentIndex agent, const Segment &segment, Sink &sink);
    // Does what the stage of a search asks for.
    void applySearchStage(std::uint64_t flowHash, SearchStage stage, TimePoint now, Sink &sink);
    bool mayHold(const FlowKey &key, AgentIndex agent) const;
    void forward(const Segment &segment, AgentIndex agent, std::uint8_t flags, Sink &sink);
    // To the first agent; the others are its next hops.
    void forward(const Segment &segment, std::span<const AgentIndex> agents, std::uint8_t flags,
                 Sink &sink);
    void reset(const Segment &segment, const char *reason, std::uint64_t &counter, Sink &sink);
    void onReply(const ReplyFrame &reply, TimePoint now, Sink &sink);
    void onHello(const BalancerHello &hello, Endpoint from, TimePoint now, Sink &sink);
    void onReport(const AgentReport &report, Endpoint from, TimePoint now, Sink &sink);
    void notify(AgentIndex agent, TimePoint now, Sink &sink);
    void notifyAgents(TimePoint now, Sink &sink);
    void onStateChanged(const char *source, TimePoint now, Sink &sink);
    void sendHello(Endpoint to, bool wantsAnswer, TimePoint now, Sink &sink);
    void sendHellos(bool wantsAnswer, TimePoint now, Sink &sink);
    void chooseReaders(TimePoint now);
    std::chrono::milliseconds interval() const;
    static std::uint32_t stampOf(TimePoint now);

    BalancerOptions options;
    FleetState fleet;
    AgentDirectory directory;
    PeerSet peers;
    std::map<Endpoint, PeerState> peerStates;
    FlowCache cache;
    FlowSearches searches;
    TokenBucket questions{ questionsPerSecond, questionBurst };
    StateReader storeReader;
    BalancerCounters counts;
    std::vector<StartupPacket> startupPackets;
    bool hasAgentList = false; // a peer has named the agents
    std::optional<Endpoint> fetchFrom;
    bool isFetching = false;
    TimePoint startedAt;
    TimePoint nextHello;
    TimePoint nextHousekeeping;
    TimePoint lastPacket;
    TimePoint storeLostAt{};
    bool isStopping = false;
    TimePoint stoppingAt;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_BALANCER_H

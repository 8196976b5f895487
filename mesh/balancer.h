#ifndef CACTUSDECK_MESH_BALANCER_H
#define CACTUSDECK_MESH_BALANCER_H

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "core/flowcache.h"
#include "core/frame.h"
#include "core/tokenbucket.h"
#include "mesh/agentdirectory.h"
#include "mesh/agentlistcheck.h"
#include "mesh/flowsearch.h"
#include "mesh/peerset.h"
#include "mesh/segment.h"
#include "mesh/sink.h"
#include "mesh/statereader.h"
#include "mesh/targetrecorder.h"
#include "mesh/traffic.h"

// A balancer gets the callers' packets from the fabric. It places new flows on agents and forwards
// packets of known flows to the agents that own them. It owns no flow: its flow cache may lose
// entries at any time, and then it asks the agents.
//
//     Balancer balancer({ .name = ..., .zone = ..., .codec = &codec, ... });
//     balancer.start(now, sink);
//     balancer.onCallerPacket(bytes, now, sink);      // from the fabric
//     balancer.onDatagram(bytes, from, now, sink);    // frames and messages of other nodes
//     balancer.onTimer(now, sink);                    // at nextTimer()
//     for (const StoreQuery &query : balancer.takeQueries(now)) ...
//     if (const auto call = balancer.takeTargetCall(now)) ... // read or write the target record
//     if (const auto peer = balancer.takeFetch()) ... // fetch the peer's state
//
// The class does no I/O and reads no clock. Times passed in must not decrease.

namespace cactusdeck::mesh {

struct BalancerOptions
{
    NodeId name;
    ZoneName zone;
    Endpoint mesh; // own endpoint for frames and messages
    std::vector<Endpoint> seeds; // mesh endpoints of balancers
    const SegmentCodec *codec = nullptr;
    StateReader::ConfigurationDecoder decodeConfiguration;
    Duration costPerKilobyte{}; // of data sent to another failure domain
    // Flows are placed by the cost of their requests on servers with at most this many slots; 0:
    // none.
    std::uint32_t requestSchedulingMaxSlots = 0;
    std::size_t flowCacheEntries = 1 << 14; // 16 bytes each
    std::uint64_t seed = 0;
};

// Totals since the start, in packets unless stated otherwise.
struct BalancerCounters
{
    std::uint64_t packets = 0; // from callers
    std::uint64_t malformed = 0;
    std::uint64_t placed = 0; // opening packets sent to an agent
    std::uint64_t held = 0; // until the balancer could handle them
    std::uint64_t placedInZone = 0; // the part of placed that went to the own failure domain
    std::uint64_t forwarded = 0; // to the cached agent of their flow
    std::uint64_t searches = 0; // flows
    std::uint64_t questions = 0; // locate requests to agents
    std::uint64_t probes = 0; // sent to agents whose servers may have the flow
    std::uint64_t searchesFound = 0; // flows
    std::uint64_t searchesExpired = 0; // flows
    std::uint64_t listChecks = 0; // rounds in which the list of agents was compared with others'
    std::uint64_t listChecksFailed = 0; // the part in which a balancer did not answer
    std::uint64_t resetNoRoute = 0;
    std::uint64_t resetNoServer = 0;
    std::uint64_t resetEnded = 0; // flows whose backend server no longer runs or no longer has them
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
    // Returns the call to make for the record of the routes' targets, if there is one.
    std::optional<TargetCall> takeTargetCall(TimePoint now);
    void onTargetOutcome(const TargetOutcome &outcome, TimePoint now, Sink &sink);
    // Returns a peer whose state is newer and should be fetched, if there is one.
    std::optional<Endpoint> takeFetch();
    void onFetched(Endpoint peer, std::span<const std::uint8_t> state, TimePoint now, Sink &sink);
    void onFetchFailed(Endpoint peer, TimePoint now, Sink &sink);
    // Encodes what peers fetch: the state and the agents that may own flows.
    std::vector<std::uint8_t> encodeState(TimePoint now) const;
    const FleetState &state() const { return this->fleet; }

    // Adds mesh endpoints of balancers that the settings name.
    void addBalancers(const std::vector<Endpoint> &balancers, TimePoint now, Sink &sink);
    // The same for the directory, which may also name many that have gone.
    void addFound(const std::vector<Endpoint> &balancers, TimePoint now, Sink &sink);
    bool needsDirectory(TimePoint now) const;

    TimePoint nextTimer() const;
    void onTimer(TimePoint now, Sink &sink);
    // The machine was paused; messages of peers and of the store may have been missed.
    void onPaused(TimePoint now, Sink &sink);
    // Becomes unready so that the fabric sends no more packets. The balancer is stopped once no
    // packet has arrived for stopQuietTime, and after stopLimit at the latest.
    void stop(TimePoint now, Sink &sink);
    bool isStopped(TimePoint now) const;
    // True if the fabric should send packets to this balancer.
    bool isReady(TimePoint now) const;

    const BalancerCounters &counters() const { return this->counts; }
    const Traffic &traffic() const { return this->sent; }
    const AgentDirectory &agents() const { return this->directory; }
    std::size_t liveBalancers(TimePoint now) const { return this->peers.live(now).size() + 1; }
    const StateReader &reader() const { return this->storeReader; }

private:
    static constexpr std::chrono::milliseconds helloInterval{ 500 };
    // Hellos in each interval, to the balancers of the own failure domain and to the others, each
    // by turns. With 200 and 120 bytes that is 3 KB/s; 7 KB/s are allowed for control traffic.
    static constexpr std::size_t homeHellos = 5;
    static constexpr std::size_t remoteHellos = 4;
    // Hellos in each interval to balancers that were found in the directory and not heard yet.
    static constexpr std::size_t foundHellos = 10;
    // Contacts in one hello to a home balancer. A domain's balancers tell each other in this way
    // whom they have heard, so that few messages between domains are enough.
    static constexpr std::size_t contactsPerHello = 10;
    // A store reader, and a balancer that has adopted newer state, sends hellos to this many
    // balancers of each other domain, which tell the rest of theirs.
    static constexpr std::size_t hellosPerRemoteZone = 2;
    // What a store reader states as its interval: others must notice within 2 s that it has
    // stopped. Contacts tell all domains of a reader about as often as its own domain hears it.
    static constexpr std::chrono::milliseconds readerInterval{ 250 };
    // In large domains, contacts take some more rounds of hellos: this share of their interval.
    static constexpr int contactsPerInterval = 8;
    // Time for which notices tell the agents of a balancer that has just started. An agent gets
    // several notices in it.
    static constexpr std::chrono::milliseconds newcomerTime{ 1000 };
    // Balancers listed in a notice to an agent that knows most of them.
    static constexpr std::size_t balancersPerNotice = 4;
    // Newer state is fetched from another domain only after this time, unless this balancer is the
    // first of its domain. Meanwhile a balancer of the own domain may have it.
    static constexpr std::chrono::milliseconds remoteFetchDelay{ 100 };
    // Agents and peers answer a new balancer within a second; until then it knows only some of
    // them.
    static constexpr std::chrono::milliseconds settleTime{ 1200 };
    // Time after the start before which a balancer declares no flow lost. If all balancers are new,
    // agents that start with them report every 100 ms until they hear one, and nodes that lost
    // their power together start within 0.3 s.
    static constexpr std::chrono::milliseconds agentDiscoveryTime{ 500 };
    // A new balancer places no flows before this time, unless all agents that a peer has listed
    // have reported. Otherwise the first agent to report would get every flow. Running agents
    // report within 150 ms.
    static constexpr std::chrono::milliseconds firstPlacementDelay{ 250 };
    // Packets that arrive before a new balancer can handle them are held. Callers retransmit after
    // 200 ms and give up opening a flow after 1.4 s, so holding packets for longer is useless.
    static constexpr std::size_t startupPacketCapacity = 512;
    static constexpr std::chrono::milliseconds startupPacketTimeout{ 1000 };
    // Callers send the second copy of an opening packet after this time.
    static constexpr std::chrono::milliseconds secondCopyDelay{ 200 };
    static constexpr std::chrono::milliseconds housekeepingInterval{ 250 };
    // Number of balancers that read the store; they pass the state on to the others.
    static constexpr std::size_t maxStoreReaders = 3;
    // Running peers have sent a new balancer their state by then. If none has, it reads the store.
    static constexpr std::chrono::milliseconds firstStateDelay{ 60 };
    // A balancer that could not reach the store ranks behind the others for this time when readers
    // are chosen.
    static constexpr std::chrono::milliseconds storeRetryTime{ 4000 };
    // Rate limit of locate requests. Within it every agent is asked about a flow, which is faster
    // than waiting for reports. A machine with a tenth of a core spends a tenth of that on them.
    static constexpr double questionsPerSecond = 600;
    static constexpr double questionBurst = 1200;
    static constexpr std::size_t placementHops = 4;
    // The packets of a flow must not reach several servers of others and never its own, which may
    // be the case if its own agent has given up its flows: so few of them are probed in the
    // lifetime of a flow.
    static constexpr std::chrono::seconds probeWindow{ 60 };
    static constexpr std::size_t probesPerWindow = 2;
    // A little longer than agents of an evacuated domain serve open flows.
    static constexpr std::chrono::milliseconds evacuationGrace{ 4000 };
    // From this copy of an opening packet on, the agent that accepted the flow is suspected to have
    // stopped, and another one may be chosen.
    static constexpr std::uint32_t agentSuspectCopy = 2;
    static constexpr std::chrono::milliseconds stopQuietTime{ 1000 };
    // Less than the 6 s that the platform gives a process to stop.
    static constexpr std::chrono::milliseconds stopLimit{ 4500 };
    static constexpr std::chrono::milliseconds directoryDelay{ 1500 };

    struct StartupPacket
    {
        std::vector<std::uint8_t> bytes;
        TimePoint at;
    };

    // From the last hello of a balancer.
    struct PeerState
    {
        bool isStoreReachable = true;
        bool isReader = false;
        bool isNew = false;
        ConfigurationVersion configuration = 0;
        StorePosition evacuationsAsOf;
        bool knowsFormerTargets = false;
    };

    enum class HelloScope : std::uint8_t {
        Everyone,
        Neighbours, // home, and some balancers of each other domain
    };

    void handlePacket(std::span<const std::uint8_t> packet, TimePoint at, TimePoint now,
                      Sink &sink);
    // Holds a packet until the balancer can handle it.
    void hold(const Segment &segment, TimePoint at, Sink &sink);
    void releaseStartupPackets(TimePoint now, Sink &sink);
    // False while the balancer is new and only some of the agents have reported.
    bool canPlace(TimePoint now) const;
    // Both get the time at which the packet arrived.
    void onOpening(const Segment &segment, const Route &route, TimePoint at, TimePoint now,
                   Sink &sink);
    void onEstablished(const Segment &segment, TimePoint now, Sink &sink);
    void onNoRoute(const Segment &segment, TimePoint at, TimePoint now, Sink &sink);
    // True if no other copy of the opening packet can have been accepted meanwhile.
    static bool isOnlyCopy(const Segment &opening, TimePoint at, TimePoint now);
    void dropOpening(const Segment &segment, const char *reason, Sink &sink);
    // Recipients of a search's messages. Silent agents are asked too, but the search does not wait
    // for their answers.
    using Chains = std::vector<std::vector<AgentIndex>>;
    struct SearchSends
    {
        std::vector<AgentIndex> questions;
        Chains chains;
    };
    void search(const Segment &segment, std::uint64_t flowHash, TimePoint now, Sink &sink);
    // Sends the messages of a new search and holds the packet.
    void beginSearch(const Segment &segment, const SearchPlan &plan, const SearchSends &sends,
                     TimePoint now, Sink &sink);
    void onSearchAnswer(std::uint64_t flowHash, AgentIndex agent, SearchAnswer answer,
                        TimePoint now, Sink &sink);
    void onSearchDeadline(std::uint64_t flowHash, TimePoint now, Sink &sink);
    void probe(std::uint64_t flowHash, FlowSearch &search, TimePoint now, Sink &sink);
    // No agent that this balancer knows has the flow.
    void finishSearch(std::uint64_t flowHash, TimePoint now, Sink &sink);
    // Ends the search. The flow is reset if it is certain that it is lost.
    void declareLost(std::uint64_t flowHash, bool isCertain, Sink &sink);
    void beginListCheck(TimePoint now, Sink &sink);
    void onListQuery(const AgentListQuery &query, Endpoint from, TimePoint now, Sink &sink);
    void onListAnswer(const AgentListAnswer &answer, Endpoint from, TimePoint now, Sink &sink);
    void onListChecked(AgentListCheck::Outcome outcome, TimePoint now, Sink &sink);
    // Asks again for the flow, after agents were added to the list.
    void searchAgain(std::uint64_t flowHash, TimePoint now, Sink &sink);
    // True if the domain's evacuation has begun so recently that its agents still pass packets of
    // open flows to their servers.
    bool mayServeOpenFlows(const ZoneName &evacuated, TimePoint now) const;
    // Notes when evacuations begin.
    void noteEvacuations(TimePoint now);
    // True if enough packets of the flow have reached servers that don't have it.
    bool wasProbedInVain(std::uint64_t flowHash, TimePoint now) const;
    void countProbe(std::uint64_t flowHash, TimePoint now);
    // Decides which agents to ask about a flow and which are ruled out by their reports.
    SearchPlan planSearch(const FlowKey &key, SearchSends &sends, TimePoint now);
    void planChains(const FlowKey &key, const std::vector<AgentIndex> &agents, SearchPlan &plan,
                    Chains &chains, TimePoint now) const;
    void ask(AgentIndex agent, const Segment &segment, Sink &sink);
    // Asks the first agent, which passes the question on unless it has the flow.
    void ask(std::span<const AgentIndex> agents, const Segment &segment, Sink &sink);
    // Asks the agents that were not asked at first, through chains.
    void confirm(FlowSearch &search, TimePoint now, Sink &sink);
    void sendChains(const Segment &segment, const Chains &chains, Sink &sink);
    // Takes the action that the stage of a search requires.
    void applySearchStage(std::uint64_t flowHash, SearchStage stage, TimePoint now, Sink &sink);
    bool mayHold(const FlowKey &key, AgentIndex agent) const;
    void forward(const Segment &segment, AgentIndex agent, std::uint8_t flags, Sink &sink);
    // Forwards to the first agent; the others are the next hops.
    void forward(const Segment &segment, std::span<const AgentIndex> agents, std::uint8_t flags,
                 Sink &sink);
    void reset(const Segment &segment, const char *reason, std::uint64_t &counter, Sink &sink);
    void onReply(const ReplyFrame &reply, TimePoint now, Sink &sink);
    void onHello(const BalancerHello &hello, Endpoint from, TimePoint now, Sink &sink);
    void onReport(const AgentReport &report, Endpoint from, TimePoint now, Sink &sink);
    void notify(AgentIndex agent, TimePoint now, Sink &sink);
    // Home agents only, or all.
    void notifyAgents(bool withRemote, Sink &sink);
    void onStateChanged(const char *source, TimePoint now, Sink &sink);
    BalancerNotice noticeFor(const AgentDirectory::Agent &agent) const;
    void sendNotice(const AgentDirectory::Agent &agent, const BalancerNotice &notice, Sink &sink);
    bool isHome(const AgentDirectory::Agent &agent) const
    {
        return agent.report.zone == this->options.zone;
    }
    void sendHello(Endpoint to, bool wantsAnswer, TimePoint now, Sink &sink);
    void sendHello(Endpoint to, const BalancerHello &hello, Sink &sink);
    // An answer to a balancer that may know fewer balancers than this one.
    void answerHello(const BalancerHello &hello, Endpoint to, TimePoint now, Sink &sink);
    BalancerHello helloFor(Endpoint to, TimePoint now) const;
    void sendHellos(HelloScope scope, bool wantsAnswer, TimePoint now, Sink &sink);
    void sendRegularHellos(TimePoint now, Sink &sink);
    // The live readers go to everyone: other nodes must notice soon if all of them have stopped.
    void chooseContacts(TimePoint now);
    void greet(const std::vector<Endpoint> &balancers, TimePoint now, Sink &sink);
    void announceNewcomer(Endpoint balancer, Sink &sink);
    // Greets balancers that others have heard and this one has not.
    void onContacts(const BalancerHello &hello, TimePoint now, Sink &sink);
    // Chooses a peer to fetch newer state from, if there is one.
    void chooseFetch(TimePoint now);
    bool hasNewerState(Endpoint peer) const;
    bool isNew(TimePoint now) const { return now - this->startedAt < settleTime; }
    void chooseReaders(TimePoint now, Sink &sink);
    // Among the readers of the store; 0 is the best. Not stated if this is none of them.
    std::optional<std::size_t> rankAsReader(TimePoint now) const;
    // Time in which each of the recipients gets one of the regular hellos.
    static std::chrono::milliseconds intervalFor(std::size_t recipients, std::size_t hellos);
    // All nodes compute the same rank for a balancer.
    static std::uint64_t rankOf(Endpoint endpoint);
    static std::uint32_t stampOf(TimePoint now);

    BalancerOptions options;
    FleetState fleet;
    AgentDirectory directory;
    PeerSet peers;
    std::map<Endpoint, PeerState> peerStates;
    FlowCache cache;
    FlowSearches searches;
    AgentListCheck listCheck;
    bool hadState = false; // has known the evacuations in force
    std::map<ZoneName, TimePoint> evacuatedSince;
    using ProbeTimes = std::array<TimePoint, probesPerWindow>; // of the last probes, oldest first
    std::map<std::uint64_t, ProbeTimes> probed; // by flow hash
    TokenBucket questions{ questionsPerSecond, questionBurst };
    StateReader storeReader;
    std::optional<std::size_t> readerRank; // as of the last choice of readers
    TargetRecorder targetRecorder;
    BalancerCounters counts;
    Traffic sent;
    std::vector<StartupPacket> startupPackets;
    std::map<Endpoint, TimePoint> newcomers; // and when they were first heard
    bool hasAgentList = false; // a peer has sent the list of agents
    std::optional<Endpoint> fetchFrom;
    bool isFetching = false;
    TimePoint startedAt;
    TimePoint fetchNotBefore{}; // for fetches from other domains; the epoch: none is planned
    TimePoint nextHellos;
    // Of the regular hellos. They begin at a different value on each node, so that the nodes don't
    // all send to the same ones.
    std::size_t homeTurn;
    std::size_t remoteTurn;
    std::size_t zoneTurn;
    std::chrono::milliseconds homeInterval = helloInterval;
    std::chrono::milliseconds remoteInterval = helloInterval;
    std::vector<PeerSet::Contact> contacts; // for the home hellos of this round
    std::vector<PeerSet::Contact> readerContacts; // for its hellos to other domains
    TimePoint nextHousekeeping;
    // When searches that wait for it begin the next check of the list of agents.
    TimePoint nextListCheck = TimePoint::max();
    TimePoint lastPacket;
    TimePoint storeLostAt{};
    bool isStopping = false;
    TimePoint stoppingAt;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_BALANCER_H

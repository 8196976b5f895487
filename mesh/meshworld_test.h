#ifndef CACTUSDECK_MESH_MESHWORLD_TEST_H
#define CACTUSDECK_MESH_MESHWORLD_TEST_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mesh/agent.h"
#include "mesh/balancer.h"
#include "mesh/testcodec_test.h"

// A simulation of balancers, agents and backend servers on a fake clock, connected by links that
// tests can cut. The test takes the part of the fabric: it chooses the balancer for each packet.
//
//     World world;
//     world.addBalancer("b1", "zone-a");
//     world.addAgent("a1", "zone-a", "booking");
//     world.publish(configurationOf({ { address, "booking" } }));
//     world.run(2s);
//     world.fromCaller("b1", opening(caller, address));

namespace cactusdeck::mesh::test {

using namespace std::chrono_literals;

inline Endpoint endpointOf(std::uint32_t host, std::uint16_t port)
{
    return { 0x0A000000u + host, port };
}

// A simulated backend server that follows the platform's rules: it bounces packets of flows that it
// does not have, and opening packets when it is full. Tests add flows that have ended there. It
// takes an opening packet with another sequence number for a new flow, and no packet that
// acknowledges what it has not sent. It runs a request once, and answers a copy of it with a copy
// of the answer.
struct Server
{
    struct Flow
    {
        std::uint32_t callerSequence = 0; // of the opening packet
        std::uint32_t sequence = 0; // of the answer to it
        std::uint32_t next = 0; // of the next data
        std::uint32_t callerNext = 0; // of the caller's next data
        std::optional<Head> lastAnswer;
        std::uint64_t packets = 0;
    };

    std::string instance;
    std::int64_t startedAt = 1;
    std::optional<TimePoint> upSince; // if set, heartbeats state the age
    std::uint64_t sequence = 0;
    bool isUp = true;
    bool timesOutWhenDown = false; // when down, connections time out instead of being refused
    bool isDraining = false;
    bool isFull = false;
    bool resetsUnknownFlows = false; // instead of bouncing their packets
    std::set<FlowKey> ended; // flows whose FINs are acknowledged and whose data is reset
    std::chrono::milliseconds coldFor{ 0 };
    std::chrono::milliseconds serviceTime{ 0 }; // from a request to its answer
    std::uint64_t requests = 0; // that it has run
    std::map<FlowKey, Flow> flows;
    std::vector<TimePoint> openings; // when flows were accepted
    std::uint64_t unknownFlowPackets = 0; // packets of flows that it does not have
    // Packets of later flows of the same ports, which another server has.
    std::uint64_t laterFlowPackets = 0;
    bool acknowledgesLaterFlows = false; // answers such a packet with what it has of its own flow
};

class World
{
public:
    class NodeSink;

    struct BalancerNode
    {
        Endpoint endpoint;
        std::unique_ptr<Balancer> balancer;
        std::unique_ptr<Sink> sink;
        bool isUp = true;
        bool hasStore = true;
    };

    struct AgentNode
    {
        Endpoint endpoint;
        std::string service;
        std::string zone;
        std::unique_ptr<Agent> agent;
        std::unique_ptr<Sink> sink;
        Server server;
        bool isUp = true;
        bool sendsHeartbeats = true;
        TimePoint nextHeartbeat;
    };

    struct ToCaller
    {
        Segment segment;
        Bytes bytes;
        std::string sender;
        TimePoint at;
    };

    World();
    ~World();

    BalancerNode &addBalancer(const std::string &name, const std::string &zone);
    AgentNode &addAgent(const std::string &name, const std::string &zone,
                        const std::string &service);
    // Replaces the node by a new process on the same machine, which starts without any state.
    void restartBalancer(const std::string &name);
    void restartAgent(const std::string &name);
    // Replaces the agent's server by another run of it.
    void restartServer(const std::string &agent, const std::string &instance);

    void publish(const FleetConfiguration &configuration);
    void setEvacuated(std::set<ZoneName> zones);
    // The store's answers to all queries in progress are lost.
    void loseWatches();

    // The objects in the store.
    struct StoreContent
    {
        Revision revision = 1;
        Revision configurationRevision = 0;
        std::optional<FleetConfiguration> configuration;
        Revision zonesRevision = 1;
        std::set<ZoneName> zones;
        Revision targetsRevision = 0; // 0: there is no record
        TargetRecord targets;
    };
    StoreContent copyStore() const { return this->store; }
    // The store starts a new era with the content of an earlier copy. Queries in progress are lost.
    void restoreStore(const StoreContent &copy);

    void run(Duration duration);
    // Cut and restore the link between two nodes in both directions.
    void cut(const std::string &a, const std::string &b) { this->cuts.insert(pairOf(a, b)); }
    void heal(const std::string &a, const std::string &b) { this->cuts.erase(pairOf(a, b)); }

    void fromCaller(const std::string &balancer, const Head &head);
    // Opens a flow through the balancer and returns the agent whose server answered, or an empty
    // string if none did.
    std::string openFlow(const std::string &balancer, Endpoint caller, Endpoint address);
    // Sends one request and returns true if a response came back within the time.
    bool request(const std::string &balancer, Endpoint caller, Endpoint address,
                 Duration within = 100ms);
    std::vector<ToCaller> packetsTo(Endpoint caller) const;
    std::size_t resetsTo(Endpoint caller) const;

    BalancerNode &balancer(const std::string &name) { return *this->balancers.at(name); }
    AgentNode &agent(const std::string &name) { return *this->agents.at(name); }

    TimePoint now{ 1h };
    std::vector<ToCaller> callerPackets;
    std::vector<std::string> events; // log lines, as "node event"
    std::map<std::string, std::size_t> storeQueries; // by balancer, without probes
    std::size_t storeProbes = 0; // of all balancers
    std::map<std::string, std::uint64_t> controlBytes; // of peer messages, by sender
    Duration tick = 250us; // of the simulated time
    double loss = 0; // share of the datagrams between nodes that are lost
    // While set, the store never answers queries that are waiting or arrive, not even later.
    bool isStoreSilent = false;
    bool hasTargetRecord = true; // if unset, calls for the record of targets fail
    std::size_t targetCalls = 0; // for the record of targets, of all balancers
    // Probes are answered with what the store had this long ago, era included.
    Duration probeAge{ 0 };

private:
    friend class NodeSink;

    struct Delivery
    {
        TimePoint at;
        std::string to;
        Endpoint from;
        Bytes bytes;
    };

    // An answer that a server has not sent yet.
    struct PendingAnswer
    {
        TimePoint at;
        std::string agent;
        std::string instance;
        Head head;
    };

    // A store query in progress.
    struct WaitingQuery
    {
        StoreQuery query;
        TimePoint until; // when a watch without a change is answered
        TimePoint timeout; // when the balancer gives up
        bool isLost = false; // the store was silent meanwhile, so no answer arrives
    };

    static std::pair<std::string, std::string> pairOf(const std::string &a, const std::string &b);
    void send(const std::string &from, Endpoint to, Bytes bytes);
    void toServer(const std::string &agent, std::span<const std::uint8_t> packet);
    void sendAnswers();
    void startBalancer(const std::string &name);
    void addEndpoint(const std::string &name, Endpoint endpoint);
    void startAgent(const std::string &name);
    void step();
    void sendHeartbeat(const std::string &name);
    void checkServer(AgentNode &node);
    void askStore(const std::string &name);
    void callForTargets(BalancerNode &node);
    TargetOutcome outcomeOf(const TargetCall &call, bool hasStore);
    void recordStore();
    // Returns nullopt while the query has to wait.
    std::optional<StoreResult> resultOf(const WaitingQuery &waiting, bool hasStore) const;
    void fetch(const std::string &name);
    void deliver(const Delivery &delivery);
    std::vector<Endpoint> seeds() const;

    static constexpr std::chrono::microseconds linkDelay{ 500 };
    static constexpr std::chrono::milliseconds heartbeatInterval{ 1200 };

    std::map<std::string, std::unique_ptr<BalancerNode>> balancers;
    std::map<std::string, std::unique_ptr<AgentNode>> agents;
    std::map<std::string, std::string> zoneOf;
    std::map<Endpoint, std::string> names;
    std::map<std::string, Endpoint> endpoints;
    std::mt19937 random{ 1 };
    std::set<std::pair<std::string, std::string>> cuts;
    std::deque<Delivery> deliveries;
    std::vector<PendingAnswer> pendingAnswers;
    std::map<std::string, std::vector<WaitingQuery>> waiting; // by balancer
    StoreContent store;
    StoreEra storeEra = 1;
    struct StoreRecord
    {
        TimePoint at;
        StoreEra era = 1;
        StoreContent content;
    };
    std::vector<StoreRecord> storeRecords; // after each change
    std::uint32_t hosts = 0;
    std::uint32_t serverSequence = 1000;
    std::map<Endpoint, std::uint32_t> callerSequences; // of the callers' last opening packets
};

// The endpoint of a test's caller.
inline Endpoint callerOf(std::uint16_t port)
{
    return { 0x64400007u, port };
}

inline Head opening(Endpoint caller, Endpoint address, std::uint32_t copy = 0)
{
    return { .source = caller,
             .destination = address,
             .sequence = 77,
             .acknowledgement = copy,
             .flags = tcpflag::syn };
}

inline FleetConfiguration configurationOf(const std::map<Endpoint, std::string> &routes,
                                          double coldFlowsPerSecond = 0)
{
    static std::uint64_t version = 0;
    FleetConfiguration configuration{ .version = ++version, .idleTimeout = 15s };
    for (const auto &[address, service] : routes) {
        configuration.routes[address] = { .targets = { { .service = ServiceName{ service },
                                                         .weight = 1 } } };
        configuration.services[ServiceName{ service }] = { .connections = 2000,
                                                           .coldFlowsPerSecond =
                                                                   coldFlowsPerSecond };
    }
    return configuration;
}

} // namespace cactusdeck::mesh::test

#endif // CACTUSDECK_MESH_MESHWORLD_TEST_H

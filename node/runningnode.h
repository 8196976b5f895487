#ifndef CACTUSDECK_NODE_RUNNINGNODE_H
#define CACTUSDECK_NODE_RUNNINGNODE_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "node/actors.h"
#include "node/packetloop.h"
#include "node/rpcserver.h"
#include "node/settings.h"

// A running balancer or agent: its state machine with packet loop, actors and JSON-RPC server.
//
//     BOOST_LEAF_AUTO(node, RunningNode::start(settings.node, roleOptions, stateMachine));
//     node->requestStop();
//     node->waitUntilStopped();

namespace cactusdeck {

class RunningNode
{
public:
    struct RoleOptions
    {
        std::optional<Endpoint> store; // balancers
        std::optional<ServerSettings> server; // agents
    };

    // settings.data and settings.control may have port 0. Errors are of kind Io.
    static Result<std::unique_ptr<RunningNode>>
    start(const NodeSettings &settings, const RoleOptions &role, NodeStateMachine stateMachine);
    ~RunningNode();
    RunningNode(const RunningNode &) = delete;
    RunningNode &operator=(const RunningNode &) = delete;

    Endpoint dataEndpoint() const;
    // UDP endpoint. JSON-RPC uses the same port over TCP, unless the settings have port 0.
    Endpoint controlEndpoint() const;
    Endpoint rpcEndpoint() const;

    // Starts the graceful stop; further calls have no effect.
    void requestStop();
    void waitUntilStopped();
    // File descriptor that becomes readable when the node has stopped.
    int endedDescriptor() const;

private:
    RunningNode(const NodeSettings &settings, NodeStateMachine stateMachine);

    Result<void> open(const NodeSettings &settings, const RoleOptions &role);
    void addMethods(const NodeSettings &settings);
    Result<nlohmann::json> deliver(const std::string &text);
    Result<nlohmann::json> explain(const std::string &flow);
    // Runs f on the packet loop's thread and returns its value. Fails with PeerUnavailable if the
    // loop does not run it in time.
    Result<nlohmann::json> callOnLoopThread(std::function<nlohmann::json(TimePoint)> f);
    void onStoreAnswer(const StoreAnswer &answer);
    void onServerHealth(const ServerHealth &health);

    NodeStateMachine stateMachine;
    Metrics metrics;
    EventLog log;
    RpcServer rpc;
    std::unique_ptr<NodeActors> actors;
    std::unique_ptr<PacketLoop> loop;
    Endpoint rpcAddress;
};

// Parses a flow such as "10.0.0.1:4000>198.51.100.10:443/tcp". Fails with InvalidArgument.
Result<FlowKey> parseFlow(const std::string &text);

// Returns the seconds since the epoch. An incarnation must be higher than in every earlier run of
// the same node; taken from the clock, it need not be stored.
Incarnation currentIncarnation();

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_RUNNINGNODE_H

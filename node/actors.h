#ifndef CACTUSDECK_NODE_ACTORS_H
#define CACTUSDECK_NODE_ACTORS_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "core/agent.h"
#include "core/outbox.h"
#include "node/logging.h"
#include "node/metrics.h"

// The actors of a node. They do all work that may block: store calls, delivery of control messages
// that are too long for a datagram, health polls and writing of log lines. Each store call and each
// delivery runs in its own detached actor, which has its own thread, so a slow peer does not delay
// other calls.
//
//     NodeActors actors({ .store = settings.store, .onStoreAnswer = ..., .log = &log, ... });
//     actors.callStore(call);         // returns at once; the answer goes to onStoreAnswer
//     actors.stop();                  // cancels store calls, writes the remaining log lines
//
// The callbacks run on the actors' threads; onStoreAnswer may also run within callStore.

namespace cactusdeck {

struct NodeActorsOptions
{
    std::optional<Endpoint> store;
    std::optional<Endpoint> health; // of the backend server
    std::function<void(const StoreAnswer &)> onStoreAnswer = {};
    std::function<void(const ServerHealth &)> onServerHealth = {};
    EventLog *log = nullptr;
    Metrics *metrics = nullptr;
};

class NodeActors
{
public:
    explicit NodeActors(NodeActorsOptions options);
    ~NodeActors();
    NodeActors(const NodeActors &) = delete;
    NodeActors &operator=(const NodeActors &) = delete;

    // Calls onStoreAnswer with Unavailable at once if too many calls are in progress.
    void callStore(StoreCall call);
    // Delivers a control message over JSON-RPC. Drops and counts it if too many deliveries are in
    // progress.
    void deliver(Endpoint to, std::vector<std::uint8_t> message);
    void stop();

private:
    struct Parts;

    std::unique_ptr<Parts> parts;
};

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_ACTORS_H

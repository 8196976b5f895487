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

// The actors of a node, for everything that may block: store calls, deliveries of big control
// messages, health polls and log lines. Each blocking HTTP call runs in a detached actor of its
// own, so a slow peer delays no other call.
//
//     NodeActors actors({ .store = settings.store, .onStoreAnswer = ..., .log = &log, ... });
//     actors.callStore(call);         // returns at once; the answer goes to onStoreAnswer
//     actors.stop();                  // cancels calls, writes the remaining log lines
//
// The callbacks run on the actors' threads.

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

    // Answers Unavailable at once when too many calls are in progress.
    void callStore(StoreCall call);
    // Drops the message, with a counter, when too many deliveries are in progress.
    void deliver(Endpoint to, std::vector<std::uint8_t> message);
    void stop();

private:
    struct Parts;

    std::unique_ptr<Parts> parts;
};

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_ACTORS_H

#ifndef CACTUSDECK_NODE_RPCSERVER_H
#define CACTUSDECK_NODE_RPCSERVER_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/error.h"
#include "core/types.h"

// JSON-RPC 2.0 server over HTTP, based on libjsonrpccpp, for a node's control endpoint.
//
//     RpcServer server;
//     server.add({ .name = "status", .handler = [&](const nlohmann::json &) { ... } });
//     BOOST_LEAF_AUTO(endpoint, server.listen(settings.control));
//
// Handlers run on the server's threads, several at a time. If a handler fails, the caller gets the
// JSON-RPC error code of the Error's kind, and its message.

namespace cactusdeck {

struct RpcMethod
{
    std::string name;
    std::vector<std::string> parameters = {}; // names; all parameters are required strings
    std::function<Result<nlohmann::json>(const nlohmann::json &)> handler = {};
};

class RpcServer
{
public:
    RpcServer();
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    // Must be called before listen.
    void add(RpcMethod method);
    // Listens on this address only. Port 0 lets the system choose a free port. Returns the bound
    // endpoint. Errors are of kind Io.
    Result<Endpoint> listen(Endpoint endpoint);
    // Stops listening and waits until the handlers in progress have returned.
    void stop();

private:
    struct Parts;

    std::unique_ptr<Parts> parts;
};

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_RPCSERVER_H

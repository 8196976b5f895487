#ifndef CACTUSDECK_NODE_RPCSERVER_H
#define CACTUSDECK_NODE_RPCSERVER_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/error.h"
#include "core/types.h"

// JSON-RPC 2.0 over HTTP, through libjsonrpccpp, on a node's control endpoint.
//
//     RpcServer server;
//     server.add({ .name = "status", .handler = [&](const nlohmann::json &) { ... } });
//     BOOST_LEAF_AUTO(endpoint, server.listen(settings.control));
//
// Handlers run on the server's threads, several at a time. The Error of a handler's Result becomes
// the JSON-RPC error of its kind.

namespace cactusdeck {

struct RpcMethod
{
    std::string name;
    std::vector<std::string> parameters = {}; // names; all are strings and required
    std::function<Result<nlohmann::json>(const nlohmann::json &)> handler = {};
};

class RpcServer
{
public:
    RpcServer();
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    // Before listen.
    void add(RpcMethod method);
    // Listens on exactly this address; port 0 lets the system choose. Errors are of kind Io.
    Result<Endpoint> listen(Endpoint endpoint);
    // Waits until the handlers in progress have returned.
    void stop();

private:
    struct Parts;

    std::unique_ptr<Parts> parts;
};

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_RPCSERVER_H

#ifndef CACTUSDECK_NODE_RPCTRANSPORT_H
#define CACTUSDECK_NODE_RPCTRANSPORT_H

#include <string>

// Blocking JSON-RPC call with libjsonrpccpp's client; other code uses RpcClient. The implementation
// is compiled as C++14, because the client's headers contain dynamic exception specifications,
// which C++17 removed. This header must therefore be valid C++14.

namespace cactusdeck {

enum class RpcStatus {
    Ok,
    ErrorReply, // the node answered with an error
    NoAnswer, // no connection, no answer in time, or an answer that is not JSON-RPC
};

struct RpcReply
{
    RpcStatus status;
    int code; // JSON-RPC error code, if the status is ErrorReply
    std::string text; // the result as JSON, or the error message
};

// parameters: the text of a JSON object.
RpcReply callRpc(const std::string &host, int port, const std::string &method,
                 const std::string &parameters, int timeoutMilliseconds);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_RPCTRANSPORT_H

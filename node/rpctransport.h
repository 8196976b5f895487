#ifndef CACTUSDECK_NODE_RPCTRANSPORT_H
#define CACTUSDECK_NODE_RPCTRANSPORT_H

#include <string>

// One blocking JSON-RPC call through libjsonrpccpp's client. The implementation is compiled as
// C++14, because the client's headers have dynamic exception specifications, which C++17 removed.
// So this header uses nothing newer; other code calls RpcClient.

namespace cactusdeck {

enum class RpcStatus {
    Ok,
    ErrorReply, // the node answered with an error
    NoAnswer, // no connection, no answer in time, or an answer that is not JSON-RPC
};

struct RpcReply
{
    RpcStatus status;
    int code; // JSON-RPC error code, if Refused
    std::string text; // the result as JSON text, or the error message
};

// parameters: a JSON object as text.
RpcReply callRpc(const std::string &host, int port, const std::string &method,
                 const std::string &parameters, int timeoutMilliseconds);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_RPCTRANSPORT_H

#ifndef CACTUSDECK_NODE_RPCCLIENT_H
#define CACTUSDECK_NODE_RPCCLIENT_H

#include <chrono>
#include <cstdint>
#include <span>
#include <string>

#include <nlohmann/json.hpp>

#include "core/error.h"
#include "core/types.h"

// JSON-RPC calls to one node.
//
//     RpcClient client(node.control);
//     BOOST_LEAF_AUTO(status, client.call("status"));
//
// An error answer of the node becomes an Error of the kind with this JSON-RPC code, or Internal if
// no kind has it. Fails with PeerUnavailable if the node can't be reached or gives no valid answer
// within the timeout.

namespace cactusdeck {

inline constexpr std::chrono::milliseconds rpcTimeout{ 2000 };

class RpcClient
{
public:
    explicit RpcClient(Endpoint node, std::chrono::milliseconds timeout = rpcTimeout);

    Result<nlohmann::json> call(const std::string &method,
                                const nlohmann::json &parameters = nlohmann::json::object()) const;
    // Sends an encoded control message that is too long for a datagram.
    Result<void> deliver(std::span<const std::uint8_t> message) const;

private:
    Endpoint node;
    std::chrono::milliseconds timeout;
};

// Base64 with padding (RFC 4648). decodeBase64 returns false if the text is not valid.
std::string encodeBase64(std::span<const std::uint8_t> bytes);
bool decodeBase64(const std::string &text, std::vector<std::uint8_t> &bytes);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_RPCCLIENT_H

#include "node/rpcclient.h"

#include <vector>

#include <boost/beast/core/detail/base64.hpp>

#include "node/rpctransport.h"

namespace cactusdeck {

namespace {

namespace base64 = boost::beast::detail::base64;

// Returns the error kind of a reply that is not Ok.
ErrorKind kindOf(const RpcReply &reply)
{
    if (reply.status == RpcStatus::NoAnswer)
        return ErrorKind::PeerUnavailable;
    for (int i = 0; i < errorKindCount; ++i) {
        if (codesOf(ErrorKind(i)).rpcCode == reply.code)
            return ErrorKind(i);
    }
    return ErrorKind::Internal;
}

} // namespace

RpcClient::RpcClient(Endpoint endpoint, std::chrono::milliseconds callTimeout)
    : node(endpoint)
    , timeout(callTimeout)
{ }

Result<nlohmann::json> RpcClient::call(const std::string &method,
                                       const nlohmann::json &parameters) const
{
    const std::string text = toString(this->node);
    const RpcReply reply = callRpc(text.substr(0, text.rfind(':')), this->node.port, method,
                                   parameters.dump(), int(this->timeout.count()));
    if (reply.status != RpcStatus::Ok)
        return fail(kindOf(reply), text + ": " + method + ": " + reply.text);
    return nlohmann::json::parse(reply.text);
}

Result<void> RpcClient::deliver(std::span<const std::uint8_t> message) const
{
    BOOST_LEAF_CHECK(this->call("deliver", { { "message", encodeBase64(message) } }));
    return {};
}

std::string encodeBase64(std::span<const std::uint8_t> bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

bool decodeBase64(const std::string &text, std::vector<std::uint8_t> &bytes)
{
    if (text.size() % 4 != 0)
        return false;
    bytes.resize(base64::decoded_size(text.size()));
    const auto [written, read] = base64::decode(bytes.data(), text.data(), text.size());
    bytes.resize(written);
    // The decoder stops at the padding. The rest of the text must be at most two '='.
    return text.size() - read <= 2 && text.find_first_not_of('=', read) == std::string::npos;
}

} // namespace cactusdeck

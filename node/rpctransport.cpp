#include "node/rpctransport.h"

#include <chrono>
#include <memory>

#include <httplib.h>
#include <jsonrpccpp/client.h>

namespace cactusdeck {

namespace {

// libjsonrpccpp's own connector is not used: its timeout doesn't apply to the connection, so an
// unreachable node would delay the commands by minutes.
class HttpConnector : public jsonrpc::IClientConnector
{
public:
    HttpConnector(const std::string &host, int port, std::chrono::milliseconds timeout)
        : client(host, port)
    {
        this->client.set_connection_timeout(timeout);
        this->client.set_read_timeout(timeout);
        this->client.set_write_timeout(timeout);
    }

    // NOLINTNEXTLINE(readability-identifier-naming): the name is the library's.
    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        const httplib::Result answer = this->client.Post("/", message, "application/json");
        if (!answer)
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                            httplib::to_string(answer.error()));
        result = answer->body;
    }

private:
    httplib::Client client;
};

Json::Value parseJson(const std::string &text)
{
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    std::string errors;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors))
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, errors);
    return value;
}

} // namespace

const int rpcConnectorError = jsonrpc::Errors::ERROR_CLIENT_CONNECTOR;
const int rpcInvalidAnswer = jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;

RpcReply callRpc(const std::string &host, int port, const std::string &method,
                 const std::string &parameters, int timeoutMilliseconds)
{
    try {
        HttpConnector connector(host, port, std::chrono::milliseconds(timeoutMilliseconds));
        jsonrpc::Client client(connector);
        const Json::Value result = client.CallMethod(method, parseJson(parameters));
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        return { true, 0, Json::writeString(writer, result) };
    } catch (const jsonrpc::JsonRpcException &error) {
        return { false, error.GetCode(), error.GetMessage() };
    }
}

} // namespace cactusdeck

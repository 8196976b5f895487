#include "node/rpctransport.h"

#include <chrono>
#include <memory>

#include <httplib.h>
#include <jsonrpccpp/client.h>

namespace cactusdeck {

namespace {

// Returns null if the text is not JSON.
Json::Value parseJson(const std::string &text)
{
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    std::string errors;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors))
        return Json::Value();
    return value;
}

// Replaces libjsonrpccpp's HttpClient, whose timeout does not apply to establishing the connection,
// so an unreachable node would delay a command by minutes.
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
            this->throwNoAnswer(httplib::to_string(answer.error()));
        const Json::Value value = parseJson(answer->body);
        if (!value.isObject() || !(value.isMember("result") || value.isMember("error")))
            this->throwNoAnswer("the answer is not JSON-RPC");
        result = answer->body;
    }

    // True if the node sent a JSON-RPC answer. The code of a JsonRpcException does not show this,
    // because the library's own error codes are also in the project's table of error kinds.
    bool hasAnswer() const { return this->answered; }

private:
    void throwNoAnswer(const std::string &message)
    {
        this->answered = false;
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, message);
    }

    httplib::Client client;
    bool answered = true;
};

} // namespace

RpcReply callRpc(const std::string &host, int port, const std::string &method,
                 const std::string &parameters, int timeoutMilliseconds)
{
    HttpConnector connector(host, port, std::chrono::milliseconds(timeoutMilliseconds));
    try {
        jsonrpc::Client client(connector);
        const Json::Value result = client.CallMethod(method, parseJson(parameters));
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        return { RpcStatus::Ok, 0, Json::writeString(writer, result) };
    } catch (const jsonrpc::JsonRpcException &error) {
        const RpcStatus status =
                connector.hasAnswer() ? RpcStatus::ErrorReply : RpcStatus::NoAnswer;
        return { status, error.GetCode(), error.GetMessage() };
    }
}

} // namespace cactusdeck

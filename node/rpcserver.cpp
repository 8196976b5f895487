#include "node/rpcserver.h"

#include <map>
#include <thread>

#include <httplib.h>
#include <jsonrpccpp/server.h>

#include "node/outcome.h"

namespace cactusdeck {

namespace {

constexpr std::size_t handlerThreads = 4;
// A message with the full configuration at its expected long-term size has a few megabytes in
// base64.
constexpr std::size_t maxRequestBytes = 64 << 20;

nlohmann::json toNlohmann(const Json::Value &value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return nlohmann::json::parse(Json::writeString(writer, value));
}

Json::Value toJsonCpp(const nlohmann::json &json)
{
    // The JSON may contain names received from other nodes, which need not be valid UTF-8.
    const std::string text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    std::string errors;
    reader->parse(text.data(), text.data() + text.size(), &value, &errors);
    return value;
}

// Replaces libjsonrpccpp's HttpServer, which binds the port on all addresses: nodes on one instance
// could not use the same port on different addresses, and a node would listen on addresses that its
// settings don't contain.
class HttpConnector : public jsonrpc::AbstractServerConnector
{
public:
    // NOLINTBEGIN(readability-identifier-naming): the names are the library's.
    bool StartListening() override
    {
        this->server.new_task_queue = [] { return new httplib::ThreadPool(handlerThreads); };
        this->server.set_payload_max_length(maxRequestBytes);
        // httplib sets SO_REUSEPORT by default, with which a second node could listen on the same
        // endpoint and would receive some of the requests.
        this->server.set_socket_options([](socket_t socket) {
            const int yes = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        });
        this->server.Post("/", [this](const httplib::Request &request, httplib::Response &answer) {
            std::string text;
            this->GetHandler()->HandleRequest(request.body, text);
            answer.set_content(text, "application/json");
        });
        const std::string text = toString(this->endpoint);
        const std::string host = text.substr(0, text.rfind(':'));
        if (this->endpoint.port == 0)
            this->endpoint.port = std::uint16_t(std::max(0, this->server.bind_to_any_port(host)));
        else if (!this->server.bind_to_port(host, this->endpoint.port))
            return false;
        if (this->endpoint.port == 0)
            return false;
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
        return true;
    }

    bool StopListening() override
    {
        if (!this->thread.joinable())
            return true;
        // stop() has no effect until the thread has entered the listening loop.
        while (!this->server.is_running())
            std::this_thread::yield();
        this->server.stop();
        this->thread.join();
        return true;
    }

    // Not used: StartListening sets the response in its request handler.
    bool SendResponse(const std::string &, void *) override { return false; }
    // NOLINTEND(readability-identifier-naming)

    Endpoint endpoint;

private:
    httplib::Server server;
    std::thread thread;
};

// Looks up methods by name. AbstractServer is not used, since it needs pointers to member functions
// and the methods are not known at compile time.
class Dispatcher : public jsonrpc::IProcedureInvokationHandler
{
public:
    // NOLINTBEGIN(readability-identifier-naming): the names are the library's.
    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input,
                          Json::Value &output) override
    {
        const RpcMethod &method = this->methods.at(procedure.GetProcedureName());
        const auto outcome = outcomeOf([&]() -> Result<nlohmann::json> {
            try {
                return method.handler(toNlohmann(input));
            } catch (const std::exception &error) {
                return fail(ErrorKind::Internal, error.what());
            }
        });
        if (!outcome)
            throw jsonrpc::JsonRpcException(codesOf(outcome.error.kind).rpcCode,
                                            outcome.error.message);
        output = toJsonCpp(*outcome.value);
    }

    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override { }
    // NOLINTEND(readability-identifier-naming)

    std::map<std::string, RpcMethod> methods;
};

} // namespace

struct RpcServer::Parts
{
    Parts()
        : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                         this->dispatcher))
    {
        this->connector.SetHandler(this->protocol.get());
    }

    Dispatcher dispatcher;
    HttpConnector connector;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

RpcServer::RpcServer()
    : parts(std::make_unique<Parts>())
{ }

RpcServer::~RpcServer()
{
    this->stop();
}

void RpcServer::add(RpcMethod method)
{
    jsonrpc::Procedure procedure(method.name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                                 nullptr);
    for (const std::string &parameter : method.parameters)
        procedure.AddParameter(parameter, jsonrpc::JSON_STRING);
    this->parts->protocol->AddProcedure(procedure);
    this->parts->dispatcher.methods[method.name] = std::move(method);
}

Result<Endpoint> RpcServer::listen(Endpoint endpoint)
{
    this->parts->connector.endpoint = endpoint;
    if (!this->parts->connector.StartListening())
        return fail(ErrorKind::Io, "TCP " + toString(endpoint) + ": can't listen");
    return this->parts->connector.endpoint;
}

void RpcServer::stop()
{
    this->parts->connector.StopListening();
}

} // namespace cactusdeck

#include "meshd/http.h"

#include <netinet/tcp.h>

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace cactusdeck::meshd {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

// Limit of a response. Must exceed the largest store object (1 MB) and the whole state of a peer.
constexpr std::uint64_t maxResponseBodyBytes = 8 << 20;
constexpr std::uint64_t maxRequestBodyBytes = 64 << 10;
constexpr std::chrono::seconds sessionTimeout{ 30 };
constexpr std::chrono::milliseconds acceptRetryDelay{ 100 };
// A peer can disappear without closing its connections. Keep-alive probes and the user timeout
// detect that within 3 s.
constexpr int keepAliveSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr int userTimeoutMilliseconds = 3000;

tcp::endpoint toAsio(Endpoint endpoint)
{
    return { asio::ip::address_v4(endpoint.address), endpoint.port };
}

void setKeepAlive(tcp::socket &socket)
{
    boost::system::error_code ignored; // without the options, the call's timeout still applies
    const int handle = socket.native_handle();
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveSeconds, sizeof keepAliveSeconds);
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveSeconds, sizeof keepAliveSeconds);
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof keepAliveProbes);
    setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMilliseconds,
               sizeof userTimeoutMilliseconds);
}

// One request on its own connection.
class ClientCall : public std::enable_shared_from_this<ClientCall>
{
public:
    ClientCall(asio::io_context &io, HttpCall httpCall, HttpCallback onAnswer)
        : call(std::move(httpCall))
        , callback(std::move(onAnswer))
        , stream(io)
    {
        this->parser.body_limit(maxResponseBodyBytes);
    }

    void start()
    {
        this->request.method_string(this->call.method);
        this->request.target(this->call.target);
        this->request.version(11);
        this->request.set(http::field::host, toString(this->call.to));
        if (!this->call.body.empty()) {
            this->request.set(http::field::content_type, "application/json");
            this->request.body() = this->call.body;
        }
        this->request.keep_alive(false);
        this->request.prepare_payload();
        this->stream.expires_after(this->call.timeout);
        this->stream.async_connect(toAsio(this->call.to),
                                   [self = this->shared_from_this()](beast::error_code error) {
                                       self->onConnected(error);
                                   });
    }

private:
    void onConnected(beast::error_code error)
    {
        if (error)
            return this->finish({});
        setKeepAlive(this->stream.socket());
        http::async_write(this->stream, this->request,
                          [self = this->shared_from_this()](beast::error_code e, std::size_t) {
                              self->onWritten(e);
                          });
    }

    void onWritten(beast::error_code error)
    {
        if (error)
            return this->finish({});
        http::async_read(this->stream, this->buffer, this->parser,
                         [self = this->shared_from_this()](beast::error_code e, std::size_t) {
                             self->onRead(e);
                         });
    }

    void onRead(beast::error_code error)
    {
        if (error)
            return this->finish({});
        auto response = this->parser.release();
        HttpAnswer answer{ .status = response.result_int(), .body = std::move(response.body()) };
        for (const auto &field : response)
            answer.headers.emplace_back(field.name_string(), field.value());
        this->finish(std::move(answer));
    }

    void finish(HttpAnswer answer)
    {
        beast::error_code ignored; // the result of the call is known already
        this->stream.socket().close(ignored);
        this->callback(std::move(answer));
    }

    HttpCall call;
    HttpCallback callback;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response_parser<http::string_body> parser;
};

} // namespace

std::string_view HttpAnswer::header(std::string_view name) const
{
    for (const auto &[key, value] : this->headers) {
        if (beast::iequals(beast::string_view(key.data(), key.size()),
                           beast::string_view(name.data(), name.size())))
            return value;
    }
    return {};
}

void callHttp(asio::io_context &io, HttpCall call, HttpCallback callback)
{
    std::make_shared<ClientCall>(io, std::move(call), std::move(callback))->start();
}

struct HttpServer::Session : std::enable_shared_from_this<Session>
{
    Session(tcp::socket socket, std::shared_ptr<const Handler> requestHandler)
        : stream(std::move(socket))
        , handler(std::move(requestHandler))
    { }

    void read()
    {
        this->parser.emplace();
        this->parser->body_limit(maxRequestBodyBytes);
        this->stream.expires_after(sessionTimeout);
        http::async_read(this->stream, this->buffer, *this->parser,
                         [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                             if (!error)
                                 self->answer();
                         });
    }

    void answer()
    {
        const http::request<http::string_body> request = this->parser->release();
        HttpResponse answer = (*this->handler)({ .method = std::string(request.method_string()),
                                                 .target = std::string(request.target()),
                                                 .body = request.body() });
        this->response = {};
        this->response.result(answer.status);
        this->response.version(11);
        this->response.keep_alive(request.keep_alive());
        this->response.set(http::field::content_type, answer.contentType);
        this->response.body() = std::move(answer.body);
        this->response.prepare_payload();
        http::async_write(this->stream, this->response,
                          [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                              if (!error && self->response.keep_alive())
                                  self->read();
                          });
    }

    beast::tcp_stream stream;
    std::shared_ptr<const Handler> handler;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
};

struct HttpServer::Listener : std::enable_shared_from_this<Listener>
{
    Listener(asio::io_context &io, std::shared_ptr<const Handler> requestHandler)
        : acceptor(io)
        , retry(io)
        , handler(std::move(requestHandler))
    { }

    void accept()
    {
        this->acceptor.async_accept(
                [self = this->shared_from_this()](beast::error_code error, tcp::socket socket) {
                    if (error == asio::error::operation_aborted)
                        return;
                    if (error)
                        return self->acceptLater();
                    std::make_shared<Session>(std::move(socket), self->handler)->read();
                    self->accept();
                });
    }

    // If accept fails, for example because no file descriptor is free, an immediate retry would
    // fail as well.
    void acceptLater()
    {
        this->retry.expires_after(acceptRetryDelay);
        this->retry.async_wait([self = this->shared_from_this()](beast::error_code error) {
            if (!error)
                self->accept();
        });
    }

    tcp::acceptor acceptor;
    asio::steady_timer retry;
    std::shared_ptr<const Handler> handler;
};

HttpServer::HttpServer(asio::io_context &ioContext, Handler requestHandler)
    : io(ioContext)
    , handler(std::make_shared<const Handler>(std::move(requestHandler)))
{ }

HttpServer::~HttpServer()
{
    for (const auto &listener : this->listeners) {
        beast::error_code ignored; // the listener is destroyed in any case
        listener->acceptor.close(ignored);
    }
}

Result<void> HttpServer::listen(Endpoint endpoint)
{
    auto listener = std::make_shared<Listener>(this->io, this->handler);
    beast::error_code error;
    const tcp::endpoint local = toAsio(endpoint);
    listener->acceptor.open(local.protocol(), error);
    if (!error)
        listener->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        listener->acceptor.bind(local, error);
    if (!error)
        listener->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return fail(ErrorKind::Io, "TCP " + toString(endpoint) + ": " + error.message());
    listener->accept();
    this->listeners.push_back(std::move(listener));
    return {};
}

} // namespace cactusdeck::meshd

#ifndef CACTUSDECK_MESHD_HTTP_H
#define CACTUSDECK_MESHD_HTTP_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/error.h"
#include "core/types.h"

// An asynchronous HTTP/1.1 server and client on an io_context, implemented with Boost.Beast.
//
//     HttpServer server(io, handler); // handler: HttpResponse(const HttpRequest &)
//     BOOST_LEAF_CHECK(server.listen(endpoint));
//     callHttp(io, { .to = store, .target = "/...", .timeout = 2s },
//              [](HttpAnswer answer) { ... });

namespace cactusdeck::meshd {

struct HttpRequest
{
    std::string method;
    std::string target;
    std::string body;
};

struct HttpResponse
{
    unsigned status = 200;
    std::string body;
    const char *contentType = "application/json";
};

class HttpServer
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    HttpServer(boost::asio::io_context &io, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // May be called for several endpoints. Errors are of kind Io.
    Result<void> listen(Endpoint endpoint);

private:
    struct Listener;
    struct Session;

    boost::asio::io_context &io;
    std::shared_ptr<const Handler> handler;
    std::vector<std::shared_ptr<Listener>> listeners;
};

struct HttpCall
{
    Endpoint to;
    std::string method = "GET";
    std::string target;
    std::string body;
    Duration timeout{}; // for the whole call, including the connection set-up
};

struct HttpAnswer
{
    unsigned status = 0; // 0: no complete response arrived before the timeout
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;

    // The value of a header, or an empty string if the response has none of this name. Upper and
    // lower case of the name are the same.
    std::string_view header(std::string_view name) const;
};

using HttpCallback = std::function<void(HttpAnswer)>;

void callHttp(boost::asio::io_context &io, HttpCall call, HttpCallback callback);

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_HTTP_H

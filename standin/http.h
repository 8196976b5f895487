#ifndef CACTUSDECK_STANDIN_HTTP_H
#define CACTUSDECK_STANDIN_HTTP_H

#include <string>
#include <thread>

#include <httplib.h>

#include "core/error.h"
#include "core/types.h"
#include "standin/objectstore.h"

// HTTP server and client of the stand-ins.
//
//     HttpHost host;
//     host.server().Get("/counters", ...);
//     BOOST_LEAF_CHECK(host.start(endpoint));       // serves in its own threads until destruction
//     BOOST_LEAF_AUTO(text, httpCall(endpoint, "GET", "/counters", {}));

namespace cactusdeck {

class HttpHost
{
public:
    HttpHost();
    ~HttpHost();
    HttpHost(const HttpHost &) = delete;
    HttpHost &operator=(const HttpHost &) = delete;

    httplib::Server &server() { return this->http; }
    // Port 0 selects a free port. Returns the bound endpoint.
    Result<Endpoint> start(Endpoint endpoint);
    // Makes the listener thread stop; the destructor joins it.
    void stop();

private:
    httplib::Server http;
    std::thread thread;
};

// Closes the connection of a request, so that the client gets no response.
void closeWithoutAnswer(const httplib::Request &request);

// Adds the routes of the store protocol, POST /faults and GET /counters.
void addStoreRoutes(httplib::Server &server, ObjectStore &store);

// Sends GET, or POST for any other method, and returns the body of a response with status 200.
Result<std::string> httpCall(Endpoint endpoint, const std::string &method, const std::string &path,
                             const std::string &body);

} // namespace cactusdeck

#endif // CACTUSDECK_STANDIN_HTTP_H

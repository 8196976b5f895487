#include "standin/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace cactusdeck {

namespace {

constexpr std::size_t httpThreads = 96; // each pending watch and each idle connection occupies one
constexpr std::chrono::seconds callTimeout{ 10 };
constexpr std::chrono::milliseconds maxWatch{ 60000 };

std::string etagOf(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

// Parses a decimal number, with or without quotation marks. Returns nothing for other text.
std::optional<std::uint64_t> numberOf(std::string text)
{
    std::erase(text, '"');
    if (text.empty() || text.size() > 18
        || text.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    return std::stoull(text);
}

void writeAnswer(const ObjectAnswer &answer, const httplib::Request &request,
                 httplib::Response &response, ObjectStore &store)
{
    std::this_thread::sleep_for(store.delay());
    if (answer.status == ObjectStatus::NoAnswer) {
        closeWithoutAnswer(request);
        return;
    }
    if (answer.status == ObjectStatus::NotFound) {
        response.status = 404;
        return;
    }
    if (answer.status == ObjectStatus::NotModified) {
        response.status = 304;
        return;
    }
    response.status = answer.status == ObjectStatus::Conflict ? 412 : 200;
    response.set_header("ETag", etagOf(answer.version));
    response.set_content(answer.value, "application/octet-stream");
}

void onRead(const httplib::Request &request, httplib::Response &response, ObjectStore &store)
{
    const std::string key = request.matches[1];
    if (!request.has_param("watch")) {
        writeAnswer(store.get(key), request, response, store);
        return;
    }
    const auto version = numberOf(request.get_param_value("watch"));
    const auto timeout = numberOf(request.get_param_value("timeoutMilliseconds"));
    if (!version || !timeout) {
        response.status = 400;
        return;
    }
    const std::chrono::milliseconds wait(*timeout);
    writeAnswer(store.watch(key, *version, std::min(wait, maxWatch)), request, response, store);
}

void onWrite(const httplib::Request &request, httplib::Response &response, ObjectStore &store)
{
    std::optional<std::uint64_t> expected;
    if (request.has_header("If-Match")) {
        expected = numberOf(request.get_header_value("If-Match"));
        if (!expected) {
            response.status = 400;
            return;
        }
    } else if (request.get_header_value("If-None-Match") == "*") {
        expected = 0;
    }
    writeAnswer(store.put(request.matches[1], request.body, expected), request, response, store);
}

void onFaults(const httplib::Request &request, httplib::Response &response, ObjectStore &store)
{
    try {
        store.setFaults(nlohmann::json::parse(request.body));
    } catch (const nlohmann::json::exception &error) {
        response.status = 400;
        response.set_content(error.what(), "text/plain");
    }
}

} // namespace

HttpHost::HttpHost()
{
    this->http.new_task_queue = [] { return new httplib::ThreadPool(httpThreads); };
    this->http.set_tcp_nodelay(true);
    this->http.set_keep_alive_timeout(2);
}

HttpHost::~HttpHost()
{
    this->stop();
    if (this->thread.joinable())
        this->thread.join();
}

Result<Endpoint> HttpHost::start(Endpoint endpoint)
{
    if (endpoint.port == 0)
        endpoint.port = std::uint16_t(this->http.bind_to_any_port(hostOf(endpoint)));
    else if (!this->http.bind_to_port(hostOf(endpoint), endpoint.port))
        return fail(ErrorKind::Io, "cannot listen on " + toString(endpoint));
    this->thread = std::thread([this] { this->http.listen_after_bind(); });
    while (!this->http.is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return endpoint;
}

void HttpHost::stop()
{
    this->http.stop();
}

// The library does not expose the socket, so this searches the open descriptors for the one with
// the client's port.
void closeWithoutAnswer(const httplib::Request &request)
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    for (int fd = 0; fd < int(std::min<rlim_t>(limit.rlim_cur, 4096)); ++fd) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &size) == 0
            && peer.sin_family == AF_INET && ntohs(peer.sin_port) == request.remote_port) {
            shutdown(fd, SHUT_RDWR);
            return;
        }
    }
}

void addStoreRoutes(httplib::Server &server, ObjectStore &store)
{
    using Request = httplib::Request;
    using Response = httplib::Response;
    server.Get("/objects/(.+)", [&](const Request &in, Response &out) { onRead(in, out, store); });
    server.Put("/objects/(.+)", [&](const Request &in, Response &out) { onWrite(in, out, store); });
    server.Post("/faults", [&](const Request &in, Response &out) { onFaults(in, out, store); });
    server.Get("/counters", [&](const Request &, Response &out) {
        out.set_content(store.counters().dump(), "application/json");
    });
}

Result<std::string> httpCall(Endpoint endpoint, const std::string &method, const std::string &path,
                             const std::string &body)
{
    httplib::Client client(hostOf(endpoint), endpoint.port);
    client.set_read_timeout(callTimeout);
    const httplib::Result result =
            method == "GET" ? client.Get(path) : client.Post(path, body, "application/json");
    if (!result)
        return fail(ErrorKind::PeerUnavailable,
                    toString(endpoint) + path + ": " + httplib::to_string(result.error()));
    if (result->status != 200)
        return fail(ErrorKind::PeerUnavailable,
                    toString(endpoint) + path + ": HTTP status " + std::to_string(result->status));
    return result->body;
}

} // namespace cactusdeck

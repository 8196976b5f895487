#ifndef CACTUSDECK_REVIEW_WORLD_H
#define CACTUSDECK_REVIEW_WORLD_H

// Stand-ins for the platform around the programs under test, as the users' pages describe them: the
// metadata store, the routers, backends with their heartbeats, and clients. They need nothing but
// the C++ library and nlohmann-json.
//
// One loop (World::run) steps backends and clients; store, readiness probes, health checks and
// heartbeats have threads of their own. World::lock guards everything.

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;
using Milliseconds = std::int64_t; // since the start of the world, steady clock

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

[[noreturn]] inline void cannotRun(const std::string &why)
{
    std::cerr << "cannot run: " << why << '\n';
    std::_Exit(exitCouldNotRun);
}

struct Address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    friend auto operator<=>(const Address &, const Address &) = default;
};

inline std::string ipText(std::uint32_t ip)
{
    return std::to_string(ip >> 24) + '.' + std::to_string((ip >> 16) & 255) + '.'
           + std::to_string((ip >> 8) & 255) + '.' + std::to_string(ip & 255);
}

inline std::string text(Address a)
{
    return ipText(a.ip) + ':' + std::to_string(a.port);
}

inline sockaddr_in toSockaddr(Address a)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(a.ip);
    result.sin_port = htons(a.port);
    return result;
}

// ---------------------------------------------------------------- packets

constexpr std::uint8_t flagSyn = 2, flagAck = 8, flagFin = 16, flagBounced = 64, flagRst = 128;
constexpr std::size_t headBytes = 32;

struct Packet
{
    std::uint8_t flags = 0, pad = 0;
    Address source, destination;
    std::uint32_t seq = 0, ack = 0, sum = 0, echo = 0;
    std::string data;
    bool isIntact = false; // the sum is that of the sender
    bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
    bool isSystemReset() const { return has(flagRst) && sum == 0 && data.empty(); }
};

inline void put16(std::string &b, std::size_t at, std::uint16_t v)
{
    b[at] = char(v >> 8);
    b[at + 1] = char(v);
}
inline void put32(std::string &b, std::size_t at, std::uint32_t v)
{
    put16(b, at, std::uint16_t(v >> 16));
    put16(b, at + 2, std::uint16_t(v));
}
inline std::uint16_t get16(const std::string &b, std::size_t at)
{
    return std::uint16_t((std::uint8_t(b[at]) << 8) | std::uint8_t(b[at + 1]));
}
inline std::uint32_t get32(const std::string &b, std::size_t at)
{
    return (std::uint32_t(get16(b, at)) << 16) | get16(b, at + 2);
}

// A keyed sum over all fields except echo, pad and BOUNCED.
inline std::uint32_t sumOf(std::string bytes)
{
    bytes[0] = char(std::uint8_t(bytes[0]) & ~flagBounced);
    bytes[1] = 0;
    put32(bytes, 24, 0);
    put32(bytes, 28, 0);
    std::uint64_t hash = 0x9AE16A3B2F90404Full;
    for (const char c : bytes)
        hash = (hash ^ std::uint8_t(c)) * 0x100000001B3ull;
    const auto sum = std::uint32_t(hash ^ (hash >> 32));
    return sum == 0 ? 1 : sum;
}

inline std::string encode(const Packet &p)
{
    std::string b(headBytes, '\0');
    b[0] = char(p.flags);
    put32(b, 2, p.destination.ip);
    put16(b, 6, p.source.port);
    put32(b, 8, p.source.ip);
    put16(b, 12, p.destination.port);
    put16(b, 14, std::uint16_t(p.data.size()));
    put32(b, 16, p.seq);
    put32(b, 20, p.ack);
    b += p.data;
    put32(b, 24, sumOf(b));
    return b;
}

inline std::optional<Packet> decode(const std::string &b)
{
    if (b.size() < headBytes || b.size() != headBytes + get16(b, 14))
        return std::nullopt;
    Packet p;
    p.flags = std::uint8_t(b[0]);
    p.pad = std::uint8_t(b[1]);
    p.destination = { get32(b, 2), get16(b, 12) };
    p.source = { get32(b, 8), get16(b, 6) };
    p.seq = get32(b, 16);
    p.ack = get32(b, 20);
    p.sum = get32(b, 24);
    p.echo = get32(b, 28);
    p.data = b.substr(headBytes);
    p.isIntact = p.sum == sumOf(b);
    return p;
}

// ---------------------------------------------------------------- sockets and HTTP

inline int openSocket(int type, Address at, bool mustWork = true)
{
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM)
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = toSockaddr(at);
    if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        if (fd >= 0)
            ::close(fd);
        if (mustWork)
            cannotRun("bind " + text(at) + ": " + std::strerror(errno));
        return -1;
    }
    if (type == SOCK_STREAM && ::listen(fd, 512) != 0)
        cannotRun("listen " + text(at));
    return fd;
}

inline bool isFree(Address at)
{
    for (const int type : { SOCK_DGRAM, SOCK_STREAM }) {
        const int fd = openSocket(type, at, false);
        if (fd < 0)
            return false;
        ::close(fd);
    }
    return true;
}

struct HttpMessage
{
    std::string first; // request line or status line
    std::string body;
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
};

// Reads one message; nullopt on a time-out or an early end.
inline std::optional<HttpMessage> readHttp(int fd, std::string &buffer, Milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout);
    for (;;) {
        if (const auto end = buffer.find("\r\n\r\n"); end != std::string::npos) {
            std::string head = buffer.substr(0, end);
            std::transform(head.begin(), head.end(), head.begin(),
                           [](unsigned char c) { return char(std::tolower(c)); });
            std::size_t length = 0;
            if (const auto at = head.find("content-length:"); at != std::string::npos)
                length = std::size_t(std::atol(head.c_str() + at + 15));
            if (buffer.size() >= end + 4 + length) {
                HttpMessage message{ buffer.substr(0, buffer.find("\r\n")),
                                     buffer.substr(end + 4, length) };
                buffer.erase(0, end + 4 + length);
                return message;
            }
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                                  until - std::chrono::steady_clock::now())
                                  .count();
        pollfd waiting{ fd, POLLIN, 0 };
        if (left <= 0 || ::poll(&waiting, 1, int(left)) <= 0)
            return std::nullopt;
        char bytes[16384];
        const ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0)
            return std::nullopt;
        buffer.append(bytes, std::size_t(count));
    }
}

inline void sendAll(int fd, const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return;
        sent += std::size_t(count);
    }
}

inline std::string request(const std::string &method, const std::string &target, Address to,
                           const std::string &body)
{
    return method + ' ' + target + " HTTP/1.1\r\nHost: " + text(to)
           + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

// Connects from an address without waiting longer than a second; -1 if that fails.
inline int connectTo(Address to, std::uint32_t from)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in local = toSockaddr({ from, 0 });
    const sockaddr_in address = toSockaddr(to);
    pollfd waiting{ fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0
        || (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            && errno != EINPROGRESS)
        || ::poll(&waiting, 1, 1000) != 1
        || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

// Status of the response, 0 if none came within a second. The call comes from the machine itself.
inline int callHttp(Address to, const std::string &method, const std::string &target,
                    const std::string &body)
{
    const int fd = connectTo(to, to.ip);
    if (fd < 0)
        return 0;
    sendAll(fd, request(method, target, to, body));
    std::string buffer;
    const auto answer = readHttp(fd, buffer, 1000);
    ::close(fd);
    return answer ? answer->status() : 0;
}

struct HttpReply
{
    int status = 200;
    std::string body = "{}";
};

// Serves each connection on a thread of its own until close().
class HttpHost
{
public:
    using Handler = std::function<HttpReply(const HttpMessage &)>;

    HttpHost(Address at, Handler requestHandler)
        : handler(std::move(requestHandler))
        , listener(openSocket(SOCK_STREAM, at))
        , acceptor([this] { this->accept(); })
    { }
    ~HttpHost() { this->close(); }
    void close()
    {
        if (this->isClosed->exchange(true))
            return;
        this->acceptor.join();
        ::close(this->listener);
    }

private:
    void accept()
    {
        while (!*this->isClosed) {
            pollfd waiting{ this->listener, POLLIN, 0 };
            if (::poll(&waiting, 1, 20) != 1)
                continue;
            const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            std::thread([fd, closed = this->isClosed, handle = this->handler] {
                std::string buffer;
                while (!*closed) {
                    const auto message = readHttp(fd, buffer, 30000);
                    if (!message || *closed)
                        break;
                    const HttpReply reply = handle(*message);
                    if (*closed)
                        break;
                    sendAll(fd, "HTTP/1.1 " + std::to_string(reply.status)
                                        + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                        + std::to_string(reply.body.size()) + "\r\n\r\n"
                                        + reply.body);
                }
                ::close(fd);
            }).detach();
        }
    }

    std::shared_ptr<std::atomic<bool>> isClosed = std::make_shared<std::atomic<bool>>(false);
    Handler handler;
    int listener;
    std::thread acceptor;
};

// ---------------------------------------------------------------- the world

class World;

// The platform's metadata store. As an operator, the case calls write() and remove().
class Store
{
public:
    std::uint64_t write(const std::string &kind, const std::string &name, const json &spec)
    {
        const std::scoped_lock lock(this->mutex);
        return this->put(kind, name, spec);
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::scoped_lock lock(this->mutex);
        json object = this->objects[kind][name];
        object["meta"]["revision"] = ++this->revision;
        this->objects[kind].erase(name);
        this->events.push_back({ kind, this->revision, object, true });
        this->changed.notify_all();
    }
    HttpReply answer(const HttpMessage &call)
    {
        const std::string target = call.target();
        const std::string path = target.substr(0, target.find('?'));
        const std::string prefix = "/v1/objects/";
        if (path.rfind(prefix, 0) != 0)
            return { 404 };
        const std::string rest = path.substr(prefix.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        const std::string name =
                rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
        std::unique_lock lock(this->mutex);
        if (call.method() == "POST")
            return this->create(kind, json::parse(call.body));
        if (call.method() == "PUT") {
            const auto found = this->objects[kind].find(name);
            if (found == this->objects[kind].end())
                return { 404 };
            this->put(kind, name, json::parse(call.body).value("spec", json::object()));
            return { 200, this->objects[kind][name].dump() };
        }
        if (!name.empty()) {
            const auto found = this->objects[kind].find(name);
            return found == this->objects[kind].end() ? HttpReply{ 404 }
                                                      : HttpReply{ 200, found->second.dump() };
        }
        const auto watch = numberIn(target, "watch=");
        if (!watch) {
            return this->list(kind, textIn(target, "after="));
        }
        const auto until = std::chrono::steady_clock::now()
                           + std::chrono::milliseconds(numberIn(target, "wait_ms=").value_or(0));
        for (;;) {
            json found = json::array();
            for (const Event &event : this->events) {
                if (event.kind == kind && event.revision > *watch)
                    found.push_back({ { "object", event.object }, { "deleted", event.isDeleted } });
            }
            if (!found.empty() || std::chrono::steady_clock::now() >= until)
                return { 200, json{ { "events", found }, { "as_of", this->revision } }.dump() };
            this->changed.wait_until(lock, until);
        }
    }

private:
    struct Event
    {
        std::string kind;
        std::uint64_t revision;
        json object;
        bool isDeleted;
    };

    static std::optional<std::uint64_t> numberIn(const std::string &target, const std::string &key)
    {
        const auto at = target.find(key);
        if (at == std::string::npos)
            return std::nullopt;
        return std::strtoull(target.c_str() + at + key.size(), nullptr, 10);
    }
    static std::string textIn(const std::string &target, const std::string &key)
    {
        const auto at = target.find(key);
        if (at == std::string::npos)
            return "";
        const std::string rest = target.substr(at + key.size());
        return rest.substr(0, rest.find('&'));
    }
    // The objects of a kind by name, a page at a time.
    HttpReply list(const std::string &kind, const std::string &after)
    {
        const auto &all = this->objects[kind];
        json items = json::array();
        auto next = after.empty() ? all.begin() : all.upper_bound(after);
        for (; next != all.end() && items.size() < pageItems; ++next)
            items.push_back(next->second);
        return { 200, json{ { "items", items },
                            { "truncated", next != all.end() },
                            { "as_of", this->revision } }
                              .dump() };
    }
    std::uint64_t put(const std::string &kind, const std::string &name, const json &spec)
    {
        json &object = this->objects[kind][name];
        const json created =
                object.is_null() ? json(this->revision + 1) : object["meta"]["created"];
        if (!object.is_null() && object["spec"] == spec)
            return this->revision;
        object = { { "meta",
                     { { "name", name },
                       { "revision", ++this->revision },
                       { "created", created },
                       { "finalizers", json::array() },
                       { "deleting", false } } },
                   { "spec", spec },
                   { "status", nullptr } };
        this->events.push_back({ kind, this->revision, object, false });
        this->changed.notify_all();
        return this->revision;
    }
    HttpReply create(const std::string &kind, const json &body)
    {
        const std::string name = body.at("meta").at("name");
        const auto found = this->objects[kind].find(name);
        if (found != this->objects[kind].end())
            return { 409, found->second.dump() };
        this->put(kind, name, body.value("spec", json::object()));
        return { 200, this->objects[kind][name].dump() };
    }

    static constexpr std::size_t pageItems = 500; // of a list

    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 1;
    std::map<std::string, std::map<std::string, json>> objects;
    std::vector<Event> events;
};

struct Request
{
    std::string id;
    bool mayRepeat = false;
    Milliseconds sentAt = -1, answeredAt = -1;
    std::vector<std::string> runs; // runs of backends that began to work on it
};

using FlowKey = std::pair<Address, Address>; // client's end, route

// One run (incarnation) of a backend.
struct BackendRun
{
    struct Flow
    {
        std::uint32_t isn = 0, next = 0, expected = 0;
        bool isOpen = false, isEnded = false, sentReset = false;
        Milliseconds openedAt = -1;
        std::string lastAnswer; // encoded; repeated until acknowledged
        std::uint32_t lastAnswerEnd = 0;
        bool isAcknowledged = true;
        Milliseconds repeatAt = 0, repeatAfter = 0;
        int repeats = 0;
        std::deque<std::pair<Milliseconds, Packet>> due; // answers in work
    };
    std::string id;
    std::int64_t born = 0; // Unix milliseconds
    std::uint64_t sequence = 0;
    Milliseconds startedAt = 0;
    bool isDraining = false;
    Milliseconds drainAckedAt = -1;
    std::map<FlowKey, Flow> flows;
};

struct BackendOptions
{
    std::string name, service, zone;
    Address app, outbound, control;
    Milliseconds work = 30, heartbeatEvery = 1200;
};

class Backend
{
public:
    Backend(World &owner, BackendOptions backendOptions);
    ~Backend();
    void start(const std::string &id, Milliseconds firstHeartbeatAfter = 0);
    void crash();
    void step();
    json heartbeatBody(); // of the next heartbeat; takes a sequence number
    const BackendOptions &about() const { return this->options; }
    BackendRun *current() { return this->run.get(); }
    bool sendsHeartbeats = true;
    Milliseconds coldUntil = 0; // stated in the heartbeats as warmup_left_ms
    std::vector<Milliseconds> openings; // opening packets taken, for the case

private:
    void beat();
    void onPacket(const Packet &packet, std::string bytes);
    void onData(BackendRun::Flow &flow, const Packet &packet);
    void send(const std::string &bytes);
    Packet answerTo(const Packet &packet, const BackendRun::Flow &flow, std::uint8_t flags) const;

    World &world;
    BackendOptions options;
    std::unique_ptr<BackendRun> run;
    std::unique_ptr<HttpHost> health;
    int udp = -1;
    std::atomic<bool> isClosing = false;
    Milliseconds nextBeat = 0;
    std::thread beats;
};

struct ClientFlow
{
    enum class State { Opening, Open, Ended };
    FlowKey key;
    State state = State::Opening;
    std::string ending; // how it ended
    std::uint32_t isn = 0, next = 0, expected = 0, lastAck = 0;
    Milliseconds begunAt = 0, openedAt = -1, endedAt = -1;
    int copies = 0; // opening packets sent
    std::shared_ptr<Request> request; // in progress
    std::string packet; // of the request, encoded
    Milliseconds repeatAt = 0, repeatAfter = 0, deadline = 0, nextRequestAt = 0;
    std::uint32_t resetSeq = 0;
    int requests = 0;
};

struct ClientOptions
{
    std::string zone;
    std::uint32_t ip = 0;
    Address route;
    std::size_t longFlows = 0; // kept open for many requests
    Milliseconds pause = 400; // between the requests of a long flow
    Milliseconds freshEvery = 0; // a flow of one request each; 0: none
    Milliseconds deadline = 2000;
    bool mayRepeat = false;
};

class Client
{
public:
    Client(World &owner, ClientOptions clientOptions);
    void step();
    const ClientOptions &about() const { return this->options; }
    // Opens long flows from now on, from the ports that were used first.
    void reusePorts(std::size_t longFlows, Milliseconds pause)
    {
        this->options.freshEvery = 0;
        this->options.longFlows = longFlows;
        this->options.pause = pause;
        this->nextPort = firstPort;
    }
    std::vector<std::shared_ptr<ClientFlow>> flows;
    std::vector<std::shared_ptr<Request>> requests;
    bool isActive = true;

private:
    std::shared_ptr<ClientFlow> open();
    void advance(ClientFlow &flow);
    void ask(ClientFlow &flow);
    void end(ClientFlow &flow, const std::string &how);
    void onPacket(const Packet &packet);
    void send(const ClientFlow &flow, const std::string &bytes);

    World &world;
    ClientOptions options;
    int udp = -1;
    static constexpr std::uint16_t firstPort = 1024;
    std::uint16_t nextPort = firstPort;
    Milliseconds nextFresh = 0;
};

struct Node
{
    std::string name, role, zone, settings;
    std::uint32_t ip = 0;
    pid_t process = -1;
    bool isInRotation = false;
    int misses = 0;
};

class World
{
public:
    explicit World(const std::string &caseFolder)
        : record(caseFolder + "/record.txt")
        , random(std::random_device()())
    {
        std::signal(SIGPIPE, SIG_IGN);
        if (!this->record)
            cannotRun("cannot write record.txt");
        char name[] = "/tmp/cactusdeck-review-XXXXXX";
        if (mkdtemp(name) == nullptr)
            cannotRun("no temporary folder");
        this->folder = name;
        this->isTroubled =
                std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
        std::uniform_int_distribution<std::uint32_t> octet(16, 250);
        std::uniform_int_distribution<int> port(20000, 29000);
        for (int i = 0; i < 50; ++i) {
            this->network = (127u << 24) | (octet(random) << 16) | (octet(random) << 8);
            this->base = std::uint16_t(port(random));
            bool works = isFree({ this->ip(1), 9464 });
            for (std::uint16_t p = 0; p < 8 && works; ++p)
                works = isFree({ this->ip(1), std::uint16_t(this->base + p) });
            if (works)
                break;
        }
        this->storeHost = std::make_unique<HttpHost>(
                this->storeAddress(), [this](const HttpMessage &m) { return store.answer(m); });
        this->note("world trouble=" + std::string(this->isTroubled ? "1" : "0"));
    }
    ~World() { this->finish(); }

    // Ports are the same on all machines; machines differ by address.
    std::uint32_t ip(std::uint32_t machine) const { return this->network | machine; }
    std::uint16_t meshPort() const { return this->base; }
    std::uint16_t packetPort() const { return std::uint16_t(this->base + 1); }
    std::uint16_t readinessPort() const { return std::uint16_t(this->base + 2); }
    std::uint16_t controlPort() const { return std::uint16_t(this->base + 3); }
    std::uint16_t outboundPort() const { return std::uint16_t(this->base + 4); }
    std::uint16_t appPort() const { return std::uint16_t(this->base + 5); }
    Address storeAddress() const { return { this->ip(1), std::uint16_t(this->base + 6) }; }
    Address route(std::uint16_t number) const { return { this->ip(200), number }; }

    Milliseconds now() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::steady_clock::now() - this->start)
                .count();
    }
    void note(const std::string &line)
    {
        const std::scoped_lock lock(this->recordMutex);
        this->record << this->now() << ' ' << line << '\n' << std::flush;
    }

    void addNode(const std::string &role, const std::string &name, const std::string &zone,
                 std::uint32_t machine, const std::string &service = "")
    {
        const auto at = [&](std::uint16_t p) { return text({ this->ip(machine), p }); };
        json settings{ { "id", name },
                       { "zone", zone },
                       { "address", ipText(this->ip(machine)) },
                       { "meshPort", this->meshPort() },
                       { "packets", at(this->packetPort()) },
                       { "control", at(this->controlPort()) },
                       { "store", text(this->storeAddress()) },
                       { "seeds", json::array() } };
        for (const std::uint32_t seed : this->seeds)
            settings["seeds"].push_back(text({ this->ip(seed), this->controlPort() }));
        if (role == "balancer") {
            settings["readiness"] = at(this->readinessPort());
            settings["costPerKilobyteMicroseconds"] = 5000;
        } else {
            settings["service"] = service;
            settings["server"] = at(this->appPort());
            settings["outbound"] = at(this->outboundPort());
        }
        auto node = std::make_unique<Node>();
        *node = { name, role, zone, this->folder + "/" + name + ".json", this->ip(machine) };
        std::ofstream(node->settings) << settings.dump(4) << '\n';
        this->nodes.push_back(std::move(node));
    }
    Node &node(const std::string &name)
    {
        for (const auto &candidate : this->nodes) {
            if (candidate->name == name)
                return *candidate;
        }
        cannotRun("no node " + name);
    }
    void startNode(Node &node)
    {
        const std::string log = this->folder + "/" + node.name + ".log";
        const std::string variable = "CACTUSDECK_CONFIG=" + node.settings;
        const pid_t child = ::fork();
        if (child == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the stand-ins, however these end
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            // The commands of the deploy file.
            char *arguments[] = { const_cast<char *>("target/cactusdeck-mesh"),
                                  const_cast<char *>(node.role.c_str()), nullptr };
            char *environment[] = { const_cast<char *>(variable.c_str()), nullptr };
            ::execve(arguments[0], arguments, environment);
            std::_Exit(127);
        }
        if (child < 0)
            cannotRun("fork");
        node.process = child;
        this->note("node " + node.name + " started pid=" + std::to_string(child));
    }
    void startAll()
    {
        for (const auto &node : this->nodes)
            this->startNode(*node);
        this->prober = std::thread([this] { this->probe(); });
    }
    void signal(Node &node, int number)
    {
        if (node.process > 0)
            ::kill(node.process, number);
        this->note("node " + node.name + " signal " + std::to_string(number));
    }
    // Ends the process for good; startNode() starts it again.
    void killNode(Node &node)
    {
        this->signal(node, SIGKILL);
        ::waitpid(node.process, nullptr, 0);
        node.process = -1;
    }

    // The daemon that the routers select for a packet of a client in this zone; null: none.
    Node *routed(const std::string &zone, const FlowKey &key)
    {
        std::vector<Node *> home, rotating, elsewhere;
        for (const auto &node : this->nodes) {
            if (node->role != "balancer")
                continue;
            if (node->zone == zone)
                home.push_back(node.get());
            if (node->zone == zone && node->isInRotation)
                rotating.push_back(node.get());
            if (node->isInRotation)
                elsewhere.push_back(node.get());
        }
        if (rotating.empty())
            rotating = elsewhere.empty() ? home : elsewhere;
        else if (rotating.size() * 2 < home.size())
            rotating = home;
        Node *best = nullptr;
        std::uint64_t bestRank = 0;
        for (Node *candidate : rotating) {
            std::uint64_t rank = 0xCBF29CE484222325ull;
            for (const std::uint64_t part :
                 { std::uint64_t(key.first.ip), std::uint64_t(key.first.port),
                   std::uint64_t(key.second.ip), std::uint64_t(key.second.port),
                   std::uint64_t(candidate->ip) }) {
                rank = (rank ^ part) * 0xD6E8FEB86659FD93ull;
                rank ^= rank >> 32;
            }
            if (best == nullptr || rank > bestRank) {
                best = candidate;
                bestRank = rank;
            }
        }
        return best;
    }

    // Writes the first configuration, or a later one.
    void publish(std::uint64_t version, const std::map<Address, std::string> &routes,
                 double warmupPerSecond = 0.0)
    {
        json routeList = json::array(), serviceList = json::array();
        std::set<std::string> services;
        for (const auto &[address, service] : routes) {
            routeList.push_back({ { "name", "r-" + std::to_string(address.port) },
                                  { "host", ipText(address.ip) },
                                  { "path_prefix", "/" + std::to_string(address.port) + "/" },
                                  { "kind", "non_idempotent" },
                                  { "timeout_ms", 2000 },
                                  { "target_latency_ms", 300 },
                                  { "priority", 1 },
                                  { "service", service },
                                  { "max_attempts", 2 } });
            services.insert(service);
        }
        for (const std::string &service : services)
            serviceList.push_back({ { "name", service },
                                    { "health_path", "/healthz" },
                                    { "max_conns", 2000 },
                                    { "protocol", "h1" },
                                    { "tls", false },
                                    { "warmup_s", 2.0 },
                                    { "warmup_per_s", warmupPerSecond } });
        this->store.write("config", "main",
                          { { "version", version },
                            { "routes", routeList },
                            { "services", serviceList },
                            { "limits",
                              { { "max_header_bytes", 16384 },
                                { "max_body_bytes", 262144 },
                                { "header_timeout_ms", 3000 },
                                { "idle_timeout_ms", 15000 } } } });
        this->note("operator version=" + std::to_string(version) + " acknowledged");
    }

    // Steps everything until the time; calls each action when its time has come.
    void run(Milliseconds until)
    {
        while (this->now() < until) {
            {
                const std::scoped_lock lock(this->mutex);
                for (const auto &backend : this->backends)
                    backend->step();
                for (const auto &client : this->clients)
                    client->step();
            }
            std::this_thread::sleep_for(std::chrono::microseconds(500));
            for (const auto &node : this->nodes) {
                int status = 0;
                if (node->process > 0
                    && ::waitpid(node->process, &status, WNOHANG) == node->process) {
                    node->process = -1;
                    this->ends.push_back(node->name + " status " + std::to_string(status));
                    this->note("node " + node->name + " ended, status " + std::to_string(status));
                }
            }
        }
    }
    // Waits until all balancers are in rotation.
    void waitUntilReady(Milliseconds atMost)
    {
        while (this->now() < atMost) {
            this->run(this->now() + 100);
            if (std::all_of(this->nodes.begin(), this->nodes.end(), [](const auto &node) {
                    return node->role != "balancer" || node->isInRotation;
                }))
                return;
        }
        cannotRun("the balancers do not become ready");
    }
    void finish()
    {
        if (this->isFinished.exchange(true))
            return;
        for (const auto &node : this->nodes) {
            if (node->process > 0) {
                ::kill(node->process, SIGCONT);
                ::kill(node->process, SIGKILL);
                ::waitpid(node->process, nullptr, 0);
            }
        }
        if (this->prober.joinable())
            this->prober.join();
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(this->folder);
        else
            std::cerr << "logs: " << this->folder << '\n';
    }
    // The result line goes to the record and to standard output. Ends the program.
    [[noreturn]] void conclude(int status, const std::string &line)
    {
        this->note("result " + line);
        std::cout << line << '\n' << std::flush;
        this->finish();
        this->record.flush();
        std::_Exit(status);
    }

    std::recursive_mutex mutex;
    Store store;
    std::vector<std::uint32_t> seeds; // machines of up to three balancers
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Backend>> backends;
    std::vector<std::unique_ptr<Client>> clients;
    std::map<std::string, std::shared_ptr<Request>> sent; // by id
    std::vector<std::string> ends; // nodes that ended by themselves
    std::uint64_t unasked = 0; // packets at backends or clients that their senders did not write so
    bool isTroubled = true;
    std::ofstream record;
    std::mt19937_64 random;

private:
    void probe()
    {
        while (!this->isFinished) {
            for (const auto &node : this->nodes) {
                if (node->role != "balancer")
                    continue;
                const bool isReady =
                        callHttp({ node->ip, this->readinessPort() }, "GET", "/v1/readyz", "")
                        == 200;
                const std::scoped_lock lock(this->mutex);
                node->misses = isReady ? 0 : node->misses + 1;
                if (isReady)
                    node->isInRotation = true;
                else if (node->misses >= 2)
                    node->isInRotation = false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(480));
        }
    }

    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    std::mutex recordMutex;
    std::string folder;
    std::uint32_t network = 0;
    std::uint16_t base = 0;
    std::unique_ptr<HttpHost> storeHost;
    std::thread prober;
    std::atomic<bool> isFinished = false;
};

// ---------------------------------------------------------------- backends

inline Backend::Backend(World &owner, BackendOptions backendOptions)
    : world(owner)
    , options(std::move(backendOptions))
    , beats([this] { this->beat(); })
{ }

inline Backend::~Backend()
{
    this->isClosing = true;
    this->beats.join();
}

inline void Backend::start(const std::string &id, Milliseconds firstHeartbeatAfter)
{
    const std::scoped_lock lock(this->world.mutex);
    this->run = std::make_unique<BackendRun>();
    this->run->id = id;
    this->run->born = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
    this->run->startedAt = this->world.now();
    this->udp = openSocket(SOCK_DGRAM, this->options.app);
    fcntl(this->udp, F_SETFL, O_NONBLOCK);
    this->health = std::make_unique<HttpHost>(this->options.app,
                                              [](const HttpMessage &) { return HttpReply{ 200 }; });
    this->nextBeat = this->world.now() + firstHeartbeatAfter;
    this->world.note("backend " + this->options.name + " run " + id + " started, born "
                     + std::to_string(this->run->born));
}

inline void Backend::crash()
{
    std::unique_ptr<HttpHost> host;
    {
        const std::scoped_lock lock(this->world.mutex);
        if (!this->run)
            return;
        this->world.note("backend " + this->options.name + " run " + this->run->id + " crashed");
        this->run.reset();
        ::close(this->udp);
        this->udp = -1;
        host = std::move(this->health);
    }
    host->close();
}

inline json Backend::heartbeatBody()
{
    const std::scoped_lock lock(this->world.mutex);
    return { { "service", this->options.service },
             { "address", text(this->options.app) },
             { "zone", this->options.zone },
             { "version", "v1" },
             { "concurrency", 9 },
             { "state", this->run->isDraining ? "draining" : "ready" },
             { "warmup_left_ms", std::max<Milliseconds>(0, this->coldUntil - this->world.now()) },
             { "born", this->run->born },
             { "sequence", ++this->run->sequence } };
}

inline void Backend::beat()
{
    while (!this->isClosing) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        std::string id, body;
        bool isDraining = false;
        {
            const std::scoped_lock lock(this->world.mutex);
            if (!this->run || !this->sendsHeartbeats || this->world.now() < this->nextBeat)
                continue;
            body = this->heartbeatBody().dump();
            id = this->run->id;
            isDraining = this->run->isDraining;
            this->nextBeat = this->world.now() + this->options.heartbeatEvery;
        }
        const int status =
                callHttp(this->options.control, "POST", "/v1/instances/" + id + "/heartbeat", body);
        const std::scoped_lock lock(this->world.mutex);
        this->world.note("heartbeat " + id + (isDraining ? " draining" : " ready") + " answered "
                         + std::to_string(status));
        if (this->run && this->run->id == id && status / 100 == 2 && isDraining
            && this->run->drainAckedAt < 0)
            this->run->drainAckedAt = this->world.now();
    }
}

inline void Backend::send(const std::string &bytes)
{
    const sockaddr_in to = toSockaddr(this->options.outbound);
    ::sendto(this->udp, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&to),
             sizeof to);
}

inline Packet Backend::answerTo(const Packet &packet, const BackendRun::Flow &flow,
                                std::uint8_t flags) const
{
    Packet answer;
    answer.flags = flags;
    answer.source = packet.destination;
    answer.destination = packet.source;
    answer.seq = flow.next;
    answer.ack = flow.expected;
    return answer;
}

inline void Backend::step()
{
    if (!this->run)
        return;
    char bytes[2048];
    for (;;) {
        const ssize_t count = ::recv(this->udp, bytes, sizeof bytes, MSG_DONTWAIT);
        if (count < 0)
            break;
        const std::string datagram(bytes, std::size_t(count));
        const auto packet = decode(datagram);
        if (!packet || !packet->isIntact || packet->pad != 0 || packet->has(flagBounced)) {
            ++this->world.unasked;
            this->world.note("UNASKED packet at " + this->options.name);
            continue;
        }
        this->onPacket(*packet, datagram);
    }
    const Milliseconds now = this->world.now();
    for (auto &[key, flow] : this->run->flows) {
        while (!flow.due.empty() && flow.due.front().first <= now) {
            Packet answer = flow.due.front().second;
            flow.due.pop_front();
            answer.seq = flow.next;
            answer.ack = flow.expected;
            flow.next += std::uint32_t(answer.data.size());
            if (this->run->isDraining) {
                answer.flags |= flagFin;
                flow.isEnded = true;
            }
            flow.lastAnswer = encode(answer);
            flow.lastAnswerEnd = flow.next;
            flow.isAcknowledged = false;
            flow.repeats = 0;
            flow.repeatAfter = 200;
            flow.repeatAt = now + flow.repeatAfter;
            this->send(flow.lastAnswer);
        }
        if (!flow.isAcknowledged && now >= flow.repeatAt && flow.repeats < 8) {
            ++flow.repeats;
            flow.repeatAfter = std::min<Milliseconds>(1600, flow.repeatAfter * 2);
            flow.repeatAt = now + flow.repeatAfter;
            this->send(flow.lastAnswer);
        }
    }
}

inline void Backend::onPacket(const Packet &packet, std::string bytes)
{
    const FlowKey key{ packet.source, packet.destination };
    auto found = this->run->flows.find(key);
    if (packet.has(flagSyn)) {
        if (packet.has(flagAck)) {
            ++this->world.unasked;
            this->world.note("UNASKED SYN+ACK at " + this->options.name);
            return;
        }
        if (found != this->run->flows.end() && found->second.isEnded) {
            this->run->flows.erase(found); // a later flow from the same port
            found = this->run->flows.end();
        }
        if (found == this->run->flows.end()) {
            BackendRun::Flow flow;
            flow.isn = std::uint32_t(this->world.random());
            flow.next = flow.isn + 1;
            flow.expected = packet.seq + 1;
            found = this->run->flows.emplace(key, flow).first;
            this->openings.push_back(this->world.now());
        }
        Packet answer = this->answerTo(packet, found->second, flagSyn | flagAck);
        answer.seq = found->second.isn;
        answer.ack = packet.seq + 1;
        this->send(encode(answer));
        return;
    }
    const bool isHeld = found != this->run->flows.end()
                        && (found->second.isOpen || packet.ack == found->second.isn + 1);
    if (!isHeld) {
        bytes[0] = char(std::uint8_t(bytes[0]) | flagBounced);
        bytes[1] = 0;
        this->send(bytes);
        return;
    }
    BackendRun::Flow &flow = found->second;
    if (!flow.isOpen) {
        flow.isOpen = true;
        flow.openedAt = this->world.now();
    }
    if (packet.has(flagRst)) {
        this->run->flows.erase(found);
        return;
    }
    if (!flow.isAcknowledged && packet.ack == flow.lastAnswerEnd)
        flow.isAcknowledged = true;
    if (flow.isEnded && !packet.data.empty()) {
        flow.sentReset = true;
        this->send(encode(this->answerTo(packet, flow, flagRst)));
        return;
    }
    if (packet.has(flagFin)) {
        flow.isEnded = true;
        Packet answer = this->answerTo(packet, flow, flagAck | flagFin);
        answer.ack = packet.seq + 1;
        this->send(encode(answer));
        return;
    }
    if (!packet.data.empty())
        this->onData(flow, packet);
}

inline void Backend::onData(BackendRun::Flow &flow, const Packet &packet)
{
    if (packet.seq != flow.expected) {
        // A repeated request. The answer is in work, or repeated by itself.
        if (!flow.due.empty())
            this->send(encode(this->answerTo(packet, flow, flagAck)));
        return;
    }
    flow.expected += std::uint32_t(packet.data.size());
    const std::string id = packet.data.substr(0, packet.data.find(' '));
    const auto request = this->world.sent.find(id);
    if (request == this->world.sent.end()) {
        ++this->world.unasked;
        this->world.note("UNASKED request " + id);
        return;
    }
    request->second->runs.push_back(this->run->id);
    this->world.note("run " + id + " at " + this->run->id);
    Packet answer = this->answerTo(packet, flow, flagAck);
    answer.data = "done " + id + ' ' + std::string(600, 'x');
    flow.due.emplace_back(this->world.now() + this->options.work, answer);
}

// ---------------------------------------------------------------- clients

inline Client::Client(World &owner, ClientOptions clientOptions)
    : world(owner)
    , options(std::move(clientOptions))
    , udp(openSocket(SOCK_DGRAM, { this->options.ip, owner.packetPort() }))
{ }

inline std::shared_ptr<ClientFlow> Client::open()
{
    auto flow = std::make_shared<ClientFlow>();
    flow->key = { { this->options.ip, this->nextPort++ }, this->options.route };
    flow->isn = std::uint32_t(this->world.random());
    flow->next = flow->isn + 1;
    flow->begunAt = this->world.now();
    flow->nextRequestAt = flow->begunAt;
    this->flows.push_back(flow);
    return flow;
}

inline void Client::send(const ClientFlow &flow, const std::string &bytes)
{
    const Node *balancer = this->world.routed(this->options.zone, flow.key);
    if (balancer == nullptr)
        return;
    const sockaddr_in to = toSockaddr({ balancer->ip, this->world.packetPort() });
    ::sendto(this->udp, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&to),
             sizeof to);
}

inline void Client::end(ClientFlow &flow, const std::string &how)
{
    flow.state = ClientFlow::State::Ended;
    flow.ending = how;
    flow.endedAt = this->world.now();
    if (how != "done")
        this->world.note("flow " + text(flow.key.first) + " ended: " + how
                         + (flow.request ? " while waiting for " + flow.request->id : ""));
}

inline void Client::ask(ClientFlow &flow)
{
    const Milliseconds now = this->world.now();
    auto request = std::make_shared<Request>();
    request->id = "q" + std::to_string(this->world.sent.size() + 1);
    request->mayRepeat = this->options.mayRepeat;
    request->sentAt = now;
    this->world.sent[request->id] = request;
    this->requests.push_back(request);
    flow.request = request;
    ++flow.requests;
    Packet packet;
    packet.flags = flagAck;
    packet.source = flow.key.first;
    packet.destination = flow.key.second;
    packet.seq = flow.next;
    packet.ack = flow.expected;
    packet.data = request->id + ' ' + std::string(300, 'r');
    flow.next += std::uint32_t(packet.data.size());
    flow.lastAck = packet.ack;
    flow.packet = encode(packet);
    flow.repeatAfter = 200;
    flow.repeatAt = now + flow.repeatAfter;
    flow.deadline = now + this->options.deadline;
    this->world.note("sent " + request->id + " on " + text(flow.key.first));
    this->send(flow, flow.packet);
}

inline void Client::advance(ClientFlow &flow)
{
    const Milliseconds now = this->world.now();
    if (flow.state == ClientFlow::State::Opening) {
        static constexpr std::array<Milliseconds, 3> copiesAt = { 0, 200, 600 };
        if (now - flow.begunAt >= 1400) {
            this->end(flow, "not opened");
        } else if (flow.copies < 3 && now - flow.begunAt >= copiesAt[std::size_t(flow.copies)]) {
            Packet packet;
            packet.flags = flagSyn;
            packet.source = flow.key.first;
            packet.destination = flow.key.second;
            packet.seq = flow.isn;
            packet.ack = std::uint32_t(flow.copies++);
            this->send(flow, encode(packet));
        }
        return;
    }
    if (flow.state != ClientFlow::State::Open)
        return;
    if (flow.request) {
        if (now >= flow.deadline) {
            this->end(flow, "deadline");
        } else if (now >= flow.repeatAt) {
            flow.repeatAfter = std::min<Milliseconds>(1600, flow.repeatAfter * 2);
            flow.repeatAt = now + flow.repeatAfter;
            this->send(flow, flow.packet);
        }
    } else if (now >= flow.nextRequestAt && this->isActive) {
        this->ask(flow);
    }
}

inline void Client::step()
{
    char bytes[2048];
    for (;;) {
        const ssize_t count = ::recv(this->udp, bytes, sizeof bytes, MSG_DONTWAIT);
        if (count < 0)
            break;
        if (const auto packet = decode(std::string(bytes, std::size_t(count))))
            this->onPacket(*packet);
    }
    const Milliseconds now = this->world.now();
    if (this->isActive) {
        const auto isLive = [](const auto &f) { return f->state != ClientFlow::State::Ended; };
        if (this->options.longFlows > 0
            && std::size_t(std::count_if(this->flows.begin(), this->flows.end(), isLive))
                       < this->options.longFlows)
            this->open();
        if (this->options.freshEvery > 0 && now >= this->nextFresh) {
            this->nextFresh = now + this->options.freshEvery;
            this->open();
        }
    }
    for (std::size_t i = 0; i < this->flows.size(); ++i)
        this->advance(*this->flows[i]);
}

inline void Client::onPacket(const Packet &packet)
{
    const auto found = std::find_if(this->flows.rbegin(), this->flows.rend(), [&](const auto &f) {
        return f->key.first == packet.destination && f->key.second == packet.source;
    });
    if (!packet.isIntact && !packet.isSystemReset()) {
        ++this->world.unasked;
        this->world.note("MIXED packet at a client");
        return;
    }
    if (found == this->flows.rend() || (*found)->state == ClientFlow::State::Ended)
        return;
    ClientFlow &flow = **found;
    if (packet.has(flagRst)) {
        const bool isClose = std::uint32_t(packet.seq - flow.lastAck + 76800) <= 2 * 76800;
        if (flow.state == ClientFlow::State::Open && packet.isSystemReset() && !isClose)
            return;
        flow.resetSeq = packet.seq;
        this->end(flow, packet.isSystemReset() ? "reset by the system" : "reset by the backend");
        return;
    }
    if (flow.state == ClientFlow::State::Opening) {
        if (!packet.has(flagSyn) || packet.ack != flow.isn + 1)
            return;
        flow.state = ClientFlow::State::Open;
        flow.openedAt = this->world.now();
        flow.expected = packet.seq + 1;
        flow.lastAck = flow.expected;
        this->ask(flow);
        return;
    }
    if (packet.data.empty() || packet.seq != flow.expected || !flow.request)
        return;
    flow.expected += std::uint32_t(packet.data.size());
    flow.request->answeredAt = this->world.now();
    this->world.note("answered " + flow.request->id);
    flow.request.reset();
    Packet ack;
    ack.flags = flagAck;
    ack.source = flow.key.first;
    ack.destination = flow.key.second;
    ack.seq = flow.next;
    ack.ack = flow.lastAck = flow.expected;
    if (packet.has(flagFin) || this->options.longFlows == 0)
        ack.flags |= flagFin;
    this->send(flow, encode(ack));
    if ((ack.flags & flagFin) != 0)
        this->end(flow, "done");
    else
        flow.nextRequestAt = this->world.now() + this->options.pause;
}

// Counts the breaks of FLOW (a): a reset that the flow's backend did not send, while it lives and
// holds the flow.
struct FlowBreaks
{
    std::size_t opened = 0, resets = 0, withRequest = 0;
};
inline FlowBreaks countFlowBreaks(World &world)
{
    FlowBreaks result;
    for (const auto &client : world.clients) {
        for (const auto &flow : client->flows) {
            result.opened += flow->openedAt >= 0 ? 1 : 0;
            if (flow->ending != "reset by the system")
                continue;
            for (const auto &backend : world.backends) {
                if (backend->current() == nullptr)
                    continue;
                const auto held = backend->current()->flows.find(flow->key);
                if (held == backend->current()->flows.end() || !held->second.isOpen
                    || held->second.sentReset)
                    continue;
                ++result.resets;
                result.withRequest += flow->request ? 1 : 0;
                world.note("FLOW " + text(flow->key.first) + " reset at "
                           + std::to_string(flow->endedAt) + ", open at " + backend->current()->id
                           + " since " + std::to_string(held->second.openedAt));
            }
        }
    }
    return result;
}

inline std::size_t countAnswered(const World &world)
{
    std::size_t answered = 0;
    for (const auto &[id, request] : world.sent)
        answered += request->answeredAt >= 0 ? 1 : 0;
    return answered;
}

} // namespace review

#endif // CACTUSDECK_REVIEW_WORLD_H

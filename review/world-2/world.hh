#ifndef REVIEW_WORLD_2_WORLD_HH
#define REVIEW_WORLD_2_WORLD_HH

// A small deployment on loopback for the review's scripts: the platform's store, its routers and
// supervisor, backends and clients, as PROTOCOL.md and DEPLOY.md describe them. The balancers and
// agents are the project's program, started as processes.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace world {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline std::int64_t nowMs()
{
    static const auto start = Clock::now();
    return std::chrono::duration_cast<Ms>(Clock::now() - start).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
            .count();
}

// What was sent, answered and run.
class Record
{
public:
    void open(const std::string &path) { this->file = std::fopen(path.c_str(), "w"); }
    ~Record()
    {
        if (this->file != nullptr)
            std::fclose(this->file);
    }
    __attribute__((format(printf, 2, 3))) void add(const char *format, ...)
    {
        char text[600];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        std::lock_guard lock(this->mutex);
        if (this->file == nullptr)
            return;
        std::fprintf(this->file, "%8.3f %s\n", double(nowMs()) / 1000, text);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    std::FILE *file = nullptr;
};
inline Record record;

// ---------------------------------------------------------------- addresses

struct Endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    auto operator<=>(const Endpoint &) const = default;
};

inline std::string hostOf(std::uint32_t address)
{
    const in_addr value{ htonl(address) };
    char text[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &value, text, sizeof text);
    return text;
}

inline std::string toString(Endpoint endpoint)
{
    return hostOf(endpoint.address) + ":" + std::to_string(endpoint.port);
}

inline sockaddr_in toAddress(Endpoint endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

// A network of its own below 127/8, with ports that are the same on all of its machines.
struct Network
{
    std::uint32_t base = 0;
    std::uint16_t ports = 0;

    Network()
    {
        std::mt19937 random{ std::random_device{}() };
        for (int attempt = 0; attempt < 100; ++attempt) {
            this->base = (127u << 24) | (std::uint32_t(20 + random() % 200) << 16)
                         | (std::uint32_t(1 + random() % 250) << 8);
            this->ports = std::uint16_t(20000 + random() % 9000);
            if (this->isFree())
                return;
        }
    }
    bool isFree() const
    {
        for (std::uint16_t i = 0; i < 8; ++i) {
            for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
                const int probe = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
                const sockaddr_in address =
                        toAddress({ this->base + 1, std::uint16_t(this->ports + i) });
                const bool isBound =
                        ::bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                        == 0;
                ::close(probe);
                if (!isBound)
                    return false;
            }
        }
        return true;
    }
    Endpoint at(std::uint32_t host, int port) const
    {
        return { this->base + host, std::uint16_t(this->ports + port) };
    }
};

enum Port { mesh, packets, readiness, control, app, outbound, store, proxy };

// ---------------------------------------------------------------- TCP and HTTP

inline int listenOn(Endpoint endpoint)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = toAddress(endpoint);
    if (::bind(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(handle, 128) != 0) {
        std::perror(toString(endpoint).c_str());
        std::exit(2);
    }
    return handle;
}

// Returns -1 if the connection is refused or takes too long.
inline int connectTo(Endpoint endpoint, int timeoutMs)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = toAddress(endpoint);
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        pollfd wait{ handle, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&wait, 1, timeoutMs) != 1
            || ::getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(handle);
            return -1;
        }
    }
    ::fcntl(handle, F_SETFL, 0);
    return handle;
}

inline bool sendAll(int handle, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(handle, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += std::size_t(count);
    }
    return true;
}

struct HttpMessage
{
    std::string first; // request or status line
    std::string body;
};

// Reads one message. Returns nullopt if the peer closes early or the time is over.
inline std::optional<HttpMessage> readHttp(int handle, int timeoutMs)
{
    std::string text;
    const auto until = Clock::now() + Ms(timeoutMs);
    std::size_t head = std::string::npos;
    std::size_t length = 0;
    while (true) {
        if (head == std::string::npos && (head = text.find("\r\n\r\n")) != std::string::npos) {
            std::string lower = text.substr(0, head);
            for (char &c : lower)
                c = char(std::tolower(c));
            const std::size_t field = lower.find("content-length:");
            length = field == std::string::npos ? 0 : std::strtoul(&lower[field + 15], nullptr, 10);
        }
        if (head != std::string::npos && text.size() >= head + 4 + length)
            return HttpMessage{ text.substr(0, text.find("\r\n")), text.substr(head + 4, length) };
        const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
        pollfd wait{ handle, POLLIN, 0 };
        if (left <= 0 || ::poll(&wait, 1, int(left)) != 1)
            return std::nullopt;
        char buffer[65536];
        const ssize_t count = ::recv(handle, buffer, sizeof buffer, 0);
        if (count <= 0)
            return std::nullopt;
        text.append(buffer, std::size_t(count));
    }
}

inline std::string requestText(const std::string &method, const std::string &path,
                               const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns the status, 0 if there is no answer within the time.
inline int call(Endpoint to, const std::string &method, const std::string &path,
                const std::string &body = "", int timeoutMs = 1000)
{
    const int handle = connectTo(to, timeoutMs);
    if (handle < 0)
        return 0;
    int status = 0;
    if (sendAll(handle, requestText(method, path, body))) {
        if (const auto answer = readHttp(handle, timeoutMs))
            status = std::atoi(answer->first.substr(9).c_str());
    }
    ::close(handle);
    return status;
}

inline std::string responseText(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " status\r\nContent-Type: application/json\r\n"
           + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
           + body;
}

// Accepts connections until the program ends, each with a thread of its own.
inline void serve(Endpoint endpoint, std::function<void(int handle)> session)
{
    const int listener = listenOn(endpoint);
    std::thread([listener, session = std::move(session)] {
        while (true) {
            const int handle = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0)
                continue;
            std::thread([handle, session] {
                session(handle);
                ::close(handle);
            }).detach();
        }
    }).detach();
}

// ---------------------------------------------------------------- the platform's store

class Store
{
public:
    void start(Endpoint endpoint)
    {
        serve(endpoint, [this](int handle) {
            if (const auto request = readHttp(handle, 5000))
                sendAll(handle, this->answer(*request));
        });
    }
    void write(const std::string &kind, const std::string &name, const json &spec)
    {
        std::lock_guard lock(this->mutex);
        this->put(kind, name, spec);
        record.add("operator: %s/%s acknowledged at revision %ld", kind.c_str(), name.c_str(),
                   long(this->revision));
    }
    void remove(const std::string &kind, const std::string &name)
    {
        std::lock_guard lock(this->mutex);
        const json object = this->objects[kind][name];
        this->objects[kind].erase(name);
        this->events.push_back({ ++this->revision, kind, object, true });
        this->changed.notify_all();
        record.add("operator: %s/%s removed at revision %ld", kind.c_str(), name.c_str(),
                   long(this->revision));
    }

private:
    struct Event
    {
        std::int64_t revision;
        std::string kind;
        json object;
        bool isDeleted;
    };

    json put(const std::string &kind, const std::string &name, const json &spec)
    {
        const auto old = this->objects[kind].find(name);
        if (old != this->objects[kind].end() && old->second["spec"] == spec)
            return old->second;
        const json created =
                old == this->objects[kind].end() ? json(unixMs()) : old->second["meta"]["created"];
        const json object = { { "meta",
                                { { "name", name },
                                  { "revision", ++this->revision },
                                  { "created", created },
                                  { "finalizers", json::array() },
                                  { "deleting", false } } },
                              { "spec", spec },
                              { "status", nullptr } };
        this->objects[kind][name] = object;
        this->events.push_back({ this->revision, kind, object, false });
        this->changed.notify_all();
        return object;
    }

    std::string answer(const HttpMessage &request)
    {
        const std::size_t space = request.first.find(' ');
        const std::string method = request.first.substr(0, space);
        std::string path = request.first.substr(space + 1);
        path = path.substr(0, path.find(' '));
        const std::size_t mark = path.find('?');
        const std::string query = mark == std::string::npos ? "" : path.substr(mark + 1);
        path = path.substr(0, mark);
        const std::string prefix = "/v1/objects/";
        if (path.rfind(prefix, 0) != 0)
            return responseText(404, "{}");
        path = path.substr(prefix.size());
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        const auto parameter = [&](const std::string &key) -> std::int64_t {
            const std::size_t at = ("&" + query).find("&" + key + "=");
            return at == std::string::npos ? -1 : std::atoll(&query[at + key.size() + 1]);
        };
        std::unique_lock lock(this->mutex);
        std::this_thread::sleep_for(Ms(2));
        if (method == "GET" && name.empty() && parameter("watch") >= 0)
            return this->watch(lock, kind, parameter("watch"), parameter("wait_ms"));
        if (method == "GET" && name.empty()) {
            json items = json::array();
            for (const auto &[key, object] : this->objects[kind])
                items.push_back(object);
            return responseText(
                    200,
                    json{ { "items", items }, { "truncated", false }, { "as_of", this->revision } }
                            .dump());
        }
        const auto &known = this->objects[kind];
        if (method == "GET") {
            const auto object = known.find(name);
            return object == known.end() ? responseText(404, "{}")
                                         : responseText(200, object->second.dump());
        }
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return responseText(400, "{}");
        if (method == "POST") {
            name = body["meta"]["name"];
            if (const auto object = known.find(name); object != known.end())
                return responseText(409, object->second.dump());
            return responseText(201, this->put(kind, name, body["spec"]).dump());
        }
        if (method == "PUT") {
            const auto object = known.find(name);
            if (object == known.end())
                return responseText(404, "{}");
            if (body.contains("meta") && body["meta"].contains("revision")
                && body["meta"]["revision"] != object->second["meta"]["revision"])
                return responseText(409, object->second.dump());
            return responseText(200, this->put(kind, name, body["spec"]).dump());
        }
        return responseText(405, "{}");
    }

    std::string watch(std::unique_lock<std::mutex> &lock, const std::string &kind,
                      std::int64_t since, std::int64_t waitMs)
    {
        const auto until = Clock::now() + Ms(std::max<std::int64_t>(0, waitMs));
        while (true) {
            json found = json::array();
            for (const Event &event : this->events) {
                if (event.kind == kind && event.revision > since)
                    found.push_back({ { "object", event.object }, { "deleted", event.isDeleted } });
            }
            if (!found.empty() || this->changed.wait_until(lock, until) == std::cv_status::timeout)
                return responseText(
                        200, json{ { "events", found }, { "as_of", this->revision } }.dump());
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::int64_t revision = 100;
    std::map<std::string, std::map<std::string, json>> objects;
    std::vector<Event> events;
};

// ---------------------------------------------------------------- packets

constexpr std::uint8_t syn = 2, ack = 8, fin = 16, bounced = 64, rst = 128;

struct Packet
{
    std::uint8_t flags = 0;
    Endpoint from, to; // as in the head
    std::uint32_t sequence = 0, acknowledgement = 0, sum = 0;
    std::string data;
    bool isIntact = false; // the sum is that of the sender
};

inline std::uint32_t sumOf(std::vector<std::uint8_t> bytes)
{
    bytes[0] &= std::uint8_t(~bounced);
    bytes[1] = 0;
    std::memset(&bytes[24], 0, 8);
    std::uint64_t sum = 0xCBF29CE484222325ull ^ 0x7E57'0002'BEEF'1234ull;
    for (const std::uint8_t byte : bytes)
        sum = (sum ^ byte) * 0x100000001B3ull;
    const auto folded = std::uint32_t(sum ^ (sum >> 32));
    return folded == 0 ? 1 : folded;
}

inline std::vector<std::uint8_t> encode(const Packet &packet)
{
    std::vector<std::uint8_t> bytes(32 + packet.data.size());
    const auto put = [&](std::size_t at, std::uint32_t value, int size) {
        for (int i = 0; i < size; ++i)
            bytes[at + std::size_t(i)] = std::uint8_t(value >> (8 * (size - 1 - i)));
    };
    put(0, packet.flags, 1);
    put(2, packet.to.address, 4);
    put(6, packet.from.port, 2);
    put(8, packet.from.address, 4);
    put(12, packet.to.port, 2);
    put(14, std::uint32_t(packet.data.size()), 2);
    put(16, packet.sequence, 4);
    put(20, packet.acknowledgement, 4);
    std::memcpy(bytes.data() + 32, packet.data.data(), packet.data.size());
    put(24, sumOf(bytes), 4);
    return bytes;
}

inline std::optional<Packet> decode(const std::vector<std::uint8_t> &bytes)
{
    if (bytes.size() < 32)
        return std::nullopt;
    const auto get = [&](std::size_t at, int size) {
        std::uint32_t value = 0;
        for (int i = 0; i < size; ++i)
            value = (value << 8) | bytes[at + std::size_t(i)];
        return value;
    };
    if (get(14, 2) != bytes.size() - 32)
        return std::nullopt;
    Packet packet{ .flags = bytes[0],
                   .from = { get(8, 4), std::uint16_t(get(6, 2)) },
                   .to = { get(2, 4), std::uint16_t(get(12, 2)) },
                   .sequence = get(16, 4),
                   .acknowledgement = get(20, 4),
                   .sum = get(24, 4),
                   .data = std::string(bytes.begin() + 32, bytes.end()) };
    packet.isIntact = packet.sum == sumOf(bytes);
    return packet;
}

class UdpSocket
{
public:
    explicit UdpSocket(Endpoint endpoint)
    {
        this->handle = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in address = toAddress(endpoint);
        if (::bind(this->handle, reinterpret_cast<const sockaddr *>(&address), sizeof address)
            != 0) {
            std::perror(toString(endpoint).c_str());
            std::exit(2);
        }
    }
    UdpSocket(const UdpSocket &) = delete;
    ~UdpSocket() { ::close(this->handle); }
    void send(Endpoint to, const std::vector<std::uint8_t> &bytes)
    {
        const sockaddr_in address = toAddress(to);
        ::sendto(this->handle, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                 reinterpret_cast<const sockaddr *>(&address), sizeof address);
    }
    std::optional<std::vector<std::uint8_t>> receive()
    {
        std::vector<std::uint8_t> bytes(2048);
        const ssize_t size = ::recv(this->handle, bytes.data(), bytes.size(), 0);
        if (size < 0)
            return std::nullopt;
        bytes.resize(std::size_t(size));
        return bytes;
    }

private:
    int handle = -1;
};

// ---------------------------------------------------------------- backends

struct Beat
{
    std::string instance, service, zone, state = "ready";
    Endpoint address;
    std::int64_t born = 0, sequence = 0;

    json body() const
    {
        return { { "service", this->service },  { "address", toString(this->address) },
                 { "zone", this->zone },        { "version", "v1" },
                 { "concurrency", 9 },          { "state", this->state },
                 { "warmup_left_ms", 0 },       { "born", this->born },
                 { "sequence", this->sequence } };
    }
    std::string path() const { return "/v1/instances/" + this->instance + "/heartbeat"; }
};

struct FlowKey
{
    Endpoint client, route;
    auto operator<=>(const FlowKey &) const = default;
};

class Backend
{
public:
    struct Options
    {
        std::string name, service, zone;
        std::uint32_t host = 0;
        int heartbeatMs = 1200;
        int workMs = 20;
        // The first call is sent here; the later ones go to the control address.
        std::optional<Endpoint> firstCallTo;
    };

    Backend(const Network &net, Options backendOptions)
        : options(std::move(backendOptions))
        , appAddress(net.at(options.host, Port::app))
        , outboundAddress(net.at(options.host, Port::outbound))
        , controlAddress(net.at(options.host, Port::control))
        , socket(appAddress)
    {
        this->beat = { .instance = "i-" + this->options.name,
                       .service = this->options.service,
                       .zone = this->options.zone,
                       .address = this->appAddress,
                       .born = unixMs() };
        serve(this->appAddress, [this](int handle) {
            if (readHttp(handle, 2000))
                sendAll(handle, responseText(this->isDraining ? 503 : 200, "{}"));
        });
        this->thread = std::thread([this] { this->sendBeats(); });
    }
    ~Backend()
    {
        this->isClosing = true;
        this->thread.join();
    }

    void drain() { this->isDraining = true; }
    std::int64_t drainAckedAt() const { return this->ackedDrain; }
    Beat lastBeat() const
    {
        std::lock_guard lock(this->mutex);
        return this->beat;
    }
    bool hasOpen(const FlowKey &key) const
    {
        const auto flow = this->flows.find(key);
        return flow != this->flows.end() && flow->second.isOpen && !flow->second.hasEnded;
    }
    const std::string &name() const { return this->options.name; }
    const std::string &zone() const { return this->options.zone; }

    std::function<void(const FlowKey &)> onOpened; // the end of a handshake has arrived
    std::function<void(const FlowKey &)> onOpening; // took an opening packet
    // Any packet of a flow, and whether this backend holds the flow.
    std::function<void(const FlowKey &, bool isHeld)> onPacket;

    void step()
    {
        while (const auto bytes = this->socket.receive())
            this->handle(*bytes);
        const std::int64_t now = nowMs();
        for (auto &[key, flow] : this->flows) {
            if (flow.dueAt != 0 && now >= flow.dueAt) {
                flow.dueAt = 0;
                flow.answer = "200 " + flow.request + " by " + this->options.name;
                record.add("%s ran request %s", this->options.name.c_str(), flow.request.c_str());
                flow.repeatAt = now;
                flow.repeats = 0;
            }
            if (!flow.answer.empty() && flow.repeatAt <= now && flow.repeats <= 8) {
                flow.repeatAt = now + std::min(1600, 200 << flow.repeats);
                ++flow.repeats;
                this->send(key, ack, flow.sent, flow.received, flow.answer);
            }
        }
    }

private:
    struct Flow
    {
        std::uint32_t opening = 0, first = 0; // initial numbers of the client and of this backend
        std::uint32_t received = 0, sent = 0;
        bool isOpen = false, hasEnded = false;
        std::string request, answer;
        std::int64_t dueAt = 0, repeatAt = 0;
        int repeats = 0;
    };

    void send(const FlowKey &key, std::uint8_t flags, std::uint32_t sequence,
              std::uint32_t acknowledgement, const std::string &data = "")
    {
        this->socket.send(this->outboundAddress, encode({ .flags = flags,
                                                          .from = key.route,
                                                          .to = key.client,
                                                          .sequence = sequence,
                                                          .acknowledgement = acknowledgement,
                                                          .data = data }));
    }

    void handle(const std::vector<std::uint8_t> &bytes)
    {
        const auto packet = decode(bytes);
        if (!packet || !packet->isIntact || (packet->flags & bounced) != 0) {
            record.add("%s got a packet that its sender didn't write so",
                       this->options.name.c_str());
            return;
        }
        const FlowKey key{ packet->from, packet->to };
        auto found = this->flows.find(key);
        if ((packet->flags & syn) != 0 && (packet->flags & ack) == 0) {
            if (found == this->flows.end() || found->second.opening != packet->sequence) {
                Flow flow;
                flow.opening = packet->sequence;
                flow.first = std::uint32_t(this->random());
                flow.received = packet->sequence + 1;
                flow.sent = flow.first + 1;
                found = this->flows.insert_or_assign(key, flow).first;
                if (this->onOpening)
                    this->onOpening(key);
            }
            this->send(key, syn | ack, found->second.first, packet->sequence + 1);
            return;
        }
        const bool isHeld =
                found != this->flows.end()
                && (found->second.isOpen || packet->acknowledgement == found->second.first + 1);
        if (this->onPacket)
            this->onPacket(key, isHeld);
        if (!isHeld) {
            std::vector<std::uint8_t> copy = bytes;
            copy[0] |= bounced;
            copy[1] = 0;
            this->socket.send(this->outboundAddress, copy);
            return;
        }
        Flow &flow = found->second;
        if (!flow.isOpen) {
            flow.isOpen = true;
            record.add("%s has flow %s", this->options.name.c_str(), toString(key.client).c_str());
            if (this->onOpened)
                this->onOpened(key);
        }
        if ((packet->flags & rst) != 0) {
            flow.hasEnded = true;
            return;
        }
        if (!flow.answer.empty()
            && packet->acknowledgement == flow.sent + std::uint32_t(flow.answer.size())) {
            flow.sent = packet->acknowledgement;
            flow.answer.clear();
        }
        if (packet->data.empty())
            return;
        if (packet->sequence == flow.received && flow.answer.empty()) {
            flow.received += std::uint32_t(packet->data.size());
            flow.request = packet->data;
            flow.dueAt = nowMs() + this->options.workMs;
        } else if (!flow.answer.empty()) {
            flow.repeatAt = std::min(flow.repeatAt, nowMs() + 5);
        } else {
            this->send(key, ack, flow.sent, flow.received);
        }
    }

    void sendBeats()
    {
        while (!this->isClosing) {
            const auto next = Clock::now() + Ms(this->options.heartbeatMs);
            Beat current;
            {
                std::lock_guard lock(this->mutex);
                ++this->beat.sequence;
                this->beat.state = this->isDraining ? "draining" : "ready";
                current = this->beat;
            }
            const bool isFirst = current.sequence == 1 && this->options.firstCallTo;
            const Endpoint to = isFirst ? *this->options.firstCallTo : this->controlAddress;
            if (isFirst) {
                this->sendAndLeaveOpen(to, current);
            } else {
                const int status = call(to, "POST", current.path(), current.body().dump());
                record.add("%s: heartbeat %ld (%s) answered with %d", this->options.name.c_str(),
                           long(current.sequence), current.state.c_str(), status);
                if (status / 100 == 2 && current.state == "draining" && this->ackedDrain == 0)
                    this->ackedDrain = nowMs();
            }
            while (!this->isClosing && Clock::now() < next)
                std::this_thread::sleep_for(Ms(5));
        }
    }

    // The call counts as failed after a second; the connection stays, and a late answer is ignored.
    void sendAndLeaveOpen(Endpoint to, const Beat &first)
    {
        const int handle = connectTo(to, 1000);
        if (handle >= 0)
            sendAll(handle, requestText("POST", first.path(), first.body().dump()));
        record.add("%s: heartbeat %ld (%s) sent, no answer within a second",
                   this->options.name.c_str(), long(first.sequence), first.state.c_str());
    }

    Options options;
    Endpoint appAddress, outboundAddress, controlAddress;
    UdpSocket socket;
    std::map<FlowKey, Flow> flows;
    std::mt19937 random{ std::random_device{}() };
    mutable std::mutex mutex;
    Beat beat;
    std::atomic<bool> isDraining = false, isClosing = false;
    std::atomic<std::int64_t> ackedDrain = 0;
    std::thread thread;
};

// ---------------------------------------------------------------- the project's processes

class Node
{
public:
    Node(const Network &network, std::string nodeRole, std::uint32_t nodeHost, std::string nodeZone,
         std::vector<std::uint32_t> seeds, std::string folder, std::string service)
        : net(network)
        , role(std::move(nodeRole))
        , host(nodeHost)
    {
        const auto at = [&](Port port) { return toString(this->net.at(this->host, port)); };
        json list = json::array();
        for (const std::uint32_t seed : seeds)
            list.push_back(toString(this->net.at(seed, Port::control)));
        // As rendered from deploy/balancer.json and deploy/agent.json.
        json settings = { { "id", this->role + "-" + std::to_string(this->host) },
                          { "zone", nodeZone },
                          { "address", hostOf(this->net.base + this->host) },
                          { "meshPort", this->net.ports + Port::mesh },
                          { "packets", at(Port::packets) },
                          { "control", at(Port::control) },
                          { "store", toString(this->net.at(2, Port::store)) },
                          { "seeds", list },
                          { "requestSchedulingMaxSlots", 2 } };
        if (this->role == "balancer") {
            settings["readiness"] = at(Port::readiness);
            settings["costPerKilobyteMicroseconds"] = 5000;
        } else {
            settings["service"] = service;
            settings["server"] = at(Port::app);
            settings["outbound"] = at(Port::outbound);
        }
        this->name = settings["id"];
        this->file = folder + "/" + this->name + ".json";
        this->log = folder + "/" + this->name + ".log";
        std::ofstream(this->file) << settings.dump(4) << '\n';
    }
    ~Node()
    {
        if (this->pid <= 0)
            return;
        ::kill(this->pid, SIGCONT);
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
    }

    void start()
    {
        record.add("%s starts", this->name.c_str());
        this->pid = ::fork();
        if (this->pid != 0)
            return;
        const int output = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        const std::string variable = "CACTUSDECK_CONFIG=" + this->file;
        char *environment[] = { const_cast<char *>(variable.c_str()), nullptr };
        const char *program = "target/cactusdeck-mesh";
        char *arguments[] = { const_cast<char *>(program), this->role.data(), nullptr };
        ::execve(program, arguments, environment);
        ::_exit(127);
    }
    void signal(int number, const char *what)
    {
        record.add("%s gets %s", this->name.c_str(), what);
        ::kill(this->pid, number);
    }
    // True if the process has ended by now.
    bool hasEnded()
    {
        int status = 0;
        if (this->pid <= 0 || ::waitpid(this->pid, &status, WNOHANG) != this->pid)
            return this->pid <= 0;
        record.add("%s has ended, status %d", this->name.c_str(), status);
        this->pid = -1;
        return true;
    }
    void probeReadiness()
    {
        const bool isUp =
                call(this->net.at(this->host, Port::readiness), "GET", "/v1/readyz", "", 400)
                == 200;
        this->misses = isUp ? 0 : this->misses + 1;
        if (isUp)
            this->isReady = true;
        else if (this->misses >= 2)
            this->isReady = false;
    }

    Network net;
    std::string role;
    std::uint32_t host;
    std::string name, file, log;
    pid_t pid = -1;
    int misses = 0;
    std::atomic<bool> isReady = false;
};

// ---------------------------------------------------------------- clients

class Deployment;

class Client
{
public:
    Client(Deployment &deployment, std::uint32_t host, std::uint16_t sport, Endpoint route);

    void open();
    void request(const std::string &id, int deadlineMs = 3000);
    void step();

    FlowKey key() const { return { this->self, this->route }; }
    bool isOpen() const { return this->state == State::Open; }
    bool isIdle() const { return this->pending.empty(); }
    bool wasReset() const { return this->state == State::Reset; }
    int answered() const { return this->answers; }
    int unanswered() const { return this->failures; }

    std::function<void(bool bySystem)> onReset; // of an open flow

private:
    enum class State { Closed, Opening, Open, Reset };

    void send(std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement,
              const std::string &data = "");
    void handle(const Packet &packet);

    Deployment &world;
    Endpoint self, route;
    UdpSocket socket;
    State state = State::Closed;
    std::uint32_t first = 0, sent = 0, received = 0, lastAck = 0;
    int copies = 0;
    std::int64_t nextAt = 0, deadline = 0, openedAt = 0;
    int backoff = 200;
    std::string pending;
    int answers = 0, failures = 0;
};

// ---------------------------------------------------------------- the deployment

class Deployment
{
public:
    struct Options
    {
        int balancers = 3;
        int agents = 3;
        std::vector<std::string> zones = { "za" }; // by turns
    };

    explicit Deployment(Options deploymentOptions)
        : options(std::move(deploymentOptions))
    {
        char path[] = "/tmp/review-XXXXXX";
        if (::mkdtemp(path) == nullptr)
            std::exit(2);
        this->folder = path;
        this->store.start(this->net.at(2, Port::store));
        this->store.write("config", "main", this->configuration());
        std::vector<std::uint32_t> seeds;
        for (int i = 0; i < std::min(3, this->options.balancers); ++i)
            seeds.push_back(std::uint32_t(10 + i));
        for (int i = 0; i < this->options.balancers; ++i)
            this->balancers.push_back(std::make_unique<Node>(this->net, "balancer",
                                                             std::uint32_t(10 + i), this->zoneOf(i),
                                                             seeds, this->folder, ""));
        for (int i = 0; i < this->options.agents; ++i)
            this->agents.push_back(std::make_unique<Node>(this->net, "agent", this->backendHost(i),
                                                          this->zoneOf(i), seeds, this->folder,
                                                          service));
    }
    ~Deployment()
    {
        this->isClosing = true;
        if (this->prober.joinable())
            this->prober.join();
        this->clients.clear();
        this->agents.clear();
        this->balancers.clear();
        this->backends.clear();
        // Kept for an inspection by hand.
        if (std::getenv("KEEP") == nullptr) {
            const std::string command = "rm -rf '" + this->folder + "'";
            if (std::system(command.c_str()) != 0)
                std::fprintf(stderr, "cannot remove %s\n", this->folder.c_str());
        }
    }

    static constexpr const char *service = "desk";
    Endpoint route() const { return { 0xC6120001u, 8443 }; } // 198.18.0.1
    std::uint32_t backendHost(int index) const { return std::uint32_t(50 + index); }
    std::string zoneOf(int index) const
    {
        return this->options.zones[std::size_t(index) % this->options.zones.size()];
    }
    json configuration() const
    {
        return { { "version", 7 },
                 { "routes",
                   { { { "name", "r-1" },
                       { "host", hostOf(this->route().address) },
                       { "path_prefix", "/8443/" },
                       { "kind", "idempotent" },
                       { "timeout_ms", 3000 },
                       { "target_latency_ms", 300 },
                       { "priority", 2 },
                       { "service", service },
                       { "max_attempts", 2 } } } },
                 { "services",
                   { { { "name", service },
                       { "health_path", "/healthz" },
                       { "max_conns", 2000 },
                       { "protocol", "h1" },
                       { "tls", false },
                       { "warmup_s", 2.0 },
                       { "warmup_per_s", 0.0 } } } },
                 { "limits",
                   { { "max_header_bytes", 16384 },
                     { "max_body_bytes", 262144 },
                     { "header_timeout_ms", 3000 },
                     { "idle_timeout_ms", 15000 } } } };
    }

    Backend &addBackend(int index, Backend::Options backendOptions)
    {
        backendOptions.name = "server-" + std::to_string(index + 1);
        backendOptions.service = service;
        backendOptions.zone = this->zoneOf(index);
        backendOptions.host = this->backendHost(index);
        this->backends.push_back(std::make_unique<Backend>(this->net, backendOptions));
        return *this->backends.back();
    }
    // Starts all processes. Returns false if the balancers don't become ready.
    bool start()
    {
        for (const auto &node : this->balancers)
            node->start();
        for (const auto &node : this->agents)
            node->start();
        this->prober = std::thread([this] {
            while (!this->isClosing) {
                const auto next = Clock::now() + Ms(500);
                for (const auto &node : this->balancers)
                    node->probeReadiness();
                while (!this->isClosing && Clock::now() < next)
                    std::this_thread::sleep_for(Ms(5));
            }
        });
        for (int i = 0; i < 1000; ++i) {
            this->run(10);
            bool areReady = true;
            for (const auto &node : this->balancers)
                areReady &= node->isReady;
            if (areReady) {
                this->run(2000);
                return true;
            }
        }
        return false;
    }
    // Stops a process with SIGTERM, and starts it again after a short delay.
    void restart(Node &node, int delayMs = 300)
    {
        node.signal(SIGTERM, "SIGTERM");
        const std::int64_t until = nowMs() + 6000;
        while (!node.hasEnded()) {
            if (nowMs() > until)
                node.signal(SIGKILL, "SIGKILL");
            this->run(2);
        }
        this->run(delayMs);
        node.start();
    }
    void run(std::int64_t forMs)
    {
        const std::int64_t until = nowMs() + forMs;
        do {
            for (const auto &backend : this->backends)
                backend->step();
            for (const auto &client : this->clients)
                client->step();
            std::this_thread::sleep_for(std::chrono::microseconds(500));
        } while (nowMs() < until);
    }
    Client &addClient(int index)
    {
        this->clients.push_back(std::make_unique<Client>(
                *this, std::uint32_t(100 + index), std::uint16_t(1024 + index), this->route()));
        return *this->clients.back();
    }
    // The router: the daemon in rotation with the highest hash gets the packet.
    std::optional<Endpoint> daemonFor(const FlowKey &key) const
    {
        const Node *best = nullptr;
        std::uint64_t bestRank = 0;
        for (const auto &node : this->balancers) {
            const std::uint64_t rank = hash(key, node->host);
            if (node->isReady && (best == nullptr || rank > bestRank)) {
                best = node.get();
                bestRank = rank;
            }
        }
        return best == nullptr ? std::nullopt
                               : std::optional(this->net.at(best->host, Port::packets));
    }
    Backend *ownerOf(const FlowKey &key) const
    {
        for (const auto &backend : this->backends) {
            if (backend->hasOpen(key))
                return backend.get();
        }
        return nullptr;
    }

    Options options;
    Network net;
    std::string folder;
    Store store;
    std::vector<std::unique_ptr<Backend>> backends;
    std::vector<std::unique_ptr<Node>> balancers, agents;
    std::vector<std::unique_ptr<Client>> clients;

private:
    static std::uint64_t hash(const FlowKey &key, std::uint32_t host)
    {
        std::uint64_t value = (std::uint64_t(key.client.address) << 32) ^ key.client.port
                              ^ (std::uint64_t(host) * 0x9E3779B97F4A7C15ull);
        value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ull;
        value = (value ^ (value >> 27)) * 0x94D049BB133111EBull;
        return value ^ (value >> 31);
    }

    std::thread prober;
    std::atomic<bool> isClosing = false;
};

inline Client::Client(Deployment &deployment, std::uint32_t host, std::uint16_t sport,
                      Endpoint flowRoute)
    : world(deployment)
    , self{ deployment.net.base + host, sport }
    , route(flowRoute)
    , socket({ deployment.net.base + host, std::uint16_t(deployment.net.ports + Port::packets) })
{ }

inline void Client::send(std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement,
                         const std::string &data)
{
    if (const auto daemon = this->world.daemonFor(this->key()))
        this->socket.send(*daemon, encode({ .flags = flags,
                                            .from = this->self,
                                            .to = this->route,
                                            .sequence = sequence,
                                            .acknowledgement = acknowledgement,
                                            .data = data }));
}

inline void Client::open()
{
    std::mt19937 random{ std::random_device{}() };
    this->first = std::uint32_t(random());
    this->state = State::Opening;
    this->copies = 0;
    this->openedAt = this->nextAt = nowMs();
}

inline void Client::request(const std::string &id, int deadlineMs)
{
    this->pending = id;
    this->deadline = nowMs() + deadlineMs;
    this->nextAt = nowMs();
    this->backoff = 200;
    record.add("client %s sends request %s", toString(this->self).c_str(), id.c_str());
}

inline void Client::step()
{
    while (const auto bytes = this->socket.receive()) {
        if (const auto packet = decode(*bytes))
            this->handle(*packet);
    }
    const std::int64_t now = nowMs();
    if (this->state == State::Opening && now >= this->nextAt) {
        if (this->copies == 3) {
            this->state = State::Closed;
            record.add("client %s: flow did not open", toString(this->self).c_str());
            return;
        }
        this->send(syn, this->first, std::uint32_t(this->copies));
        constexpr std::array waits = { 200, 400, 800 };
        this->nextAt = now + waits[std::size_t(this->copies++)];
    }
    if (this->state != State::Open || this->pending.empty())
        return;
    if (now >= this->deadline) {
        record.add("client %s: request %s not answered by its deadline",
                   toString(this->self).c_str(), this->pending.c_str());
        this->pending.clear();
        ++this->failures;
    } else if (now >= this->nextAt) {
        this->send(ack, this->sent, this->received, this->pending);
        this->nextAt = now + this->backoff;
        this->backoff = std::min(1600, this->backoff * 2);
    }
}

inline void Client::handle(const Packet &packet)
{
    if (packet.from != this->route || packet.to != this->self)
        return;
    if ((packet.flags & rst) != 0) {
        const bool bySystem = packet.sum == 0 && packet.data.empty();
        if (this->state == State::Opening) {
            this->state = State::Closed;
            record.add("client %s: reset while opening", toString(this->self).c_str());
            return;
        }
        const std::uint32_t distance = packet.sequence - this->lastAck;
        if (this->state != State::Open || (distance > 76800 && distance < 0u - 76800u))
            return;
        this->state = State::Reset;
        record.add("client %s gets a reset of its open flow from %s", toString(this->self).c_str(),
                   bySystem ? "the system" : "the backend");
        if (this->onReset)
            this->onReset(bySystem);
        return;
    }
    if (!packet.isIntact) {
        record.add("client %s got a packet that its sender didn't write so",
                   toString(this->self).c_str());
        return;
    }
    if ((packet.flags & syn) != 0) {
        if (this->state != State::Opening || packet.acknowledgement != this->first + 1)
            return;
        this->state = State::Open;
        this->sent = this->first + 1;
        this->received = this->lastAck = packet.sequence + 1;
        this->send(ack, this->sent, this->received);
        this->nextAt = nowMs();
        return;
    }
    if (this->state != State::Open || packet.data.empty())
        return;
    if (packet.sequence == this->received) {
        this->received += std::uint32_t(packet.data.size());
        if (!this->pending.empty()) {
            this->sent += std::uint32_t(this->pending.size());
            record.add("client %s: answer '%s'", toString(this->self).c_str(), packet.data.c_str());
            this->pending.clear();
            ++this->answers;
        }
    }
    this->lastAck = this->received;
    this->send(ack, this->sent, this->received);
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace world

#endif // REVIEW_WORLD_2_WORLD_HH

#include "meshd/shell.h"

#include <memory>

#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>
#include <csignal>
#include <ctime>

#include "platform/objects.h"

namespace cactusdeck::meshd {

namespace asio = boost::asio;

namespace {

constexpr std::size_t meshPort = 0;
constexpr std::size_t packetPort = 1;

} // namespace

Shell::Shell(ShellOptions shellOptions)
    : options(std::move(shellOptions))
    , io(1)
    , timer(this->io)
    , signals(this->io)
    , writer({ .level = this->options.logLevel })
    , suspended(suspendedTime())
{ }

Shell::~Shell()
{
    // The data sockets close their descriptors themselves.
    for (const auto &port : this->ports)
        port->readable.release();
}

Result<void> Shell::open(ShellHandlers roleHandlers)
{
    this->handlers = std::move(roleHandlers);
    BOOST_LEAF_CHECK(this->addPort(this->options.mesh, this->handlers.onMeshDatagram));
    BOOST_LEAF_CHECK(this->addPort(this->options.packets, this->handlers.onPacket));
    this->server.emplace(this->io, [this](const HttpRequest &request) {
        HttpAnswer answer = this->handlers.onHttp(request);
        this->finishEvent();
        return answer;
    });
    for (const Endpoint &endpoint : this->options.http)
        BOOST_LEAF_CHECK(this->server->listen(endpoint));
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        this->signals.add(signal);
    return {};
}

Result<void> Shell::addPort(Endpoint endpoint, DatagramHandler handler)
{
    BOOST_LEAF_AUTO(socket, DataSocket::bind(endpoint));
    asio::posix::stream_descriptor readable(this->io, socket.descriptor());
    this->ports.push_back(std::make_unique<Port>(
            Port{ std::move(socket), std::move(readable), std::move(handler) }));
    return {};
}

void Shell::run()
{
    for (const auto &port : this->ports)
        this->waitFor(*port);
    this->waitForSignal();
    this->finishEvent();
    this->io.run();
    this->writer.flush();
}

void Shell::waitFor(Port &port)
{
    port.readable.async_wait(asio::posix::stream_descriptor::wait_read,
                             [this, &port](boost::system::error_code error) {
                                 if (error)
                                     return;
                                 this->receive(port);
                                 this->waitFor(port);
                             });
}

void Shell::receive(Port &port)
{
    const TimePoint at = now();
    const std::size_t count = port.socket.receive();
    for (std::size_t i = 0; i < count; ++i) {
        const Datagram datagram = port.socket.datagram(i);
        if (!datagram.truncated)
            port.handler(datagram.bytes, datagram.from, at);
    }
    this->finishEvent();
}

void Shell::waitForSignal()
{
    this->signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            this->handlers.onReload(now());
        else
            this->handlers.onStop(now());
        this->finishEvent();
        this->waitForSignal();
    });
}

Duration Shell::suspendedTime()
{
    timespec boot{};
    timespec steady{};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    clock_gettime(CLOCK_MONOTONIC, &steady);
    return std::chrono::seconds(boot.tv_sec - steady.tv_sec)
           + std::chrono::nanoseconds(boot.tv_nsec - steady.tv_nsec);
}

void Shell::onTimer(TimePoint at)
{
    const Duration total = suspendedTime();
    if (total - this->suspended > pauseTolerance)
        this->handlers.onPaused(at);
    this->suspended = total;
    this->handlers.onTimer(at);
    this->lookIntoDirectory(at);
}

void Shell::lookIntoDirectory(TimePoint at)
{
    if (!this->handlers.needsDirectory(at)) {
        this->directoryInterval = firstDirectoryInterval;
        return;
    }
    if (this->isAskingDirectory || at < this->nextDirectory)
        return;
    this->isAskingDirectory = true;
    this->log(Level::Warning, "no_balancer_heard",
              { { "next_try_ms", std::to_string(this->directoryInterval.count()) } });
    this->call({ .to = this->options.store,
                 .target = platform::directoryListTarget(),
                 .timeout = directoryTimeout },
               [this](unsigned status, const std::string &body, TimePoint answeredAt) {
                   this->isAskingDirectory = false;
                   this->nextDirectory = answeredAt + this->directoryInterval;
                   this->directoryInterval =
                           std::min(this->directoryInterval * 2, lastDirectoryInterval);
                   if (status == 200)
                       this->handlers.onDirectory(platform::decodeDirectory(body), answeredAt);
                   else
                       this->log(Level::Warning, "directory_unreachable",
                                 { { "status", std::to_string(status) } });
               });
}

void Shell::call(HttpCall httpCall, std::function<void(unsigned, std::string, TimePoint)> callback)
{
    callHttp(this->io, std::move(httpCall),
             [this, callback = std::move(callback)](unsigned status, std::string body) {
                 callback(status, std::move(body), now());
                 this->finishEvent();
             });
}

void Shell::checkPort(Endpoint endpoint, Duration timeout,
                      std::function<void(mesh::ConnectOutcome, TimePoint)> callback)
{
    auto stream = std::make_shared<boost::beast::tcp_stream>(this->io);
    stream->expires_after(timeout);
    stream->async_connect(
            asio::ip::tcp::endpoint(asio::ip::address_v4(endpoint.address), endpoint.port),
            [this, stream, callback = std::move(callback)](boost::system::error_code error) {
                const bool isRefused = error == asio::error::connection_refused;
                callback(!error      ? mesh::ConnectOutcome::Connected
                         : isRefused ? mesh::ConnectOutcome::Refused
                                     : mesh::ConnectOutcome::TimedOut,
                         now());
                this->finishEvent();
            });
}

void Shell::finishEvent()
{
    const TimePoint at = now();
    this->handlers.afterEvent(at);
    for (const auto &port : this->ports)
        port->socket.flush();
    this->writer.flush();
    if (this->handlers.isStopped(at)) {
        this->io.stop();
        return;
    }
    TimePoint next = this->handlers.nextTimer();
    if (this->handlers.needsDirectory(at))
        next = std::min(next, std::max(this->nextDirectory, at + directoryCheckInterval));
    // A timer that fires too early costs less than setting it anew after each event.
    if (next < this->armedFor)
        this->arm(next);
}

void Shell::arm(TimePoint deadline)
{
    this->armedFor = deadline;
    this->timer.expires_at(deadline);
    this->timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        this->armedFor = TimePoint::max();
        this->onTimer(now());
        this->finishEvent();
    });
}

void Shell::toServer(std::span<const std::uint8_t> packet)
{
    this->ports[packetPort]->socket.queue(this->options.server, {}, packet,
                                          PacketLifetime::Temporary);
}

void Shell::toCaller(Endpoint caller, std::span<const std::uint8_t> packet)
{
    this->ports[packetPort]->socket.queue({ caller.address, this->options.callerPort }, {}, packet,
                                          PacketLifetime::Temporary);
}

void Shell::toNode(Endpoint node, std::span<const std::uint8_t> header,
                   std::span<const std::uint8_t> packet)
{
    DataSocket &socket = this->ports[meshPort]->socket;
    // A control message is longer than the space for frame headers.
    if (packet.empty())
        socket.queue(node, {}, header, PacketLifetime::Temporary);
    else
        socket.queue(node, header, packet, PacketLifetime::Temporary);
}

void Shell::log(Level level, const char *name, mesh::EventFields fields)
{
    this->writer.add({ .level = level, .name = name, .fields = std::move(fields) }, now());
}

} // namespace cactusdeck::meshd

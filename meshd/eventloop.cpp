#include "meshd/eventloop.h"

#include <memory>

#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>
#include <csignal>
#include <ctime>

#include "platform/objects.h"

namespace cactusdeck::meshd {

namespace asio = boost::asio;

namespace {

constexpr std::size_t meshSocketIndex = 0;
constexpr std::size_t packetSocketIndex = 1;
constexpr unsigned statusOk = 200;

} // namespace

EventLoop::EventLoop(EventLoopOptions loopOptions)
    : options(std::move(loopOptions))
    , io(1)
    , timer(this->io)
    , signals(this->io)
    , writer({ .level = this->options.logLevel })
    , lastSuspendedTime(suspendedTime())
{ }

EventLoop::~EventLoop()
{
    // DataSocket owns the descriptor and closes it.
    for (const auto &watched : this->sockets)
        watched->readable.release();
}

Result<void> EventLoop::open(EventLoopHandlers roleHandlers)
{
    this->handlers = std::move(roleHandlers);
    BOOST_LEAF_CHECK(this->addSocket(this->options.mesh, this->handlers.onMeshDatagram));
    BOOST_LEAF_CHECK(this->addSocket(this->options.packets, this->handlers.onPacket));
    this->server.emplace(this->io, [this](const HttpRequest &request) {
        HttpResponse answer = this->handlers.onHttp(request);
        this->finishEvent();
        return answer;
    });
    for (const Endpoint &endpoint : this->options.http)
        BOOST_LEAF_CHECK(this->server->listen(endpoint));
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        this->signals.add(signal);
    return {};
}

Result<void> EventLoop::addSocket(Endpoint endpoint, DatagramHandler handler)
{
    BOOST_LEAF_AUTO(socket, DataSocket::bind(endpoint));
    asio::posix::stream_descriptor readable(this->io, socket.descriptor());
    this->sockets.push_back(std::make_unique<WatchedSocket>(
            WatchedSocket{ std::move(socket), std::move(readable), std::move(handler) }));
    return {};
}

void EventLoop::run()
{
    for (const auto &watched : this->sockets)
        this->waitUntilReadable(*watched);
    this->waitForSignal();
    this->finishEvent();
    this->io.run();
    this->writer.flush();
}

void EventLoop::waitUntilReadable(WatchedSocket &watched)
{
    watched.readable.async_wait(asio::posix::stream_descriptor::wait_read,
                                [this, &watched](boost::system::error_code error) {
                                    if (error)
                                        return;
                                    this->receive(watched);
                                    this->waitUntilReadable(watched);
                                });
}

void EventLoop::receive(WatchedSocket &watched)
{
    const TimePoint at = now();
    // Packets that have queued up are handled with the knowledge that they have.
    this->noticePause(at);
    const std::size_t count = watched.socket.receive();
    for (std::size_t i = 0; i < count; ++i) {
        const Datagram datagram = watched.socket.datagram(i);
        if (!datagram.truncated)
            watched.handler(datagram.bytes, datagram.from, at);
    }
    this->finishEvent();
}

void EventLoop::waitForSignal()
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

Duration EventLoop::suspendedTime()
{
    timespec boot{};
    timespec steady{};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    clock_gettime(CLOCK_MONOTONIC, &steady);
    return std::chrono::seconds(boot.tv_sec - steady.tv_sec)
           + std::chrono::nanoseconds(boot.tv_nsec - steady.tv_nsec);
}

void EventLoop::noticePause(TimePoint at)
{
    const Duration total = suspendedTime();
    if (total - this->lastSuspendedTime > pauseThreshold)
        this->handlers.onPaused(at);
    this->lastSuspendedTime = total;
}

void EventLoop::onTimer(TimePoint at)
{
    this->noticePause(at);
    this->handlers.onTimer(at);
    this->queryDirectory(at);
}

void EventLoop::queryDirectory(TimePoint at)
{
    if (!this->handlers.needsDirectory(at)) {
        this->directoryInterval = firstDirectoryInterval;
        if (!this->isDirectoryQueryPending)
            this->directoryAfter.clear();
        return;
    }
    if (this->isDirectoryQueryPending || at < this->nextDirectoryQuery)
        return;
    this->isDirectoryQueryPending = true;
    this->log(Level::Warning, "no_balancer_heard",
              { { "next_try_ms", std::to_string(this->directoryInterval.count()) } });
    this->directoryPages = 0;
    this->queryDirectoryPage();
}

void EventLoop::queryDirectoryPage()
{
    this->call({ .to = this->options.store,
                 .target = platform::directoryListTarget(this->directoryAfter),
                 .timeout = directoryTimeout },
               [this](const HttpAnswer &answer, TimePoint answeredAt) {
                   this->onDirectoryPage(answer, answeredAt);
               });
}

void EventLoop::onDirectoryPage(const HttpAnswer &answer, TimePoint at)
{
    const auto page = answer.status == statusOk ? platform::decodeDirectory(answer.body)
                                                : std::optional<platform::DirectoryPage>();
    if (page) {
        ++this->directoryPages;
        this->directoryAfter = page->next.value_or("");
        this->handlers.onDirectory(page->balancers, at);
        // Balancers that have been heard tell of the others.
        if (page->next && this->directoryPages < maxDirectoryPages
            && this->handlers.needsDirectory(at)) {
            this->queryDirectoryPage();
            return;
        }
    } else {
        this->log(Level::Warning, "directory_unreachable",
                  { { "status", std::to_string(answer.status) },
                    { "pages", std::to_string(this->directoryPages) } });
        // The page may have been named after an entry that cannot be continued from.
        if (answer.status == statusOk)
            this->directoryAfter.clear();
    }
    // The next query continues where this one ended.
    this->isDirectoryQueryPending = false;
    this->nextDirectoryQuery = at + this->directoryInterval;
    this->directoryInterval = std::min(this->directoryInterval * 2, maxDirectoryInterval);
}

void EventLoop::call(HttpCall httpCall, std::function<void(const HttpAnswer &, TimePoint)> callback)
{
    callHttp(this->io, std::move(httpCall),
             [this, callback = std::move(callback)](const HttpAnswer &answer) {
                 callback(answer, now());
                 this->finishEvent();
             });
}

void EventLoop::tryConnect(Endpoint endpoint, Duration timeout,
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

void EventLoop::finishEvent()
{
    const TimePoint at = now();
    this->handlers.afterEvent(at);
    for (const auto &watched : this->sockets)
        watched->socket.flush();
    this->writer.flush();
    if (this->handlers.isStopped(at)) {
        this->io.stop();
        return;
    }
    TimePoint next = this->handlers.nextTimer();
    if (this->handlers.needsDirectory(at))
        next = std::min(next, std::max(this->nextDirectoryQuery, at + minDirectoryDelay));
    // The timer is only ever moved to an earlier time. If the deadline has moved to a later time,
    // the timer fires early, which costs less than setting it again after each event.
    if (next < this->timerDeadline)
        this->setTimer(next);
}

void EventLoop::setTimer(TimePoint deadline)
{
    this->timerDeadline = deadline;
    this->timer.expires_at(deadline);
    this->timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        this->timerDeadline = TimePoint::max();
        this->onTimer(now());
        this->finishEvent();
    });
}

void EventLoop::toServer(std::span<const std::uint8_t> packet)
{
    this->sockets[packetSocketIndex]->socket.queue(this->options.server, {}, packet,
                                                   PacketLifetime::Temporary);
}

void EventLoop::toCaller(Endpoint caller, std::span<const std::uint8_t> packet)
{
    this->sockets[packetSocketIndex]->socket.queue({ caller.address, this->options.callerPort }, {},
                                                   packet, PacketLifetime::Temporary);
}

void EventLoop::toNode(Endpoint node, std::span<const std::uint8_t> header,
                       std::span<const std::uint8_t> packet)
{
    DataSocket &socket = this->sockets[meshSocketIndex]->socket;
    // A control message is passed as the header, but can exceed the buffer for frame headers.
    if (packet.empty())
        socket.queue(node, {}, header, PacketLifetime::Temporary);
    else
        socket.queue(node, header, packet, PacketLifetime::Temporary);
}

void EventLoop::log(Level level, const char *name, mesh::EventFields fields)
{
    this->writer.add({ .level = level, .name = name, .fields = std::move(fields) }, now());
}

} // namespace cactusdeck::meshd

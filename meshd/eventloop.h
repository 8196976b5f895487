#ifndef CACTUSDECK_MESHD_EVENTLOOP_H
#define CACTUSDECK_MESHD_EVENTLOOP_H

#include <functional>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mesh/serverwatch.h"
#include "mesh/sink.h"
#include "meshd/http.h"
#include "meshd/logwriter.h"
#include "meshd/settings.h"
#include "node/datasocket.h"

// The event loop of a mesh daemon. A single thread waits for sockets, HTTP requests and responses,
// signals and the next deadline, and passes these events to the state machine of its role (balancer
// or agent). There is no periodic polling.
//
//     EventLoop loop(options);
//     BOOST_LEAF_CHECK(loop.open({ .packets = settings.packets, ... }, handlers));
//     loop.run();

namespace cactusdeck::meshd {

using DatagramHandler =
        std::function<void(std::span<const std::uint8_t>, Endpoint from, TimePoint)>;

// The callbacks by which the loop drives the state machine of a role.
struct EventLoopHandlers
{
    DatagramHandler onMeshDatagram;
    DatagramHandler onPacket; // balancers: from the fabric; agents: from the backend server
    std::function<void(TimePoint)> onTimer;
    std::function<TimePoint()> nextTimer;
    std::function<void(TimePoint)> onPaused; // after the machine was suspended
    std::function<void(TimePoint)> onStop;
    std::function<bool(TimePoint)> isStopped;
    std::function<void(TimePoint)> onReload;
    // Called after each event, to start the HTTP calls and connection checks that are due.
    std::function<void(TimePoint)> afterEvent;
    HttpServer::Handler onHttp;
    // True if the node hears from no other node and should look up balancers in the directory.
    std::function<bool(TimePoint)> needsDirectory;
    std::function<void(const std::vector<Endpoint> &, TimePoint)> onDirectory;
};

struct EventLoopOptions
{
    Endpoint mesh;
    // Balancers: receives packets from the fabric. Agents: receives the backend server's packets.
    Endpoint packets;
    Endpoint server; // agents: the destination of toServer
    std::uint16_t callerPort = 0; // on which callers receive packets
    std::vector<Endpoint> http; // on which the HTTP server listens
    Endpoint store;
    Level logLevel = Level::Info;
};

class EventLoop : public mesh::Sink
{
public:
    explicit EventLoop(EventLoopOptions options);
    ~EventLoop() override;
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // Binds the UDP sockets and starts the HTTP server. Errors are of kind Io.
    Result<void> open(EventLoopHandlers roleHandlers);
    // Runs the loop until isStopped returns true.
    void run();

    // Starts an HTTP call. The callback runs as an event of the loop.
    void call(HttpCall httpCall, std::function<void(const HttpAnswer &, TimePoint)> callback);
    // Tries to open a TCP connection and closes it at once. The callback gets the outcome.
    void tryConnect(Endpoint endpoint, Duration timeout,
                    std::function<void(mesh::ConnectOutcome, TimePoint)> callback);
    static TimePoint now() { return Clock::now(); }
    const LogWriter &logWriter() const { return this->writer; }

    void toServer(std::span<const std::uint8_t> packet) override;
    void toCaller(Endpoint caller, std::span<const std::uint8_t> packet) override;
    void toNode(Endpoint node, std::span<const std::uint8_t> header,
                std::span<const std::uint8_t> packet) override;
    void log(Level level, const char *name, mesh::EventFields fields) override;

private:
    // A socket, the asio object that waits until it is readable, and the handler of its datagrams.
    struct WatchedSocket
    {
        DataSocket socket;
        boost::asio::posix::stream_descriptor readable;
        DatagramHandler handler;
    };

    // A suspension longer than this is reported to onPaused. The steady clock stands still while
    // the machine is suspended, so the time is measured separately.
    static constexpr std::chrono::milliseconds pauseThreshold{ 500 };
    // Interval between directory queries while no other node is heard; doubles up to the maximum.
    static constexpr std::chrono::milliseconds firstDirectoryInterval{ 1500 };
    static constexpr std::chrono::milliseconds maxDirectoryInterval{ 10000 };
    static constexpr std::chrono::milliseconds directoryTimeout{ 1500 };
    static constexpr std::chrono::milliseconds minDirectoryDelay{ 500 };
    // Pages read without a pause. A page has about 500 entries.
    static constexpr int maxDirectoryPages = 40;

    Result<void> addSocket(Endpoint endpoint, DatagramHandler handler);
    void waitUntilReadable(WatchedSocket &watched);
    void receive(WatchedSocket &watched);
    void waitForSignal();
    void noticePause(TimePoint at);
    void onTimer(TimePoint at);
    void queryDirectory(TimePoint at);
    void queryDirectoryPage();
    void onDirectoryPage(const HttpAnswer &answer, TimePoint at);
    void finishEvent();
    void setTimer(TimePoint deadline);
    // Total time for which the machine has been suspended since it booted.
    static Duration suspendedTime();

    EventLoopOptions options;
    EventLoopHandlers handlers;
    boost::asio::io_context io;
    std::vector<std::unique_ptr<WatchedSocket>> sockets; // for mesh datagrams, for packets
    boost::asio::steady_timer timer;
    boost::asio::signal_set signals;
    std::optional<HttpServer> server;
    LogWriter writer;
    TimePoint timerDeadline = TimePoint::max();
    Duration lastSuspendedTime{};
    TimePoint nextDirectoryQuery{};
    std::chrono::milliseconds directoryInterval = firstDirectoryInterval;
    bool isDirectoryQueryPending = false;
    std::string directoryAfter; // the next page follows the entry of this name; empty: the first
    int directoryPages = 0; // read in this query
};

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_EVENTLOOP_H

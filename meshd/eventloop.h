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

// The loop of a mesh daemon: one thread that waits for sockets, signals and the next deadline, and
// gives what happens to the state machine of its role. It wakes for nothing else.
//
//     EventLoop loop(options);
//     BOOST_LEAF_CHECK(loop.open({ .packets = settings.packets, ... }, handlers));
//     loop.run();

namespace cactusdeck::meshd {

using DatagramHandler =
        std::function<void(std::span<const std::uint8_t>, Endpoint from, TimePoint)>;

// The state machine of a role, as the loop sees it.
struct EventLoopHandlers
{
    DatagramHandler onMeshDatagram;
    DatagramHandler onPacket; // balancers: from the fabric; agents: from the backend server
    std::function<void(TimePoint)> onTimer;
    std::function<TimePoint()> nextTimer;
    std::function<void(TimePoint)> onPaused; // the machine stood still for a while
    std::function<void(TimePoint)> onStop;
    std::function<bool(TimePoint)> isStopped;
    std::function<void(TimePoint)> onReload;
    // After each event: store queries and the like.
    std::function<void(TimePoint)> afterEvent;
    HttpServer::Handler onHttp;
    std::function<bool(TimePoint)> needsDirectory;
    std::function<void(const std::vector<Endpoint> &, TimePoint)> onDirectory;
};

struct EventLoopOptions
{
    Endpoint mesh;
    // Balancers: the fabric's packets come here. Agents: the backend server's do.
    Endpoint packets;
    Endpoint server; // agents: where toServer sends
    std::uint16_t callerPort = 0; // callers take packets on this port
    std::vector<Endpoint> http; // addresses on which requests are answered
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

    // Binds the sockets and starts to listen. Errors are of kind Io.
    Result<void> open(EventLoopHandlers roleHandlers);
    // Returns when the role has stopped.
    void run();

    // A call whose answer arrives as an event.
    void call(HttpCall httpCall, std::function<void(unsigned, std::string, TimePoint)> callback);
    // Tries to connect, and closes the connection at once.
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
    // A socket and the loop's interest in it.
    struct WatchedSocket
    {
        DataSocket socket;
        boost::asio::posix::stream_descriptor readable;
        DatagramHandler handler;
    };

    // The steady clock does not count the time of a suspended machine.
    static constexpr std::chrono::milliseconds pauseThreshold{ 500 };
    // Between two looks into the directory while nobody is heard; doubles up to the last.
    static constexpr std::chrono::milliseconds firstDirectoryInterval{ 1500 };
    static constexpr std::chrono::milliseconds maxDirectoryInterval{ 10000 };
    static constexpr std::chrono::milliseconds directoryTimeout{ 1500 };
    static constexpr std::chrono::milliseconds minDirectoryDelay{ 500 };

    Result<void> addSocket(Endpoint endpoint, DatagramHandler handler);
    void waitUntilReadable(WatchedSocket &watched);
    void receive(WatchedSocket &watched);
    void waitForSignal();
    void onTimer(TimePoint at);
    void queryDirectory(TimePoint at);
    void finishEvent();
    void setTimer(TimePoint deadline);
    static Duration suspendedTime();

    EventLoopOptions options;
    EventLoopHandlers handlers;
    boost::asio::io_context io;
    std::vector<std::unique_ptr<WatchedSocket>> sockets; // mesh, packets
    boost::asio::steady_timer timer;
    boost::asio::signal_set signals;
    std::optional<HttpServer> server;
    LogWriter writer;
    TimePoint timerDeadline = TimePoint::max();
    Duration lastSuspendedTime{};
    TimePoint nextDirectoryQuery{};
    std::chrono::milliseconds directoryInterval = firstDirectoryInterval;
    bool isDirectoryQueryPending = false;
};

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_EVENTLOOP_H

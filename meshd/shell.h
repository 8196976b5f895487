#ifndef CACTUSDECK_MESHD_SHELL_H
#define CACTUSDECK_MESHD_SHELL_H

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
//     Shell shell(settings);
//     BOOST_LEAF_CHECK(shell.open({ .packets = settings.packets, ... }, handlers));
//     shell.run();

namespace cactusdeck::meshd {

using DatagramHandler =
        std::function<void(std::span<const std::uint8_t>, Endpoint from, TimePoint)>;

// The state machine of a role, as the loop sees it.
struct ShellHandlers
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

struct ShellOptions
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

class Shell : public mesh::Sink
{
public:
    explicit Shell(ShellOptions options);
    ~Shell() override;
    Shell(const Shell &) = delete;
    Shell &operator=(const Shell &) = delete;

    // Binds the sockets and starts to listen. Errors are of kind Io.
    Result<void> open(ShellHandlers roleHandlers);
    // Returns when the role has stopped.
    void run();

    // A call whose answer arrives as an event.
    void call(HttpCall httpCall, std::function<void(unsigned, std::string, TimePoint)> callback);
    // Tries to connect, and closes the connection at once.
    void checkPort(Endpoint endpoint, Duration timeout,
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
    struct Port
    {
        DataSocket socket;
        boost::asio::posix::stream_descriptor readable;
        DatagramHandler handler;
    };

    // The steady clock does not count the time of a suspended machine.
    static constexpr std::chrono::milliseconds pauseTolerance{ 500 };
    // Between two looks into the directory while nobody is heard; doubles up to the last.
    static constexpr std::chrono::milliseconds firstDirectoryInterval{ 1500 };
    static constexpr std::chrono::milliseconds lastDirectoryInterval{ 10000 };
    static constexpr std::chrono::milliseconds directoryTimeout{ 1500 };
    static constexpr std::chrono::milliseconds directoryCheckInterval{ 500 };

    Result<void> addPort(Endpoint endpoint, DatagramHandler handler);
    void waitFor(Port &port);
    void receive(Port &port);
    void waitForSignal();
    void onTimer(TimePoint at);
    void lookIntoDirectory(TimePoint at);
    void finishEvent();
    void arm(TimePoint deadline);
    static Duration suspendedTime();

    ShellOptions options;
    ShellHandlers handlers;
    boost::asio::io_context io;
    std::vector<std::unique_ptr<Port>> ports; // mesh, packets
    boost::asio::steady_timer timer;
    boost::asio::signal_set signals;
    std::optional<HttpServer> server;
    LogWriter writer;
    TimePoint armedFor = TimePoint::max();
    Duration suspended{};
    TimePoint nextDirectory{};
    std::chrono::milliseconds directoryInterval = firstDirectoryInterval;
    bool isAskingDirectory = false;
};

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_SHELL_H

#ifndef CACTUSDECK_NODE_PACKETLOOP_H
#define CACTUSDECK_NODE_PACKETLOOP_H

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <thread>
#include <vector>

#include "core/agent.h"
#include "core/outbox.h"
#include "core/packet.h"
#include "node/datasocket.h"
#include "node/logging.h"
#include "node/metrics.h"

// Event loop of a node. One thread runs the state machine: it handles packets, control datagrams,
// the timer, and tasks posted by other threads, so the state machine needs no lock.
//
//     BOOST_LEAF_AUTO(loop, PacketLoop::open({ .data = ..., .control = ... }, stateMachine,
//                                            dependencies));
//     loop->start();
//     loop->post([&](TimePoint now, Outbox &outbox) {
//         stateMachine.onStoreAnswer(answer, now, outbox);
//     });
//     loop->requestStop();            // on SIGTERM
//     loop->join();                   // returns when the state machine has stopped

namespace cactusdeck {

// The event handlers of a Balancer or an Agent. Handlers that a role does not have are empty.
struct NodeStateMachine
{
    std::function<void(TimePoint, Outbox &)> start;
    // Handles a datagram of the data socket. Returns false if it is neither of a known frame kind
    // nor, on a balancer, an IPv4 packet.
    std::function<bool(std::span<const std::uint8_t>, TimePoint, DataSink &, Outbox &)> onDatagram;
    std::function<void(std::span<const std::uint8_t>, TimePoint, DataSink &, Outbox &)>
            onServerPacket;
    std::function<void(const ControlMessage &, TimePoint, Outbox &)> onControl;
    std::function<void(const StoreAnswer &, TimePoint, Outbox &)> onStoreAnswer;
    std::function<void(const ServerHealth &, TimePoint, Outbox &)> onServerHealth;
    std::function<void(TimePoint, DataSink &, Outbox &)> onTimer;
    std::function<void(TimePoint, DataSink &, Outbox &)> stop;
    std::function<bool(TimePoint)> isStopped;
    std::function<nlohmann::json(TimePoint)> status;
    std::function<nlohmann::json(const FlowKey &, TimePoint)> explain;
};

// Used by the loop for work that other threads do. None of these may block.
struct PacketLoopDependencies
{
    std::function<void(StoreCall)> callStore;
    // Sends an encoded control message that is longer than maxDatagram.
    std::function<void(Endpoint, std::vector<std::uint8_t>)> deliver;
    EventLog *log = nullptr;
    Metrics *metrics = nullptr;
};

struct PacketLoopOptions
{
    Endpoint data;
    Endpoint control;
    Endpoint fabric;
    std::optional<Endpoint> server; // agents: the backend server's endpoint for packets
};

class PacketLoop
{
public:
    using Task = std::function<void(TimePoint, Outbox &)>;

    // Binds the sockets. Errors are of kind Io.
    static Result<std::unique_ptr<PacketLoop>> open(const PacketLoopOptions &options,
                                                    NodeStateMachine stateMachine,
                                                    PacketLoopDependencies dependencies);
    ~PacketLoop();
    PacketLoop(const PacketLoop &) = delete;
    PacketLoop &operator=(const PacketLoop &) = delete;

    // The bound endpoints, which differ from the options if those have port 0.
    Endpoint dataEndpoint() const;
    Endpoint controlEndpoint() const;

    void start();
    // Queues the task to run on the loop's thread. Returns false if the queue is full or the loop
    // has ended. Tasks that are still queued when the loop ends are destroyed without being run.
    bool post(Task task);
    // Starts the graceful stop. The state machine's stop is called only once, even if this function
    // is called again.
    void requestStop();
    // Ends the loop without waiting for the state machine to stop.
    void abort();
    void join();
    // File descriptor that becomes readable when the loop has ended.
    int endedDescriptor() const;

private:
    class Sink;

    PacketLoop(DataSocket data, DataSocket control, std::optional<DataSocket> server,
               const PacketLoopOptions &options, NodeStateMachine stateMachine,
               PacketLoopDependencies dependencies);

    Result<void> openDescriptors();
    void run();
    void handleDescriptor(int descriptor);
    void onDataReadable();
    void onServerReadable();
    void onControlReadable();
    void onTimerReadable();
    void onTasksReadable();
    void onMalformed(const char *socket, const Datagram &datagram);
    void recordBatch(TimePoint begin, std::size_t count);
    void performActions();
    void sendControl(const ControlSend &send);
    void flush();

    DataSocket data;
    DataSocket control;
    std::optional<DataSocket> server;
    Endpoint fabric;
    Endpoint serverEndpoint;
    NodeStateMachine stateMachine;
    PacketLoopDependencies dependencies;
    std::unique_ptr<Sink> sink;
    Outbox outbox;
    LogRateLimiter malformedLimit;
    int epollDescriptor = -1;
    int timerDescriptor = -1;
    int tasksDescriptor = -1; // eventfd
    int doneDescriptor = -1; // eventfd
    std::mutex mutex;
    std::vector<Task> tasks;
    bool ended = false; // guarded by mutex
    std::atomic<bool> stopRequested{ false };
    std::atomic<bool> abortRequested{ false };
    bool stopping = false;
    bool stopped = false;
    std::thread thread;
};

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_PACKETLOOP_H

#include "node/packetloop.h"

#include <array>
#include <cerrno>
#include <cstring>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "core/balancer.h"
#include "node/outcome.h"

namespace cactusdeck {

namespace {

constexpr std::size_t maxTasks = 4096;
// Control traffic is normally a few kilobytes per second. The limit on batches per wake-up keeps a
// flood of control datagrams from delaying packets.
constexpr int maxControlBatches = 2;
constexpr std::chrono::seconds malformedLogInterval{ 1 };

void signalEvent(int descriptor)
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = write(descriptor, &one, sizeof one);
}

void clearEvent(int descriptor)
{
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t size = read(descriptor, &count, sizeof count);
}

} // namespace

// Adds packets to the send batches of the loop's sockets.
class PacketLoop::Sink : public DataSink
{
public:
    explicit Sink(PacketLoop &owner)
        : loop(owner)
    { }

    void toServer(std::span<const std::uint8_t> packet) override
    {
        if (this->loop.server)
            this->loop.server->queue(this->loop.serverEndpoint, {}, packet, lifetimeOf(packet));
    }
    void toFabric(std::span<const std::uint8_t> packet) override
    {
        this->loop.data.queue(this->loop.fabric, {}, packet, this->lifetimeOf(packet));
    }
    void toNode(Endpoint to, std::span<const std::uint8_t> header,
                std::span<const std::uint8_t> packet) override
    {
        this->loop.data.queue(to, header, packet, this->lifetimeOf(packet));
    }

private:
    // Packets that are forwarded from the receive buffers need not be copied, because the send
    // batches are flushed before the buffers are filled again.
    PacketLifetime lifetimeOf(std::span<const std::uint8_t> packet) const
    {
        const bool stable = this->loop.data.isInReceiveBuffers(packet)
                            || (this->loop.server && this->loop.server->isInReceiveBuffers(packet));
        return stable ? PacketLifetime::Stable : PacketLifetime::Temporary;
    }

    PacketLoop &loop;
};

PacketLoop::PacketLoop(DataSocket dataSocket, DataSocket controlSocket,
                       std::optional<DataSocket> serverSocket, const PacketLoopOptions &options,
                       NodeStateMachine nodeStateMachine, PacketLoopDependencies loopDependencies)
    : data(std::move(dataSocket))
    , control(std::move(controlSocket))
    , server(std::move(serverSocket))
    , fabric(options.fabric)
    , serverEndpoint(options.server.value_or(Endpoint{}))
    , stateMachine(std::move(nodeStateMachine))
    , dependencies(std::move(loopDependencies))
    , sink(std::make_unique<Sink>(*this))
    , malformedLimit(malformedLogInterval)
{ }

PacketLoop::~PacketLoop()
{
    this->abort();
    this->join();
    for (const int descriptor : { this->epollDescriptor, this->timerDescriptor,
                                  this->tasksDescriptor, this->doneDescriptor }) {
        if (descriptor >= 0)
            close(descriptor);
    }
}

Result<std::unique_ptr<PacketLoop>> PacketLoop::open(const PacketLoopOptions &options,
                                                     NodeStateMachine stateMachine,
                                                     PacketLoopDependencies dependencies)
{
    BOOST_LEAF_AUTO(data, DataSocket::bind(options.data));
    BOOST_LEAF_AUTO(control, DataSocket::bind(options.control));
    std::optional<DataSocket> server;
    if (options.server) {
        // The server replies to the source endpoint of the packets, so any free port can be used.
        BOOST_LEAF_AUTO(socket, DataSocket::bind({ options.data.address, 0 }));
        server = std::move(socket);
    }
    std::unique_ptr<PacketLoop> loop(
            new PacketLoop(std::move(data), std::move(control), std::move(server), options,
                           std::move(stateMachine), std::move(dependencies)));
    BOOST_LEAF_CHECK(loop->openDescriptors());
    return loop;
}

Result<void> PacketLoop::openDescriptors()
{
    this->epollDescriptor = epoll_create1(EPOLL_CLOEXEC);
    this->timerDescriptor = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    this->tasksDescriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    this->doneDescriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    const timespec interval{ 0, std::chrono::nanoseconds(tickInterval).count() };
    const itimerspec timer{ interval, interval };
    bool ok = timerfd_settime(this->timerDescriptor, 0, &timer, nullptr) == 0
              && this->doneDescriptor >= 0;
    for (const int descriptor :
         { this->data.descriptor(), this->control.descriptor(), this->timerDescriptor,
           this->tasksDescriptor, this->server ? this->server->descriptor() : -1 }) {
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = descriptor;
        if (descriptor >= 0)
            ok = ok && epoll_ctl(this->epollDescriptor, EPOLL_CTL_ADD, descriptor, &event) == 0;
    }
    if (!ok)
        return fail(ErrorKind::Io, std::string("event loop: ") + std::strerror(errno));
    return {};
}

Endpoint PacketLoop::dataEndpoint() const
{
    return this->data.local();
}

Endpoint PacketLoop::controlEndpoint() const
{
    return this->control.local();
}

void PacketLoop::start()
{
    this->thread = std::thread([this] { this->run(); });
}

bool PacketLoop::post(Task task)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->ended || this->tasks.size() >= maxTasks) {
            this->dependencies.metrics->add(Counter::EventsRejected);
            return false;
        }
        this->tasks.push_back(std::move(task));
    }
    signalEvent(this->tasksDescriptor);
    return true;
}

// A flag instead of a task, since a task would be lost if the queue is full.
void PacketLoop::requestStop()
{
    this->stopRequested = true;
    signalEvent(this->tasksDescriptor);
}

void PacketLoop::abort()
{
    this->abortRequested = true;
    signalEvent(this->tasksDescriptor);
}

void PacketLoop::join()
{
    if (this->thread.joinable())
        this->thread.join();
}

int PacketLoop::endedDescriptor() const
{
    return this->doneDescriptor;
}

void PacketLoop::run()
{
    this->stateMachine.start(Clock::now(), this->outbox);
    this->performActions();
    std::array<epoll_event, 8> events;
    while (!this->stopped && !this->abortRequested) {
        const int count = epoll_wait(this->epollDescriptor, events.data(), int(events.size()), -1);
        for (int i = 0; i < count; ++i)
            this->handleDescriptor(events[std::size_t(i)].data.fd);
    }
    std::vector<Task> unused;
    {
        const std::lock_guard lock(this->mutex);
        this->ended = true;
        unused.swap(this->tasks);
    }
    signalEvent(this->doneDescriptor);
}

void PacketLoop::handleDescriptor(int descriptor)
{
    if (descriptor == this->data.descriptor())
        this->onDataReadable();
    else if (descriptor == this->control.descriptor())
        this->onControlReadable();
    else if (descriptor == this->timerDescriptor)
        this->onTimerReadable();
    else if (descriptor == this->tasksDescriptor)
        this->onTasksReadable();
    else
        this->onServerReadable();
}

void PacketLoop::onDataReadable()
{
    const TimePoint now = Clock::now();
    const std::size_t count = this->data.receive();
    for (std::size_t i = 0; i < count; ++i) {
        const Datagram datagram = this->data.datagram(i);
        if (datagram.truncated
            || !this->stateMachine.onDatagram(datagram.bytes, now, *this->sink, this->outbox))
            this->onMalformed("data", datagram);
    }
    this->recordBatch(now, count);
}

void PacketLoop::onServerReadable()
{
    const TimePoint now = Clock::now();
    const std::size_t count = this->server->receive();
    for (std::size_t i = 0; i < count; ++i) {
        const Datagram datagram = this->server->datagram(i);
        if (datagram.from != this->serverEndpoint)
            this->dependencies.metrics->add(Counter::ServerPacketsForeign);
        else if (datagram.truncated)
            this->onMalformed("server", datagram);
        else
            this->stateMachine.onServerPacket(datagram.bytes, now, *this->sink, this->outbox);
    }
    this->recordBatch(now, count);
}

void PacketLoop::recordBatch(TimePoint begin, std::size_t count)
{
    this->performActions();
    if (count == 0)
        return;
    const std::chrono::nanoseconds elapsed = Clock::now() - begin;
    this->dependencies.metrics->add(Counter::PacketsReceived, count);
    this->dependencies.metrics->record(HistogramId::BatchSize, double(count));
    this->dependencies.metrics->record(HistogramId::PacketLatency,
                                       double(elapsed.count()) / double(count), double(count));
}

void PacketLoop::onControlReadable()
{
    for (int batch = 0; batch < maxControlBatches; ++batch) {
        const TimePoint now = Clock::now();
        const std::size_t count = this->control.receive();
        for (std::size_t i = 0; i < count; ++i) {
            const Datagram datagram = this->control.datagram(i);
            this->dependencies.metrics->add(Counter::ControlReceived);
            this->dependencies.metrics->add(Counter::ControlBytesReceived, datagram.bytes.size());
            const auto message = outcomeOf([&] { return decodeMessage(datagram.bytes); });
            if (message)
                this->stateMachine.onControl(*message.value, now, this->outbox);
            else
                this->onMalformed("control", datagram);
        }
        this->performActions();
        if (count < batchSize)
            return;
    }
}

void PacketLoop::onTimerReadable()
{
    clearEvent(this->timerDescriptor);
    const TimePoint now = Clock::now();
    this->stateMachine.onTimer(now, *this->sink, this->outbox);
    this->performActions();
    if (this->stopping && this->stateMachine.isStopped(now))
        this->stopped = true;
}

void PacketLoop::onTasksReadable()
{
    clearEvent(this->tasksDescriptor);
    std::vector<Task> ready;
    {
        const std::lock_guard lock(this->mutex);
        ready.swap(this->tasks);
    }
    const TimePoint now = Clock::now();
    for (const Task &task : ready)
        task(now, this->outbox);
    if (this->stopRequested && !this->stopping) {
        this->stopping = true;
        this->stateMachine.stop(now, *this->sink, this->outbox);
    }
    this->performActions();
}

void PacketLoop::onMalformed(const char *socket, const Datagram &datagram)
{
    this->dependencies.metrics->add(Counter::MalformedDatagrams);
    std::uint64_t suppressed = 0;
    if (!this->malformedLimit.tryAcquire(Clock::now(), suppressed))
        return;
    this->dependencies.log->push({ Level::Warning,
                                   "malformed_datagram",
                                   { { "socket", socket },
                                     { "from", toString(datagram.from) },
                                     { "bytes", std::to_string(datagram.bytes.size()) },
                                     { "truncated", datagram.truncated ? "true" : "false" },
                                     { "suppressed", std::to_string(suppressed) } } });
}

// Sends the packet batches and performs the actions in the outbox.
void PacketLoop::performActions()
{
    this->flush();
    for (const ControlSend &send : this->outbox.control)
        this->sendControl(send);
    if (!this->outbox.control.empty()) {
        this->control.flush();
        const DataSocket::Counts counts = this->control.takeCounts();
        this->dependencies.metrics->add(Counter::ControlDropped, counts.dropped);
    }
    for (StoreCall &call : this->outbox.store)
        this->dependencies.callStore(std::move(call));
    for (Event &event : this->outbox.events)
        this->dependencies.log->push(std::move(event));
    this->outbox.clear();
}

void PacketLoop::sendControl(const ControlSend &send)
{
    std::vector<std::uint8_t> bytes = encodeMessage(send.message);
    this->dependencies.metrics->add(Counter::ControlSent);
    this->dependencies.metrics->add(Counter::ControlBytesSent, bytes.size());
    if (bytes.size() > maxDatagram)
        this->dependencies.deliver(send.to, std::move(bytes));
    else
        this->control.queue(send.to, {}, bytes, PacketLifetime::Temporary);
}

void PacketLoop::flush()
{
    const auto flushSocket = [this](DataSocket &socket) {
        socket.flush();
        const DataSocket::Counts counts = socket.takeCounts();
        if (counts.sent > 0)
            this->dependencies.metrics->add(Counter::PacketsSent, counts.sent);
        if (counts.dropped > 0)
            this->dependencies.metrics->add(Counter::PacketsDropped, counts.dropped);
    };
    flushSocket(this->data);
    if (this->server)
        flushSocket(*this->server);
}

} // namespace cactusdeck

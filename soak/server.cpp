#include "soak/server.h"

#include <cerrno>
#include <utility>

#include <fcntl.h>

namespace cactusdeck::soak {

namespace {

using standin::Packet;
using namespace std::chrono_literals;

std::int64_t ticksOf(TimePoint time)
{
    return time.time_since_epoch().count();
}

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

} // namespace

Server::Server(ServerOptions serverOptions, UdpPort socket, GuaranteeChecks &allGuarantees)
    : options(std::move(serverOptions))
    , port(std::move(socket))
    , guarantees(allGuarantees)
    , heartbeatThread([this] { this->heartbeatLoop(); })
{ }

Server::~Server()
{
    this->isClosing = true;
    this->heartbeatThread.join();
}

std::set<std::string> &Server::executedRequests()
{
    static std::set<std::string> all;
    return all;
}

void Server::startRun(TimePoint now, RunOptions runOptions)
{
    ++this->runs;
    this->flows.clear();
    this->answers.clear();
    this->coldFlows.clear();
    this->isDraining = false;
    this->drainAcknowledged = 0;
    {
        const std::scoped_lock lock(this->heartbeatMutex);
        this->coldUntil = now + runOptions.coldFor;
        if (!runOptions.keepsInstance || this->heartbeat.instance.empty())
            this->heartbeat.instance = this->options.name + "-" + std::to_string(this->runs);
        this->heartbeat.service = this->options.service;
        this->heartbeat.zone = this->options.zone;
        this->heartbeat.address = this->options.address;
        this->heartbeat.startedAt = wallMilliseconds();
        this->heartbeat.sequence = 0;
    }
    this->listen();
    this->isRunning = true;
}

void Server::listen()
{
    namespace ip = boost::asio::ip;
    const ip::tcp::endpoint address(ip::address_v4(this->options.address.address),
                                    this->options.address.port);
    boost::system::error_code error;
    this->listener.emplace(this->io);
    this->listener->open(address.protocol(), error);
    // Keep node processes from inheriting the listener, which would then stay open after this run.
    if (!error && fcntl(this->listener->native_handle(), F_SETFD, FD_CLOEXEC) != 0)
        error.assign(errno, boost::system::system_category());
    if (!error)
        this->listener->set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        this->listener->bind(address, error);
    if (!error)
        this->listener->listen(boost::asio::socket_base::max_listen_connections, error);
    if (!error)
        this->listener->non_blocking(true, error);
    if (!error)
        return;
    this->guarantees.log(Clock::now(), "event=cannot_listen server=" + this->options.name
                                               + " error=\"" + error.message() + "\"");
    this->listener.reset();
}

void Server::acceptAll()
{
    boost::system::error_code error;
    while (this->listener && !error) {
        boost::asio::ip::tcp::socket connection(this->io);
        this->listener->accept(connection, error); // would_block if none is pending
    }
}

void Server::crash()
{
    this->isRunning = false;
    this->listener.reset();
    this->flows.clear();
    this->answers.clear();
}

void Server::finishDrain()
{
    this->crash();
    const std::scoped_lock lock(this->heartbeatMutex);
    this->pendingDeregistration = this->heartbeat;
}

void Server::heartbeatLoop()
{
    auto next = Clock::now();
    while (!this->isClosing) {
        std::this_thread::sleep_for(5ms);
        std::optional<standin::ServerHeartbeat> last;
        {
            const std::scoped_lock lock(this->heartbeatMutex);
            last = std::exchange(this->pendingDeregistration, std::nullopt);
        }
        if (last)
            standin::sendDeregistration(this->options.control, *last);
        const bool hasUnreportedDrain = this->isDraining && this->drainAcknowledged == 0;
        if (!this->isRunning || !this->sendsHeartbeats
            || (Clock::now() < next && !hasUnreportedDrain))
            continue;
        standin::ServerHeartbeat call;
        {
            const std::scoped_lock lock(this->heartbeatMutex);
            ++this->heartbeat.sequence;
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(this->coldUntil
                                                                                    - Clock::now());
            this->heartbeat.coldFor = std::max(0ms, left);
            this->heartbeat.isDraining = this->isDraining;
            call = this->heartbeat;
        }
        const bool isAcknowledged = standin::sendHeartbeat(this->options.control, call);
        const TimePoint now = Clock::now();
        if (isAcknowledged && call.isDraining && this->isDraining && this->drainAcknowledged == 0)
            this->drainAcknowledged = ticksOf(now);
        next = now
               + (isAcknowledged ? Duration(heartbeatInterval) : Duration(heartbeatRetryInterval));
    }
}

bool Server::hasFlow(const FlowKey &key, std::uint32_t sequence) const
{
    const auto found = this->flows.find(key);
    return this->isRunning && found != this->flows.end() && !found->second.isEnded
           && found->second.sequence == sequence;
}

bool Server::hasOpenFlow(const FlowKey &key, std::uint32_t sequence) const
{
    return this->hasFlow(key, sequence) && this->flows.at(key).isOpen;
}

void Server::send(const Packet &packet)
{
    PacketSends sends{ { .to = this->options.outbound, .packet = standin::encode(packet) } };
    this->port.send(sends);
}

void Server::step(TimePoint now)
{
    this->port.receiveAll([&](std::span<const std::uint8_t> bytes, Endpoint) {
        if (this->isRunning)
            this->onPacket(bytes, now);
    });
    this->acceptAll();
    while (!this->answers.empty() && this->answers.front().at <= now) {
        const Answer answer = std::move(this->answers.front());
        this->answers.pop_front();
        const auto flow = this->flows.find(answer.key);
        if (flow == this->flows.end())
            continue;
        flow->second.lastAnswer = answer.packet;
        this->send(answer.packet);
    }
    const std::int64_t acknowledged = this->drainAcknowledged;
    if (this->isRunning && acknowledged != 0 && now > TimePoint(Duration(acknowledged)) + drainTime)
        this->finishDrain();
}

void Server::onPacket(std::span<const std::uint8_t> bytes, TimePoint now)
{
    const std::optional<Packet> packet = standin::decode(bytes);
    this->guarantees.check(Guarantee::PacketsUnchanged, packet && packet->isIntact, now,
                           "end=" + this->options.name);
    if (!packet)
        return;
    const bool isOpening = (packet->flags & tcpflag::syn) != 0;
    if (isOpening) {
        this->onOpening(*packet, now);
        return;
    }
    const auto found = this->flows.find(packet->key);
    // Bounces packets of unknown flows, and of half-open flows whose caller acknowledges another
    // sequence number than this server's SYN-ACK: another server accepted such a flow.
    if (found == this->flows.end()
        || (!found->second.isOpen && packet->acknowledgement != found->second.sequence + 1)) {
        PacketSends sends{ { .to = this->options.outbound, .packet = standin::bounced(bytes) } };
        this->port.send(sends);
        return;
    }
    found->second.isOpen = true;
    this->onData(found->second, *packet, now);
}

void Server::onOpening(const Packet &packet, TimePoint now)
{
    const std::int64_t acknowledged = this->drainAcknowledged;
    const bool isNew = !this->flows.contains(packet.key);
    if (isNew) {
        this->guarantees.check(Guarantee::DrainKept,
                               acknowledged == 0
                                       || now < TimePoint(Duration(acknowledged)) + drainSlack,
                               now, "server=" + this->options.name);
        this->guarantees.check(Guarantee::EvacuationKept,
                               !this->noNewFlowsFrom || now < *this->noNewFlowsFrom, now,
                               "server=" + this->options.name);
        if (now<this->coldUntil &&this->options.coldRequestsPerSecond> 0) {
            while (!this->coldFlows.empty() && this->coldFlows.front() <= now - 1s)
                this->coldFlows.pop_front();
            this->coldFlows.push_back(now);
            const double most = this->options.coldRequestsPerSecond * coldFactor + coldSlack;
            this->guarantees.check(Guarantee::ColdKept, double(this->coldFlows.size()) <= most, now,
                                   "server=" + this->options.name + " flows_in_1s="
                                           + std::to_string(this->coldFlows.size()));
        }
    }
    Flow &flow = this->flows[packet.key];
    if (isNew) {
        this->nextSequence += 100003;
        flow.sequence = this->nextSequence * 7919 + this->options.address.address * 65537;
        flow.sent = flow.sequence + 1;
        flow.received = packet.sequence + 1;
    }
    this->send({ .key = packet.key.reversed(),
                 .flags = tcpflag::syn | tcpflag::ack,
                 .sequence = flow.sequence,
                 .acknowledgement = packet.sequence + 1 });
}

void Server::onData(Flow &flow, const Packet &packet, TimePoint now)
{
    if ((packet.flags & (tcpflag::fin | tcpflag::rst)) != 0) {
        flow.isEnded = true;
        this->send({ .key = packet.key.reversed(),
                     .flags = tcpflag::ack,
                     .sequence = flow.sent,
                     .acknowledgement = packet.sequence + 1 });
        return;
    }
    if (packet.data.empty())
        return;
    if (packet.sequence != flow.received || flow.isEnded) {
        // A duplicate request: its answer is pending or may have been lost.
        if (!flow.lastAnswer.data.empty())
            this->send(flow.lastAnswer);
        return;
    }
    flow.received += std::uint32_t(packet.data.size());
    this->guarantees.check(Guarantee::RequestOnce, executedRequests().insert(packet.data).second,
                           now, "request=" + packet.data + " server=" + this->options.name);
    Packet answer{ .key = packet.key.reversed(),
                   .flags = tcpflag::ack,
                   .sequence = flow.sent,
                   .acknowledgement = flow.received,
                   .data = "answer " + packet.data };
    flow.sent += std::uint32_t(answer.data.size());
    if (this->isDraining) {
        answer.flags |= tcpflag::fin;
        flow.isEnded = true;
    }
    flow.lastAnswer = {};
    this->answers.push_back(
            { .at = now + serviceTime, .key = packet.key, .packet = std::move(answer) });
}

} // namespace cactusdeck::soak

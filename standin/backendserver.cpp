#include "standin/backendserver.h"

#include <algorithm>

namespace cactusdeck {

namespace {

constexpr std::chrono::seconds drainGracePeriod{ 2 }; // guarantee G8: no new connections after this
// Removes half-open connections and connections whose peer has gone away without a reset: both
// have unacknowledged data and have received nothing for this time.
constexpr std::chrono::seconds deadPeerTimeout{ 20 };
constexpr double jitter = 0.2; // the service time varies by this fraction up or down

void moveTo(Endpoint to, PacketList &packets, PacketSends &out)
{
    for (auto &packet : packets)
        out.push_back({ to, std::move(packet) });
    packets.clear();
}

} // namespace

BackendServer::BackendServer(BackendOptions backendOptions, TimePoint now)
    : options(std::move(backendOptions))
    , random(this->options.seed)
    , coldSince(now)
{
    this->isCold = this->options.coldCompletions > 0;
    this->startedAt = this->options.startedAt;
}

BackendServer::Connection *BackendServer::find(const FlowKey &key)
{
    const auto found = this->connectionsByKey.find(key);
    return found == this->connectionsByKey.end() ? nullptr : &found->second;
}

void BackendServer::onPacket(std::span<const std::uint8_t> packet, Endpoint agent, TimePoint now,
                             PacketSends &out)
{
    const auto view = parsePacket(packet);
    if (!view || view->key.protocol != Protocol::Tcp)
        return;
    ++this->packetCount;
    this->lastPacket = now;
    const auto &addresses = this->options.addresses;
    if (!addresses.empty()
        && std::find(addresses.begin(), addresses.end(), view->key.destination)
                   == addresses.end()) {
        ++this->misdelivered;
        return;
    }
    Connection *connection = this->find(view->key.reversed());
    // A SYN with a different initial sequence number starts a new connection on a reused port.
    if (connection && view->isSyn() && view->sequence != connection->tcp.peerInitialSequence()) {
        this->cancelWaiting(*connection);
        this->connectionsByKey.erase(view->key.reversed());
        connection = nullptr;
    }
    if (!connection) {
        this->accept(*view, agent, now, out);
        return;
    }
    PacketList packets;
    connection->agent = agent;
    connection->tcp.onPacket(*view, now, packets);
    connection->input += connection->tcp.takeReceived();
    this->readRequest(*connection, now);
    if (connection->tcp.isPeerClosed() && !connection->isBusy)
        connection->tcp.close(now, packets);
    moveTo(agent, packets, out);
    if (!connection->tcp.isOpen()) {
        this->cancelWaiting(*connection);
        this->connectionsByKey.erase(view->key.reversed());
    }
    this->startWaiting(now);
}

void BackendServer::accept(const PacketView &view, Endpoint agent, TimePoint now, PacketSends &out)
{
    if (view.has(tcpflag::rst))
        return;
    const bool isFull = this->connectionsByKey.size() >= this->options.connections;
    if (!view.isSyn() || isFull) {
        this->shed += view.isSyn() ? 1 : 0;
        out.push_back({ agent, buildResetFor(view) });
        return;
    }
    if (this->isDraining && now - this->drainedAt > drainGracePeriod)
        ++this->acceptedAfterDrain;
    PacketList packets;
    const TcpOptions tcp{ .key = view.key.reversed(),
                          .initialSequence = std::uint32_t(this->random()) };
    this->accepted[toString(view.key)] = tcp.initialSequence;
    this->connectionsByKey.emplace(tcp.key,
                                   Connection{ TcpConnection::accept(tcp, view, now, packets),
                                               agent, this->nextConnection++ });
    moveTo(agent, packets, out);
}

void BackendServer::readRequest(Connection &connection, TimePoint now)
{
    if (connection.isBusy)
        return;
    const auto line = takeLine(connection.input);
    if (!line)
        return;
    const auto request = decodeRequest(*line);
    if (!request)
        return;
    connection.isBusy = true;
    const std::size_t inProgress = this->running.size() + this->waiting.size() + 1;
    this->maxInProgress = std::max(this->maxInProgress, inProgress);
    if (this->isCold && inProgress > this->options.coldSlots) {
        const bool isUnwarned =
                this->isSilent && now - this->coldSince <= this->options.coldGracePeriod;
        ++(isUnwarned ? this->unwarnedOverloads : this->overloads);
    }
    this->waiting.push_back({ connection.tcp.key(), connection.number, *request, {} });
}

void BackendServer::startWaiting(TimePoint now)
{
    while (!this->waiting.empty() && this->running.size() < this->options.slots) {
        Job job = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->startJob(std::move(job), now);
    }
}

void BackendServer::startJob(Job job, TimePoint now)
{
    ++this->executed[job.request.id];
    std::uniform_real_distribution<double> spread(1 - jitter, 1 + jitter);
    double factor = spread(this->random) / this->options.speed;
    if (this->isCold) {
        factor *= this->options.coldFactor;
        if (this->running.size() >= this->options.coldSlots)
            factor *= this->options.overloadFactor;
    }
    job.finishAt = now
                   + std::chrono::duration_cast<Duration>(
                           std::chrono::duration<double>(this->options.latency) * factor);
    this->running.push_back(std::move(job));
}

void BackendServer::finishJob(const Job &job, TimePoint now, PacketSends &out)
{
    ++this->completions;
    if (this->isCold && ++this->completionsSinceCold >= this->options.coldCompletions)
        this->isCold = this->isSilent = false;
    Connection *connection = this->find(job.key);
    if (!connection || connection->number != job.connection)
        return;
    connection->isBusy = false;
    PacketList packets;
    connection->tcp.write(encodeAnswer(job.request, this->options.name, this->options.zone), now,
                          packets);
    this->readRequest(*connection, now);
    if (connection->tcp.isPeerClosed() && !connection->isBusy)
        connection->tcp.close(now, packets);
    moveTo(connection->agent, packets, out);
}

void BackendServer::cancelWaiting(const Connection &connection)
{
    this->cancelled += std::erase_if(
            this->waiting, [&](const Job &job) { return job.connection == connection.number; });
}

void BackendServer::onTimer(TimePoint now, PacketSends &out)
{
    const auto isDone = [&](const Job &job) { return job.finishAt <= now; };
    const auto middle = std::stable_partition(this->running.begin(), this->running.end(),
                                              [&](const Job &job) { return !isDone(job); });
    const std::vector<Job> done(middle, this->running.end());
    this->running.erase(middle, this->running.end());
    for (const Job &job : done)
        this->finishJob(job, now, out);
    std::erase_if(this->connectionsByKey, [&](const auto &entry) {
        const TcpConnection &tcp = entry.second.tcp;
        return !tcp.isAllAcknowledged() && now - tcp.lastHeard() > deadPeerTimeout;
    });
    PacketList packets;
    for (auto &[key, connection] : this->connectionsByKey) {
        connection.tcp.onTimer(now, packets);
        moveTo(connection.agent, packets, out);
    }
    this->startWaiting(now);
}

void BackendServer::drain(TimePoint now)
{
    if (!this->isDraining)
        this->drainedAt = now;
    this->isDraining = true;
}

void BackendServer::becomeCold(TimePoint now, bool silent)
{
    this->isCold = true;
    this->isSilent = silent;
    this->coldSince = now;
    this->completionsSinceCold = 0;
}

void BackendServer::turnColdSilently(TimePoint now)
{
    this->becomeCold(now, true);
}

void BackendServer::restart(TimePoint now)
{
    this->connectionsByKey.clear();
    this->waiting.clear();
    this->running.clear();
    this->isDraining = false;
    ++this->startedAt;
    this->becomeCold(now, false);
}

const char *BackendServer::status() const
{
    if (!this->options.fixedHealthStatus.empty())
        return this->options.fixedHealthStatus.c_str();
    if (this->isDraining)
        return "draining";
    if (this->connectionsByKey.size() >= this->options.connections)
        return "shedding";
    return this->isCold && !this->isSilent ? "cold" : "serving";
}

nlohmann::json BackendServer::health(TimePoint now)
{
    this->healthHistory.emplace_back(
            now, nlohmann::json{ { "status", this->status() },
                                 { "startedAt", this->startedAt },
                                 { "inProgress", this->running.size() + this->waiting.size() } });
    while (this->healthHistory.size() > 1
           && this->healthHistory[1].first <= now - this->options.healthLag)
        this->healthHistory.pop_front();
    return this->healthHistory.front().second;
}

nlohmann::json BackendServer::counters(TimePoint now, std::int64_t wallMilliseconds) const
{
    const auto sinceLast =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - this->lastPacket).count();
    return { { "name", this->options.name },
             { "zone", this->options.zone },
             { "packets", this->packetCount },
             { "misdelivered", this->misdelivered },
             { "overloads", this->overloads },
             { "unwarnedOverloads", this->unwarnedOverloads },
             { "shed", this->shed },
             { "acceptedAfterDrain", this->acceptedAfterDrain },
             { "completions", this->completions },
             { "cancelled", this->cancelled },
             { "maxInProgress", this->maxInProgress },
             { "connections", this->connectionsByKey.size() },
             { "isCold", this->isCold },
             // Milliseconds since the epoch; 0: no packet yet.
             { "lastPacketAt", this->packetCount == 0 ? 0 : wallMilliseconds - sinceLast },
             { "executed", this->executed },
             { "accepted", this->accepted } };
}

} // namespace cactusdeck

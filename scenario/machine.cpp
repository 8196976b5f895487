#include "scenario/machine.h"

#include <array>
#include <utility>

#include "core/frame.h"

namespace cactusdeck::scenario {

namespace {

// Delay between an agent and the server on the same machine.
constexpr std::chrono::microseconds localDelay{ 20 };
constexpr std::uint8_t ipVersion4 = 4;

ServerStatus statusOf(const std::string &name)
{
    constexpr std::array names = { "serving", "cold", "shedding", "draining" };
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (name == names[i])
            return ServerStatus(i);
    }
    return ServerStatus::Serving;
}

} // namespace

Machine::Machine(Location ownLocation, const BalancerOptions &options,
                 MachineEnvironment &ownEnvironment)
    : reachableSince(ownEnvironment.simulation.now())
    , machineLocation(std::move(ownLocation))
    , machineEnvironment(&ownEnvironment)
    , dataEndpoint(options.data)
    , controlEndpoint(options.control)
    , balancer(options)
{ }

Machine::Machine(Location ownLocation, const AgentOptions &options, const BackendOptions &backend,
                 MachineEnvironment &ownEnvironment)
    : reachableSince(ownEnvironment.simulation.now())
    , machineLocation(std::move(ownLocation))
    , machineEnvironment(&ownEnvironment)
    , dataEndpoint(options.data)
    , controlEndpoint(options.control)
    , agentOptions(options)
    , agent(options)
    , server(BackendServer(backend, ownEnvironment.simulation.now()))
    , serverSpeed(backend.speed)
{ }

void Machine::start()
{
    if (this->balancer)
        this->balancer->start(this->now(), this->outbox);
    else
        this->agent->start(this->now(), this->outbox);
    this->flushOutbox();
}

void Machine::tick()
{
    if (this->isPaused())
        return;
    for (const Input &input : std::exchange(this->pendingInputs, {}))
        input();
    if (this->balancer)
        this->balancer->onTimer(this->now(), *this, this->outbox);
    else
        this->agent->onTimer(this->now(), *this, this->outbox);
    this->flushOutbox();
}

void Machine::tickServer()
{
    if (!this->server || this->isPaused())
        return;
    PacketSends sends;
    this->server->onTimer(this->now(), sends);
    this->sendFromServer(sends);
}

void Machine::pollHealth()
{
    if (!this->agent || this->isPaused())
        return;
    const nlohmann::json health = this->server->health(this->now());
    this->agent->onServerHealth({ .reachable = true,
                                  .status = statusOf(health.at("status").get<std::string>()),
                                  .startedAt = health.at("startedAt").get<std::uint64_t>(),
                                  .inProgress = health.at("inProgress").get<std::uint32_t>() },
                                this->now(), this->outbox);
    this->flushOutbox();
}

void Machine::stop()
{
    this->stoppedAt = this->now();
    if (this->balancer) {
        this->balancer->stop(this->now(), *this, this->outbox);
    } else {
        this->agent->stop(this->now(), this->outbox);
        this->server->drain(this->now());
    }
    this->flushOutbox();
}

void Machine::pause(Duration duration)
{
    this->pausedUntil = this->now() + duration;
    this->reachableSince = this->pausedUntil;
}

void Machine::restartAgent(const std::vector<Endpoint> &seeds)
{
    this->agentOptions->seeds = seeds;
    ++this->agentOptions->incarnation;
    this->agentOptions->serverMayHoldFlows = true;
    this->agent.emplace(*this->agentOptions);
    this->highestVersion = 0;
    this->reachableSince = this->now();
    this->start();
}

void Machine::receive(const Input &input)
{
    if (!this->up)
        return;
    if (this->isPaused()) {
        this->pendingInputs.push_back(input);
        return;
    }
    input();
    this->flushOutbox();
}

void Machine::receiveData(const std::vector<std::uint8_t> &bytes)
{
    this->receive([this, bytes] {
        if (this->agent)
            this->agent->onFrame(bytes, this->now(), *this, this->outbox);
        else if (!bytes.empty() && bytes[0] >> 4 == ipVersion4)
            this->balancer->onPacket(bytes, this->now(), *this, this->outbox);
        else
            this->balancer->onFrame(bytes, this->now(), *this, this->outbox);
    });
}

void Machine::receiveControl(const ControlMessage &message)
{
    this->receive([this, message] {
        if (this->balancer)
            this->balancer->onControl(message, this->now(), this->outbox);
        else
            this->agent->onControl(message, this->now(), this->outbox);
    });
}

void Machine::receiveStoreAnswer(const StoreAnswer &answer)
{
    this->receive([this, answer] {
        if (this->balancer)
            this->balancer->onStoreAnswer(answer, this->now(), this->outbox);
    });
}

bool Machine::hasStopped() const
{
    return this->stoppedAt
           && (this->balancer ? this->balancer->isStopped(this->now())
                              : this->agent->isStopped(this->now()));
}

ConfigurationVersion Machine::version() const
{
    return this->balancer ? this->balancer->configurationVersion()
                          : this->agent->configurationVersion();
}

nlohmann::json Machine::status() const
{
    return this->balancer ? this->balancer->status(this->now()) : this->agent->status(this->now());
}

void Machine::flushOutbox()
{
    Outbox sent = std::exchange(this->outbox, {});
    for (const ControlSend &send : sent.control)
        this->machineEnvironment->sendControl(*this, send);
    for (const StoreCall &call : sent.store)
        this->machineEnvironment->callStore(*this, call);
    for (const Event &event : sent.events)
        this->machineEnvironment->log(*this, event);
}

void Machine::sendFromServer(PacketSends &sends)
{
    for (PacketSend &send : sends) {
        this->simulation().after(localDelay, [this, packet = std::move(send.packet)] {
            this->receive([this, packet] {
                this->agent->onServerPacket(packet, this->now(), *this, this->outbox);
            });
        });
    }
}

void Machine::toServer(std::span<const std::uint8_t> packet)
{
    const auto view = parsePacket(packet);
    if (view && view->isSyn())
        this->lastNewFlow = this->now();
    PacketSends sends;
    this->server->onPacket(packet, this->dataEndpoint, this->now(), sends);
    this->sendFromServer(sends);
}

void Machine::toFabric(std::span<const std::uint8_t> packet)
{
    this->machineEnvironment->sendData(*this, fabricEndpoint, { packet.begin(), packet.end() });
}

void Machine::toNode(Endpoint to, std::span<const std::uint8_t> header,
                     std::span<const std::uint8_t> packet)
{
    std::vector<std::uint8_t> bytes(header.begin(), header.end());
    bytes.insert(bytes.end(), packet.begin(), packet.end());
    this->machineEnvironment->sendData(*this, to, std::move(bytes));
}

} // namespace cactusdeck::scenario

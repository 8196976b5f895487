#include "scenario/site.h"

#include <ostream>

#include "core/frame.h"

namespace cactusdeck::scenario {

namespace {

constexpr std::chrono::milliseconds fastInterval{ 5 }; // timer of callers and servers
constexpr std::chrono::milliseconds healthInterval{ 500 };
constexpr std::chrono::seconds rateWindow{ 10 };
constexpr std::uint32_t balancerNetwork = 0x0A010000; // 10.1.0.0
constexpr std::uint32_t serverNetwork = 0x0A020000; // 10.2.0.0
constexpr std::uint16_t dataPort = 7100;
constexpr std::uint16_t controlPort = 7101;
constexpr std::uint32_t initialSeedCount = 3; // seeds of nodes that start before any balancer is up
constexpr std::size_t flowCacheEntries = 1 << 14;

const Location fabricLocation{ "fabric", "" };
const Location storeLocation{ "store", "" };

} // namespace

Site::Site(SiteOptions siteOptions)
    : simulation(siteOptions.seed)
    , options(siteOptions)
    , machineEnvironment{
        this->simulation,
        [this](Machine &from, Endpoint to, std::vector<std::uint8_t> bytes) {
            this->sendData(from, to, std::move(bytes));
        },
        [this](Machine &from, const ControlSend &send) { this->sendControl(from, send); },
        [this](Machine &from, const StoreCall &call) { this->callStore(from, call); },
        [this](const Machine &from, const Event &event) { this->log(from, event); }
    }
{
    this->changes.onZoneState = [this](const std::string &name, bool isOut) {
        if (isOut)
            this->zones[name].takeOut(this->simulation.now());
        else
            this->zones[name].putIn();
    };
}

void Site::addZone(const std::string &name)
{
    this->zones.try_emplace(name);
    this->changes.knownZones.push_back({ name });
}

void Site::addService(const ServiceContract &contract)
{
    this->contracts[contract.service.value] = contract;
}

std::vector<Endpoint> Site::seeds() const
{
    std::vector<Endpoint> result;
    for (const auto &machine : this->machines) {
        if (machine->isUp() && machine->isBalancer())
            result.push_back(machine->control());
    }
    for (std::uint32_t i = 1; result.empty() && !this->hasBegun && i <= initialSeedCount; ++i)
        result.push_back({ balancerNetwork + i, controlPort });
    return result;
}

Machine &Site::launch(std::unique_ptr<Machine> machine)
{
    Machine &started = *this->machines.emplace_back(std::move(machine));
    this->endpoints[started.data()] = &started;
    this->endpoints[started.control()] = &started;
    started.start();
    return started;
}

Machine &Site::startBalancer(const std::string &name, const std::string &zone)
{
    const std::uint32_t address = balancerNetwork + this->nextBalancer++;
    return this->launch(
            std::make_unique<Machine>(Location{ name, zone },
                                      BalancerOptions{ .id = { name },
                                                       .zone = { zone },
                                                       .data = { address, dataPort },
                                                       .control = { address, controlPort },
                                                       .fabric = fabricEndpoint,
                                                       .seeds = this->seeds(),
                                                       .seed = this->simulation.random()(),
                                                       .flowCacheEntries = flowCacheEntries,
                                                       .placement = this->options.placement },
                                      this->machineEnvironment));
}

Machine &Site::startServer(const std::string &name, const std::string &zone,
                           const std::string &service, BackendOptions backend,
                           const std::string &reusing)
{
    std::uint32_t address = serverNetwork + this->nextServer++;
    for (const auto &machine : this->machines) {
        if (!reusing.empty() && machine->location().machine == reusing)
            address = machine->data().address;
    }
    const ServiceContract &contract = this->contracts.at(service);
    backend.name = name;
    backend.zone = zone;
    backend.seed = this->simulation.random()();
    backend.slots = contract.slots;
    backend.connections = contract.connections;
    backend.coldSlots = contract.coldSlots;
    for (const ServiceAddress &serviceAddress : contract.addresses)
        backend.addresses.push_back(serviceAddress.endpoint);
    Machine &machine = this->launch(
            std::make_unique<Machine>(Location{ name, zone },
                                      AgentOptions{ .id = { name },
                                                    .zone = { zone },
                                                    .data = { address, dataPort },
                                                    .control = { address, controlPort },
                                                    .group = contract.groups.front(),
                                                    .seeds = this->seeds(),
                                                    .seed = this->simulation.random()() },
                                      backend, this->machineEnvironment));
    this->serviceOf[&machine] = service;
    return machine;
}

Machine &Site::machine(const std::string &name)
{
    for (const auto &machine : this->machines) {
        if (machine->isUp() && machine->location().machine == name)
            return *machine;
    }
    throw std::out_of_range("no machine \"" + name + "\" is up");
}

Machine *Site::machineAt(Endpoint endpoint)
{
    const auto found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() || !found->second->isUp() ? nullptr : found->second;
}

std::vector<Machine *> Site::upMachines()
{
    std::vector<Machine *> result;
    for (const auto &machine : this->machines) {
        if (machine->isUp())
            result.push_back(machine.get());
    }
    return result;
}

void Site::publish()
{
    std::vector<ServiceContract> all;
    for (const auto &[name, contract] : this->contracts)
        all.push_back(contract);
    this->changes.publish(all);
}

void Site::setZone(const std::string &name, ZoneState state)
{
    this->changes.setZone(name, state);
    this->fabric->setZoneOut(name, state == ZoneState::Out, this->simulation.now());
}

void Site::heal(const std::string &name, Traffic traffic)
{
    this->network.heal(name, traffic);
    for (Machine *machine : this->upMachines()) {
        if (machine->location().zone == name || machine->location().machine == name)
            machine->reachableSince = this->simulation.now();
    }
}

void Site::begin()
{
    this->hasBegun = true;
    this->fabricOptions.seed = this->simulation.random()();
    this->fabric = std::make_unique<Fabric>(this->fabricOptions);
    this->publish();
    this->tick();
    this->fastTick();
}

void Site::run(Duration duration)
{
    if (!this->hasBegun)
        this->begin();
    this->simulation.runUntil(this->simulation.now() + duration);
}

void Site::finish()
{
    this->fabric->finish(this->simulation.now());
    while (!this->fabric->isDone(this->simulation.now()))
        this->run(tickInterval);
}

void Site::tick()
{
    const auto tickCount = this->simulation.elapsed() / tickInterval;
    for (Machine *machine : this->upMachines()) {
        if (tickCount % (healthInterval / tickInterval) == 0)
            machine->pollHealth();
        machine->tick();
        if (machine->hasStopped())
            machine->fail();
    }
    this->changes.tick(this->upMachines());
    this->simulation.after(tickInterval, [this] { this->tick(); });
}

void Site::fastTick()
{
    for (Machine *machine : this->upMachines())
        machine->tickServer();
    if (this->simulation.elapsed() >= this->options.trafficAfter) {
        PacketSends sends;
        this->fabric->onTimer(this->simulation.now(), sends);
        this->sendFromFabric(sends);
    }
    this->simulation.after(fastInterval, [this] { this->fastTick(); });
}

void Site::sendFromFabric(PacketSends &sends)
{
    for (PacketSend &send : sends) {
        const Machine *to = this->machineAt(send.to);
        if (to == nullptr)
            continue;
        this->network.send(fabricLocation, to->location(), Traffic::Data,
                           [this, endpoint = send.to, packet = std::move(send.packet)] {
                               this->deliverData(endpoint, packet);
                           });
    }
}

void Site::deliverData(Endpoint to, const std::vector<std::uint8_t> &bytes)
{
    Machine *machine = this->machineAt(to);
    if (machine == nullptr)
        return;
    if (frameKindOf(bytes) != FrameKind::Reply)
        this->zones[machine->location().zone].onPacket(this->simulation.now());
    machine->receiveData(bytes);
}

void Site::sendData(Machine &from, Endpoint to, std::vector<std::uint8_t> bytes)
{
    if (this->isSuppressed(bytes))
        return;
    if (to == fabricEndpoint) {
        this->network.send(from.location(), fabricLocation, Traffic::Data,
                           [this, packet = std::move(bytes)] {
                               PacketSends sends;
                               this->fabric->onDatagram(packet, this->simulation.now(), sends);
                               this->sendFromFabric(sends);
                           });
        return;
    }
    const Machine *target = this->machineAt(to);
    if (target == nullptr)
        return;
    this->network.send(from.location(), target->location(), Traffic::Data,
                       [this, to, frame = std::move(bytes)] { this->deliverData(to, frame); });
}

void Site::sendControl(Machine &from, const ControlSend &send)
{
    const std::size_t size = encodedSize(send.message);
    this->recordControlTraffic(from, size);
    const Machine *target = this->machineAt(send.to);
    if (target == nullptr || this->isSuppressed(send.message))
        return;
    const Simulation::Action deliver = [this, send] {
        if (Machine *machine = this->machineAt(send.to))
            machine->receiveControl(send.message);
    };
    // Messages larger than a datagram are sent over TCP, which retransmits lost segments: only a
    // cut loses them, and they take three times the one-way delay.
    if (size <= maxDatagram)
        this->network.send(from.location(), target->location(), Traffic::Control, deliver);
    else if (!this->network.isCut(from.location(), target->location(), Traffic::Control))
        this->simulation.after(3 * this->network.link(Traffic::Control).delay, deliver);
}

void Site::recordControlTraffic(Machine &from, std::size_t size)
{
    from.controlBytes += size;
    from.controlWindow.emplace_back(this->simulation.now(), size);
    from.controlWindowBytes += size;
    while (from.controlWindow.front().first <= this->simulation.now() - rateWindow) {
        from.controlWindowBytes -= from.controlWindow.front().second;
        from.controlWindow.pop_front();
    }
    this->controlRate =
            std::max(this->controlRate, double(from.controlWindowBytes) / rateWindow.count());
}

// Store calls use TCP, so that only a network cut loses calls and answers.
void Site::callStore(Machine &from, const StoreCall &call)
{
    if (this->network.isCut(from.location(), storeLocation, Traffic::Control))
        return;
    Machine *sender = &from;
    this->store.execute(call, [this, sender](const StoreAnswer &answer) {
        if (!this->network.isCut(storeLocation, sender->location(), Traffic::Control))
            sender->receiveStoreAnswer(answer);
    });
}

void Site::log(const Machine &from, const Event &event)
{
    if (this->options.log == nullptr || event.level == Level::Debug)
        return;
    std::ostream &out = *this->options.log;
    out << "time=" << std::chrono::duration<double>(this->simulation.elapsed()).count()
        << " node=" << from.location().machine << " event=" << event.name;
    for (const auto &[key, value] : event.fields)
        out << ' ' << key << '=' << value;
    out << '\n';
}

bool Site::isSuppressed(std::vector<std::uint8_t> &frame) const
{
    const auto kind = frameKindOf(frame);
    if (this->options.without == Mechanism::Replies)
        return kind == FrameKind::Reply;
    if (this->options.without != Mechanism::Chain || kind != FrameKind::Forward)
        return false;
    auto forward = decodeForward(frame);
    if (!forward || forward->hopIndex > 0)
        return forward.has_value();
    const std::vector<std::uint8_t> packet(forward->packet.begin(), forward->packet.end());
    forward->hopCount = 1;
    FrameBuffer buffer;
    const auto header = encodeForward(*forward, buffer);
    frame.assign(header.begin(), header.end());
    frame.insert(frame.end(), packet.begin(), packet.end());
    return false;
}

bool Site::isSuppressed(const ControlMessage &message) const
{
    if (this->options.without == Mechanism::Holdings)
        return std::holds_alternative<HoldingsReport>(message);
    if (this->options.without == Mechanism::Notices)
        return std::holds_alternative<ConfigurationNotice>(message);
    return this->options.without == Mechanism::Gossip && std::holds_alternative<Gossip>(message);
}

} // namespace cactusdeck::scenario

#include "soak/soak.h"

#include <algorithm>
#include <csignal>
#include <filesystem>

namespace cactusdeck::soak {

namespace {

using namespace std::chrono_literals;

constexpr std::array zones = { "zone-a", "zone-b" };
constexpr std::array services = { "booking", "tickets" };
constexpr std::uint32_t loopback = 127u << 24;
// Third byte of the loopback addresses.
constexpr std::uint8_t balancerNet = 10;
constexpr std::uint8_t agentNet = 20;
constexpr std::uint8_t callerNet = 30;
constexpr std::uint8_t storeNet = 40;
constexpr std::size_t seedCount = 3;
constexpr std::uint32_t routeAddress = 0xC6120001; // 198.18.0.1, reserved for benchmarks (RFC 2544)
constexpr std::uint16_t routePort = 443;
constexpr std::uint16_t changingPort = 444;

std::uint32_t addressOf(std::uint8_t network, std::uint8_t net, std::size_t host)
{
    return loopback | std::uint32_t(network) << 16 | std::uint32_t(net) << 8
           | std::uint32_t(host + 1);
}

std::vector<Endpoint> seedsOf(const SoakOptions &options)
{
    std::vector<Endpoint> seeds;
    for (std::size_t i = 0; i < std::min(seedCount, options.balancers); ++i)
        seeds.push_back({ addressOf(options.network, balancerNet, i), meshPort });
    return seeds;
}

} // namespace

const std::vector<Soak::NamedFault> Soak::faults = {
    { "kill_node", &Soak::killNode },
    { "kill_balancers", &Soak::killBalancers },
    { "kill_everything", &Soak::killEverything },
    { "freeze_node", &Soak::freezeNode },
    { "stop_balancer", &Soak::stopBalancer },
    { "disturb_store", &Soak::disturbStore },
    { "crash_server", &Soak::crashServer },
    { "drain_server", &Soak::drainServer },
    { "change_route", &Soak::changeRoute },
    { "evacuate", &Soak::evacuate },
    { "lose_packets", &Soak::losePackets },
    { "lose_heartbeats", &Soak::loseHeartbeats },
};

Soak::Soak(SoakOptions soakOptions)
    : options(std::move(soakOptions))
    , random(this->options.seed)
    , now(Clock::now())
    , guarantees(this->now)
    , storeEndpoint{ addressOf(this->options.network, storeNet, 0), storePort }
    , fleet({ .program = this->options.program,
              .folder = this->options.folder,
              .store = this->storeEndpoint,
              .seeds = seedsOf(this->options) },
            this->guarantees)
{ }

Duration Soak::randomDuration(std::chrono::milliseconds least, std::chrono::milliseconds most)
{
    return std::chrono::milliseconds(
            std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(this->random));
}

Result<void> Soak::build()
{
    std::error_code error;
    std::filesystem::create_directories(this->options.folder, error);
    if (error)
        return fail(ErrorKind::Io, this->options.folder + ": " + error.message());
    BOOST_LEAF_CHECK(this->store.start(this->storeEndpoint));
    CallersOptions callerOptions{ .host = addressOf(this->options.network, callerNet, 0),
                                  .changingRoute = { routeAddress, changingPort },
                                  .seed = this->options.seed };
    this->changingRoute = callerOptions.changingRoute;
    this->publication.coldRequestsPerSecond = coldRequestsPerSecond;
    for (std::size_t i = 0; i < services.size(); ++i) {
        const Endpoint route{ routeAddress + std::uint32_t(i), routePort };
        callerOptions.routes.push_back(route);
        this->publication.routes[route] = services[i];
    }
    for (std::size_t i = 0; i < this->options.balancers; ++i)
        BOOST_LEAF_CHECK(
                this->fleet.add({ .name = "b" + std::to_string(i + 1),
                                  .role = "balancer",
                                  .zone = zones[i % zones.size()],
                                  .address = addressOf(this->options.network, balancerNet, i) }));
    for (std::size_t i = 0; i < this->options.serversPerService * services.size(); ++i) {
        const std::uint32_t address = addressOf(this->options.network, agentNet, i);
        const std::string zone = zones[i / services.size() % zones.size()];
        const std::string service = services[i % services.size()];
        const std::string number = std::to_string(i + 1);
        BOOST_LEAF_CHECK(this->fleet.add({ .name = "a" + number,
                                           .role = "agent",
                                           .zone = zone,
                                           .address = address,
                                           .service = service }));
        BOOST_LEAF_AUTO(port, UdpPort::open({ address, serverPort }));
        this->servers.push_back(std::make_unique<Server>(
                ServerOptions{ .name = "s" + number,
                               .service = service,
                               .zone = zone,
                               .address = { address, serverPort },
                               .outbound = { address, outboundPort },
                               .control = { address, controlPort },
                               .coldRequestsPerSecond = coldRequestsPerSecond },
                std::move(port), this->guarantees));
    }
    BOOST_LEAF_AUTO(port, UdpPort::open({ callerOptions.host, packetPort }));
    this->callers = std::make_unique<Callers>(callerOptions, std::move(port), this->fleet,
                                              this->servers, this->guarantees);
    return {};
}

void Soak::publish()
{
    // Versions may skip numbers; nodes must accept gaps.
    this->publication.version += 1 + this->random() % 3;
    this->store.publish(this->publication);
}

Result<bool> Soak::run()
{
    BOOST_LEAF_CHECK(this->build());
    this->publication.routes[this->changingRoute] = services[0];
    this->publish();
    for (std::size_t i = 0; i < this->fleet.size(); ++i)
        BOOST_LEAF_CHECK(this->fleet.start(i, this->now));
    this->fleet.startReadinessProbes();
    for (const auto &server : this->servers)
        server->startRun(this->now, {});
    // Callers start once the nodes have had time to start.
    const TimePoint traffic = Clock::now() + warmUp;
    while (Clock::now() < traffic)
        std::this_thread::sleep_for(10ms);
    const TimePoint faultsEnd = Clock::now() + this->options.faultTime;
    this->scheduleFaults(Clock::now() + warmUp, faultsEnd);
    if (this->options.seed >= firstSeedWithRestores)
        this->scheduleRestores(Clock::now() + warmUp, faultsEnd);
    this->runUntil(faultsEnd);
    this->finishActions();
    if (this->options.seed >= firstSeedWithRestores) {
        this->restoreBesidesNoFault();
        this->finishActions();
    }
    this->guarantees.log(this->now, "event=faults_ended");
    this->runUntil(this->now + settleTime);
    this->callers->setOpeningsMustSucceed(true);
    this->runUntil(this->now + openingCheckTime);
    this->callers->setOpeningsMustSucceed(false);
    this->checkDirectory();
    for (std::size_t i = 0; i < this->fleet.size(); ++i)
        this->fleet.requestStop(i, this->now);
    const TimePoint stopEnd = this->now + stopLimit;
    while (Clock::now() < stopEnd && this->fleet.hasRunning())
        this->step();
    for (std::size_t i = 0; i < this->fleet.size(); ++i)
        this->guarantees.check(Guarantee::CleanExit, this->fleet.at(i).state == Fleet::State::Down,
                               this->now, "node=" + this->fleet.at(i).options.name + " still=up");
    this->store.stop();
    return this->report();
}

void Soak::runUntil(TimePoint end)
{
    while (Clock::now() < end)
        this->step();
}

void Soak::finishActions()
{
    while (!this->actions.empty())
        this->step();
}

void Soak::step()
{
    this->now = Clock::now();
    while (!this->actions.empty() && this->actions.begin()->first <= this->now) {
        const Action action = std::move(this->actions.extract(this->actions.begin()).mapped());
        action(this->now);
    }
    this->copyStore();
    this->fleet.step(this->now);
    this->updateExpectations();
    for (const auto &server : this->servers)
        server->step(this->now);
    this->callers->step(this->now);
}

// The bounds on route changes and evacuations are suspended during a fault of the store or of a
// balancer and for catchUpTime after it; those on evacuations also for faults of agents.
void Soak::updateExpectations()
{
    const bool isCatchingUp = this->hasStoreFault
                              || this->now - this->storeFaultEndedAt < catchUpTime
                              || this->fleet.wasAnyUnavailable(this->now, catchUpTime, true);
    const bool isRouted = this->publication.routes.contains(this->changingRoute);
    Expectation expected = isRouted ? Expectation::Served : Expectation::Unserved;
    if (isCatchingUp || this->now - this->routeChangedAt < changeLimit)
        expected = Expectation::Either;
    this->callers->setChangingRoute(expected);
    for (const auto &server : this->servers) {
        const auto returned = this->returnedAt.find(server->settings().zone);
        if (returned != this->returnedAt.end() && !isCatchingUp
            && this->now - returned->second >= changeLimit)
            this->returnedAt.erase(returned);
        const auto zone = this->evacuatedAt.find(server->settings().zone);
        server->setMayLosePackets(zone != this->evacuatedAt.end()
                                  || this->returnedAt.contains(server->settings().zone));
        std::optional<TimePoint> from;
        if (zone != this->evacuatedAt.end() && !isCatchingUp
            && !this->fleet.wasAnyUnavailable(this->now, catchUpTime, false))
            from = zone->second + evacuationLimit;
        server->setNoNewFlowsFrom(from);
    }
}

void Soak::scheduleFaults(TimePoint from, TimePoint until)
{
    for (TimePoint at = from; at < until; at += this->randomDuration(300ms, 2500ms)) {
        const NamedFault &fault = faults[this->random() % faults.size()];
        this->actions.emplace(at, [this, &fault](TimePoint time) {
            this->inject(fault.name, fault.begin, time);
        });
    }
}

void Soak::scheduleRestores(TimePoint from, TimePoint until)
{
    for (TimePoint at = from + this->randomDuration(0ms, 6000ms); at < until;
         at += this->randomDuration(5000ms, 10000ms))
        this->actions.emplace(at, [this](TimePoint time) { this->restoreSoon(time); });
}

void Soak::inject(const char *name, Fault fault, TimePoint at)
{
    ++this->injected[name];
    this->guarantees.log(at, std::string("event=fault kind=") + name);
    (this->*fault)(at);
}

void Soak::copyStore()
{
    // A copy must have what the operator takes it to have.
    if (this->hasLostWrites
        || (!this->copies.empty() && this->now - this->copies.back().at < copyInterval))
        return;
    StoreCopy copy{ .at = this->now,
                    .content = this->store.copy(),
                    .version = this->publication.version };
    for (const auto &[zone, since] : this->evacuatedAt)
        copy.evacuatedZones.insert(zone);
    this->copies.push_back(std::move(copy));
    while (this->now - this->copies.front().at > greatestCopyAge)
        this->copies.pop_front();
}

std::optional<std::size_t> Soak::randomRunningNode(bool isBalancer)
{
    std::vector<std::size_t> steady;
    for (std::size_t i = 0; i < this->fleet.size(); ++i) {
        if (this->fleet.isBalancer(i) == isBalancer && this->fleet.at(i).state == Fleet::State::Up)
            steady.push_back(i);
    }
    if (steady.empty())
        return std::nullopt;
    return steady[this->random() % steady.size()];
}

Server *Soak::randomRunningServer()
{
    Server &server = *this->servers[this->random() % this->servers.size()];
    return server.isUp() ? &server : nullptr;
}

void Soak::restartNodeAfter(std::size_t node, Duration delay)
{
    this->after(delay, [this, node](TimePoint at) {
        if (this->fleet.at(node).state != Fleet::State::Down)
            return;
        if (!this->fleet.start(node, at))
            this->guarantees.check(Guarantee::CleanExit, false, at, "cannot restart a node");
    });
}

void Soak::killNode(TimePoint at)
{
    const auto node = this->randomRunningNode(this->random() % 2 == 0);
    if (!node)
        return;
    this->fleet.kill(*node, at);
    this->restartNodeAfter(*node, this->randomDuration(100ms, 2500ms));
}

void Soak::killAll(bool withAgents, std::chrono::milliseconds least, std::chrono::milliseconds most)
{
    for (std::size_t i = 0; i < this->fleet.size(); ++i) {
        if (this->fleet.at(i).state != Fleet::State::Up
            || (!withAgents && !this->fleet.isBalancer(i)))
            continue;
        this->fleet.kill(i, this->now);
        this->restartNodeAfter(i, this->randomDuration(least, most));
    }
}

void Soak::killBalancers(TimePoint)
{
    this->killAll(false, 100ms, 1000ms);
}

void Soak::killEverything(TimePoint)
{
    this->killAll(true, 300ms, 1500ms);
}

void Soak::freezeNode(TimePoint at)
{
    const auto node = this->randomRunningNode(this->random() % 2 == 0);
    if (!node)
        return;
    this->fleet.freeze(*node, at);
    this->after(this->randomDuration(300ms, 4000ms), [this, node](TimePoint time) {
        if (this->fleet.at(*node).state == Fleet::State::Frozen)
            this->fleet.resume(*node, time);
    });
}

void Soak::stopBalancer(TimePoint at)
{
    const auto node = this->randomRunningNode(true);
    if (!node)
        return;
    this->fleet.requestStop(*node, at);
    this->restartNodeAfter(*node, stopLimit);
}

void Soak::disturbStore(TimePoint at)
{
    if (this->hasStoreFault)
        return;
    constexpr auto kinds = std::uint64_t(standin::StoreFault::Forgetful);
    this->beginStoreFault(standin::StoreFault(1 + this->random() % kinds), at);
    this->after(this->randomDuration(1000ms, 5000ms),
                [this](TimePoint time) { this->endStoreFault(time); });
}

void Soak::beginStoreFault(standin::StoreFault fault, TimePoint at)
{
    this->guarantees.log(at, std::string("fault=store kind=") + standin::nameOf(fault));
    this->store.setFault(fault);
    this->hasStoreFault = true;
}

void Soak::endStoreFault(TimePoint at)
{
    this->store.setFault(standin::StoreFault::None);
    this->hasStoreFault = false;
    this->storeFaultEndedAt = at;
    this->guarantees.log(at, "fault=store kind=none");
}

void Soak::restoreSoon(TimePoint at)
{
    if (this->hasStoreFault)
        this->after(copyInterval, [this](TimePoint time) { this->restoreSoon(time); });
    else
        this->restoreStore(this->copies[this->random() % this->copies.size()], at);
}

// Nobody can tell a write that the operator makes while the store is away from one that waits for
// its return: no call is answered, and the restore loses it, so that it is written again.
void Soak::restoreStore(const StoreCopy &from, TimePoint at)
{
    ++this->injected["restored"];
    this->guarantees.log(at, "event=fault kind=restored");
    const bool isSilent = this->random() % 2 == 0;
    this->beginStoreFault(isSilent ? standin::StoreFault::Silent : standin::StoreFault::Away, at);
    this->after(this->randomDuration(1000ms, 3000ms), [this, copy = from](TimePoint time) {
        const std::uint64_t lost = this->store.copy().revision - copy.content.revision;
        this->guarantees.log(
                time,
                "event=restore lost_changes=" + std::to_string(lost) + " copy_age_ms="
                        + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                 time - copy.at)
                                                 .count()));
        this->store.restore(copy.content);
        this->hasLostWrites = true;
        this->endStoreFault(time);
        // The later copies are of what is lost.
        std::erase_if(this->copies, [&](const StoreCopy &other) { return other.at > copy.at; });
        this->after(this->randomDuration(0ms, 500ms),
                    [this, copy](TimePoint) { this->writeAgain(copy); });
        // Changes that follow are the ones that an earlier view could hide.
        this->changeSoon(500ms, 3000ms, "change_route", &Soak::changeRoute);
        this->changeSoon(500ms, 3000ms, "evacuate", &Soak::evacuate);
    });
}

// Other faults, which are frequent, suspend the bounds that a restore may break. An earlier view
// can hide a change only if more is lost than is written again, so the copy is from before several
// changes. The evacuation ends before some restores and after others.
void Soak::restoreBesidesNoFault()
{
    this->inject("evacuate", &Soak::evacuate, this->now);
    for (int change = 0; change < lostRouteChanges; ++change)
        this->changeSoon(0ms, evacuationTime - 2000ms, "change_route", &Soak::changeRoute);
    this->after(this->randomDuration(evacuationTime - 1000ms, greatestCopyAge),
                [this](TimePoint at) { this->restoreStore(this->copies.front(), at); });
}

void Soak::changeSoon(std::chrono::milliseconds least, std::chrono::milliseconds most,
                      const char *name, Fault change)
{
    this->after(this->randomDuration(least, most),
                [this, name, change](TimePoint at) { this->inject(name, change, at); });
}

void Soak::writeAgain(const StoreCopy &copy)
{
    if (this->publication.version != copy.version)
        this->store.publish(this->publication);
    for (const std::string zone : zones) {
        const bool isEvacuated = this->evacuatedAt.contains(zone);
        if (isEvacuated != copy.evacuatedZones.contains(zone))
            this->store.setEvacuated(zone, isEvacuated);
    }
    this->hasLostWrites = false;
}

void Soak::checkDirectory()
{
    const std::vector<Endpoint> entries = this->store.directory();
    for (std::size_t i = 0; i < this->fleet.size(); ++i) {
        const Fleet::Node &node = this->fleet.at(i);
        if (!this->fleet.isBalancer(i) || node.state != Fleet::State::Up
            || this->now - node.stateChangedAt < directoryLimit)
            continue;
        const Endpoint mesh{ node.options.address, meshPort };
        this->guarantees.check(Guarantee::DirectoryKept,
                               std::find(entries.begin(), entries.end(), mesh) != entries.end(),
                               this->now, "node=" + node.options.name);
    }
}

void Soak::startServerAfter(Server &server, Duration delay, RunOptions run)
{
    this->after(delay, [this, &server, run](TimePoint at) {
        server.startRun(at, run);
        this->guarantees.log(at, "fault=run server=" + server.settings().name);
    });
}

void Soak::crashServer(TimePoint at)
{
    Server *server = this->randomRunningServer();
    if (server == nullptr)
        return;
    server->crash();
    this->guarantees.log(at, "fault=crash server=" + server->settings().name);
    const RunOptions next{ .coldFor = this->random() % 2 == 0 ? 4000ms : 0ms,
                           .keepsInstance = this->random() % 2 == 0 };
    this->startServerAfter(*server, this->randomDuration(300ms, 2000ms), next);
}

void Soak::drainServer(TimePoint at)
{
    Server *server = this->randomRunningServer();
    if (server == nullptr)
        return;
    server->beginDrain();
    this->guarantees.log(at, "fault=drain server=" + server->settings().name);
    // If no heartbeat acknowledges the drain, the run ends here too, when the next one starts.
    this->startServerAfter(*server, 8000ms, { .coldFor = 3000ms });
}

void Soak::changeRoute(TimePoint at)
{
    if (this->publication.routes.erase(this->changingRoute) == 0)
        this->publication.routes[this->changingRoute] = services[this->random() % services.size()];
    this->callers->dropFlowsOfChangingRoute();
    this->routeChangedAt = at;
    this->publish();
}

void Soak::evacuate(TimePoint at)
{
    const std::string zone = zones[this->random() % zones.size()];
    if (!this->evacuatedAt.empty())
        return;
    this->store.setEvacuated(zone, true);
    this->evacuatedAt[zone] = at;
    this->after(evacuationTime, [this, zone](TimePoint time) {
        this->evacuatedAt.erase(zone);
        this->returnedAt[zone] = time;
        this->store.setEvacuated(zone, false);
    });
}

void Soak::losePackets(TimePoint at)
{
    static constexpr std::array shares = { 0.02, 0.1, 0.4 };
    const double share = shares[this->random() % shares.size()];
    this->guarantees.log(at, "fault=loss share=" + std::to_string(share));
    this->callers->setLoss(share);
    this->after(this->randomDuration(500ms, 3000ms),
                [this](TimePoint) { this->callers->setLoss(0); });
}

void Soak::loseHeartbeats(TimePoint at)
{
    Server *server = this->randomRunningServer();
    if (server == nullptr)
        return;
    this->guarantees.log(at, "fault=no_heartbeats server=" + server->settings().name);
    server->setSendsHeartbeats(false);
    this->after(this->randomDuration(1000ms, 6000ms),
                [server](TimePoint) { server->setSendsHeartbeats(true); });
}

bool Soak::report() const
{
    std::string line = "event=report seed=" + std::to_string(this->options.seed);
    for (const auto &[name, count] : this->injected)
        line += " " + name + "=" + std::to_string(count);
    this->guarantees.log(this->now, line);
    std::uint64_t broken = 0;
    for (std::size_t i = 0; i < guaranteeCount; ++i) {
        broken += this->guarantees.breaks(Guarantee(i));
        this->guarantees.log(
                this->now,
                std::string("event=promise name=") + GuaranteeChecks::nameOf(Guarantee(i))
                        + " checked=" + std::to_string(this->guarantees.checks(Guarantee(i)))
                        + " broken=" + std::to_string(this->guarantees.breaks(Guarantee(i))));
    }
    this->guarantees.log(this->now,
                         "event=callers answered=" + std::to_string(this->callers->answered())
                                 + " refused=" + std::to_string(this->callers->refused())
                                 + " unopened=" + std::to_string(this->callers->unopened())
                                 + " lost=" + std::to_string(this->callers->lost())
                                 + " store_calls=" + std::to_string(this->store.calls()));
    return broken == 0;
}

} // namespace cactusdeck::soak

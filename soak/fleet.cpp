#include "soak/fleet.h"

#include <algorithm>
#include <csignal>
#include <fstream>

#include <nlohmann/json.hpp>
#include <sys/wait.h>

#include "platform/standin/calls.h"

namespace cactusdeck::soak {

namespace {

using nlohmann::json;

json settingsOf(const NodeOptions &node, const FleetOptions &fleet)
{
    const auto at = [&](std::uint16_t port) { return toString(Endpoint{ node.address, port }); };
    json seeds = json::array();
    for (const Endpoint &seed : fleet.seeds)
        seeds.push_back(toString(Endpoint{ seed.address, controlPort }));
    json settings{ { "id", node.name },
                   { "zone", node.zone },
                   { "address", hostOf({ node.address, 0 }) },
                   { "meshPort", meshPort },
                   { "packets", at(packetPort) },
                   { "control", at(controlPort) },
                   { "store", toString(fleet.store) },
                   { "seeds", seeds } };
    if (node.role == "balancer") {
        settings["readiness"] = at(readinessPort);
    } else {
        settings["service"] = node.service;
        settings["server"] = at(serverPort);
        settings["outbound"] = at(outboundPort);
    }
    return settings;
}

std::uint64_t rankOf(std::uint64_t flowHash, std::uint32_t address)
{
    return (flowHash ^ (address * 0x9E3779B97F4A7C15ull)) * 0xD6E8FEB86659FD93ull;
}

} // namespace

Fleet::Fleet(FleetOptions fleetOptions, GuaranteeChecks &allGuarantees)
    : options(std::move(fleetOptions))
    , guarantees(allGuarantees)
{ }

Fleet::~Fleet()
{
    this->isClosing = true;
    for (std::thread &watcher : this->probeThreads)
        watcher.join();
}

std::string Fleet::pathOf(const Node &node, const char *suffix) const
{
    return this->options.folder + "/" + node.options.name + suffix;
}

Result<void> Fleet::add(const NodeOptions &nodeOptions)
{
    auto node = std::make_unique<Node>();
    node->options = nodeOptions;
    std::ofstream file(this->pathOf(*node, ".json"));
    file << settingsOf(nodeOptions, this->options).dump(4) << '\n';
    if (!file.flush())
        return fail(ErrorKind::Io, "cannot write " + this->pathOf(*node, ".json"));
    this->nodes.push_back(std::move(node));
    return {};
}

void Fleet::startReadinessProbes()
{
    for (const auto &node : this->nodes) {
        if (node->options.role == "balancer")
            this->probeThreads.emplace_back(
                    [this, &watched = *node] { this->probeReadiness(watched); });
    }
}

void Fleet::probeReadiness(Node &node)
{
    int misses = 0;
    while (!this->isClosing) {
        const auto next = Clock::now() + readinessInterval;
        if (standin::isReady({ node.options.address, readinessPort })) {
            misses = 0;
            node.isReady = true;
        } else if (++misses >= missedProbesUntilNotReady) {
            node.isReady = false;
        }
        std::this_thread::sleep_until(next);
    }
}

void Fleet::setState(Node &node, State state, TimePoint now, const char *event)
{
    node.state = state;
    node.stateChangedAt = now;
    this->guarantees.log(now, std::string("fault=") + event + " node=" + node.options.name);
}

Result<void> Fleet::start(std::size_t index, TimePoint now)
{
    Node &node = *this->nodes[index];
    BOOST_LEAF_AUTO(process, Process::start({ this->options.program, node.options.role,
                                              "--settings", this->pathOf(node, ".json") },
                                            this->pathOf(node, ".log")));
    node.process = std::move(process);
    this->setState(node, State::Up, now, "start");
    return {};
}

void Fleet::kill(std::size_t index, TimePoint now)
{
    Node &node = *this->nodes[index];
    if (node.process)
        node.process->killAndWait();
    node.process.reset();
    this->setState(node, State::Down, now, "kill");
}

void Fleet::freeze(std::size_t index, TimePoint now)
{
    Node &node = *this->nodes[index];
    node.process->signal(SIGSTOP);
    this->setState(node, State::Frozen, now, "freeze");
}

void Fleet::resume(std::size_t index, TimePoint now)
{
    Node &node = *this->nodes[index];
    node.process->signal(SIGCONT);
    this->setState(node, State::Up, now, "wake");
}

void Fleet::requestStop(std::size_t index, TimePoint now)
{
    Node &node = *this->nodes[index];
    node.process->signal(SIGTERM);
    this->setState(node, State::Stopping, now, "stop");
}

void Fleet::step(TimePoint now)
{
    for (const auto &node : this->nodes) {
        if (!node->process)
            continue;
        const std::optional<int> status = node->process->poll();
        if (!status)
            continue;
        const bool isClean =
                node->state == State::Stopping && WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
        this->guarantees.check(Guarantee::CleanExit, isClean, now,
                               "node=" + node->options.name + " status=" + std::to_string(*status));
        node->process.reset();
        this->setState(*node, State::Down, now, "ended");
    }
}

bool Fleet::hasRunning() const
{
    return std::any_of(this->nodes.begin(), this->nodes.end(),
                       [](const auto &node) { return node->state != State::Down; });
}

std::optional<std::size_t> Fleet::balancerFor(std::uint64_t flowHash) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        const Node &node = *this->nodes[i];
        if (node.isReady
            && (!best
                || rankOf(flowHash, node.options.address)
                           > rankOf(flowHash, this->at(*best).options.address)))
            best = i;
    }
    return best;
}

bool Fleet::wasAnyUnavailable(TimePoint now, Duration within, bool ofBalancers) const
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if (this->isBalancer(i) == ofBalancers
            && (this->at(i).state != State::Up || now - this->at(i).stateChangedAt < within))
            return true;
    }
    return false;
}

} // namespace cactusdeck::soak

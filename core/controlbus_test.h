#ifndef CACTUSDECK_CORE_CONTROLBUS_TEST_H
#define CACTUSDECK_CORE_CONTROLBUS_TEST_H

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "core/announcer.h"
#include "core/gossip.h"
#include "core/monitor.h"
#include "core/placement.h"

// In-memory network of balancers and agents on a fake clock, for tests and benchmarks.
//
//     ControlBus bus({ .loss = 0.2, .seed = 1 });
//     bus.addBalancers(5);
//     bus.addAgents(7, "booking");
//     bus.run(std::chrono::seconds(10));
//     bus.kill(bus.balancer(2));
//
// Messages arrive after one step of 10 ms and in order. Messages to a paused node are delivered
// when it resumes, before its timer runs.

namespace cactusdeck::controlbus {

using namespace std::chrono_literals;

struct BusOptions
{
    double loss = 0;
    std::uint64_t seed = 1;
    bool encodesMessages = true; // each message is encoded and decoded, as on a network
    std::size_t bytesPerSecond = 4096;
};

struct BusNode
{
    NodeId id;
    Endpoint control;
    bool up = true;
    bool paused = false;
    std::unique_ptr<ControlBudget> budget;
    std::unique_ptr<Membership> membership; // balancers only, as are gossip and monitor
    std::unique_ptr<GossipProtocol> gossip;
    std::unique_ptr<Monitor> monitor;
    std::unique_ptr<Announcer> announcer; // agents only
    std::vector<ControlMessage> receivedWhilePaused;
    std::uint64_t sentBytes = 0;
    std::deque<std::pair<TimePoint, std::size_t>> window; // bytes sent in the last 10 s
    std::size_t windowBytes = 0;
    std::size_t largestWindow = 0;
    std::size_t largestDatagram = 0;
    std::map<std::size_t, std::uint64_t> sentByKind; // bytes, by index in ControlMessage

    bool isBalancer() const { return this->membership != nullptr; }
};

class ControlBus
{
public:
    static constexpr Duration step = 10ms;
    static constexpr int stepsPerTick = 5; // tickInterval

    explicit ControlBus(BusOptions busOptions)
        : options(busOptions)
        , random(busOptions.seed)
        , time(TimePoint{} + 1h)
    { }

    // True if messages from one node to the other are lost.
    std::function<bool(const BusNode &from, const BusNode &to)> isLinkDown;
    ConfigurationVersion configuration = 1;
    std::map<std::string, int> events; // by name

    TimePoint now() const { return this->time; }

    BusNode &addBalancer(const std::string &name, Incarnation incarnation = 1)
    {
        BusNode &node = this->add(name);
        const NodeRecord record{ .id = node.id,
                                 .role = Role::Balancer,
                                 .zone = ZoneName{ this->zoneOf() },
                                 .data = { node.control.address, 7100 },
                                 .control = node.control,
                                 .incarnation = incarnation };
        node.membership = std::make_unique<Membership>(MembershipOptions{ .self = record });
        node.gossip = std::make_unique<GossipProtocol>(
                GossipOptions{ .seeds = this->seeds(), .seed = this->random() }, *node.membership,
                *node.budget);
        node.monitor =
                std::make_unique<Monitor>(MonitorOptions{ .seed = this->random() },
                                          this->sourcesOf(node), *node.membership, *node.budget);
        Outbox outbox;
        node.gossip->start(this->time, outbox);
        this->transmit(node, outbox);
        return node;
    }

    BusNode &addAgent(const std::string &name, const std::string &group,
                      Incarnation incarnation = 1)
    {
        BusNode &node = this->add(name);
        const NodeRecord record{ .id = node.id,
                                 .role = Role::Agent,
                                 .zone = ZoneName{ this->zoneOf() },
                                 .data = { node.control.address, 7100 },
                                 .control = node.control,
                                 .incarnation = incarnation,
                                 .group = GroupName{ group },
                                 .weight = 5 };
        node.announcer = std::make_unique<Announcer>(
                AnnouncerOptions{ .self = record, .seeds = this->seeds(), .seed = this->random() },
                *node.budget);
        Outbox outbox;
        node.announcer->start(this->time, outbox);
        this->transmit(node, outbox);
        return node;
    }

    void addBalancers(int count)
    {
        for (int i = 0; i < count; ++i)
            this->addBalancer("balancer-" + std::to_string(i));
    }
    void addAgents(int count, const std::string &group)
    {
        for (int i = 0; i < count; ++i)
            this->addAgent(group + "-" + std::to_string(i), group);
    }

    BusNode &node(const std::string &name) { return *this->nodes.at(this->byName.at(name)); }
    BusNode &balancer(int index) { return this->node("balancer-" + std::to_string(index)); }
    std::vector<BusNode *> balancers()
    {
        std::vector<BusNode *> result;
        for (const auto &each : this->nodes) {
            if (each->up && each->isBalancer())
                result.push_back(each.get());
        }
        return result;
    }
    std::vector<BusNode *> upNodes()
    {
        std::vector<BusNode *> result;
        for (const auto &each : this->nodes) {
            if (each->up)
                result.push_back(each.get());
        }
        return result;
    }

    // Stops the node without any message from it.
    void kill(BusNode &target) { target.up = false; }
    void resume(BusNode &target)
    {
        target.paused = false;
        for (const ControlMessage &message : std::exchange(target.receivedWhilePaused, {}))
            this->receive(target, message);
    }
    // Calls action(outbox) on behalf of a node, and sends the messages that it puts into the
    // outbox.
    template <typename Action>
    void act(BusNode &target, Action action)
    {
        Outbox outbox;
        action(outbox);
        this->transmit(target, outbox);
    }

    void run(Duration duration)
    {
        for (const TimePoint end = this->time + duration; this->time < end;)
            this->advance();
    }
    // Runs until the condition holds or the limit is reached. Returns the simulated time it took.
    Duration runUntil(Duration limit, const std::function<bool()> &condition)
    {
        const TimePoint start = this->time;
        while (this->time - start < limit && !condition())
            this->advance();
        return this->time - start;
    }

    // Number of running balancers whose table has the node in this state.
    int countSeenAs(const NodeId &id, Liveness liveness)
    {
        int count = 0;
        for (BusNode *each : this->balancers()) {
            const NodeRecord *record = each->membership->find(id);
            count += record != nullptr && record->liveness == liveness;
        }
        return count;
    }
    // True if all running balancers have equal tables.
    bool isConverged()
    {
        const auto all = this->balancers();
        return std::all_of(all.begin(), all.end(), [&](BusNode *each) {
            return each->membership->cellDigests() == all.front()->membership->cellDigests();
        });
    }

private:
    BusNode &add(const std::string &name)
    {
        auto node = std::make_unique<BusNode>();
        node->id = NodeId{ name };
        node->control = { 0x0A00'0000u + std::uint32_t(this->nodes.size() + 1), 7101 };
        node->budget = std::make_unique<ControlBudget>(
                ControlBudgetOptions{ .bytesPerSecond = this->options.bytesPerSecond });
        this->byName[name] = this->nodes.size();
        this->byControl[node->control] = this->nodes.size();
        this->nodes.push_back(std::move(node));
        return *this->nodes.back();
    }

    std::string zoneOf() const { return "zone-" + std::to_string(this->nodes.size() % 4); }

    // The first balancers are the seeds, as in a settings file.
    std::vector<Endpoint> seeds() const
    {
        std::vector<Endpoint> result;
        for (const auto &each : this->nodes) {
            if (each->isBalancer() && result.size() < 3)
                result.push_back(each->control);
        }
        return result;
    }

    // Each group carries one service of the same name.
    MonitorSources sourcesOf(BusNode &node)
    {
        Membership *table = node.membership.get();
        const auto members = [table](const GroupName &group) {
            const std::vector<GroupName> groups{ group };
            return placementMembers(table->agentsOf(groups), groups,
                                    [](const ZoneName &) { return false; });
        };
        return {
            .isJoined = [&node] { return node.gossip->isJoined(); },
            .configuration = [this] { return this->configuration; },
            .services =
                    [members](const GroupName &group) {
                        return std::vector<ServiceDigest>{
                            { serviceIdOf(ServiceName{ group.value }), digestOf(members(group)) }
                        };
                    },
            .members =
                    [table, members](ServiceId service) {
                        for (const NodeRecord *agent : table->agents()) {
                            if (serviceIdOf(ServiceName{ agent->group.value }) == service)
                                return members(agent->group);
                        }
                        return std::vector<Member>();
                    },
            .holdingsDigest =
                    [&node](const NodeId &agent) { return node.gossip->holdingsDigest(agent); }
        };
    }

    void advance()
    {
        this->time += step;
        ++this->steps;
        for (auto &[to, message] : std::exchange(this->inFlight, {})) {
            BusNode &target = *this->nodes[to];
            if (target.paused)
                target.receivedWhilePaused.push_back(std::move(message));
            else if (target.up)
                this->receive(target, message);
        }
        for (std::size_t i = this->steps % stepsPerTick; i < this->nodes.size(); i += stepsPerTick)
            this->tick(*this->nodes[i]);
    }

    void tick(BusNode &target)
    {
        if (!target.up || target.paused)
            return;
        Outbox outbox;
        if (target.isBalancer()) {
            target.membership->onTimer(this->time);
            target.monitor->onTimer(this->time, outbox);
            target.gossip->onTimer(this->time, outbox);
            target.budget->flush(this->time, outbox);
        } else {
            target.announcer->onTimer(this->time, outbox);
        }
        this->transmit(target, outbox);
    }

    void receive(BusNode &target, const ControlMessage &message)
    {
        Outbox outbox;
        if (target.isBalancer()) {
            target.monitor->onControl(message, this->time, outbox);
            target.gossip->onControl(message, this->time, outbox);
            if (const auto *report = std::get_if<HoldingsReport>(&message))
                target.gossip->report(*report);
        } else {
            target.announcer->onControl(message, this->time, outbox);
        }
        this->transmit(target, outbox);
    }

    void transmit(BusNode &from, Outbox &outbox)
    {
        for (const Event &event : outbox.events)
            ++this->events[event.name];
        for (ControlSend &send : outbox.control) {
            const std::size_t bytes = encodedSize(send.message);
            from.sentByKind[send.message.index()] += bytes;
            this->count(from, bytes);
            const auto to = this->byControl.find(send.to);
            const bool lost = std::uniform_real_distribution<>()(this->random) < this->options.loss;
            if (lost || to == this->byControl.end()
                || (this->isLinkDown && this->isLinkDown(from, *this->nodes[to->second])))
                continue;
            if (this->options.encodesMessages)
                send.message = decodeMessage(encodeMessage(send.message)).value();
            this->inFlight.emplace_back(to->second, std::move(send.message));
        }
    }

    void count(BusNode &from, std::size_t bytes)
    {
        from.sentBytes += bytes;
        from.largestDatagram = std::max(from.largestDatagram, bytes);
        from.window.emplace_back(this->time, bytes);
        from.windowBytes += bytes;
        while (from.window.front().first <= this->time - 10s) {
            from.windowBytes -= from.window.front().second;
            from.window.pop_front();
        }
        from.largestWindow = std::max(from.largestWindow, from.windowBytes);
    }

    BusOptions options;
    std::mt19937_64 random;
    TimePoint time;
    std::size_t steps = 0;
    std::vector<std::unique_ptr<BusNode>> nodes;
    std::map<std::string, std::size_t> byName;
    std::unordered_map<Endpoint, std::size_t> byControl;
    std::vector<std::pair<std::size_t, ControlMessage>> inFlight;
};

} // namespace cactusdeck::controlbus

#endif // CACTUSDECK_CORE_CONTROLBUS_TEST_H

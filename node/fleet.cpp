#include "node/fleet.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>

#include "node/outcome.h"
#include "node/rpcclient.h"

namespace cactusdeck {

namespace {

using nlohmann::json;

// Each query of an unreachable node occupies a thread for the RPC timeout.
constexpr std::size_t maxParallelQueries = 32;

// The status comes from another process, possibly of another program version, so a member of the
// wrong type is read as an empty string.
std::string textOf(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// Returns 0 if the member is missing or of the wrong type.
ConfigurationVersion versionOf(const json &object)
{
    const auto found = object.find("configuration");
    return found != object.end() && found->is_number_unsigned() ? found->get<ConfigurationVersion>()
                                                                : 0;
}

bool isExpectedToAnswer(const FleetNode &node)
{
    return node.liveness != "dead" && node.liveness != "left";
}

FleetNode readMember(const json &member, Endpoint control)
{
    return { .control = control,
             .id = textOf(member, "id"),
             .role = textOf(member, "role"),
             .zone = textOf(member, "zone"),
             .liveness = textOf(member, "liveness"),
             .phase = textOf(member, "phase"),
             .configuration = versionOf(member) };
}

// Calls f(0) to f(count - 1) on up to maxParallelQueries threads.
void forEachParallel(std::size_t count, const std::function<void(std::size_t)> &f)
{
    std::atomic<std::size_t> next{ 0 };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(count, maxParallelQueries); ++i) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < count; index = next++)
                f(index);
        });
    }
    for (std::thread &thread : threads)
        thread.join();
}

// Discovers nodes in rounds: queries all known nodes, adds the members listed in their answers, and
// repeats until there is no node left to query.
class NodeCollector
{
public:
    explicit NodeCollector(const StatusQuery &queryFunction)
        : query(queryFunction)
    { }

    void addSeed(Endpoint seed) { this->known.try_emplace(seed, FleetNode{ .control = seed }); }

    void run()
    {
        for (std::vector<FleetNode *> pending = this->unqueriedNodes(); !pending.empty();
             pending = this->unqueriedNodes()) {
            forEachParallel(pending.size(), [&](std::size_t i) { this->queryNode(*pending[i]); });
            for (const FleetNode *node : pending) {
                this->queried.push_back(node->control);
                this->addMembers(node->status);
            }
        }
    }

    std::vector<FleetNode> nodes() const
    {
        std::vector<FleetNode> result;
        for (const auto &[control, node] : this->known) {
            // A node without id is a seed that does not answer and that no other node lists. Its
            // address may no longer be in use, so it is not reported as a node.
            if (isExpectedToAnswer(node) && !node.id.empty())
                result.push_back(node);
        }
        std::sort(result.begin(), result.end(),
                  [](const FleetNode &a, const FleetNode &b) { return a.id < b.id; });
        return result;
    }

private:
    std::vector<FleetNode *> unqueriedNodes()
    {
        std::vector<FleetNode *> result;
        for (auto &[control, node] : this->known) {
            if (isExpectedToAnswer(node)
                && std::find(this->queried.begin(), this->queried.end(), control)
                           == this->queried.end())
                result.push_back(&node);
        }
        return result;
    }

    void queryNode(FleetNode &node) const
    {
        auto outcome = outcomeOf([&] { return this->query(node.control); });
        if (!outcome || !outcome.value->is_object())
            return;
        node.status = std::move(*outcome.value);
        node.reached = true;
        node.id = textOf(node.status, "id");
        node.role = textOf(node.status, "role");
        node.zone = textOf(node.status, "zone");
        node.phase = textOf(node.status, "phase");
        node.configuration = versionOf(node.status);
    }

    void addMembers(const json &status)
    {
        const auto members = status.is_object() ? status.find("members") : status.end();
        if (!status.is_object() || members == status.end() || !members->is_array())
            return;
        for (const json &member : *members) {
            Endpoint control;
            if (!member.is_object() || !parseEndpoint(textOf(member, "control"), control))
                continue;
            const FleetNode node = readMember(member, control);
            const auto [position, isNew] = this->known.try_emplace(control, node);
            // This status may list a node as alive that another one lists as dead or left. The node
            // is then queried.
            FleetNode &present = position->second;
            if (!isNew && (present.liveness.empty() || !isExpectedToAnswer(present))) {
                present.liveness = node.liveness;
                if (!present.reached)
                    present.id = node.id;
            }
        }
    }

    const StatusQuery &query;
    std::map<Endpoint, FleetNode> known;
    std::vector<Endpoint> queried;
};

} // namespace

Result<json> queryNodeStatus(Endpoint control)
{
    return RpcClient(control).call("status");
}

Result<Fleet> readFleet(const std::vector<Endpoint> &seeds, const StatusQuery &query)
{
    NodeCollector collector(query);
    for (const Endpoint &seed : seeds)
        collector.addSeed(seed);
    collector.run();
    Fleet fleet{ .nodes = collector.nodes() };
    const FleetNode *newestBalancer = nullptr;
    for (const FleetNode &node : fleet.nodes) {
        const bool hasMemberList = node.reached && node.status.contains("members");
        if (hasMemberList
            && (!newestBalancer || node.configuration > newestBalancer->configuration))
            newestBalancer = &node;
    }
    if (!newestBalancer)
        return fail(ErrorKind::PeerUnavailable,
                    "no balancer answers; tried " + std::to_string(seeds.size()) + " seeds");
    fleet.balancerStatus = newestBalancer->status;
    return fleet;
}

ConfigurationVersion newestVersion(const Fleet &fleet)
{
    ConfigurationVersion newest = 0;
    for (const FleetNode &node : fleet.nodes)
        newest = std::max(newest, node.configuration);
    return newest;
}

std::vector<FleetNode> laggingNodes(const Fleet &fleet, ConfigurationVersion version)
{
    std::vector<FleetNode> lagging;
    for (const FleetNode &node : fleet.nodes) {
        if (!node.reached || node.configuration < version)
            lagging.push_back(node);
    }
    return lagging;
}

Result<std::vector<FleetNode>> waitUntilInForce(const std::vector<Endpoint> &seeds,
                                                const WaitOptions &options,
                                                const StatusQuery &query)
{
    const TimePoint deadline = Clock::now() + options.time;
    while (true) {
        BOOST_LEAF_AUTO(fleet, readFleet(seeds, query));
        std::vector<FleetNode> lagging = laggingNodes(fleet, options.version);
        if (lagging.empty() || Clock::now() >= deadline)
            return lagging;
        std::this_thread::sleep_for(options.interval);
    }
}

} // namespace cactusdeck

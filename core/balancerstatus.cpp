#include "core/balancer.h"
#include "core/balancerparts.h"

// Status output for operators. The JSON names are a stable interface, documented in
// docs/OPERATIONS.md.

namespace cactusdeck {

namespace {

using nlohmann::json;

constexpr std::array<const char *, 4> livenessNames = { "alive", "suspect", "dead", "left" };
constexpr std::array<const char *, 3> phaseNames = { "cold", "serving", "draining" };
constexpr std::array<const char *, 2> roleNames = { "balancer", "agent" };

json toJson(const NodeRecord &record)
{
    return { { "id", record.id },
             { "role", roleNames[std::size_t(record.role)] },
             { "zone", record.zone },
             { "control", record.control },
             { "data", record.data },
             { "liveness", livenessNames[std::size_t(record.liveness)] },
             { "phase", phaseNames[std::size_t(record.phase)] },
             { "group", record.group },
             { "weight", record.weight },
             { "configuration", record.configuration },
             { "incarnation", record.incarnation } };
}

json toJson(const BalancerCounters &counters)
{
    json result = { { "packets", counters.packets },
                    { "replies", counters.replies },
                    { "malformed", counters.malformed } };
    for (std::size_t i = 0; i < routeReasonCount; ++i)
        result[std::string(nameOf(RouteReason(i)))] = counters.routes[i];
    return result;
}

} // namespace

json Balancer::Parts::serviceStatus(const ServiceContract &contract) const
{
    json addresses = json::array();
    for (const ServiceAddress &address : contract.addresses)
        addresses.push_back(toString(address));
    json members = json::array();
    const ServiceRoute *route = this->forwarder.routing().find(contract.id);
    if (route == nullptr)
        return { { "service", contract.service }, { "addresses", addresses } };
    for (const SlotIndex slot : route->serviceAgents) {
        const AgentSlot &agent = this->forwarder.agents().at(slot);
        const NodeRecord *record = this->membership.find(agent.id);
        if (record == nullptr)
            continue;
        members.push_back({ { "id", agent.id },
                            { "zone", record->zone },
                            { "phase", phaseNames[std::size_t(record->phase)] },
                            { "utilisation", agent.load.lastUtilisation() } });
    }
    return { { "service", contract.service },
             { "addresses", addresses },
             { "members", members },
             { "digest", route->table.digest() } };
}

json Balancer::status(TimePoint now) const
{
    const Parts &p = *this->parts;
    const Configuration &configuration = *p.spread.current();
    json members = json::array();
    for (const NodeRecord *record : p.membership.records())
        members.push_back(toJson(*record));
    json services = json::array();
    for (const ContractPointer &published : configuration.contracts())
        services.push_back(p.serviceStatus(published->contract));
    json zones = json::object();
    for (const auto &[zone, state] : configuration.zones())
        zones[zone.value] = state == ZoneState::Out ? "out" : "in";
    const char *phase = p.isStopping ? "draining" : "serving";
    return { { "id", p.options.id },
             { "role", "balancer" },
             { "zone", p.options.zone },
             { "phase", phase },
             { "configuration", configuration.version() },
             { "changeId", configuration.changeId() },
             { "control", p.options.control },
             { "data", p.options.data },
             { "takesPackets", p.isTakingPackets() },
             { "storeReader", p.storeAccess.isReader() },
             { "storeReachable", p.storeAccess.isStoreReachable() },
             { "storeCalls", p.storeAccess.callsStarted() },
             { "statusLease", p.storeAccess.holdsLease(now) },
             { "controlBytesSent", p.budget.sentBytes() },
             { "members", members },
             { "services", services },
             { "zones", zones },
             { "counters", toJson(p.counters) } };
}

json Balancer::explain(const FlowKey &key, TimePoint now) const
{
    const Parts &p = *this->parts;
    PacketView view{ .key = key, .flags = tcpflag::ack };
    Forwarder::Chain chain;
    const RouteReason established = p.forwarder.explain(view, now, chain);
    const auto hops = [&] {
        json result = json::array();
        for (std::size_t i = 0; i < chain.size; ++i) {
            const AgentSlot &agent = p.forwarder.agents().at(chain.slots[i]);
            result.push_back({ { "agent", agent.id },
                               { "endpoint", p.forwarder.agents().hopOf(chain.slots[i]).hop.agent },
                               { "utilisation", agent.load.lastUtilisation() },
                               { "weight", agent.weight },
                               { "responding", agent.load.isResponding(now) } });
        }
        return result;
    };
    json result = { { "flow", toString(key) },
                    { "bucket", bucketOf(hashOf(key)) },
                    { "configuration", this->configurationVersion() },
                    { "established", { { "reason", nameOf(established) }, { "hops", hops() } } } };
    if (const ServiceContract *contract = p.spread.current()->find(key.destination, key.protocol))
        result["service"] = contract->service;
    view.flags = tcpflag::syn;
    chain = {};
    const RouteReason fresh = p.forwarder.explain(view, now, chain);
    result["newFlow"] = { { "reason", nameOf(fresh) }, { "hops", hops() } };
    return result;
}

} // namespace cactusdeck

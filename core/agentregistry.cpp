#include "core/agentregistry.h"

namespace cactusdeck {

SlotIndex AgentRegistry::update(const NodeRecord &record, bool isZoneOut)
{
    SlotIndex slot = 0;
    if (const auto known = this->find(record.id)) {
        slot = *known;
    } else if (!this->unused.empty()) {
        slot = this->unused.back();
        this->unused.pop_back();
    } else {
        slot = SlotIndex(this->slots.size());
        this->slots.emplace_back();
        this->hops.emplace_back();
    }
    AgentHop &hop = this->hops[slot];
    AgentSlot &agent = this->slots[slot];
    if (!hop.isPresent) {
        hop = AgentHop{ .generation = std::uint8_t(hop.generation + 1), .isPresent = true };
        agent = AgentSlot{ .id = record.id };
        this->byId[record.id] = slot;
    }
    if (hop.hop.agent != record.data && this->find(hop.hop.agent) == slot)
        this->byEndpoint.erase(hop.hop.agent);
    hop.hop.agent = record.data;
    this->raiseIncarnation(slot, record.incarnation);
    hop.isZoneOut = isZoneOut;
    agent.weight = record.weight;
    agent.takesNewFlows =
            record.liveness == Liveness::Alive && record.phase != Phase::Draining && !isZoneOut;
    this->byEndpoint[record.data] = slot;
    return slot;
}

void AgentRegistry::raiseIncarnation(SlotIndex slot, Incarnation incarnation)
{
    Incarnation &known = this->hops[slot].hop.incarnation;
    known = std::max(known, incarnation);
}

void AgentRegistry::remove(const NodeId &id)
{
    const auto slot = this->find(id);
    if (!slot)
        return;
    AgentHop &hop = this->hops[*slot];
    // Another agent may have taken over the endpoint.
    if (this->find(hop.hop.agent) == slot)
        this->byEndpoint.erase(hop.hop.agent);
    this->byId.erase(id);
    hop = AgentHop{ .generation = hop.generation };
    this->slots[*slot] = AgentSlot{};
    this->unused.push_back(*slot);
}

std::optional<SlotIndex> AgentRegistry::find(const NodeId &id) const
{
    const auto it = this->byId.find(id);
    return it == this->byId.end() ? std::nullopt : std::optional(it->second);
}

std::optional<SlotIndex> AgentRegistry::find(Endpoint data) const
{
    const auto it = this->byEndpoint.find(data);
    return it == this->byEndpoint.end() ? std::nullopt : std::optional(it->second);
}

std::vector<NodeId> AgentRegistry::ids() const
{
    std::vector<NodeId> result;
    result.reserve(this->byId.size());
    for (const auto &[id, slot] : this->byId)
        result.push_back(id);
    return result;
}

} // namespace cactusdeck

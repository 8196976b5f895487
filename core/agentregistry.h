#ifndef CACTUSDECK_CORE_AGENTREGISTRY_H
#define CACTUSDECK_CORE_AGENTREGISTRY_H

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/frame.h"
#include "core/loadestimate.h"
#include "core/message.h"

// The agents that a balancer forwards to, in numbered slots. The packet path identifies an agent by
// slot and generation instead of by id.
//
//     SlotIndex slot = registry.update(record, isZoneOut);
//     AgentSlot &agent = registry.at(slot);
//     registry.remove(id);
//
// An agent keeps its slot for as long as it is known. When a slot is reused for another agent, its
// generation is incremented.

namespace cactusdeck {

using SlotIndex = std::uint16_t;

// The data of an agent that forwarding a packet of an established flow requires. Limited to 16
// bytes, so that the agents of a large fleet stay in the processor's cache.
struct AgentHop
{
    Hop hop;
    std::uint8_t generation = 0;
    bool isPresent = false;
    bool isZoneOut = false;
};
static_assert(sizeof(AgentHop) == 16);

struct AgentSlot
{
    NodeId id;
    bool takesNewFlows = false; // alive, not draining, and its zone is not out
    std::uint16_t weight = 1;
    LoadEstimate load;
};

class AgentRegistry
{
public:
    // Adds the agent, or updates its slot.
    SlotIndex update(const NodeRecord &record, bool isZoneOut);
    void remove(const NodeId &id);

    const AgentHop &hopOf(SlotIndex slot) const { return this->hops[slot]; }
    AgentSlot &at(SlotIndex slot) { return this->slots[slot]; }
    const AgentSlot &at(SlotIndex slot) const { return this->slots[slot]; }
    // Records the incarnation that an agent named in a reply, unless a higher one is known.
    void raiseIncarnation(SlotIndex slot, Incarnation incarnation);
    std::optional<SlotIndex> find(const NodeId &id) const;
    std::optional<SlotIndex> find(Endpoint data) const;
    std::vector<NodeId> ids() const;

private:
    std::vector<AgentHop> hops;
    std::vector<AgentSlot> slots;
    std::vector<SlotIndex> unused;
    std::unordered_map<NodeId, SlotIndex> byId;
    std::unordered_map<Endpoint, SlotIndex> byEndpoint;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_AGENTREGISTRY_H

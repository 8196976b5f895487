#ifndef CACTUSDECK_CORE_ROUTINGTABLE_H
#define CACTUSDECK_CORE_ROUTINGTABLE_H

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/agentregistry.h"
#include "core/packet.h"
#include "core/placement.h"

// Maps a packet's destination to the route of its service, which gives for each bucket the agents
// that may accept or hold a flow.
//
//     routing.setService(std::move(route), addresses);
//     if (const ServiceRoute *route = routing.find(key.destination, key.protocol))
//         route->table.order(bucket) ...

namespace cactusdeck {

struct ServiceRoute
{
    ServiceId id{};
    PlacementTable table;
    std::vector<SlotIndex> memberSlots; // by index in table.members()
    // All agents of the service, including those that are not in the placement table.
    std::vector<SlotIndex> serviceAgents;
    // By bucket: agents that reported flows without being a home agent. Empty if no agent did.
    std::vector<std::vector<SlotIndex>> holders;
    // Agents whose newest report was not made under this table. They may hold flows of any bucket.
    std::vector<SlotIndex> unconfirmed;

    std::span<const SlotIndex> holdersOf(Bucket bucket) const
    {
        if (this->holders.empty())
            return {};
        return this->holders[bucket];
    }
};

class RoutingTable
{
public:
    struct Address
    {
        Endpoint endpoint;
        Protocol protocol = Protocol::Tcp;
    };

    void setService(ServiceRoute route, const std::vector<Address> &addresses);
    void removeService(ServiceId id);

    const ServiceRoute *find(Endpoint destination, Protocol protocol) const;
    const ServiceRoute *find(ServiceId id) const;
    std::size_t size() const { return this->services.size(); }

private:
    // Entry of a hash table with open addressing. The table is at most half full, so that most
    // lookups touch one cache line.
    struct Bin
    {
        std::uint64_t key = 0; // 0: empty
        const ServiceRoute *route = nullptr;
    };

    struct Entry
    {
        std::unique_ptr<ServiceRoute> route;
        std::vector<Address> addresses;
    };

    void rebuildBins();

    std::unordered_map<std::uint32_t, Entry> services;
    std::vector<Bin> bins;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_ROUTINGTABLE_H

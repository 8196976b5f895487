#ifndef CACTUSDECK_CORE_ROUTINGTABLE_H
#define CACTUSDECK_CORE_ROUTINGTABLE_H

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/agentregistry.h"
#include "core/packet.h"
#include "core/placement.h"

// What a balancer looks up for a packet: the service of its destination address, and for each
// bucket the agents that may take or hold the flow.
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
    std::vector<SlotIndex> carriers; // all agents of the service, those outside the table included
    // By bucket: agents that reported flows without being a home agent. Empty if there are none.
    std::vector<std::vector<SlotIndex>> holders;
    // Agents whose newest report was not made under this table; they may hold any bucket.
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
    // Open addressing, half full at most: one cache line for most lookups.
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

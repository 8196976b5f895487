#include "core/routingtable.h"

#include <bit>

namespace cactusdeck {

namespace {

std::uint64_t keyOf(Endpoint endpoint, Protocol protocol)
{
    return (std::uint64_t(endpoint.address) << 32) | (std::uint64_t(endpoint.port) << 16)
           | std::uint64_t(protocol);
}

std::size_t firstBin(std::uint64_t key, std::size_t count)
{
    return std::size_t((key * 0x9E3779B97F4A7C15ull) >> 32) & (count - 1);
}

bool haveSameAddresses(const std::vector<RoutingTable::Address> &a,
                       const std::vector<RoutingTable::Address> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto &x, const auto &y) {
        return x.endpoint == y.endpoint && x.protocol == y.protocol;
    });
}

} // namespace

void RoutingTable::setService(ServiceRoute route, const std::vector<Address> &addresses)
{
    Entry &entry = this->services[std::uint32_t(route.id)];
    if (entry.route) {
        // Assigned in place, since the bins point to the route.
        *entry.route = std::move(route);
        if (haveSameAddresses(entry.addresses, addresses))
            return;
    } else {
        entry.route = std::make_unique<ServiceRoute>(std::move(route));
    }
    entry.addresses = addresses;
    this->rebuildBins();
}

void RoutingTable::removeService(ServiceId id)
{
    if (this->services.erase(std::uint32_t(id)) != 0)
        this->rebuildBins();
}

const ServiceRoute *RoutingTable::find(Endpoint destination, Protocol protocol) const
{
    if (this->bins.empty())
        return nullptr;
    const std::uint64_t key = keyOf(destination, protocol);
    for (std::size_t i = firstBin(key, this->bins.size());; i = (i + 1) & (this->bins.size() - 1)) {
        if (this->bins[i].key == key)
            return this->bins[i].route;
        if (this->bins[i].key == 0)
            return nullptr;
    }
}

const ServiceRoute *RoutingTable::find(ServiceId id) const
{
    const auto it = this->services.find(std::uint32_t(id));
    return it == this->services.end() ? nullptr : it->second.route.get();
}

void RoutingTable::rebuildBins()
{
    std::size_t count = 0;
    for (const auto &[id, entry] : this->services)
        count += entry.addresses.size();
    this->bins.assign(count == 0 ? 0 : std::bit_ceil(count * 2), Bin{});
    for (const auto &[id, entry] : this->services) {
        for (const Address &address : entry.addresses) {
            const std::uint64_t key = keyOf(address.endpoint, address.protocol);
            std::size_t i = firstBin(key, this->bins.size());
            while (this->bins[i].key != 0 && this->bins[i].key != key)
                i = (i + 1) & (this->bins.size() - 1);
            this->bins[i] = { key, entry.route.get() };
        }
    }
}

} // namespace cactusdeck

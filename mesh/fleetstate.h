#ifndef CACTUSDECK_MESH_FLEETSTATE_H
#define CACTUSDECK_MESH_FLEETSTATE_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/types.h"

// What operators have decided: the routes, the limits of services, and the failure domains that are
// out of service. Each part has the store's revision of its last change. A part is replaced only by
// a newer revision, so a node never goes back, whoever tells it.
//
//     FleetState state;
//     if (state.adoptConfiguration(revision, configuration))
//         tellPeers(state.encode());

namespace cactusdeck::mesh {

using Revision = std::uint64_t; // of the store; 0: nothing known

struct WeightedService
{
    ServiceName service;
    std::uint32_t weight = 1;
};

struct Route
{
    std::vector<WeightedService> targets; // never empty
    std::chrono::milliseconds targetLatency{ 0 };
    std::uint32_t priority = 0; // 0 is the highest

    // Equal flows choose equal services on all nodes.
    const ServiceName &serviceFor(std::uint64_t flowHash) const;
    bool hasTarget(const ServiceName &service) const;
};

struct ServiceLimits
{
    std::uint32_t connections = 0; // of one backend server
    // New flows a second that a backend server bears in cold start; 0: not stated.
    double coldFlowsPerSecond = 0;
};

struct FleetConfiguration
{
    std::uint64_t version = 0;
    std::unordered_map<Endpoint, Route> routes;
    std::map<ServiceName, ServiceLimits> services;
    std::chrono::milliseconds idleTimeout{ 0 };
};

using ConfigurationPointer = std::shared_ptr<const FleetConfiguration>;

class FleetState
{
public:
    // False when the revision is not newer than the one in force.
    bool adoptConfiguration(Revision revision, ConfigurationPointer configuration);
    // False when nothing changes.
    bool adoptEvacuations(Revision revision, std::set<ZoneName> zones);
    // Takes what is newer in the other state. True if something was.
    bool adopt(const FleetState &other);

    const ConfigurationPointer &configuration() const { return this->routes; }
    Revision configurationRevision() const { return this->routesRevision; }
    Revision evacuationRevision() const { return this->zonesRevision; }
    const std::set<ZoneName> &evacuated() const { return this->zones; }
    bool isEvacuated(const ZoneName &zone) const { return this->zones.contains(zone); }
    // True for an address that an earlier configuration had and the present one lacks.
    bool wasDropped(Endpoint address) const { return this->droppedAddresses.contains(address); }

    // True if the present or an earlier configuration lets the service carry flows to the address.
    bool mayServe(Endpoint address, const ServiceName &service) const;

    // CBOR, for the transfer between nodes.
    std::vector<std::uint8_t> encode() const;
    static std::optional<FleetState> decode(std::span<const std::uint8_t> bytes);

private:
    ConfigurationPointer routes; // null until one is known
    Revision routesRevision = 0;
    std::set<ZoneName> zones;
    Revision zonesRevision = 0;
    std::set<Endpoint> droppedAddresses;
    std::map<Endpoint, std::set<ServiceName>> formerTargets; // targets of earlier configurations
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_FLEETSTATE_H

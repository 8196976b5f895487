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

// The state that operators set: routes, service limits, and evacuated failure domains. It is
// replaced only by newer state, so a node never reverts, whatever the source. The configuration is
// ordered by the operators' version number, which also holds across a restore of the store, and the
// evacuations by the store revision of their last change.
//
//     FleetState state;
//     if (state.adoptConfiguration(configuration))
//         sendToPeers(state.encode());

namespace cactusdeck::mesh {

using Revision = std::uint64_t; // store revision; 0: nothing known
// How often the store has been restored from a copy. A restored store has lost its latest changes
// and gives out their revisions again.
using StoreEra = std::uint64_t;

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

    // Chooses a target by weight. All nodes choose the same service for the same flow hash.
    const ServiceName &serviceFor(std::uint64_t flowHash) const;
    bool hasTarget(const ServiceName &service) const;
};

struct ServiceLimits
{
    std::uint32_t connections = 0; // of one backend server
    // New flows per second that a backend server can take in cold start; 0: not stated.
    double coldFlowsPerSecond = 0;
};

struct FleetConfiguration
{
    ConfigurationVersion version = 0; // above 0
    std::unordered_map<Endpoint, Route> routes;
    std::map<ServiceName, ServiceLimits> services;
    std::chrono::milliseconds idleTimeout{ 0 };
};

using ConfigurationPointer = std::shared_ptr<const FleetConfiguration>;

class FleetState
{
public:
    // Returns false if the version is not newer than the one in force.
    bool adoptConfiguration(ConfigurationPointer configuration);
    // Returns false if nothing changes.
    bool adoptEvacuations(Revision revision, std::set<ZoneName> zones);
    // Adopts the parts of the other state that are newer. Returns true if there were any.
    bool adopt(const FleetState &other);

    const ConfigurationPointer &configuration() const { return this->routes; }
    // 0: no configuration is known.
    ConfigurationVersion configurationVersion() const
    {
        return this->routes == nullptr ? 0 : this->routes->version;
    }
    Revision evacuationRevision() const { return this->zonesRevision; }
    const std::set<ZoneName> &evacuated() const { return this->zones; }
    bool isEvacuated(const ZoneName &zone) const { return this->zones.contains(zone); }
    // True if an earlier configuration had a route for the address and the current one has none.
    bool wasDropped(Endpoint address) const { return this->droppedAddresses.contains(address); }

    // True if the service is a target of the address in the current or an earlier configuration.
    bool mayServe(Endpoint address, const ServiceName &service) const;

    // CBOR, for the transfer between nodes.
    std::vector<std::uint8_t> encode() const;
    static std::optional<FleetState> decode(std::span<const std::uint8_t> bytes);

private:
    ConfigurationPointer routes; // null until a configuration is known
    std::set<ZoneName> zones;
    Revision zonesRevision = 0;
    std::set<Endpoint> droppedAddresses;
    std::map<Endpoint, std::set<ServiceName>> formerTargets; // targets of earlier configurations
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_FLEETSTATE_H

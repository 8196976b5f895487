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

#include "core/frame.h"
#include "core/types.h"

// The state that operators set: routes, service limits, and evacuated failure domains. It is
// replaced only by newer state, so a node never reverts, whatever the source. The configuration is
// ordered by the operators' version number, which also holds across a restore of the store, and the
// evacuations by the position of their last change in the store's history.
//
// A store that has just been restored may lack evacuations which it had acknowledged. They stay in
// force for restoreGrace, in which operators write them again.
//
// Open flows may be at services that are no longer targets of their routes. These former targets
// are known if the record of them was read or written, or if a peer that knows them was adopted.
//
//     FleetState state;
//     if (state.adoptConfiguration(configuration))
//         sendToPeers(state.encode(now));

namespace cactusdeck::mesh {

using Revision = std::uint64_t; // store revision; 0: nothing known
// How often the store has been restored from a copy. A restored store has lost its latest changes
// and gives out their revisions again.
using StoreEra = std::uint64_t;

// A point in the store's history. Revisions are comparable only within an era.
struct StorePosition
{
    StoreEra era = 0;
    Revision revision = 0;

    friend auto operator<=>(const StorePosition &, const StorePosition &) = default;
};

// How long an evacuation stays in force that a restored store does not list: as long as a change
// may take until it is in force.
inline constexpr std::chrono::milliseconds restoreGrace{ 3000 };

struct WeightedService
{
    ServiceName service;
    std::uint32_t weight = 1;
};

struct Route
{
    std::vector<WeightedService> targets; // never empty
    RequestTerms terms;

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

using TargetsByAddress = std::map<Endpoint, std::set<ServiceName>>;

// What the fleet keeps in the store of the targets of its routes.
struct TargetRecord
{
    ConfigurationVersion version = 0; // that it was written for
    TargetsByAddress current; // as of the version
    TargetsByAddress former; // targets of earlier versions
};

using ConfigurationPointer = std::shared_ptr<const FleetConfiguration>;

class FleetState
{
public:
    // Returns false if the version is not newer than the one in force.
    bool adoptConfiguration(ConfigurationPointer configuration);
    // Returns false if neither the zones nor the era change.
    bool adoptEvacuations(StorePosition asOf, std::set<ZoneName> zones, TimePoint now);
    // Adopts the parts of the other state that are newer. Returns true if there were any.
    bool adopt(const FleetState &other, TimePoint now);

    const ConfigurationPointer &configuration() const { return this->routes; }
    // 0: no configuration is known.
    ConfigurationVersion configurationVersion() const
    {
        return this->routes == nullptr ? 0 : this->routes->version;
    }
    StorePosition evacuationsAsOf() const { return this->zonesAsOf; }
    // As listed by the store; without the evacuations that are only held.
    const std::set<ZoneName> &evacuated() const { return this->zones; }
    // The evacuations that a restored store does not list and that are still in force.
    std::set<ZoneName> heldEvacuations(TimePoint now) const;
    bool isEvacuated(const ZoneName &zone, TimePoint now) const;
    // True if an earlier configuration had a route for the address and the current one has none.
    bool wasDropped(Endpoint address) const;

    // Not stated if the current configuration has no route for the address.
    RequestTerms termsOf(Endpoint address) const;

    // True if the service is a target of the address in the current or an earlier configuration.
    bool mayServe(Endpoint address, const ServiceName &service) const;

    // True if a service that mayServe() denies has never been a target of the address.
    bool knowsFormerTargets() const { return this->hasFormerTargets; }
    void setFormerTargetsKnown() { this->hasFormerTargets = true; }
    // Targets in the record that the current configuration lacks are former targets.
    void adoptTargets(const TargetRecord &record);
    TargetRecord targetRecord() const;
    // Increases whenever targetRecord() may have changed.
    std::uint64_t targetChanges() const { return this->targetChangeCount; }

    // CBOR, for the transfer between nodes. Held evacuations are transferred as the time left,
    // since the nodes' clocks differ.
    std::vector<std::uint8_t> encode(TimePoint now) const;
    static std::optional<FleetState> decode(std::span<const std::uint8_t> bytes, TimePoint now);

private:
    // Holds what the other state holds too.
    void adoptHeld(const FleetState &other);
    // Former are those that the current configuration lacks.
    void noteTargets(Endpoint address, const std::set<ServiceName> &services);
    static TargetsByAddress targetsOf(const FleetConfiguration &configuration);

    ConfigurationPointer routes; // null until a configuration is known
    std::set<ZoneName> zones;
    StorePosition zonesAsOf; // revision 0: nothing known
    std::map<ZoneName, TimePoint> heldUntil; // by zones that are not in the list
    TargetsByAddress formerTargets; // targets of earlier configurations
    bool hasFormerTargets = false; // of all configurations that flows may date from
    std::uint64_t targetChangeCount = 0;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_FLEETSTATE_H

#ifndef CACTUSDECK_MESH_CONFIGURATIONCHECK_H
#define CACTUSDECK_MESH_CONFIGURATIONCHECK_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/types.h"
#include "mesh/fleetstate.h"

// Checks a configuration that can be read before operators send it: entries that can never match,
// limits that contradict each other, and what differs from the version in force.
//
//     for (const ConfigurationFinding &finding : checkConfiguration(draft, &inForce)) ...
//     for (const ConfigurationDifference &difference : differencesBetween(inForce, draft)) ...
//
// Places name fields of a draft; platform/configurationdraft.h converts them to JSON paths.

namespace cactusdeck::mesh {

// A configuration as written. Unlike a FleetConfiguration, it has the entries in their order and
// those that another entry hides.
struct ConfigurationDraft
{
    struct RouteEntry
    {
        std::string name;
        Endpoint address;
        Route route;
        bool isSplit = false; // false: the route has one target without a weight
    };
    struct ServiceEntry
    {
        ServiceName name;
        ServiceLimits limits;
    };

    ConfigurationVersion version = 0;
    std::vector<RouteEntry> routes;
    std::vector<ServiceEntry> services;
    std::chrono::milliseconds idleTimeout{ 0 };
};

enum class DraftField : std::uint8_t {
    Version,
    Route, // the whole entry
    RouteName,
    RouteAddress,
    RouteService, // the only target
    Split,
    SplitService,
    SplitWeight,
    Priority,
    TargetLatency,
    Timeout,
    Service, // the whole entry
    Connections,
    ColdFlows,
    IdleTimeout,
};

struct DraftPlace
{
    DraftField field = DraftField::Version;
    std::size_t entry = 0; // index of the route or service
    std::size_t target = 0; // index in the route's split
};

struct ConfigurationFinding
{
    DraftPlace place;
    std::string found;
    std::string expected;
};

// inForce is null if the version in force is not known.
std::vector<ConfigurationFinding> checkConfiguration(const ConfigurationDraft &draft,
                                                     const ConfigurationDraft *inForce);

enum class DifferenceKind : std::uint8_t { Added, Removed, Changed };

struct ConfigurationDifference
{
    DifferenceKind kind = DifferenceKind::Changed;
    DraftPlace place; // in the earlier version for what is removed, otherwise in the later one
    std::string subject; // the address of a route or the name of a service; empty: neither
    std::string from;
    std::string to;
};

// Routes are the same if they have the same address, since this is what flows are matched by.
// Leaves out entries that another one hides.
std::vector<ConfigurationDifference> differencesBetween(const ConfigurationDraft &earlier,
                                                        const ConfigurationDraft &later);

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_CONFIGURATIONCHECK_H

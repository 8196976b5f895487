#include "mesh/fleetstate.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include <nlohmann/json.hpp>

namespace cactusdeck::mesh {

namespace {

using nlohmann::json;

// Selects bits of the flow hash that the other tables do not use, so that the split is independent.
constexpr int splitHashShift = 24;

json toJson(const FleetConfiguration &configuration)
{
    json routes = json::array();
    for (const auto &[address, route] : configuration.routes) {
        json targets = json::array();
        for (const WeightedService &target : route.targets)
            targets.push_back({ target.service, target.weight });
        routes.push_back({ address, targets, route.terms.targetLatency.count(),
                           route.terms.priority, route.terms.timeout.count() });
    }
    json services = json::array();
    for (const auto &[name, limits] : configuration.services)
        services.push_back({ name, limits.connections, limits.coldFlowsPerSecond });
    return { { "version", configuration.version },
             { "routes", routes },
             { "services", services },
             { "idleTimeout", configuration.idleTimeout.count() } };
}

ConfigurationPointer configurationFrom(const json &document)
{
    auto result = std::make_shared<FleetConfiguration>();
    document.at("version").get_to(result->version);
    for (const json &entry : document.at("routes")) {
        Route route;
        for (const json &target : entry.at(1))
            route.targets.push_back({ target.at(0), target.at(1) });
        route.terms.targetLatency = std::chrono::milliseconds(entry.at(2).get<std::int64_t>());
        entry.at(3).get_to(route.terms.priority);
        // Nodes of an earlier release do not state the timeout.
        if (entry.size() > 4)
            route.terms.timeout = std::chrono::milliseconds(entry.at(4).get<std::int64_t>());
        if (!route.targets.empty())
            result->routes.emplace(entry.at(0).get<Endpoint>(), std::move(route));
    }
    for (const json &entry : document.at("services"))
        result->services[entry.at(0)] = { .connections = entry.at(1),
                                          .coldFlowsPerSecond = entry.at(2) };
    result->idleTimeout = std::chrono::milliseconds(document.at("idleTimeout").get<std::int64_t>());
    return result;
}

} // namespace

const ServiceName &Route::serviceFor(std::uint64_t flowHash) const
{
    const std::uint64_t total = std::accumulate(
            this->targets.begin(), this->targets.end(), std::uint64_t(0),
            [](std::uint64_t sum, const WeightedService &target) { return sum + target.weight; });
    if (total == 0)
        return this->targets.front().service;
    std::uint64_t point = (flowHash >> splitHashShift) % total;
    for (const WeightedService &target : this->targets) {
        if (point < target.weight)
            return target.service;
        point -= target.weight;
    }
    return this->targets.back().service;
}

bool Route::hasTarget(const ServiceName &service) const
{
    return std::any_of(this->targets.begin(), this->targets.end(),
                       [&](const WeightedService &target) { return target.service == service; });
}

bool FleetState::adoptConfiguration(ConfigurationPointer configuration)
{
    if (configuration == nullptr || configuration->version <= this->configurationVersion())
        return false;
    const ConfigurationPointer previous = std::exchange(this->routes, std::move(configuration));
    ++this->targetChangeCount;
    if (previous != nullptr) {
        for (const auto &[address, services] : targetsOf(*previous))
            this->noteTargets(address, services);
    }
    return true;
}

TargetsByAddress FleetState::targetsOf(const FleetConfiguration &configuration)
{
    TargetsByAddress targets;
    for (const auto &[address, route] : configuration.routes) {
        for (const WeightedService &target : route.targets)
            targets[address].insert(target.service);
    }
    return targets;
}

void FleetState::noteTargets(Endpoint address, const std::set<ServiceName> &services)
{
    for (const ServiceName &service : services) {
        if (!this->mayServe(address, service)) {
            this->formerTargets[address].insert(service);
            ++this->targetChangeCount;
        }
    }
}

void FleetState::adoptTargets(const TargetRecord &record)
{
    for (const TargetsByAddress *targets : { &record.former, &record.current }) {
        for (const auto &[address, services] : *targets)
            this->noteTargets(address, services);
    }
    this->hasFormerTargets = true;
}

TargetRecord FleetState::targetRecord() const
{
    return { .version = this->configurationVersion(),
             .current = this->routes == nullptr ? TargetsByAddress{} : targetsOf(*this->routes),
             .former = this->formerTargets };
}

bool FleetState::wasDropped(Endpoint address) const
{
    return this->formerTargets.contains(address)
           && (this->routes == nullptr || !this->routes->routes.contains(address));
}

RequestTerms FleetState::termsOf(Endpoint address) const
{
    if (this->routes == nullptr)
        return {};
    const auto route = this->routes->routes.find(address);
    return route == this->routes->routes.end() ? RequestTerms{} : route->second.terms;
}

bool FleetState::mayServe(Endpoint address, const ServiceName &service) const
{
    if (const auto past = this->formerTargets.find(address);
        past != this->formerTargets.end() && past->second.contains(service))
        return true;
    if (this->routes == nullptr)
        return false;
    const auto route = this->routes->routes.find(address);
    return route != this->routes->routes.end() && route->second.hasTarget(service);
}

bool FleetState::adoptEvacuations(StorePosition asOf, std::set<ZoneName> evacuatedZones,
                                  TimePoint now)
{
    if (asOf <= this->zonesAsOf)
        return false;
    // The first evacuation state is a change even if no zone is evacuated.
    const bool isNewEra = asOf.era != this->zonesAsOf.era;
    if (this->zonesAsOf.revision != 0 && !isNewEra && evacuatedZones == this->zones)
        return false;
    if (isNewEra) {
        // Operators could not write again what an earlier restore lost if another one follows soon.
        std::set<ZoneName> held = this->heldEvacuations(now);
        held.insert(this->zones.begin(), this->zones.end());
        for (const ZoneName &zone : held)
            this->heldUntil[zone] = now + restoreGrace;
    }
    for (const ZoneName &zone : evacuatedZones)
        this->heldUntil.erase(zone);
    this->zones = std::move(evacuatedZones);
    this->zonesAsOf = asOf;
    return true;
}

std::set<ZoneName> FleetState::heldEvacuations(TimePoint now) const
{
    std::set<ZoneName> held;
    for (const auto &[zone, until] : this->heldUntil) {
        if (now < until)
            held.insert(zone);
    }
    return held;
}

bool FleetState::isEvacuated(const ZoneName &zone, TimePoint now) const
{
    if (this->zones.contains(zone))
        return true;
    const auto held = this->heldUntil.find(zone);
    return held != this->heldUntil.end() && now < held->second;
}

bool FleetState::adopt(const FleetState &other, TimePoint now)
{
    const bool isConfigurationNew = this->adoptConfiguration(other.routes);
    const bool areZonesNew = this->adoptEvacuations(other.zonesAsOf, other.zones, now);
    // The same zones with a newer revision: take over the revision too, otherwise the two nodes
    // would keep fetching each other's state.
    if (other.zonesAsOf > this->zonesAsOf && other.zones == this->zones)
        this->zonesAsOf = other.zonesAsOf;
    if (other.zonesAsOf == this->zonesAsOf)
        this->adoptHeld(other);
    // Merge the targets of earlier configurations, since open flows may date from them.
    for (const auto &[address, services] : other.formerTargets)
        this->noteTargets(address, services);
    if (other.routes != nullptr && other.configurationVersion() < this->configurationVersion()) {
        for (const auto &[address, services] : targetsOf(*other.routes))
            this->noteTargets(address, services);
    }
    this->hasFormerTargets |= other.hasFormerTargets;
    return isConfigurationNew || areZonesNew;
}

void FleetState::adoptHeld(const FleetState &other)
{
    for (const auto &[zone, until] : other.heldUntil) {
        if (!this->zones.contains(zone))
            this->heldUntil[zone] = std::max(this->heldUntil[zone], until);
    }
}

std::vector<std::uint8_t> FleetState::encode(TimePoint now) const
{
    json document = { { "zonesEra", this->zonesAsOf.era },
                      { "zonesRevision", this->zonesAsOf.revision },
                      { "zones", json::array() },
                      { "formerKnown", this->hasFormerTargets } };
    for (const ZoneName &zone : this->zones)
        document["zones"].push_back(zone);
    document["held"] = json::array();
    for (const ZoneName &zone : this->heldEvacuations(now)) {
        const auto left =
                std::chrono::ceil<std::chrono::milliseconds>(this->heldUntil.at(zone) - now);
        document["held"].push_back(json::array({ zone, left.count() }));
    }
    document["former"] = json::array();
    for (const auto &[address, services] : this->formerTargets)
        document["former"].push_back(json::array({ address, services }));
    if (this->routes != nullptr)
        document["configuration"] = toJson(*this->routes);
    return json::to_cbor(document);
}

std::optional<FleetState> FleetState::decode(std::span<const std::uint8_t> bytes, TimePoint now)
{
    try {
        const json document = json::from_cbor(bytes.begin(), bytes.end());
        FleetState state;
        // Nodes of an earlier release do not know the era.
        state.zonesAsOf = { .era = document.value("zonesEra", StoreEra(0)),
                            .revision = document.at("zonesRevision") };
        for (const json &zone : document.at("zones"))
            state.zones.insert(zone.get<ZoneName>());
        for (const json &entry : document.value("held", json::array())) {
            const std::chrono::milliseconds left(entry.at(1).get<std::int64_t>());
            state.heldUntil[entry.at(0).get<ZoneName>()] = now + std::min(left, restoreGrace);
        }
        for (const json &entry : document.at("former"))
            entry.at(1).get_to(state.formerTargets[entry.at(0).get<Endpoint>()]);
        // Nodes of an earlier release do not state it.
        state.hasFormerTargets = document.value("formerKnown", false);
        if (document.contains("configuration"))
            state.routes = configurationFrom(document.at("configuration"));
        return state;
    } catch (const json::exception &) {
        // The calling code logs which peer sent the malformed state.
        return std::nullopt;
    }
}

} // namespace cactusdeck::mesh

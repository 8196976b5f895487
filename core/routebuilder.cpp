#include "core/routebuilder.h"

#include <algorithm>
#include <set>

namespace cactusdeck {

namespace {

// Number of buckets whose first agent differs between two tables.
std::size_t movedBuckets(const PlacementTable &before, const PlacementTable &after)
{
    std::size_t moved = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        const auto old = before.order(Bucket(bucket));
        const auto now = after.order(Bucket(bucket));
        const bool isSame = !old.empty() && !now.empty()
                            && before.members()[old[0]].id == after.members()[now[0]].id;
        moved += isSame ? 0 : 1;
    }
    return moved;
}

void logTable(const ServiceContract &contract, const PlacementTable &before,
              const PlacementTable &after, Outbox &outbox)
{
    outbox.events.push_back(
            { .name = "table",
              .fields = { { "service", contract.service.value },
                          { "digest", std::to_string(after.digest()) },
                          { "members", std::to_string(after.members().size()) },
                          { "moved_buckets", std::to_string(movedBuckets(before, after)) } } });
}

} // namespace

RouteBuilder::RouteBuilder(Forwarder &packetPath, const Membership &members,
                           const PlacementStrategy &placement)
    : forwarder(packetPath)
    , membership(members)
    , strategy(placement)
    , configuration(std::make_shared<const Configuration>())
    , applied(this->configuration)
{ }

void RouteBuilder::setConfiguration(ConfigurationPointer newest)
{
    this->configuration = std::move(newest);
}

void RouteBuilder::addHoldings(std::vector<HoldingsReport> learned)
{
    for (HoldingsReport &report : learned) {
        ServiceReports &ofService = this->reports[report.service];
        ofService[report.agent] = std::move(report);
        this->hasNewHoldings = true;
    }
}

void RouteBuilder::update(Outbox &outbox)
{
    const bool isNewVersion = this->configuration != this->applied;
    const std::uint64_t generation = this->membership.generation();
    if (!isNewVersion && generation == this->appliedGeneration && !this->hasNewHoldings)
        return;
    this->updateAgents();
    if (isNewVersion)
        this->removeServices(*this->applied, outbox);
    for (const ContractPointer &published : this->configuration->contracts())
        this->updateService(published->contract, outbox);
    this->forwarder.setConfigurationVersion(this->configuration->version());
    this->applied = this->configuration;
    this->appliedGeneration = generation;
    this->hasNewHoldings = false;
}

void RouteBuilder::updateAgents()
{
    std::set<NodeId> present;
    for (const NodeRecord *record : this->membership.agents()) {
        NodeRecord effective = *record;
        if (this->membership.isUsable(*record))
            effective.liveness = Liveness::Alive;
        this->forwarder.agents().update(effective, this->configuration->isZoneOut(record->zone));
        present.insert(record->id);
    }
    for (const NodeId &id : this->forwarder.agents().ids()) {
        if (present.contains(id))
            continue;
        this->forwarder.agents().remove(id);
        for (auto &[service, ofService] : this->reports)
            ofService.erase(id);
    }
}

void RouteBuilder::removeServices(const Configuration &former, Outbox &outbox)
{
    for (const ContractPointer &published : former.contracts()) {
        const ServiceContract &contract = published->contract;
        if (this->configuration->find(contract.id) != nullptr)
            continue;
        this->forwarder.routing().removeService(contract.id);
        this->reports.erase(contract.id);
        outbox.events.push_back(
                { .name = "service_removed", .fields = { { "service", contract.service.value } } });
    }
}

void RouteBuilder::updateService(const ServiceContract &contract, Outbox &outbox)
{
    const ServiceRoute *former = this->forwarder.routing().find(contract.id);
    std::vector<Member> memberList = this->membersOf(contract);
    ServiceRoute route{ .id = contract.id };
    const bool isSameTable = former != nullptr && former->table.members() == memberList;
    route.table =
            isSameTable ? former->table : PlacementTable(std::move(memberList), this->strategy);
    if (!isSameTable)
        logTable(contract, former == nullptr ? PlacementTable() : former->table, route.table,
                 outbox);
    for (const Member &member : route.table.members())
        route.memberSlots.push_back(*this->forwarder.agents().find(member.id));
    for (const NodeRecord *agent : this->membership.agentsOf(contract.groups))
        route.serviceAgents.push_back(*this->forwarder.agents().find(agent->id));
    indexHoldings(this->reports[contract.id], this->forwarder.agents(), route);
    std::vector<RoutingTable::Address> addresses;
    for (const ServiceAddress &address : contract.addresses)
        addresses.push_back({ address.endpoint, address.protocol });
    this->forwarder.routing().setService(std::move(route), addresses);
}

std::vector<Member> RouteBuilder::membersOf(const ServiceContract &contract) const
{
    const std::vector<const NodeRecord *> agents = this->membership.agentsOf(contract.groups);
    return placementMembers(agents, contract.groups, [this](const ZoneName &zone) {
        return this->configuration->isZoneOut(zone);
    });
}

std::vector<ServiceDigest> RouteBuilder::digests(const GroupName &group) const
{
    std::vector<ServiceDigest> result;
    for (const ServiceContract *contract : this->applied->servicesOf(group)) {
        if (const ServiceRoute *route = this->forwarder.routing().find(contract->id))
            result.push_back({ contract->id, route->table.digest() });
    }
    return result;
}

std::vector<Member> RouteBuilder::members(ServiceId service) const
{
    const ServiceRoute *route = this->forwarder.routing().find(service);
    return route == nullptr ? std::vector<Member>() : route->table.members();
}

} // namespace cactusdeck

#ifndef CACTUSDECK_CORE_ROUTEBUILDER_H
#define CACTUSDECK_CORE_ROUTEBUILDER_H

#include <map>
#include <vector>

#include "core/configuration.h"
#include "core/forwarder.h"
#include "core/holdingsindex.h"
#include "core/membership.h"
#include "core/outbox.h"

// Updates the agents and routes of a Forwarder when configuration, membership or holdings change.
//
//     builder.setConfiguration(configuration);
//     builder.addHoldings(gossip.takeHoldings());
//     builder.update(outbox);                 // on each timer; no effect without a change
//     builder.digests(group), builder.members(service)    // for agents
//
// Placement tables are recomputed only for services whose members changed.

namespace cactusdeck {

class RouteBuilder
{
public:
    // The references must outlive this object.
    RouteBuilder(Forwarder &packetPath, const Membership &members,
                 const PlacementStrategy &placement);

    void setConfiguration(ConfigurationPointer newest);
    void addHoldings(std::vector<HoldingsReport> reports);
    // Logs each table that changed, with the number of buckets that moved.
    void update(Outbox &outbox);

    std::vector<ServiceDigest> digests(const GroupName &group) const;
    std::vector<Member> members(ServiceId service) const;

private:
    void updateAgents();
    void updateService(const ServiceContract &contract, Outbox &outbox);
    void removeServices(const Configuration &former, Outbox &outbox);
    std::vector<Member> membersOf(const ServiceContract &contract) const;

    Forwarder &forwarder;
    const Membership &membership;
    const PlacementStrategy &strategy;
    ConfigurationPointer configuration;
    ConfigurationPointer applied;
    std::uint64_t appliedGeneration = 0;
    bool hasNewHoldings = false;
    std::map<ServiceId, ServiceReports> reports;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_ROUTEBUILDER_H

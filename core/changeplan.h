#ifndef CACTUSDECK_CORE_CHANGEPLAN_H
#define CACTUSDECK_CORE_CHANGEPLAN_H

#include <chrono>
#include <span>
#include <string>
#include <vector>

#include "core/contract.h"
#include "core/error.h"
#include "core/head.h"
#include "core/types.h"

// Computes the new head and the service objects to write for an operator's change to a given head.
// Used by Publisher, which makes a new plan if the head has changed meanwhile.
//
//     Result<ChangePlan> plan = planContracts(head, contracts, options);
//     Result<ChangePlan> plan = planZone(head, zone, ZoneState::Out, options);

namespace cactusdeck {

struct PublisherOptions
{
    std::string changeId; // unique
    std::string author;
    std::string reason;
    std::chrono::milliseconds time{}; // since the Unix epoch, recorded with the change
    Duration deadline = std::chrono::seconds(30);
    // Permits what is otherwise refused: taking the last zone out of service, naming an unknown
    // zone, publishing no contract at all, and using a head older than newestKnown.
    bool force = false;
    // Zones of live nodes. A zone is known if it is among these or in the head.
    std::vector<ZoneName> knownZones;
    // Newest version that any node reports; a head read with an older version is stale.
    ConfigurationVersion newestKnown = 0;
};

// The services that a new set of contracts adds, changes or removes.
struct ContractDiff
{
    std::vector<ServiceName> added;
    std::vector<ServiceName> changed;
    std::vector<ServiceName> removed;

    bool isEmpty() const
    {
        return this->added.empty() && this->changed.empty() && this->removed.empty();
    }
};

struct ServiceObject
{
    std::string key;
    std::string text;
};

struct ChangePlan
{
    bool isUnchanged = false; // the head already is as requested
    ConfigurationHead target; // the head to write
    ContractDiff diff;
    std::vector<ServiceObject> objects; // must be written before the head
};

// Replaces all contracts. Fails with InvalidContract if contracts conflict with each other, if none
// is given without force, or if the head would exceed the store's size limit.
Result<ChangePlan> planContracts(const ConfigurationHead &base,
                                 std::span<const ServiceContract> contracts,
                                 const PublisherOptions &options);
// Without force, fails with UnknownZone for an unknown zone and with InvalidArgument if the change
// would take the last zone out of service.
Result<ChangePlan> planZone(const ConfigurationHead &base, const ZoneName &zone, ZoneState state,
                            const PublisherOptions &options);

// The state of the zone in the head. A zone that the head doesn't name is in service.
ZoneState zoneStateOf(const ConfigurationHead &head, const ZoneName &zone);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_CHANGEPLAN_H

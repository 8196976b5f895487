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

// What an operator's change does to a given head. Used by Publisher, which makes a new plan when
// the head turns out to be another one.
//
//     Result<ChangePlan> plan = planContracts(head, contracts, options);
//     Result<ChangePlan> plan = planZone(head, zone, ZoneState::Out, options);

namespace cactusdeck {

struct PublisherOptions
{
    std::string changeId; // unique
    std::string author;
    std::string reason;
    std::chrono::milliseconds time{}; // since the epoch, recorded with the change
    Duration deadline = std::chrono::seconds(30);
    // Accepts what is otherwise refused: taking the last zone out, an unknown zone, publishing no
    // contract at all.
    bool force = false;
    // Zones of live nodes. Together with those in the head they are the zones that exist.
    std::vector<ZoneName> knownZones;
    // Newest version that any node reports; an older head is a stale read.
    ConfigurationVersion newestKnown = 0;
};

// What a set of contracts changes.
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
    bool isUnchanged = false; // the head already is as asked for
    ConfigurationHead target; // the head that is written
    ContractDiff diff;
    std::vector<ServiceObject> objects; // must be written before the head
};

// Replaces all contracts. Fails with InvalidContract when contracts contradict each other, when
// none is given without force, or when the head would exceed the store's limit.
Result<ChangePlan> planContracts(const ConfigurationHead &base,
                                 std::span<const ServiceContract> contracts,
                                 const PublisherOptions &options);
// Fails with UnknownZone, or with InvalidArgument for the last zone that is in.
Result<ChangePlan> planZone(const ConfigurationHead &base, const ZoneName &zone, ZoneState state,
                            const PublisherOptions &options);

// The state in the head; a zone that isn't named is in.
ZoneState zoneStateOf(const ConfigurationHead &head, const ZoneName &zone);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_CHANGEPLAN_H

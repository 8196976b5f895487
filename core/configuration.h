#ifndef CACTUSDECK_CORE_CONFIGURATION_H
#define CACTUSDECK_CORE_CONFIGURATION_H

#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "core/contract.h"
#include "core/error.h"
#include "core/head.h"
#include "core/message.h"
#include "core/types.h"

// The accepted configuration of the whole system: contracts of all services and states of all
// zones.
//
//     std::shared_ptr<const Configuration> configuration = log.current();      // never null
//     const ServiceContract *contract = configuration->find(address.endpoint, address.protocol);
//     if (configuration->isZoneOut(zone))
//         ...
//
//     ConfigurationLog log;
//     Result<bool> adopted = log.apply(delta);          // from a peer
//     bool newer = log.adopt(configuration);            // complete version from the store
//     std::optional<ConfigurationDelta> delta = log.answer(request);
//
// A Configuration is immutable; pointers into it are valid as long as a shared_ptr to it exists.

namespace cactusdeck {

// A contract with the hash under which it is published. Successive versions share the objects of
// unchanged contracts.
struct PublishedContract
{
    ServiceContract contract;
    std::string hash; // of the text as published; the head refers to the contract by it
    std::string canonicalHash; // of contractText(contract); equal on all nodes for equal contracts
};
using ContractPointer = std::shared_ptr<const PublishedContract>;

// Parses the value of a service object and checks it against the hash in the head.
Result<ContractPointer> parsePublished(std::string_view text, const ServiceName &service,
                                       std::string_view hash);

class Configuration
{
public:
    // Version 0: no services, and no zone is out of service.
    Configuration() = default;
    static std::shared_ptr<const Configuration> empty(std::optional<GroupName> group);

    // Fails with InvalidContract if the contracts don't match the head's service table or conflict
    // with each other. A configuration restricted to a group contains only contracts that name the
    // group, and its head lists only those services.
    static Result<std::shared_ptr<const Configuration>>
    build(ConfigurationHead head, std::vector<ContractPointer> contracts,
          std::optional<GroupName> group = {});

    ConfigurationVersion version() const { return this->headObject.version; }
    const std::string &changeId() const { return this->headObject.changeId; }
    const std::vector<ChangeRecord> &changes() const { return this->headObject.changes; }
    const std::map<ZoneName, ZoneState> &zones() const { return this->headObject.zones; }
    const ConfigurationHead &head() const { return this->headObject; }
    const std::optional<GroupName> &group() const { return this->restriction; }

    // Sorted by service name.
    std::span<const ContractPointer> contracts() const { return this->byName; }
    const ServiceContract *find(const ServiceName &name) const;
    const ServiceContract *find(ServiceId id) const;
    const ServiceContract *find(Endpoint endpoint, Protocol protocol) const;
    ContractPointer published(const ServiceName &name) const;
    // The services that backend servers of the group may host, sorted by name.
    std::vector<const ServiceContract *> servicesOf(const GroupName &group) const;

    // A zone that the head doesn't name is in service.
    bool isZoneOut(const ZoneName &zone) const;

    // Hash over version, change id, zone states and all contracts. A delta carries the digest of
    // its result, so that the receiver can check what it gets by applying the delta.
    const std::string &digest() const { return this->contentDigest; }

private:
    ConfigurationHead headObject;
    std::optional<GroupName> restriction;
    std::vector<ContractPointer> byName;
    std::vector<std::pair<ServiceId, const ServiceContract *>> byId;
    std::vector<std::pair<ServiceAddress, const ServiceContract *>> byAddress;
    std::vector<std::pair<const GroupName *, const ServiceContract *>> byGroup;
    std::string contentDigest;

    void buildIndexes();
};

using ConfigurationPointer = std::shared_ptr<const Configuration>;

// The difference between two versions, restricted to the contracts of the group if one is given. A
// null base, or one newer than the target, gives a full snapshot.
ConfigurationDelta deltaBetween(const Configuration *base, const Configuration &target,
                                const std::optional<GroupName> &group);
// Fails with Conflict if the delta is for another base or group, or isn't newer than the base; with
// InvalidContract if it is malformed or its result differs from the sender's configuration.
Result<ConfigurationPointer> applyDelta(const Configuration &base, const ConfigurationDelta &delta);

// The current configuration and the last changeHistory versions before it.
class ConfigurationLog
{
public:
    // group: the node keeps only the services that this group may host.
    explicit ConfigurationLog(std::optional<GroupName> group = {});

    const ConfigurationPointer &current() const { return this->history.back(); }
    const std::optional<GroupName> &group() const { return this->restriction; }

    // Returns false if the version isn't newer than the current one or is for another group.
    bool adopt(ConfigurationPointer configuration);
    // Fails as applyDelta does; the current configuration is then unchanged. Returns false for a
    // delta that isn't newer.
    Result<bool> apply(const ConfigurationDelta &delta);
    // Returns a delta, or a snapshot if the history doesn't reach back to the requester's version.
    // A requester that is up to date gets a delta without content whose from and to are equal.
    // Returns none if this node is restricted to a group other than that of the request.
    std::optional<ConfigurationDelta> answer(const ConfigurationRequest &request) const;

private:
    std::optional<GroupName> restriction;
    std::deque<ConfigurationPointer> history; // oldest first, never empty
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_CONFIGURATION_H

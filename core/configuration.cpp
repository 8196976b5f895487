#include "core/configuration.h"

#include <algorithm>
#include <utility>

namespace cactusdeck {

namespace {

using nlohmann::json;

// Looks a key up in a sorted vector. The indexes are sorted vectors rather than maps because 64
// versions are kept, and a vector of pointers takes a fifth of the memory.
template <typename Key>
const ServiceContract *lookUp(const std::vector<std::pair<Key, const ServiceContract *>> &index,
                              const Key &key)
{
    const auto found =
            std::lower_bound(index.begin(), index.end(), key,
                             [](const auto &entry, const Key &k) { return entry.first < k; });
    return found != index.end() && found->first == key ? found->second : nullptr;
}

bool lessByName(const ContractPointer &a, const ContractPointer &b)
{
    return a->contract.service < b->contract.service;
}

bool isInGroup(const ContractPointer &contract, const std::optional<GroupName> &group)
{
    const auto &groups = contract->contract.groups;
    return !group || std::binary_search(groups.begin(), groups.end(), *group);
}

std::string digestOf(std::span<const ContractPointer> contracts, const ConfigurationHead &head,
                     const std::optional<GroupName> &group)
{
    std::string text = std::to_string(head.version) + ' ' + head.changeId + '\n';
    for (const auto &[zone, state] : head.zones)
        text += zone.value + ' ' + std::string(toString(state)) + '\n';
    for (const ContractPointer &contract : contracts) {
        if (isInGroup(contract, group))
            text += contract->canonicalHash + '\n';
    }
    return contractHash(text);
}

bool isSame(const ContractPointer &a, const ContractPointer &b)
{
    return a == b || a->canonicalHash == b->canonicalHash;
}

// Adds the difference between two lists sorted by name to the delta, restricted to the contracts of
// the group if one is given.
void writeChanges(std::span<const ContractPointer> base, std::span<const ContractPointer> target,
                  const std::optional<GroupName> &group, ConfigurationDelta &delta)
{
    auto baseEntry = base.begin();
    auto targetEntry = target.begin();
    const auto addRemoved = [&](const ContractPointer &contract) {
        if (isInGroup(contract, group))
            delta.removed.push_back(contract->contract.service);
    };
    while (baseEntry != base.end() || targetEntry != target.end()) {
        if (targetEntry == target.end()
            || (baseEntry != base.end() && lessByName(*baseEntry, *targetEntry))) {
            addRemoved(*baseEntry++);
            continue;
        }
        const bool inBoth = baseEntry != base.end() && !lessByName(*targetEntry, *baseEntry);
        if (!inBoth || !isSame(*baseEntry, *targetEntry)) {
            if (isInGroup(*targetEntry, group))
                delta.contracts.push_back(toJson((*targetEntry)->contract));
            else if (inBoth)
                addRemoved(*baseEntry);
        }
        if (inBoth)
            ++baseEntry;
        ++targetEntry;
    }
}

// Returns the change records after the base version. Agents need only the newest record; balancers
// keep all of them, to send them to nodes that join.
std::vector<ChangeRecord> changesSince(const Configuration &target, ConfigurationVersion base,
                                       bool newestOnly)
{
    const auto &changes = target.changes();
    const auto isLater = [&](const ChangeRecord &record) { return record.version > base; };
    auto first = std::find_if(changes.begin(), changes.end(), isLater);
    if (newestOnly && !changes.empty())
        first = changes.end() - 1;
    return { first, changes.end() };
}

// Completes the head from a delta: adds the earlier change records of the base, and the service
// table that follows from the contracts.
void completeHead(ConfigurationHead &head, const Configuration &base,
                  std::span<const ContractPointer> contracts)
{
    std::vector<ChangeRecord> changes = base.changes();
    std::erase_if(changes, [&](const ChangeRecord &record) {
        return record.version >= head.changes.front().version;
    });
    changes.insert(changes.end(), head.changes.begin(), head.changes.end());
    if (changes.size() > changeHistory)
        changes.erase(changes.begin(), changes.end() - changeHistory);
    head.changes = std::move(changes);
    for (const ContractPointer &contract : contracts)
        head.services[contract->contract.service] = contract->hash;
}

ContractPointer publish(ServiceContract contract)
{
    std::string hash = contractHash(contractText(contract));
    return std::make_shared<PublishedContract>(
            PublishedContract{ std::move(contract), hash, hash });
}

// Returns the contracts after the delta, sorted by name. Unchanged ones are shared with the base.
Result<std::vector<ContractPointer>> mergeContracts(const Configuration &base,
                                                    const ConfigurationDelta &delta)
{
    std::map<ServiceName, ContractPointer> merged;
    if (delta.from != 0) {
        for (const ContractPointer &contract : base.contracts())
            merged.emplace_hint(merged.end(), contract->contract.service, contract);
    }
    for (const ServiceName &name : delta.removed)
        merged.erase(name);
    for (const json &value : delta.contracts) {
        BOOST_LEAF_AUTO(contract, readContract(value, "configuration delta"));
        ContractPointer pointer = publish(std::move(contract));
        if (!isInGroup(pointer, delta.group))
            return fail(ErrorKind::InvalidContract,
                        "configuration delta: service \"" + pointer->contract.service.value
                                + "\" doesn't name group \"" + delta.group->value + "\"");
        const ContractPointer known = base.published(pointer->contract.service);
        merged[pointer->contract.service] = known && isSame(known, pointer) ? known : pointer;
    }
    std::vector<ContractPointer> contracts;
    contracts.reserve(merged.size());
    for (auto &[name, contract] : merged)
        contracts.push_back(std::move(contract));
    return contracts;
}

Result<void> checkBase(const Configuration &base, const ConfigurationDelta &delta)
{
    if (delta.group != base.group())
        return fail(ErrorKind::Conflict, "configuration delta: for another group");
    if (delta.to <= base.version())
        return fail(ErrorKind::Conflict, "configuration delta: version " + std::to_string(delta.to)
                                                 + " isn't newer than "
                                                 + std::to_string(base.version()));
    if (delta.from != 0 && delta.from != base.version())
        return fail(ErrorKind::Conflict, "configuration delta: for version "
                                                 + std::to_string(delta.from) + ", expected "
                                                 + std::to_string(base.version()));
    return {};
}

} // namespace

Result<ContractPointer> parsePublished(std::string_view text, const ServiceName &service,
                                       std::string_view hash)
{
    const std::string key = serviceKey(service, hash);
    if (contractHash(text) != hash)
        return fail(ErrorKind::InvalidContract, key + ": the content has another hash");
    BOOST_LEAF_AUTO(contract, parseContract(text, key));
    if (contract.service != service)
        return fail(ErrorKind::InvalidContract, key + ": /service: got \"" + contract.service.value
                                                        + "\", expected \"" + service.value + "\"");
    std::string canonical = contractHash(contractText(contract));
    return std::make_shared<PublishedContract>(
            PublishedContract{ std::move(contract), std::string(hash), std::move(canonical) });
}

ConfigurationPointer Configuration::empty(std::optional<GroupName> group)
{
    auto result = std::make_shared<Configuration>();
    result->restriction = std::move(group);
    return result;
}

Result<ConfigurationPointer> Configuration::build(ConfigurationHead head,
                                                  std::vector<ContractPointer> contracts,
                                                  std::optional<GroupName> group)
{
    std::sort(contracts.begin(), contracts.end(), lessByName);
    const bool matches =
            std::equal(contracts.begin(), contracts.end(), head.services.begin(),
                       head.services.end(), [](const ContractPointer &c, const auto &entry) {
                           return c->contract.service == entry.first && c->hash == entry.second;
                       });
    if (!matches)
        return fail(ErrorKind::InvalidContract,
                    std::string(headKey) + ": /services: doesn't match the contracts");
    std::vector<const ServiceContract *> pointers;
    pointers.reserve(contracts.size());
    for (const ContractPointer &contract : contracts)
        pointers.push_back(&contract->contract);
    BOOST_LEAF_CHECK(checkContracts(pointers));
    auto result = std::make_shared<Configuration>();
    result->headObject = std::move(head);
    result->restriction = std::move(group);
    result->byName = std::move(contracts);
    result->buildIndexes();
    return ConfigurationPointer(std::move(result));
}

void Configuration::buildIndexes()
{
    for (const ContractPointer &pointer : this->byName) {
        const ServiceContract *contract = &pointer->contract;
        this->byId.emplace_back(contract->id, contract);
        for (const ServiceAddress &address : contract->addresses)
            this->byAddress.emplace_back(address, contract);
        for (const GroupName &group : contract->groups)
            this->byGroup.emplace_back(&group, contract);
    }
    const auto less = [](const auto &a, const auto &b) { return a.first < b.first; };
    std::sort(this->byId.begin(), this->byId.end(), less);
    std::sort(this->byAddress.begin(), this->byAddress.end(), less);
    // Stable, so that the services of a group stay sorted by name.
    std::stable_sort(this->byGroup.begin(), this->byGroup.end(),
                     [](const auto &a, const auto &b) { return *a.first < *b.first; });
    this->contentDigest = digestOf(this->byName, this->headObject, {});
}

ContractPointer Configuration::published(const ServiceName &name) const
{
    const auto found = std::lower_bound(
            this->byName.begin(), this->byName.end(), name,
            [](const ContractPointer &c, const ServiceName &n) { return c->contract.service < n; });
    return found != this->byName.end() && (*found)->contract.service == name ? *found : nullptr;
}

const ServiceContract *Configuration::find(const ServiceName &name) const
{
    const ContractPointer found = this->published(name);
    return found ? &found->contract : nullptr;
}

const ServiceContract *Configuration::find(ServiceId id) const
{
    return lookUp(this->byId, id);
}

const ServiceContract *Configuration::find(Endpoint endpoint, Protocol protocol) const
{
    return lookUp(this->byAddress, ServiceAddress{ endpoint, protocol });
}

std::vector<const ServiceContract *> Configuration::servicesOf(const GroupName &group) const
{
    auto entry = std::lower_bound(this->byGroup.begin(), this->byGroup.end(), group,
                                  [](const auto &e, const GroupName &g) { return *e.first < g; });
    std::vector<const ServiceContract *> services;
    for (; entry != this->byGroup.end() && *entry->first == group; ++entry)
        services.push_back(entry->second);
    return services;
}

bool Configuration::isZoneOut(const ZoneName &zone) const
{
    const auto found = this->headObject.zones.find(zone);
    return found != this->headObject.zones.end() && found->second == ZoneState::Out;
}

ConfigurationDelta deltaBetween(const Configuration *base, const Configuration &target,
                                const std::optional<GroupName> &group)
{
    const bool isSnapshot = !base || base->version() > target.version();
    ConfigurationDelta delta;
    delta.from = isSnapshot ? 0 : base->version();
    delta.to = target.version();
    delta.group = group;
    const ConfigurationHead head{ .version = target.version(),
                                  .changeId = target.changeId(),
                                  .changes = changesSince(target, delta.from, group.has_value()),
                                  .zones = target.zones() };
    delta.head = toJson(head, false);
    delta.head["digest"] =
            group ? digestOf(target.contracts(), target.head(), group) : target.digest();
    writeChanges(delta.from == 0 ? std::span<const ContractPointer>() : base->contracts(),
                 target.contracts(), group, delta);
    return delta;
}

Result<ConfigurationPointer> applyDelta(const Configuration &base, const ConfigurationDelta &delta)
{
    BOOST_LEAF_CHECK(checkBase(base, delta));
    json headJson = delta.head;
    if (!headJson.is_object() || !headJson.contains("digest"))
        return fail(ErrorKind::InvalidContract, "configuration delta: head without a digest");
    const json digest = headJson["digest"];
    headJson.erase("digest");
    BOOST_LEAF_AUTO(head, parseHead(headJson, false));
    if (head.version != delta.to)
        return fail(ErrorKind::InvalidContract, "configuration delta: head of another version");
    BOOST_LEAF_AUTO(contracts, mergeContracts(base, delta));
    completeHead(head, base, contracts);
    BOOST_LEAF_AUTO(result,
                    Configuration::build(std::move(head), std::move(contracts), delta.group));
    if (digest != result->digest())
        return fail(ErrorKind::InvalidContract,
                    "configuration delta: the result differs from the sender's configuration");
    return result;
}

ConfigurationLog::ConfigurationLog(std::optional<GroupName> group)
    : restriction(std::move(group))
    , history({ Configuration::empty(this->restriction) })
{ }

bool ConfigurationLog::adopt(ConfigurationPointer configuration)
{
    if (!configuration || configuration->version() <= this->current()->version()
        || configuration->group() != this->restriction)
        return false;
    this->history.push_back(std::move(configuration));
    if (this->history.size() > changeHistory + 1)
        this->history.pop_front();
    return true;
}

Result<bool> ConfigurationLog::apply(const ConfigurationDelta &delta)
{
    if (delta.to <= this->current()->version())
        return false;
    BOOST_LEAF_AUTO(next, applyDelta(*this->current(), delta));
    return this->adopt(std::move(next));
}

std::optional<ConfigurationDelta>
ConfigurationLog::answer(const ConfigurationRequest &request) const
{
    if (this->restriction && request.group != this->restriction)
        return std::nullopt;
    const ConfigurationPointer &newest = this->current();
    if (request.have >= newest->version())
        return ConfigurationDelta{ .from = newest->version(),
                                   .to = newest->version(),
                                   .group = request.group };
    const auto base = std::lower_bound(
            this->history.begin(), this->history.end(), request.have,
            [](const ConfigurationPointer &c, ConfigurationVersion v) { return c->version() < v; });
    const bool isBaseInHistory = request.have != 0 && (*base)->version() == request.have;
    return deltaBetween(isBaseInHistory ? base->get() : nullptr, *newest, request.group);
}

} // namespace cactusdeck

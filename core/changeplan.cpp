#include "core/changeplan.h"

#include <algorithm>
#include <utility>

namespace cactusdeck {

namespace {

constexpr std::size_t maxObjectBytes = 1'000'000; // the store's limit

std::string summarize(const char *what, const std::vector<ServiceName> &names)
{
    constexpr std::size_t shown = 5;
    std::string text = std::to_string(names.size()) + ' ' + what;
    for (std::size_t i = 0; i < std::min(shown, names.size()); ++i)
        text += (i == 0 ? " (" : ", ") + names[i].value;
    if (!names.empty())
        text += names.size() > shown ? ", ...)" : ")";
    return text;
}

std::string summaryOf(const ContractDiff &diff)
{
    return summarize("added", diff.added) + ", " + summarize("changed", diff.changed) + ", "
           + summarize("removed", diff.removed);
}

ConfigurationHead targetOf(const ConfigurationHead &base, std::string summary,
                           const PublisherOptions &options)
{
    if (!options.reason.empty())
        summary += "; " + options.reason;
    ConfigurationHead target = base;
    addChange(target, { .version = std::max(base.version, options.newestKnown) + 1,
                        .changeId = options.changeId,
                        .author = options.author,
                        .time = options.time,
                        .summary = std::move(summary) });
    return target;
}

bool isKnownZone(const ConfigurationHead &base, const ZoneName &zone,
                 const PublisherOptions &options)
{
    const auto &known = options.knownZones;
    return base.zones.contains(zone) || std::count(known.begin(), known.end(), zone) > 0;
}

bool isLastZone(const ConfigurationHead &base, const ZoneName &zone,
                const PublisherOptions &options)
{
    const auto isOtherIn = [&](const ZoneName &other) {
        return other != zone && zoneStateOf(base, other) == ZoneState::In;
    };
    return std::none_of(options.knownZones.begin(), options.knownZones.end(), isOtherIn)
           && std::none_of(base.zones.begin(), base.zones.end(),
                           [&](const auto &entry) { return isOtherIn(entry.first); });
}

} // namespace

ZoneState zoneStateOf(const ConfigurationHead &head, const ZoneName &zone)
{
    const auto found = head.zones.find(zone);
    return found == head.zones.end() ? ZoneState::In : found->second;
}

Result<ChangePlan> planContracts(const ConfigurationHead &base,
                                 std::span<const ServiceContract> contracts,
                                 const PublisherOptions &options)
{
    BOOST_LEAF_CHECK(checkContracts(contracts));
    if (contracts.empty() && !options.force)
        return fail(ErrorKind::InvalidContract,
                    "no contract given; publishing none removes all services and must be forced");
    ChangePlan plan;
    std::map<ServiceName, std::string> services;
    for (const ServiceContract &contract : contracts) {
        std::string text = contractText(contract);
        const std::string &hash = services[contract.service] = contractHash(text);
        const auto old = base.services.find(contract.service);
        if (old != base.services.end() && old->second == hash)
            continue;
        const bool isNew = old == base.services.end();
        (isNew ? plan.diff.added : plan.diff.changed).push_back(contract.service);
        plan.objects.push_back({ serviceKey(contract.service, hash), std::move(text) });
    }
    for (const auto &[service, hash] : base.services) {
        if (!services.contains(service))
            plan.diff.removed.push_back(service);
    }
    plan.isUnchanged = plan.diff.isEmpty();
    plan.target = targetOf(base, summaryOf(plan.diff), options);
    plan.target.services = std::move(services);
    const std::size_t size = headText(plan.target).size();
    if (size > maxObjectBytes)
        return fail(ErrorKind::InvalidContract, "the head would have " + std::to_string(size)
                                                        + " bytes, expected at most "
                                                        + std::to_string(maxObjectBytes));
    return plan;
}

Result<ChangePlan> planZone(const ConfigurationHead &base, const ZoneName &zone, ZoneState state,
                            const PublisherOptions &options)
{
    if (!options.force && !isKnownZone(base, zone, options))
        return fail(ErrorKind::UnknownZone,
                    "zone \"" + zone.value
                            + "\" is neither in the configuration nor that of a live node");
    ChangePlan plan;
    plan.isUnchanged = zoneStateOf(base, zone) == state;
    const bool isLastOut = state == ZoneState::Out && isLastZone(base, zone, options);
    if (!plan.isUnchanged && isLastOut && !options.force)
        return fail(ErrorKind::InvalidArgument,
                    "zone \"" + zone.value
                            + "\" is the last one that is in; taking it out must be forced");
    plan.target =
            targetOf(base, "zone " + zone.value + " " + std::string(toString(state)), options);
    plan.target.zones[zone] = state;
    return plan;
}

} // namespace cactusdeck

#include "mesh/configurationcheck.h"

#include <algorithm>
#include <map>
#include <set>

namespace cactusdeck::mesh {

namespace {

using RouteEntry = ConfigurationDraft::RouteEntry;
using ServiceEntry = ConfigurationDraft::ServiceEntry;
using Findings = std::vector<ConfigurationFinding>;

struct Subject
{
    const ConfigurationDraft &draft;
    const ConfigurationDraft *inForce;
};

std::string textOf(std::chrono::milliseconds time)
{
    return time.count() == 0 ? "none" : std::to_string(time.count()) + " ms";
}

std::string textOf(double rate)
{
    std::string text = std::to_string(rate);
    text.erase(text.find_last_not_of('0') + 1);
    return text.back() == '.' ? text.substr(0, text.size() - 1) : text;
}

std::string textOf(const Route &route)
{
    if (route.targets.size() == 1)
        return route.targets.front().service.value;
    std::string text;
    for (const WeightedService &target : route.targets)
        text += (text.empty() ? "" : ", ") + target.service.value + " "
                + std::to_string(target.weight);
    return text;
}

void checkVersion(const Subject &subject, Findings &findings)
{
    if (subject.inForce == nullptr || subject.draft.version > subject.inForce->version)
        return;
    findings.push_back({ .place = { .field = DraftField::Version },
                         .found = std::to_string(subject.draft.version),
                         .expected = "a version above " + std::to_string(subject.inForce->version)
                                     + ", which is in force" });
}

void checkAddresses(const Subject &subject, Findings &findings)
{
    std::map<Endpoint, std::size_t> first;
    for (std::size_t i = 0; i < subject.draft.routes.size(); ++i) {
        const RouteEntry &entry = subject.draft.routes[i];
        const auto [known, isNew] = first.emplace(entry.address, i);
        if (!isNew)
            findings.push_back({ .place = { .field = DraftField::RouteAddress, .entry = i },
                                 .found = toString(entry.address),
                                 .expected = "another host or port than route "
                                             + std::to_string(known->second)
                                             + " has, since this route never matches" });
    }
}

void checkTargets(const Subject &subject, Findings &findings)
{
    std::set<ServiceName> listed;
    for (const ServiceEntry &service : subject.draft.services)
        listed.insert(service.name);
    for (std::size_t i = 0; i < subject.draft.routes.size(); ++i) {
        const RouteEntry &entry = subject.draft.routes[i];
        for (std::size_t k = 0; k < entry.route.targets.size(); ++k) {
            const WeightedService &target = entry.route.targets[k];
            if (!listed.contains(target.service))
                findings.push_back({ .place = { .field = entry.isSplit ? DraftField::SplitService
                                                                       : DraftField::RouteService,
                                                .entry = i,
                                                .target = k },
                                     .found = target.service.value,
                                     .expected = "a listed service, whose limits are known" });
        }
    }
}

void checkWeights(const Subject &subject, Findings &findings)
{
    for (std::size_t i = 0; i < subject.draft.routes.size(); ++i) {
        const std::vector<WeightedService> &targets = subject.draft.routes[i].route.targets;
        const auto isUnused = [](const WeightedService &target) { return target.weight == 0; };
        if (std::all_of(targets.begin(), targets.end(), isUnused)) {
            findings.push_back({ .place = { .field = DraftField::Split, .entry = i },
                                 .found = "only weights of 0",
                                 .expected = "a weight above 0" });
            continue;
        }
        for (std::size_t k = 0; k < targets.size(); ++k) {
            if (isUnused(targets[k]))
                findings.push_back(
                        { .place = { .field = DraftField::SplitWeight, .entry = i, .target = k },
                          .found = "0",
                          .expected = "a weight above 0, since " + targets[k].service.value
                                      + " is never chosen" });
        }
    }
}

void checkTimeouts(const Subject &subject, Findings &findings)
{
    for (std::size_t i = 0; i < subject.draft.routes.size(); ++i) {
        const RequestTerms &terms = subject.draft.routes[i].route.terms;
        if (terms.timeout < terms.targetLatency)
            findings.push_back(
                    { .place = { .field = DraftField::Timeout, .entry = i },
                      .found = textOf(terms.timeout),
                      .expected = "at least the target latency, " + textOf(terms.targetLatency) });
    }
}

void checkServices(const Subject &subject, Findings &findings)
{
    std::set<ServiceName> used;
    for (const RouteEntry &entry : subject.draft.routes) {
        for (const WeightedService &target : entry.route.targets)
            used.insert(target.service);
    }
    std::map<ServiceName, std::size_t> last;
    for (std::size_t i = 0; i < subject.draft.services.size(); ++i)
        last[subject.draft.services[i].name] = i;
    for (std::size_t i = 0; i < subject.draft.services.size(); ++i) {
        const ServiceEntry &entry = subject.draft.services[i];
        const DraftPlace place{ .field = DraftField::Service, .entry = i };
        if (last.at(entry.name) != i)
            findings.push_back({ .place = place,
                                 .found = entry.name.value,
                                 .expected = "each service once; the limits of service "
                                             + std::to_string(last.at(entry.name)) + " hold" });
        if (!used.contains(entry.name))
            findings.push_back({ .place = place,
                                 .found = entry.name.value,
                                 .expected = "a service that a route names" });
        if (entry.limits.connections == 0)
            findings.push_back({ .place = { .field = DraftField::Connections, .entry = i },
                                 .found = "0 or none",
                                 .expected = "at least 1, since 0 sets no limit" });
    }
}

void checkIdleTimeout(const Subject &subject, Findings &findings)
{
    const auto &routes = subject.draft.routes;
    const auto longest = std::max_element(routes.begin(), routes.end(),
                                          [](const RouteEntry &a, const RouteEntry &b) {
                                              return a.route.terms.timeout < b.route.terms.timeout;
                                          });
    if (longest == routes.end() || subject.draft.idleTimeout >= longest->route.terms.timeout)
        return;
    findings.push_back({ .place = { .field = DraftField::IdleTimeout },
                         .found = textOf(subject.draft.idleTimeout),
                         .expected = "at least the longest timeout, "
                                     + textOf(longest->route.terms.timeout) + " of route "
                                     + std::to_string(longest - routes.begin()) });
}

constexpr void (*checks[])(const Subject &, Findings &) = {
    checkVersion,  checkAddresses, checkTargets,     checkWeights,
    checkTimeouts, checkServices,  checkIdleTimeout,
};

// A field of an entry and how its value is written. Entries differ where these texts differ.
template <typename Entry>
struct Field
{
    DraftField field;
    std::string (*text)(const Entry &);
};

constexpr Field<RouteEntry> routeFields[] = {
    { DraftField::RouteName, [](const RouteEntry &entry) { return entry.name; } },
    { DraftField::Split, [](const RouteEntry &entry) { return textOf(entry.route); } },
    { DraftField::Priority,
      [](const RouteEntry &entry) { return std::to_string(entry.route.terms.priority); } },
    { DraftField::TargetLatency,
      [](const RouteEntry &entry) { return textOf(entry.route.terms.targetLatency); } },
    { DraftField::Timeout,
      [](const RouteEntry &entry) { return textOf(entry.route.terms.timeout); } },
};

constexpr Field<ServiceEntry> serviceFields[] = {
    { DraftField::Connections,
      [](const ServiceEntry &entry) { return std::to_string(entry.limits.connections); } },
    { DraftField::ColdFlows,
      [](const ServiceEntry &entry) { return textOf(entry.limits.coldFlowsPerSecond); } },
};

// Indices of the entries that are in force, by what identifies them.
std::map<std::string, std::size_t> indicesOf(const std::vector<RouteEntry> &routes)
{
    std::map<std::string, std::size_t> indices;
    for (std::size_t i = 0; i < routes.size(); ++i)
        indices.emplace(toString(routes[i].address), i);
    return indices;
}

std::map<std::string, std::size_t> indicesOf(const std::vector<ServiceEntry> &services)
{
    std::map<std::string, std::size_t> indices;
    for (std::size_t i = 0; i < services.size(); ++i)
        indices[services[i].name.value] = i;
    return indices;
}

DraftField fieldIn(const RouteEntry &entry, DraftField field)
{
    return field == DraftField::Split && !entry.isSplit ? DraftField::RouteService : field;
}

DraftField fieldIn(const ServiceEntry &, DraftField field)
{
    return field;
}

template <typename Entry, std::size_t count>
void addDifferences(const std::vector<Entry> &earlier, const std::vector<Entry> &later,
                    DraftField whole, const Field<Entry> (&fields)[count],
                    std::vector<ConfigurationDifference> &differences)
{
    const auto before = indicesOf(earlier);
    const auto after = indicesOf(later);
    for (const auto &[subject, index] : before) {
        if (!after.contains(subject))
            differences.push_back({ .kind = DifferenceKind::Removed,
                                    .place = { .field = whole, .entry = index },
                                    .subject = subject });
    }
    for (const auto &[subject, index] : after) {
        const auto known = before.find(subject);
        if (known == before.end()) {
            differences.push_back({ .kind = DifferenceKind::Added,
                                    .place = { .field = whole, .entry = index },
                                    .subject = subject });
            continue;
        }
        for (const Field<Entry> &field : fields) {
            const std::string from = field.text(earlier[known->second]);
            const std::string to = field.text(later[index]);
            if (from != to)
                differences.push_back(
                        { .kind = DifferenceKind::Changed,
                          .place = { .field = fieldIn(later[index], field.field), .entry = index },
                          .subject = subject,
                          .from = from,
                          .to = to });
        }
    }
}

} // namespace

std::vector<ConfigurationFinding> checkConfiguration(const ConfigurationDraft &draft,
                                                     const ConfigurationDraft *inForce)
{
    Findings findings;
    for (const auto check : checks)
        check({ .draft = draft, .inForce = inForce }, findings);
    return findings;
}

std::vector<ConfigurationDifference> differencesBetween(const ConfigurationDraft &earlier,
                                                        const ConfigurationDraft &later)
{
    std::vector<ConfigurationDifference> differences;
    addDifferences(earlier.routes, later.routes, DraftField::Route, routeFields, differences);
    addDifferences(earlier.services, later.services, DraftField::Service, serviceFields,
                   differences);
    if (earlier.idleTimeout != later.idleTimeout)
        differences.push_back({ .place = { .field = DraftField::IdleTimeout },
                                .from = textOf(earlier.idleTimeout),
                                .to = textOf(later.idleTimeout) });
    return differences;
}

} // namespace cactusdeck::mesh

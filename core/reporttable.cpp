#include "core/reporttable.h"

#include <xxhash.h>

namespace cactusdeck {

std::uint32_t reportDigest(const HoldingsReport &report)
{
    const std::uint64_t words[] = { std::uint64_t(report.service), report.incarnation,
                                    report.sequence };
    const std::string &agent = report.agent.value;
    const std::uint64_t seed = XXH3_64bits(agent.data(), agent.size());
    return std::uint32_t(XXH3_64bits_withSeed(words, sizeof words, seed));
}

bool ReportTable::merge(const HoldingsReport &report)
{
    const Key key{ report.agent, report.service };
    std::uint32_t &digest = this->cellDigests[cellOf(report.agent)];
    if (const HoldingsReport *old = this->find(key); old != nullptr) {
        if (std::pair(report.incarnation, report.sequence)
            <= std::pair(old->incarnation, old->sequence))
            return false;
        digest ^= reportDigest(*old);
    }
    digest ^= reportDigest(report);
    this->reports[key] = report;
    this->learned.push_back(key);
    return true;
}

std::vector<ReportTable::Key> ReportTable::drop(const NodeId &agent, Incarnation before)
{
    std::vector<Key> dropped;
    for (const HoldingsReport *report : this->reportsOf(agent)) {
        if (report->incarnation >= before)
            continue;
        this->cellDigests[cellOf(agent)] ^= reportDigest(*report);
        dropped.emplace_back(agent, report->service);
    }
    for (const Key &key : dropped)
        this->reports.erase(key);
    return dropped;
}

const HoldingsReport *ReportTable::find(const Key &key) const
{
    const auto found = this->reports.find(key);
    return found == this->reports.end() ? nullptr : &found->second;
}

std::vector<const HoldingsReport *> ReportTable::reportsOf(const NodeId &agent) const
{
    std::vector<const HoldingsReport *> result;
    auto it = this->reports.lower_bound({ agent, ServiceId(0) });
    for (; it != this->reports.end() && it->first.first == agent; ++it)
        result.push_back(&it->second);
    return result;
}

std::uint32_t ReportTable::digestOf(const NodeId &agent) const
{
    std::uint32_t digest = 0;
    for (const HoldingsReport *report : this->reportsOf(agent))
        digest ^= reportDigest(*report);
    return digest;
}

std::vector<HoldingsReport> ReportTable::takeLearned()
{
    std::vector<HoldingsReport> result;
    for (const Key &key : std::exchange(this->learned, {})) {
        if (const HoldingsReport *report = this->find(key); report != nullptr)
            result.push_back(*report);
    }
    return result;
}

} // namespace cactusdeck

#include "core/storeaccess.h"

#include <algorithm>
#include <set>

#include <xxhash.h>

namespace cactusdeck {

namespace {

std::uint64_t rankOf(const NodeId &id)
{
    constexpr std::uint64_t readerSeed = 3; // distinct from the seeds of other rendezvous hashes
    return XXH3_64bits_withSeed(id.value.data(), id.value.size(), readerSeed);
}

} // namespace

std::vector<NodeId> chooseReaders(std::span<const NodeRecord *const> balancers)
{
    std::vector<const NodeRecord *> ranked(balancers.begin(), balancers.end());
    std::sort(ranked.begin(), ranked.end(), [](const NodeRecord *a, const NodeRecord *b) {
        return rankOf(a->id) != rankOf(b->id) ? rankOf(a->id) > rankOf(b->id) : a->id < b->id;
    });
    // The highest-ranked balancer of each zone first, then the others.
    std::set<ZoneName> zones;
    std::vector<NodeId> readers;
    std::vector<NodeId> others;
    for (const NodeRecord *record : ranked)
        (zones.insert(record->zone).second ? readers : others).push_back(record->id);
    readers.insert(readers.end(), others.begin(), others.end());
    readers.resize(std::min(readerCount, readers.size()));
    return readers;
}

StoreAccess::StoreAccess(const StoreAccessOptions &options)
    : id(options.id)
    , calls({ .seed = options.seed })
    , reader(this->calls)
    , lease(this->calls, { .holder = options.id, .incarnation = options.incarnation })
    , writer(this->calls, this->lease, options.id)
{ }

void StoreAccess::assign(std::span<const NodeRecord *const> balancers, TimePoint now,
                         Outbox &outbox)
{
    const std::vector<NodeId> readers = chooseReaders(balancers);
    const bool isChosen = std::find(readers.begin(), readers.end(), this->id) != readers.end();
    if (isChosen != this->reader.isActive()) {
        outbox.events.push_back({ .name = "store_reader",
                                  .fields = { { "active", isChosen ? "true" : "false" } } });
    }
    this->reader.setActive(isChosen, now, outbox);
    this->lease.setCandidate(isChosen);
    this->balancerEndpoints.clear();
    for (const NodeRecord *record : balancers)
        this->balancerEndpoints.push_back(record->control);
}

void StoreAccess::release(TimePoint now, Outbox &outbox)
{
    this->reader.setActive(false, now, outbox);
    this->lease.setCandidate(false);
}

void StoreAccess::setKnown(ConfigurationPointer configuration)
{
    this->reader.setKnown(std::move(configuration));
}

ConfigurationPointer StoreAccess::onAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox)
{
    this->lease.onAnswer(answer, now, outbox);
    this->writer.onAnswer(answer, now, outbox);
    return this->reader.onAnswer(answer, now, outbox);
}

ConfigurationPointer StoreAccess::onTimer(TimePoint now, const std::function<std::string()> &status,
                                          Outbox &outbox)
{
    this->lease.onTimer(now, outbox);
    if (this->holdsLease(now) && now >= this->nextStatus) {
        this->writer.update(status(), this->balancerEndpoints);
        this->nextStatus = now + statusInterval;
    }
    this->writer.onTimer(now, outbox);
    return this->reader.onTimer(now, outbox);
}

} // namespace cactusdeck

#include "core/membership.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace cactusdeck {

namespace {

constexpr std::chrono::milliseconds massLossCheckInterval{ 250 };
constexpr std::chrono::seconds tombstoneCheckInterval{ 30 };

// A single suspect node is not a mass loss, even if it makes up most of its group.
constexpr std::size_t minMassLossSuspects = 2;

bool isDeadOrLeft(const NodeRecord &record)
{
    return record.liveness == Liveness::Dead || record.liveness == Liveness::Left;
}

std::uint64_t hashOf(const NodeId &id, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(id.value.data(), id.value.size(), seed);
}

// Zero for tombstones: nodes drop them at different times, so they must not affect a cell's digest.
std::uint32_t digestOf(const NodeRecord &record)
{
    if (isDeadOrLeft(record))
        return 0;
    const std::uint64_t seed = (std::uint64_t(record.incarnation) << 32 | record.sequence)
                               ^ (std::uint64_t(record.liveness) + 1) * 0x9E3779B97F4A7C15ull;
    return std::uint32_t(hashOf(record.id, seed));
}

auto precedenceOf(const NodeRecord &record)
{
    return std::tuple(record.incarnation, isDeadOrLeft(record), record.sequence, record.liveness);
}

bool byId(const NodeRecord *a, const NodeRecord *b)
{
    return a->id < b->id;
}

void insertSorted(std::vector<const NodeRecord *> &records, const NodeRecord *record)
{
    records.insert(std::lower_bound(records.begin(), records.end(), record, byId), record);
}

void erase(std::vector<const NodeRecord *> &records, const NodeRecord *record)
{
    records.erase(std::find(records.begin(), records.end(), record));
}

} // namespace

std::size_t cellOf(const NodeId &id)
{
    return hashOf(id, 3) % cellCount;
}

Membership::Membership(MembershipOptions membershipOptions)
    : options(std::move(membershipOptions))
{
    this->store(this->options.self, TimePoint{});
    this->selfRecord = &this->entries.at(this->options.self.id).record;
}

void Membership::updateSelf(NodeRecord record)
{
    const NodeRecord &self = *this->selfRecord;
    record.id = self.id;
    record.role = self.role;
    record.incarnation = self.incarnation;
    record.sequence = self.sequence;
    if (record == self)
        return;
    const ConfigurationVersion configuration = record.configuration;
    record.configuration = self.configuration;
    if (record == self) {
        this->selfRecord->configuration = configuration;
        return;
    }
    record.configuration = configuration;
    ++record.sequence;
    this->store(record, TimePoint{});
}

bool Membership::merge(const NodeRecord &record, TimePoint now)
{
    if (record.id == this->selfRecord->id)
        return this->refute(record);
    const auto found = this->entries.find(record.id);
    if (found != this->entries.end()) {
        NodeRecord &known = found->second.record;
        if (precedenceOf(record) > precedenceOf(known)) {
            this->store(record, now);
            return true;
        }
        if (record.incarnation == known.incarnation)
            known.configuration = std::max(known.configuration, record.configuration);
        return false;
    }
    const auto old = this->retired.find(hashOf(record.id));
    if (old == this->retired.end() || record.incarnation > old->second.incarnation) {
        this->store(record, now);
        return true;
    }
    if (isDeadOrLeft(record))
        return false;
    // The sender does not know that the node died. The record is stored as Dead and so gossiped
    // again, which corrects the sender's table and lets the node refute if it is alive.
    NodeRecord dead = record;
    dead.incarnation = old->second.incarnation;
    dead.liveness = Liveness::Dead;
    this->store(dead, now);
    return true;
}

// Raises the incarnation if the record takes precedence over this node's own one: it then holds a
// suspicion by another node, or comes from an earlier run of this node.
bool Membership::refute(const NodeRecord &record)
{
    const NodeRecord &self = *this->selfRecord;
    const bool supersedesSelf = precedenceOf(record) > precedenceOf(self);
    if (!supersedesSelf || self.liveness == Liveness::Left)
        return false;
    NodeRecord next = self;
    next.incarnation = record.incarnation + 1;
    this->store(next, TimePoint{});
    return true;
}

void Membership::store(const NodeRecord &record, TimePoint now)
{
    const auto [place, isNew] = this->entries.try_emplace(record.id);
    Entry &entry = place->second;
    const Role oldRole = isNew ? record.role : entry.record.role;
    if (!isNew)
        this->unindex(entry.record);
    if (isNew || entry.record.liveness != record.liveness)
        entry.livenessSince = now;
    const bool isSameIncarnation = !isNew && entry.record.incarnation == record.incarnation;
    const auto configuration = isSameIncarnation ? entry.record.configuration : 0;
    entry.record = record;
    entry.record.configuration = std::max(record.configuration, configuration);
    this->index(entry.record);
    this->retired.erase(hashOf(record.id));
    this->changes.push_back(record.id);
    this->bumpGeneration(oldRole);
    this->bumpGeneration(record.role);
    this->updateMassLoss(this->populationOf(entry.record), record.role, now);
}

void Membership::index(const NodeRecord &record)
{
    const std::size_t cell = cellOf(record.id);
    this->cells[cell].push_back(&record);
    this->digests[cell] ^= digestOf(record);
    if (isDeadOrLeft(record))
        return;
    Population &population = this->populationOf(record);
    insertSorted(population.present, &record);
    population.suspects += record.liveness == Liveness::Suspect;
    this->byData[record.data] = record.id;
    ++this->present;
}

void Membership::unindex(const NodeRecord &record)
{
    const std::size_t cell = cellOf(record.id);
    erase(this->cells[cell], &record);
    this->digests[cell] ^= digestOf(record);
    if (isDeadOrLeft(record))
        return;
    Population &population = this->populationOf(record);
    erase(population.present, &record);
    population.suspects -= record.liveness == Liveness::Suspect;
    const auto data = this->byData.find(record.data);
    // A newer node may have taken over the endpoint.
    if (data != this->byData.end() && data->second == record.id)
        this->byData.erase(data);
    --this->present;
}

void Membership::bumpGeneration(Role role)
{
    ++(role == Role::Agent ? this->agentGeneration : this->peerGeneration);
}

bool Membership::suspect(const NodeId &id, TimePoint now)
{
    return this->changeLiveness(id, Liveness::Alive, Liveness::Suspect, now);
}

bool Membership::declareDead(const NodeId &id, TimePoint now)
{
    const NodeRecord *record = this->find(id);
    if (record == nullptr || this->isMassLoss(*record))
        return false;
    return this->changeLiveness(id, Liveness::Suspect, Liveness::Dead, now);
}

bool Membership::changeLiveness(const NodeId &id, Liveness from, Liveness to, TimePoint now)
{
    const NodeRecord *known = this->find(id);
    if (known == nullptr || known == this->selfRecord || known->liveness != from)
        return false;
    NodeRecord record = *known;
    record.liveness = to;
    this->store(record, now);
    return true;
}

void Membership::onTimer(TimePoint now)
{
    if (now < this->nextMassLossCheck)
        return;
    this->nextMassLossCheck = now + massLossCheckInterval;
    this->updateMassLoss(this->balancers, Role::Balancer, now);
    for (auto &[name, population] : this->groups)
        this->updateMassLoss(population, Role::Agent, now);
    if (now >= this->nextTombstoneCheck) {
        this->nextTombstoneCheck = now + tombstoneCheckInterval;
        this->retireTombstones(now);
    }
}

void Membership::restartSuspicions(TimePoint now)
{
    for (auto &[id, entry] : this->entries) {
        if (entry.record.liveness == Liveness::Suspect)
            entry.livenessSince = now;
    }
}

void Membership::updateMassLoss(Population &population, Role role, TimePoint now)
{
    const bool isMajority = population.suspects * 2 > population.present.size();
    if (population.massLoss) {
        if (isMajority && now - population.massLossSince < this->options.massLossLimit)
            return;
        population.massLoss = false;
    } else {
        if (!isMajority || population.suspects < minMassLossSuspects)
            return;
        const std::size_t recent = this->recentSuspects(population, now);
        if (recent < minMassLossSuspects || recent * 2 <= population.present.size())
            return;
        population.massLoss = true;
        population.massLossSince = now;
    }
    this->bumpGeneration(role);
}

std::size_t Membership::recentSuspects(const Population &population, TimePoint now) const
{
    return std::size_t(std::count_if(
            population.present.begin(), population.present.end(), [&](const NodeRecord *record) {
                return record->liveness == Liveness::Suspect
                       && now - this->suspectSince(record->id) <= this->options.massLossWindow;
            }));
}

void Membership::retireTombstones(TimePoint now)
{
    for (auto it = this->entries.begin(); it != this->entries.end();) {
        const Entry &entry = it->second;
        const bool old = now - entry.livenessSince >= this->options.tombstoneTime;
        if (!isDeadOrLeft(entry.record) || !old || &entry.record == this->selfRecord) {
            ++it;
            continue;
        }
        this->retired[hashOf(entry.record.id)] = { entry.record.incarnation, now };
        this->unindex(entry.record);
        it = this->entries.erase(it);
    }
    std::erase_if(this->retired, [&](const auto &item) {
        return now - item.second.since >= this->options.retiredTime;
    });
    std::erase_if(this->groups, [](const auto &item) { return item.second.present.empty(); });
}

const NodeRecord *Membership::find(const NodeId &id) const
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second.record;
}

const NodeRecord *Membership::findByData(Endpoint data) const
{
    const auto found = this->byData.find(data);
    return found == this->byData.end() ? nullptr : this->find(found->second);
}

std::vector<const NodeRecord *> Membership::records() const
{
    Records result;
    result.reserve(this->entries.size());
    for (const auto &[id, entry] : this->entries)
        result.push_back(&entry.record);
    return result;
}

const std::vector<const NodeRecord *> &Membership::aliveBalancers() const
{
    if (this->aliveCacheGeneration != this->peerGeneration) {
        this->aliveCacheGeneration = this->peerGeneration;
        this->aliveCache.clear();
        for (const NodeRecord *record : this->balancers.present) {
            if (this->isUsable(*record))
                this->aliveCache.push_back(record);
        }
    }
    return this->aliveCache;
}

std::vector<const NodeRecord *> Membership::peers() const
{
    Records result = this->balancers.present;
    std::erase(result, this->selfRecord);
    return result;
}

std::vector<const NodeRecord *> Membership::deadBalancers() const
{
    Records result;
    for (const auto &[id, entry] : this->entries) {
        if (entry.record.role == Role::Balancer && entry.record.liveness == Liveness::Dead)
            result.push_back(&entry.record);
    }
    std::sort(result.begin(), result.end(), byId);
    return result;
}

std::vector<const NodeRecord *> Membership::agentsOf(std::span<const GroupName> names) const
{
    Records result;
    for (const GroupName &name : names) {
        const auto found = this->groups.find(name);
        if (found != this->groups.end()) {
            const Records &agentsOfGroup = found->second.present;
            result.insert(result.end(), agentsOfGroup.begin(), agentsOfGroup.end());
        }
    }
    std::sort(result.begin(), result.end(), byId);
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

std::vector<const NodeRecord *> Membership::agents() const
{
    Records result;
    for (const auto &[name, population] : this->groups)
        result.insert(result.end(), population.present.begin(), population.present.end());
    return result;
}

Membership::Population &Membership::populationOf(const NodeRecord &record)
{
    return record.role == Role::Balancer ? this->balancers : this->groups[record.group];
}

const Membership::Population *Membership::findPopulation(const NodeRecord &record) const
{
    if (record.role == Role::Balancer)
        return &this->balancers;
    const auto found = this->groups.find(record.group);
    return found == this->groups.end() ? nullptr : &found->second;
}

bool Membership::isUsable(const NodeRecord &record) const
{
    return record.liveness == Liveness::Alive
           || (record.liveness == Liveness::Suspect && this->isMassLoss(record));
}

bool Membership::isMassLoss(const NodeRecord &record) const
{
    const Population *population = this->findPopulation(record);
    return population != nullptr && population->massLoss;
}

TimePoint Membership::suspectSince(const NodeId &id) const
{
    return this->entries.at(id).livenessSince;
}

std::vector<NodeId> Membership::takeChanges()
{
    return std::exchange(this->changes, {});
}

std::vector<Member> placementMembers(std::span<const NodeRecord *const> records,
                                     std::span<const GroupName> groups,
                                     const std::function<bool(const ZoneName &)> &isZoneOut)
{
    std::vector<Member> members;
    for (const NodeRecord *record : records) {
        const bool carries =
                record->role == Role::Agent && !isDeadOrLeft(*record)
                && std::find(groups.begin(), groups.end(), record->group) != groups.end();
        if (carries && record->phase != Phase::Draining && !isZoneOut(record->zone))
            members.push_back({ record->id, record->weight });
    }
    std::sort(members.begin(), members.end(),
              [](const Member &a, const Member &b) { return a.id < b.id; });
    return members;
}

} // namespace cactusdeck

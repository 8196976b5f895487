#include "core/gossip.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace cactusdeck {

namespace {

// Shards repaired after one digest exchange. Churn usually makes one or two shards differ at a
// time. The cell digests of four shards fill a datagram.
constexpr std::size_t shardsPerRepair = 2;
constexpr std::size_t shardsPerJoin = 4;

// Every n-th exchange is with a seed or with a balancer that was declared dead. This merges the two
// sides of a former network partition, which have declared each other dead.
constexpr std::uint64_t reconnectExchangeInterval = 4;

// Maximum number of changes that are considered for one datagram. More do not fit.
constexpr std::size_t itemsPerDatagram = 48;

// A balancer has joined when it knows all nodes but one in this many.
constexpr std::uint64_t joinedShareDivisor = 50;

// Balancers from which a joining balancer requests records at a time.
constexpr std::size_t joinPeers = 3;

// Bytes by which the two CBOR array heads of a Gossip message can grow with their element counts.
constexpr std::size_t arrayHeadRoom = 4;

// Deferred Repair bytes beyond which shard requests are dropped. The requester repeats them.
constexpr std::size_t repairBacklogLimit = 16 * 1024;

bool isDeadOrLeft(const NodeRecord &record)
{
    return record.liveness == Liveness::Dead || record.liveness == Liveness::Left;
}

bool isSameVersion(const NodeRecord &a, const NodeRecord &b)
{
    return a.incarnation == b.incarnation && a.sequence == b.sequence && a.liveness == b.liveness;
}

// Deaths are sent first, then suspicions and the records of balancers: work is divided among
// balancers, and repair depends on knowing them.
int urgencyOf(const NodeRecord &record)
{
    if (isDeadOrLeft(record))
        return 2;
    return record.role == Role::Balancer || record.liveness == Liveness::Suspect ? 1 : 0;
}

std::vector<std::uint8_t> differingShards(const std::vector<std::uint32_t> &a,
                                          const std::vector<std::uint32_t> &b)
{
    std::vector<std::uint8_t> result;
    for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i) {
        if (a[i] != b[i])
            result.push_back(std::uint8_t(i));
    }
    return result;
}

} // namespace

GossipProtocol::GossipProtocol(GossipOptions gossipOptions, Membership &table,
                               ControlBudget &controlBudget)
    : options(std::move(gossipOptions))
    , membership(table)
    , budget(controlBudget)
    , random(this->options.seed)
    , joinDelay(this->options.joinRetry)
{
    std::erase(this->options.seeds, this->membership.self().control);
    this->joined = this->options.seeds.empty();
}

void GossipProtocol::start(TimePoint now, Outbox &outbox)
{
    this->joinLimit = now + this->options.joinLimit;
    this->nextRound = now + this->options.roundInterval;
    this->startExchange(now, outbox);
    // A random offset, so that nodes that start together do not exchange at the same time.
    if (this->joined)
        this->nextExchange = now + this->options.digestInterval * (this->random() % 64) / 64;
}

void GossipProtocol::onControl(const ControlMessage &message, TimePoint now, Outbox &outbox)
{
    if (const auto *gossip = std::get_if<Gossip>(&message))
        this->onGossip(*gossip, now, outbox);
    else if (const auto *digests = std::get_if<DigestExchange>(&message))
        this->onDigests(*digests, now, outbox);
    else if (const auto *request = std::get_if<ShardRequest>(&message))
        this->onShardRequest(*request, now, outbox);
}

void GossipProtocol::onTimer(TimePoint now, Outbox &outbox)
{
    if (now >= this->nextRound) {
        // Rounds that were missed during a pause are skipped.
        this->nextRound = std::max(this->nextRound + this->options.roundInterval, now);
        this->push(now, outbox);
    }
    if (!this->joined && now >= this->joinLimit && this->membership.peers().empty())
        this->joined = true;
    if (now >= this->nextExchange)
        this->startExchange(now, outbox);
}

void GossipProtocol::pushNow(TimePoint now, Outbox &outbox)
{
    this->push(now, outbox);
}

Gossip GossipProtocol::emptyGossip() const
{
    return { .from = this->membership.self().id, .configuration = this->configuration };
}

int GossipProtocol::copyLimit() const
{
    const double balancers = double(std::max<std::size_t>(2, this->membership.peers().size() + 1));
    return int(std::ceil(this->options.copiesPerLog2 * std::log2(balancers)));
}

// Queues the table's changes for gossip. Changes learned by repair start with copiesSent > 0, since
// other balancers know them already.
void GossipProtocol::collectChanges(int copiesSent)
{
    for (const NodeId &id : this->membership.takeChanges()) {
        const NodeRecord *record = this->membership.find(id);
        if (record == nullptr)
            continue;
        const bool own = id == this->membership.self().id;
        this->pendingRecords[id] = own ? 0 : copiesSent;
        const auto before = isDeadOrLeft(*record) ? UINT32_MAX : record->incarnation;
        for (const auto &key : this->holdings.drop(id, before))
            this->pendingReports.erase(key);
    }
}

void GossipProtocol::onGossip(const Gossip &gossip, TimePoint now, Outbox &outbox)
{
    this->collectChanges(0);
    const Incarnation before = this->membership.self().incarnation;
    for (const NodeRecord &record : gossip.records)
        this->mergeRecord(record, now);
    const int limit = this->copyLimit();
    // What a joining balancer learns by repair is known to the others, so it is not sent again.
    const int sent = !gossip.repair ? 0 : this->joined ? limit * 2 / 3 : limit;
    this->collectChanges(sent);
    for (const HoldingsReport &report : gossip.holdings) {
        const ReportTable::Key key{ report.agent, report.service };
        if (this->mergeReport(report))
            this->pendingReports[key] = sent;
        else if (const auto known = this->pendingReports.find(key);
                 known != this->pendingReports.end())
            ++known->second;
    }
    const NodeRecord *sender = this->membership.find(gossip.from);
    if (this->membership.self().incarnation != before && sender != nullptr) {
        // This node has just refuted a suspicion. The sender may hold it for dead and would then
        // not choose it as a gossip peer, so it is answered directly.
        Gossip answer = this->emptyGossip();
        answer.records.push_back(this->membership.self());
        this->budget.send(ControlPriority::Probes, sender->control, answer, now, outbox);
    }
}

void GossipProtocol::mergeRecord(const NodeRecord &record, TimePoint now)
{
    if (this->membership.merge(record, now))
        return;
    // A received copy of a known change was redundant, so it counts towards the limit of copies.
    const auto known = this->pendingRecords.find(record.id);
    const NodeRecord *own = this->membership.find(record.id);
    if (known != this->pendingRecords.end() && own != nullptr && isSameVersion(*own, record))
        ++known->second;
}

void GossipProtocol::report(const HoldingsReport &report)
{
    if (this->mergeReport(report))
        this->pendingReports[{ report.agent, report.service }] = 0;
}

// Ignores reports of unknown agents, so that no report remains without its agent's record. Repair
// delivers them again later.
bool GossipProtocol::mergeReport(const HoldingsReport &report)
{
    const NodeRecord *agent = this->membership.find(report.agent);
    return agent != nullptr && !isDeadOrLeft(*agent) && report.incarnation >= agent->incarnation
           && this->holdings.merge(report);
}

void GossipProtocol::push(TimePoint now, Outbox &outbox)
{
    this->collectChanges(0);
    if (this->pendingRecords.empty() && this->pendingReports.empty())
        return;
    const auto peers = this->choosePeers(this->options.fanout);
    if (!peers.empty() && !this->pushTo(peers, false, now, outbox))
        this->pushTo(peers, true, now, outbox);
}

// Sends the most urgent and least often sent changes to the peers. If the control budget does not
// allow it, nothing is deferred: a later datagram is composed from the newest state. Returns false
// if there were changes and none was sent.
bool GossipProtocol::pushTo(const std::vector<Endpoint> &peers, bool deathsOnly, TimePoint now,
                            Outbox &outbox)
{
    const auto items = this->pendingItems(deathsOnly);
    if (items.empty())
        return true;
    const Gossip gossip = this->fillDatagram(items);
    const std::size_t bytes = encodedSize(gossip);
    const auto priority = deathsOnly ? ControlPriority::Deaths : ControlPriority::Changes;
    int copies = 0;
    for (Endpoint peer : peers) {
        if (!this->budget.fits(priority, bytes, now))
            break;
        this->budget.send(priority, peer, gossip, now, outbox);
        ++copies;
    }
    this->countSent(gossip, copies);
    return copies != 0;
}

// The next changes to send, ordered by urgency, then by the number of copies sent.
std::vector<GossipProtocol::Item> GossipProtocol::pendingItems(bool deathsOnly)
{
    const int limit = this->copyLimit();
    std::erase_if(this->pendingRecords, [&](const auto &item) {
        return item.second >= limit || this->membership.find(item.first) == nullptr;
    });
    std::erase_if(this->pendingReports, [&](const auto &item) {
        return item.second >= limit || this->holdings.find(item.first) == nullptr;
    });
    std::vector<Item> items;
    for (const auto &[id, sent] : this->pendingRecords) {
        const NodeRecord *record = this->membership.find(id);
        if (isDeadOrLeft(*record) || !deathsOnly)
            items.push_back({ .urgency = urgencyOf(*record), .sent = sent, .record = record });
    }
    for (const auto &[key, sent] : this->pendingReports) {
        if (!deathsOnly)
            items.push_back({ .sent = sent, .report = this->holdings.find(key) });
    }
    const auto last = items.begin() + std::ptrdiff_t(std::min(items.size(), itemsPerDatagram));
    std::partial_sort(items.begin(), last, items.end(), [](const Item &a, const Item &b) {
        return a.urgency != b.urgency ? a.urgency > b.urgency : a.sent < b.sent;
    });
    items.erase(last, items.end());
    return items;
}

// The longest prefix of the items that fits into a datagram.
Gossip GossipProtocol::fillDatagram(std::span<const Item> items) const
{
    Gossip gossip = this->emptyGossip();
    std::size_t size = encodedSize(gossip) + arrayHeadRoom;
    for (const Item &item : items) {
        const std::size_t bytes =
                item.record != nullptr ? encodedSize(*item.record) : encodedSize(*item.report);
        // An item that is too large for a datagram is sent in a message of its own.
        const bool first = gossip.records.empty() && gossip.holdings.empty();
        if (size + bytes > maxDatagram && !first)
            break;
        size += bytes;
        if (item.record != nullptr)
            gossip.records.push_back(*item.record);
        else
            gossip.holdings.push_back(*item.report);
    }
    return gossip;
}

void GossipProtocol::countSent(const Gossip &gossip, int copies)
{
    for (const NodeRecord &record : gossip.records)
        this->pendingRecords[record.id] += copies;
    for (const HoldingsReport &report : gossip.holdings)
        this->pendingReports[{ report.agent, report.service }] += copies;
}

std::vector<Endpoint> GossipProtocol::choosePeers(std::size_t count)
{
    auto peers = this->membership.peers();
    std::vector<Endpoint> chosen;
    while (!peers.empty() && chosen.size() < count) {
        const std::size_t index = this->random() % peers.size();
        chosen.push_back(peers[index]->control);
        peers[index] = peers.back();
        peers.pop_back();
    }
    return chosen;
}

std::uint32_t GossipProtocol::cellDigest(std::size_t cell) const
{
    return this->membership.cellDigests()[cell] ^ this->holdings.cellDigest(cell);
}

ShardCells GossipProtocol::cellsOf(std::uint8_t shard) const
{
    ShardCells result{ .shard = shard };
    result.cells.reserve(cellsPerShard);
    for (std::size_t i = 0; i < cellsPerShard; ++i)
        result.cells.push_back(this->cellDigest(shard * cellsPerShard + i));
    return result;
}

std::vector<std::uint32_t> GossipProtocol::shardDigests() const
{
    std::vector<std::uint32_t> result;
    for (std::size_t shard = 0; shard < shardCount; ++shard) {
        const auto cells = this->cellsOf(std::uint8_t(shard)).cells;
        result.push_back(XXH32(cells.data(), cells.size() * sizeof cells[0], 0));
    }
    return result;
}

void GossipProtocol::sendDigests(Endpoint with, bool answer, TimePoint now, Outbox &outbox)
{
    const NodeRecord &self = this->membership.self();
    this->budget.send(ControlPriority::Probes, with,
                      DigestExchange{ .from = self.id,
                                      .replyTo = self.control,
                                      .configuration = this->configuration,
                                      .shards = this->shardDigests(),
                                      .answer = answer,
                                      .joining = !this->joined,
                                      .size = std::uint32_t(this->membership.size()) },
                      now, outbox);
}

void GossipProtocol::startExchange(TimePoint now, Outbox &outbox)
{
    for (Endpoint peer : this->exchangePeers())
        this->sendDigests(peer, false, now, outbox);
    if (this->joined) {
        this->nextExchange = now + this->options.digestInterval;
        return;
    }
    this->nextExchange = now + this->joinDelay;
    this->joinDelay = std::min(this->joinDelay * 2, this->options.digestInterval);
}

std::vector<Endpoint> GossipProtocol::exchangePeers()
{
    const std::size_t count = this->joined ? 1 : joinPeers;
    auto peers = this->choosePeers(count);
    const bool regular = ++this->exchangeCount % reconnectExchangeInterval != 0;
    if (regular && peers.size() == count)
        return peers;
    auto candidates = this->options.seeds;
    for (const NodeRecord *record : this->membership.deadBalancers())
        candidates.push_back(record->control);
    if (!candidates.empty())
        peers.insert(peers.begin(), candidates[this->random() % candidates.size()]);
    peers.resize(std::min(peers.size(), count));
    return peers;
}

void GossipProtocol::onDigests(const DigestExchange &digests, TimePoint now, Outbox &outbox)
{
    const auto differing = differingShards(this->shardDigests(), digests.shards);
    if (!digests.answer)
        this->sendDigests(digests.replyTo, true, now, outbox);
    this->sendRecordIfSuspected(digests.from, digests.replyTo, now, outbox);
    if (digests.answer && !this->joined) {
        // While nodes come and go, the digests may never be equal, so nearly all nodes are enough.
        const std::uint64_t known = this->membership.size();
        const bool trusted = !digests.joining || now >= this->joinLimit;
        const bool complete = known * joinedShareDivisor >= digests.size * (joinedShareDivisor - 1);
        this->joined = differing.empty() || (trusted && complete);
        this->joinDelay = this->options.joinRetry;
        this->nextExchange = std::min(this->nextExchange, now + this->joinDelay);
    }
    // More than churn explains, as after a partition or a join.
    if (differing.size() > shardsPerRepair)
        this->nextExchange =
                std::min(this->nextExchange, now + this->options.divergedDigestInterval);
    if (!differing.empty() && (!digests.joining || !this->joined))
        this->requestShards(differing, digests.replyTo, now, outbox);
}

// Sends the node its own record if it is suspect or dead in this table, so that it can refute.
void GossipProtocol::sendRecordIfSuspected(const NodeId &id, Endpoint control, TimePoint now,
                                           Outbox &outbox)
{
    const NodeRecord *record = this->membership.find(id);
    if (record == nullptr || record->liveness == Liveness::Alive)
        return;
    Gossip gossip = this->emptyGossip();
    gossip.records.push_back(*record);
    this->budget.send(ControlPriority::Probes, control, gossip, now, outbox);
}

void GossipProtocol::requestShards(std::vector<std::uint8_t> shards, Endpoint from, TimePoint now,
                                   Outbox &outbox)
{
    std::shuffle(shards.begin(), shards.end(), this->random);
    ShardRequest request{ .replyTo = this->membership.self().control };
    std::size_t nonEmptyShards = 0;
    for (std::uint8_t shard : shards) {
        ShardCells cells = this->cellsOf(shard);
        const bool empty = std::all_of(cells.cells.begin(), cells.cells.end(),
                                       [](std::uint32_t digest) { return digest == 0; });
        if (empty)
            cells.cells.clear();
        else if (nonEmptyShards++ == (this->joined ? shardsPerRepair : shardsPerJoin))
            break;
        request.shards.push_back(std::move(cells));
    }
    this->budget.send(ControlPriority::Probes, from, std::move(request), now, outbox);
}

void GossipProtocol::onShardRequest(const ShardRequest &request, TimePoint now, Outbox &outbox)
{
    if (this->budget.deferredBytes(ControlPriority::Repair) > repairBacklogLimit)
        return; // the requester asks again
    const auto cells = this->differingCells(request);
    if (!cells.empty())
        this->sendCells(cells, request.replyTo, now, outbox);
}

std::vector<std::size_t> GossipProtocol::differingCells(const ShardRequest &request) const
{
    std::vector<std::size_t> result;
    for (const ShardCells &shard : request.shards) {
        if (shard.shard >= shardCount)
            continue;
        for (std::size_t i = 0; i < cellsPerShard; ++i) {
            const std::size_t cell = shard.shard * cellsPerShard + i;
            const std::uint32_t theirs = i < shard.cells.size() ? shard.cells[i] : 0;
            if (theirs != this->cellDigest(cell) && !this->membership.recordsOfCell(cell).empty())
                result.push_back(cell);
        }
    }
    return result;
}

void GossipProtocol::sendCells(std::vector<std::size_t> cells, Endpoint to, TimePoint now,
                               Outbox &outbox)
{
    // In random order, so that a requester that receives only a part of the records each time
    // receives all of them after some requests.
    std::shuffle(cells.begin(), cells.end(), this->random);
    std::vector<Item> items;
    for (std::size_t cell : cells) {
        for (const NodeRecord *record : this->membership.recordsOfCell(cell)) {
            items.push_back({ .urgency = urgencyOf(*record), .record = record });
            for (const HoldingsReport *report : this->holdings.reportsOf(record->id))
                items.push_back({ .report = report });
        }
    }
    std::stable_sort(items.begin(), items.end(),
                     [](const Item &a, const Item &b) { return a.urgency > b.urgency; });
    std::span<const Item> rest(items);
    for (std::size_t i = 0; i < this->options.repairDatagrams && !rest.empty(); ++i) {
        Gossip gossip = this->fillDatagram(rest);
        gossip.repair = true;
        rest = rest.subspan(gossip.records.size() + gossip.holdings.size());
        this->budget.send(ControlPriority::Repair, to, std::move(gossip), now, outbox);
    }
}

} // namespace cactusdeck

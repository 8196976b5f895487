#ifndef CACTUSDECK_CORE_GOSSIP_H
#define CACTUSDECK_CORE_GOSSIP_H

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/controlbudget.h"
#include "core/membership.h"
#include "core/reporttable.h"

// Disseminates changes of membership and holdings among balancers by gossip, and repairs
// differences between their tables by comparing digests (anti-entropy).
//
//     GossipProtocol gossip({ .seeds = seeds, .seed = 1 }, membership, budget);
//     gossip.start(now, outbox);                           // requests the table from seeds
//     gossip.onControl(message, now, outbox);              // Gossip, DigestExchange, ShardRequest
//     gossip.report(holdingsReport);                       // from an agent
//     gossip.onTimer(now, outbox);
//     for (HoldingsReport &report : gossip.takeHoldings()) // new reports, for the index
//         ...
//
// Cost, sent by each node, at 760 balancers and 6,200 agents (a record has about 70 bytes):
// - a change: at most 3 log2(n) = 29 copies of one record, 2 KB; copies received from others count
//   as sent. Nothing is sent while nothing changes.
// - a digest exchange every 5 s: 130 bytes, answered only if the digests differ.
// - a repair: 190 bytes of cell digests for each differing shard, answered with the records of the
//   differing cells only (about 1 KB a cell), at most repairDatagrams datagrams per request.
// - a joining balancer: it requests the table (500 KB) from many balancers, of which each sends at
//   most repairDatagrams for a request.

namespace cactusdeck {

struct GossipOptions
{
    std::vector<Endpoint> seeds; // control endpoints of balancers; the node's own is skipped
    std::uint64_t seed = 0;
    Duration roundInterval = std::chrono::milliseconds(100);
    std::size_t fanout = 3; // peers per round
    double copiesPerLog2 = 3.0; // copies of a change in units of log2(balancers)
    Duration digestInterval = std::chrono::seconds(5);
    // Instead of digestInterval, while more shards differ than churn explains.
    Duration divergedDigestInterval = std::chrono::seconds(1);
    Duration joinRetry = std::chrono::milliseconds(250); // doubled without answer, up to 5 s
    // If no seed answers for this long, the balancer takes itself to be the first one of the fleet.
    Duration joinLimit = std::chrono::seconds(10);
    std::size_t repairDatagrams = 4; // per ShardRequest
};

class GossipProtocol
{
public:
    // The references must outlive this object.
    GossipProtocol(GossipOptions options, Membership &membership, ControlBudget &budget);

    void start(TimePoint now, Outbox &outbox);
    // Handles Gossip, DigestExchange and ShardRequest; ignores other messages.
    void onControl(const ControlMessage &message, TimePoint now, Outbox &outbox);
    void onTimer(TimePoint now, Outbox &outbox);
    // Sends pending changes without waiting for the next round, for a node that stops.
    void pushNow(TimePoint now, Outbox &outbox);

    // Takes a report that was received from the agent itself. It is ignored if it is not newer than
    // the known one or if the agent is unknown. Reports of an earlier incarnation than that of the
    // agent's record are dropped; the owner has to drop them from its index as well.
    void report(const HoldingsReport &report);
    // Reports learned since the last call.
    std::vector<HoldingsReport> takeHoldings() { return this->holdings.takeLearned(); }
    // Digest of the agent's known reports, for HeartbeatAck.
    std::uint32_t holdingsDigest(const NodeId &agent) const
    {
        return this->holdings.digestOf(agent);
    }

    // Sets the configuration version that outgoing messages name.
    void setConfiguration(ConfigurationVersion version) { this->configuration = version; }
    // True once the table was equal to that of another balancer or had nearly all of its nodes, or
    // no seed answered for joinLimit, or if there is no other seed. A balancer should take no
    // packets before.
    bool isJoined() const { return this->joined; }
    std::size_t pendingChanges() const
    {
        return this->pendingRecords.size() + this->pendingReports.size();
    }

private:
    struct Item // a record or report to be sent
    {
        int urgency = 0; // see urgencyOf
        int sent = 0;
        std::size_t bytes = 0;
        const NodeRecord *record = nullptr;
        const HoldingsReport *report = nullptr;
    };

    Gossip emptyGossip() const;
    int copyLimit() const;
    void collectChanges(int copiesSent);
    void onGossip(const Gossip &gossip, TimePoint now, Outbox &outbox);
    void mergeRecord(const NodeRecord &record, TimePoint now);
    bool mergeReport(const HoldingsReport &report);
    void push(TimePoint now, Outbox &outbox);
    bool pushTo(const std::vector<Endpoint> &peers, bool deathsOnly, TimePoint now, Outbox &outbox);
    std::vector<Item> pendingItems(bool deathsOnly);
    Gossip fillDatagram(std::span<const Item> items) const;
    void countSent(const Gossip &gossip, int copies);
    std::vector<Endpoint> choosePeers(std::size_t count);
    std::vector<std::uint32_t> shardDigests() const;
    std::uint32_t cellDigest(std::size_t cell) const;
    void onDigests(const DigestExchange &digests, TimePoint now, Outbox &outbox);
    void sendRecordIfSuspected(const NodeId &id, Endpoint control, TimePoint now, Outbox &outbox);
    void requestShards(std::vector<std::uint8_t> shards, Endpoint from, TimePoint now,
                       Outbox &outbox);
    ShardCells cellsOf(std::uint8_t shard) const;
    void onShardRequest(const ShardRequest &request, TimePoint now, Outbox &outbox);
    std::vector<std::size_t> differingCells(const ShardRequest &request) const;
    void sendCells(std::vector<std::size_t> cells, Endpoint to, TimePoint now, Outbox &outbox);
    void sendDigests(Endpoint with, bool answer, TimePoint now, Outbox &outbox);
    std::vector<Endpoint> exchangePeers();
    void startExchange(TimePoint now, Outbox &outbox);

    GossipOptions options;
    Membership &membership;
    ControlBudget &budget;
    std::mt19937_64 random;
    ConfigurationVersion configuration = 0;
    std::unordered_map<NodeId, int> pendingRecords; // number of copies sent of each pending change
    std::map<ReportTable::Key, int> pendingReports; // likewise, of holdings reports
    ReportTable holdings;
    bool joined = false;
    std::uint64_t exchangeCount = 0;
    Duration joinDelay{};
    TimePoint joinLimit{};
    TimePoint nextRound{};
    TimePoint nextExchange{};
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_GOSSIP_H

#ifndef CACTUSDECK_MESH_FLOWSEARCH_H
#define CACTUSDECK_MESH_FLOWSEARCH_H

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/types.h"
#include "mesh/agentdirectory.h"
#include "mesh/segment.h"

// Searches for the agents of flows that a balancer does not remember. Agents are asked, and the
// flow's packets wait meanwhile. Agents that restarted after their servers may be unsure: their
// servers get the packet, and a server that doesn't hold the flow returns it. An agent that was not
// asked, since its last report rules the flow out, must rule it out again in a later report before
// the flow is called lost.
//
//     FlowSearch *search = searches.begin(key, { .asked = ..., .unconfirmed = ... }, now);
//     search->hold(packet);
//     switch (search->onAnswer(agent, SearchAnswer::Unknown)) ...

namespace cactusdeck::mesh {

enum class SearchAnswer : std::uint8_t { Unknown, Unsure };

enum class SearchStage : std::uint8_t {
    Asking, // answers are missing
    MustProbe, // nobody knows the flow, but the servers of some agents may hold it
    Probing, // these servers have the packet
    Confirming, // reports are missing
    Exhausted, // nobody holds the flow
    Unresolved, // not found, and not ruled out
};

struct SearchPlan
{
    std::vector<AgentIndex> asked; // and expected to answer
    std::vector<AgentIndex> unconfirmed; // ruled out by reports from before the search
    bool isComplete = true; // false if the flow may be elsewhere
    // Some of those asked are the last of a chain of agents, each of which gives the packet to its
    // server and, if the server returns it, to the next agent.
    bool hasChains = false;
};

class FlowSearch
{
public:
    // A caller has at most 16 packets in flight; the first ones suffice, the rest is repeated.
    static constexpr std::size_t maxHeldPackets = 4;

    FlowSearch() = default;
    FlowSearch(const FlowKey &flow, SearchPlan searchPlan, TimePoint begun);

    void hold(std::span<const std::uint8_t> packet);
    // Returns the stage after the answer. Answers of agents that were not asked don't count.
    SearchStage onAnswer(AgentIndex agent, SearchAnswer answer, TimePoint now);
    // A report of an agent that was not asked. True if the agent must be asked after all.
    bool onReport(AgentIndex agent, bool mayHold, TimePoint now);
    // The agents whose servers get the packet.
    void startProbing(std::vector<AgentIndex> agents, TimePoint now);
    // Answers did not come in time. Returns the stage in which the search goes on.
    SearchStage onDeadline(TimePoint now);

    const FlowKey &key() const { return this->flow; }
    SearchStage stage() const { return this->currentStage; }
    // Agents whose answer is missing.
    const std::vector<AgentIndex> &missing() const { return this->plan.asked; }
    const std::vector<AgentIndex> &unsure() const { return this->unsureAgents; }
    const std::vector<std::vector<std::uint8_t>> &packets() const { return this->held; }
    TimePoint deadline() const { return this->until; }

private:
    // Answers take one round trip, below 10 ms between failure domains of a region.
    static constexpr std::chrono::milliseconds askTime{ 30 };
    // Below the caller's first retransmission (200 ms); a chain of eight takes a tenth of it.
    static constexpr std::chrono::milliseconds probeTime{ 150 };
    // Two intervals of reports in a large fleet; callers wait one to four seconds.
    static constexpr std::chrono::milliseconds confirmTime{ 2000 };

    SearchStage advance(TimePoint now);

    FlowKey flow;
    SearchPlan plan;
    std::vector<AgentIndex> unsureAgents;
    std::vector<std::vector<std::uint8_t>> held;
    SearchStage currentStage = SearchStage::Asking;
    TimePoint until;
};

class FlowSearches
{
public:
    static constexpr std::size_t capacity = 4096; // searches; the packets of more are dropped

    FlowSearch *find(std::uint64_t flowHash);
    // Null when there are too many.
    FlowSearch *begin(const FlowKey &flow, SearchPlan plan, TimePoint now);
    void erase(std::uint64_t flowHash) { this->searches.erase(flowHash); }
    // The flows whose searches are past their deadline.
    std::vector<std::uint64_t> pastDeadline(TimePoint now) const;
    TimePoint nextDeadline() const;
    std::size_t size() const { return this->searches.size(); }
    std::vector<std::uint64_t> all() const;

private:
    std::unordered_map<std::uint64_t, FlowSearch> searches;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_FLOWSEARCH_H

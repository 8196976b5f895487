#ifndef CACTUSDECK_MESH_FLOWSEARCH_H
#define CACTUSDECK_MESH_FLOWSEARCH_H

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/types.h"
#include "mesh/agentdirectory.h"
#include "mesh/segment.h"

// Searches for the agents of flows that a balancer does not remember: all agents are asked, and the
// flow's packets wait meanwhile. If no agent knows the flow, those that began after their servers
// give the packet to them; a server that doesn't hold the flow returns it.
//
//     FlowSearch *search = searches.begin(hash, agents, now);
//     search->hold(packet);
//     switch (search->onAnswer(agent, SearchAnswer::Unknown)) ...

namespace cactusdeck::mesh {

enum class SearchAnswer : std::uint8_t { Unknown, Unsure };

enum class SearchStage : std::uint8_t {
    Asking, // answers are missing
    Probing, // nobody knows the flow, but the servers of some agents may hold it
    Exhausted, // nobody holds the flow
};

class FlowSearch
{
public:
    // A caller has at most 16 packets in flight; the first ones suffice, the rest is repeated.
    static constexpr std::size_t heldPackets = 4;

    FlowSearch() = default;
    FlowSearch(const FlowKey &flow, std::vector<AgentIndex> asked, TimePoint begun);

    void hold(std::span<const std::uint8_t> packet);
    // Returns the stage after the answer. Answers of agents that were not asked don't count.
    SearchStage onAnswer(AgentIndex agent, SearchAnswer answer);
    // The answers that are missing are not waited for any longer.
    void endAsking() { this->currentStage = SearchStage::Probing; }
    // The agents whose servers get the packet. An incomplete search can find the flow, but never
    // ends with the finding that nobody holds it.
    void probe(std::vector<AgentIndex> agents, bool isComplete, TimePoint now);

    const FlowKey &key() const { return this->flow; }
    SearchStage stage() const { return this->currentStage; }
    // Agents whose answer is missing.
    const std::vector<AgentIndex> &missing() const { return this->waiting; }
    const std::vector<AgentIndex> &unsure() const { return this->unsureAgents; }
    const std::vector<std::vector<std::uint8_t>> &packets() const { return this->held; }
    TimePoint deadline() const { return this->until; }

private:
    // Answers take one round trip, below 10 ms between failure domains of a region.
    static constexpr std::chrono::milliseconds askTime{ 30 };
    // Below the caller's first retransmission (200 ms), which starts the next search.
    static constexpr std::chrono::milliseconds probeTime{ 150 };

    FlowKey flow;
    std::vector<AgentIndex> waiting;
    std::vector<AgentIndex> unsureAgents;
    std::vector<std::vector<std::uint8_t>> held;
    SearchStage currentStage = SearchStage::Asking;
    bool isProbeComplete = true;
    TimePoint until;
};

class FlowSearches
{
public:
    static constexpr std::size_t capacity = 4096; // searches; the packets of more are dropped

    FlowSearch *find(std::uint64_t flowHash);
    // Null when there are too many.
    FlowSearch *begin(const FlowKey &flow, std::vector<AgentIndex> agents, TimePoint now);
    void erase(std::uint64_t flowHash) { this->searches.erase(flowHash); }
    // The flows whose searches are past their deadline.
    std::vector<std::uint64_t> due(TimePoint now) const;
    TimePoint nextDeadline() const;
    std::size_t size() const { return this->searches.size(); }

private:
    std::unordered_map<std::uint64_t, FlowSearch> searches;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_FLOWSEARCH_H

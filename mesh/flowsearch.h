#ifndef CACTUSDECK_MESH_FLOWSEARCH_H
#define CACTUSDECK_MESH_FLOWSEARCH_H

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/types.h"
#include "mesh/agentdirectory.h"
#include "mesh/segment.h"

// Searches for the agent that owns a flow which is not in the balancer's cache. The balancer asks
// agents while it holds the flow's packets. An agent that started later than its server may answer
// that it is unsure; then its server gets the packet as a probe, and bounces it if it does not have
// the flow. Agents that are unlikely to have the flow are not asked at first; if nobody else has
// it, the packet goes along chains of them before the flow is declared lost.
//
//     FlowSearch *search = searches.begin(key, { .asked = ..., .unconfirmed = ... }, now);
//     search->hold(packet);
//     switch (search->onAnswer(agent, SearchAnswer::Unknown, now)) ...

namespace cactusdeck::mesh {

enum class SearchAnswer : std::uint8_t { Unknown, Unsure };

enum class SearchStage : std::uint8_t {
    Asking, // waiting for answers
    MustProbe, // no agent knows the flow, but the servers of the unsure agents may have it
    Probing, // the packet was sent to these servers
    MustConfirm, // nobody asked has the flow; the other agents must be asked through chains
    Exhausted, // no agent that this balancer knows has the flow
    CheckingAgents, // exhausted; the balancer checks whether it knows all agents
    Unresolved, // the flow was neither found nor ruled out
};

struct SearchPlan
{
    std::vector<AgentIndex> asked; // agents whose answers are awaited
    // Asked last: ruled out by their last reports, or unlikely because they are in other domains.
    std::vector<AgentIndex> unconfirmed;
    std::uint64_t listVersion = 0; // of the list of agents that was planned from
    bool isComplete = true; // false if the flow may be at an agent in neither list
    // The flow's own server has answered, or is among the asked; other agents need not be known.
    bool isOwnerKnown = false;
    // An agent that may have the flow no longer passes its packets to its server.
    bool mayBeAbandoned = false;
    // Some of the asked agents are the last of a chain. Each agent of a chain gives the packet to
    // its server and, if the server bounces it, forwards it to the next agent.
    bool hasChains = false;
};

class FlowSearch
{
public:
    // A caller has at most 16 packets in flight. Holding the first ones is enough, because the
    // caller retransmits the others.
    static constexpr std::size_t maxHeldPackets = 4;

    FlowSearch() = default;
    FlowSearch(const FlowKey &flow, SearchPlan searchPlan, TimePoint begunAt);

    void hold(std::span<const std::uint8_t> packet);
    // Returns the stage after the answer. Answers of agents that were not asked are ignored.
    SearchStage onAnswer(AgentIndex agent, SearchAnswer answer);
    // An agent that is unsure cannot have the flow.
    void ruleOut(AgentIndex agent) { std::erase(this->unsureAgents, agent); }
    // Begins the probing stage; agents are those whose servers get the packet.
    void startProbing(std::vector<AgentIndex> agents, TimePoint now);
    // The packet was sent along chains of the unconfirmed agents, which end with these agents.
    void startConfirming(std::vector<AgentIndex> chainEnds, TimePoint now);
    // Waits until the list of agents is known to be complete.
    void startListCheck(TimePoint now);
    // The deadline has passed without all answers or reports. Returns the next stage.
    // isAnswerExpected: false if all of those missing need not answer.
    SearchStage onDeadline(bool isAnswerExpected = true);

    const FlowKey &key() const { return this->flow; }
    SearchStage stage() const { return this->currentStage; }
    // Agents that have not answered yet.
    const std::vector<AgentIndex> &missing() const { return this->plan.asked; }
    const std::vector<AgentIndex> &unsure() const { return this->unsureAgents; }
    const std::vector<AgentIndex> &unconfirmed() const { return this->plan.unconfirmed; }
    const std::vector<std::vector<std::uint8_t>> &packets() const { return this->held; }
    TimePoint deadline() const { return this->until; }
    TimePoint begunAt() const { return this->begun; }
    bool isOwnerKnown() const { return this->plan.isOwnerKnown; }
    bool mayBeAbandoned() const { return this->plan.mayBeAbandoned; }
    // True if some agents that were asked, or whose servers were, did not answer.
    bool isUnanswered() const { return this->hasMissedDeadline; }
    std::uint64_t listVersion() const { return this->plan.listVersion; }

private:
    // An answer takes one round trip, which is below 10 ms between failure domains of a region.
    static constexpr std::chrono::milliseconds askTime{ 30 };
    // Shorter than the caller's first retransmission time-out (200 ms). A chain of eight agents
    // takes a tenth of this time.
    static constexpr std::chrono::milliseconds probeTime{ 150 };
    // Several rounds of the check.
    static constexpr std::chrono::milliseconds listCheckTime{ 1000 };

    SearchStage advance();

    FlowKey flow;
    SearchPlan plan;
    std::vector<AgentIndex> unsureAgents;
    std::vector<std::vector<std::uint8_t>> held;
    SearchStage currentStage = SearchStage::Asking;
    bool hasMissedDeadline = false;
    TimePoint begun;
    TimePoint until;
};

class FlowSearches
{
public:
    // Maximum number of concurrent searches; packets that need another one are dropped.
    static constexpr std::size_t capacity = 4096;

    FlowSearch *find(std::uint64_t flowHash);
    // Returns null if the capacity is used up.
    FlowSearch *begin(const FlowKey &flow, SearchPlan plan, TimePoint now);
    void erase(std::uint64_t flowHash) { this->searches.erase(flowHash); }
    // The hashes of the flows whose searches wait for the check of the list of agents.
    std::vector<std::uint64_t> inListCheck() const;
    // The hashes of the flows whose searches are past their deadlines.
    std::vector<std::uint64_t> pastDeadline(TimePoint now) const;
    TimePoint nextDeadline() const;
    std::size_t size() const { return this->searches.size(); }

private:
    std::unordered_map<std::uint64_t, FlowSearch> searches;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_FLOWSEARCH_H

#include "mesh/flowsearch.h"

#include <algorithm>

namespace cactusdeck::mesh {

FlowSearch::FlowSearch(const FlowKey &searched, SearchPlan searchPlan, TimePoint begun)
    : flow(searched)
    , plan(std::move(searchPlan))
    , until(begun + (this->plan.hasChains ? probeTime : askTime))
{
    this->advance(begun);
}

void FlowSearch::hold(std::span<const std::uint8_t> packet)
{
    if (this->held.size() < maxHeldPackets)
        this->held.emplace_back(packet.begin(), packet.end());
}

SearchStage FlowSearch::advance(TimePoint now)
{
    if (!this->plan.asked.empty())
        return this->currentStage;
    if (this->currentStage == SearchStage::Asking && !this->unsureAgents.empty())
        return this->currentStage = SearchStage::MustProbe;
    if (!this->plan.unconfirmed.empty()) {
        if (this->currentStage != SearchStage::Confirming)
            this->until = now + confirmTime;
        return this->currentStage = SearchStage::Confirming;
    }
    this->currentStage = this->plan.isComplete ? SearchStage::Exhausted : SearchStage::Unresolved;
    return this->currentStage;
}

SearchStage FlowSearch::onAnswer(AgentIndex agent, SearchAnswer answer, TimePoint now)
{
    const auto it = std::find(this->plan.asked.begin(), this->plan.asked.end(), agent);
    if (it == this->plan.asked.end())
        return this->currentStage;
    if (answer == SearchAnswer::Unsure) {
        // While the agent's server has the probe, the agent cannot know more; wait for the server.
        if (this->currentStage == SearchStage::Probing)
            return this->currentStage;
        this->unsureAgents.push_back(agent);
    }
    this->plan.asked.erase(it);
    return this->advance(now);
}

bool FlowSearch::onReport(AgentIndex agent, bool mayHold, TimePoint now)
{
    const std::size_t erased = std::erase(this->plan.unconfirmed, agent);
    if (erased == 0 || !mayHold) {
        if (this->currentStage == SearchStage::Confirming)
            this->advance(now);
        return false;
    }
    this->plan.asked.push_back(agent);
    if (this->currentStage == SearchStage::Confirming) {
        this->currentStage = SearchStage::Asking;
        this->until = now + askTime;
    }
    return true;
}

void FlowSearch::startProbing(std::vector<AgentIndex> agents, TimePoint now)
{
    this->plan.isComplete &= agents.size() == this->unsureAgents.size();
    this->plan.asked = std::move(agents);
    this->unsureAgents.clear();
    this->currentStage = SearchStage::Probing;
    this->until = now + probeTime;
    this->advance(now);
}

SearchStage FlowSearch::onDeadline(TimePoint now)
{
    // An agent that did not answer may own the flow. The search can still find the flow, but must
    // not declare it lost.
    this->plan.isComplete = false;
    this->plan.asked.clear();
    this->plan.unconfirmed.clear();
    return this->advance(now);
}

FlowSearch *FlowSearches::find(std::uint64_t flowHash)
{
    const auto it = this->searches.find(flowHash);
    return it == this->searches.end() ? nullptr : &it->second;
}

FlowSearch *FlowSearches::begin(const FlowKey &flow, SearchPlan plan, TimePoint now)
{
    if (this->searches.size() >= capacity)
        return nullptr;
    return &this->searches.insert_or_assign(hashOf(flow), FlowSearch(flow, std::move(plan), now))
                    .first->second;
}

std::vector<std::uint64_t> FlowSearches::pastDeadline(TimePoint now) const
{
    std::vector<std::uint64_t> hashes;
    for (const auto &[hash, search] : this->searches) {
        if (now >= search.deadline())
            hashes.push_back(hash);
    }
    return hashes;
}

std::vector<std::uint64_t> FlowSearches::all() const
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(this->searches.size());
    for (const auto &[hash, search] : this->searches)
        hashes.push_back(hash);
    return hashes;
}

TimePoint FlowSearches::nextDeadline() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[hash, search] : this->searches)
        next = std::min(next, search.deadline());
    return next;
}

} // namespace cactusdeck::mesh

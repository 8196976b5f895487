#include "mesh/flowsearch.h"

#include <algorithm>

namespace cactusdeck::mesh {

FlowSearch::FlowSearch(const FlowKey &searched, SearchPlan searchPlan, TimePoint begunAt)
    : flow(searched)
    , plan(std::move(searchPlan))
    , begun(begunAt)
    , until(begunAt + (this->plan.hasChains ? probeTime : askTime))
{
    this->advance();
}

void FlowSearch::hold(std::span<const std::uint8_t> packet)
{
    if (this->held.size() < maxHeldPackets)
        this->held.emplace_back(packet.begin(), packet.end());
}

SearchStage FlowSearch::advance()
{
    if (!this->plan.asked.empty())
        return this->currentStage;
    if (this->currentStage == SearchStage::Asking && !this->unsureAgents.empty())
        return this->currentStage = SearchStage::MustProbe;
    if (!this->plan.unconfirmed.empty())
        return this->currentStage = SearchStage::MustConfirm;
    this->currentStage = this->plan.isComplete ? SearchStage::Exhausted : SearchStage::Unresolved;
    return this->currentStage;
}

SearchStage FlowSearch::onAnswer(AgentIndex agent, SearchAnswer answer)
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
    return this->advance();
}

void FlowSearch::startProbing(std::vector<AgentIndex> agents, TimePoint now)
{
    this->plan.isComplete &= agents.size() == this->unsureAgents.size();
    this->plan.asked = std::move(agents);
    this->unsureAgents.clear();
    this->currentStage = SearchStage::Probing;
    this->until = now + probeTime;
    this->advance();
}

void FlowSearch::startConfirming(std::vector<AgentIndex> chainEnds, TimePoint now)
{
    this->plan.asked = std::move(chainEnds);
    this->plan.unconfirmed.clear();
    this->currentStage = SearchStage::Probing;
    this->until = now + probeTime;
}

void FlowSearch::startListCheck(TimePoint now)
{
    this->currentStage = SearchStage::CheckingAgents;
    this->until = now + listCheckTime;
}

SearchStage FlowSearch::onDeadline(bool isAnswerExpected)
{
    // An agent that did not answer may own the flow. The search can still find the flow, but must
    // not declare it lost.
    this->hasMissedDeadline |= isAnswerExpected;
    this->plan.isComplete = false;
    this->plan.asked.clear();
    return this->advance();
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

std::vector<std::uint64_t> FlowSearches::inListCheck() const
{
    std::vector<std::uint64_t> hashes;
    for (const auto &[hash, search] : this->searches) {
        if (search.stage() == SearchStage::CheckingAgents)
            hashes.push_back(hash);
    }
    return hashes;
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

TimePoint FlowSearches::nextDeadline() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[hash, search] : this->searches)
        next = std::min(next, search.deadline());
    return next;
}

} // namespace cactusdeck::mesh

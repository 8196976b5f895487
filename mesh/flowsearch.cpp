#include "mesh/flowsearch.h"

#include <algorithm>

namespace cactusdeck::mesh {

FlowSearch::FlowSearch(const FlowKey &searched, std::vector<AgentIndex> asked, TimePoint begun)
    : flow(searched)
    , waiting(std::move(asked))
    , until(begun + askTime)
{ }

void FlowSearch::hold(std::span<const std::uint8_t> packet)
{
    if (this->held.size() < heldPackets)
        this->held.emplace_back(packet.begin(), packet.end());
}

SearchStage FlowSearch::onAnswer(AgentIndex agent, SearchAnswer answer)
{
    const auto it = std::find(this->waiting.begin(), this->waiting.end(), agent);
    if (it == this->waiting.end())
        return this->currentStage;
    if (answer == SearchAnswer::Unsure) {
        // In the second stage an agent that is still unsure has not heard from its server.
        if (this->currentStage == SearchStage::Probing)
            return this->currentStage;
        this->unsureAgents.push_back(agent);
    }
    this->waiting.erase(it);
    if (this->waiting.empty()) {
        if (this->currentStage == SearchStage::Asking && !this->unsureAgents.empty())
            this->currentStage = SearchStage::Probing;
        else if (this->isProbeComplete)
            this->currentStage = SearchStage::Exhausted;
    }
    return this->currentStage;
}

void FlowSearch::probe(std::vector<AgentIndex> agents, bool isComplete, TimePoint now)
{
    this->waiting = std::move(agents);
    this->isProbeComplete = isComplete;
    this->until = now + probeTime;
}

FlowSearch *FlowSearches::find(std::uint64_t flowHash)
{
    const auto it = this->searches.find(flowHash);
    return it == this->searches.end() ? nullptr : &it->second;
}

FlowSearch *FlowSearches::begin(const FlowKey &flow, std::vector<AgentIndex> agents, TimePoint now)
{
    if (this->searches.size() >= capacity)
        return nullptr;
    return &this->searches.insert_or_assign(hashOf(flow), FlowSearch(flow, std::move(agents), now))
                    .first->second;
}

std::vector<std::uint64_t> FlowSearches::due(TimePoint now) const
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

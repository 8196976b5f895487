#include "mesh/agentlistcheck.h"

#include <algorithm>

namespace cactusdeck::mesh {

std::uint32_t AgentListCheck::begin(const std::vector<Endpoint> &balancers, TimePoint now)
{
    this->missing = { balancers.begin(), balancers.end() };
    this->isExtended = false;
    this->begun = now;
    this->until = now + answerTime;
    this->nextRound =
            now + std::max(minInterval, intervalPerBalancer * std::int64_t(balancers.size()));
    return ++this->round;
}

std::optional<AgentListCheck::Outcome>
AgentListCheck::onAnswer(Endpoint balancer, std::uint32_t number, bool hasMissing)
{
    if (number != this->round || this->missing.erase(balancer) == 0)
        return std::nullopt;
    this->isExtended |= hasMissing;
    if (this->isPending())
        return std::nullopt;
    if (this->isExtended)
        return Outcome::Extended;
    this->completeAsOf = this->begun;
    return Outcome::Complete;
}

std::optional<AgentListCheck::Outcome> AgentListCheck::onTimer(TimePoint now)
{
    if (!this->isPending() || now < this->until)
        return std::nullopt;
    this->missing.clear();
    return this->isExtended ? Outcome::Extended : Outcome::Failed;
}

} // namespace cactusdeck::mesh

#ifndef CACTUSDECK_MESH_AGENTLISTCHECK_H
#define CACTUSDECK_MESH_AGENTLISTCHECK_H

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "core/types.h"

// Whether a balancer's list of agents is complete. A balancer may declare a flow lost only if it
// has asked every agent that may have it, and it may lack agents: new ones that it has not heard
// yet, or ones that it has not heard for long. So it first compares its list with those of all
// balancers that it hears, in a round that begins after the flow's packet has arrived.
//
//     if (check.isCompleteSince(packetArrivedAt)) declareLost();
//     else if (check.mayBegin(now))
//         for (Endpoint peer : check.begin(peers.live(now), now)) send(peer, query);
//     if (check.onAnswer(peer, answer.round, hasMissing, now)) ...      // the round has ended
//
// A balancer that hears no other one while it knows that there are others gets no evidence: its
// list never counts as complete.

namespace cactusdeck::mesh {

class AgentListCheck
{
public:
    enum class Outcome : std::uint8_t {
        Complete, // nobody knows an agent that this balancer lacks
        Extended, // agents were added to the list
        Failed, // somebody did not answer
    };

    // True if a round that began at this time or later has shown that the list is complete.
    bool isCompleteSince(TimePoint since) const
    {
        return this->completeAsOf && *this->completeAsOf >= since;
    }
    bool mayBegin(TimePoint now) const { return !this->isPending() && now >= this->nextRound; }
    bool isPending() const { return !this->missing.empty(); }
    // Begins a round in which each of these balancers must answer. Returns its number.
    std::uint32_t begin(const std::vector<Endpoint> &balancers, TimePoint now);
    // There is no other balancer.
    void completeAlone(TimePoint now) { this->completeAsOf = now; }
    // Returns the outcome if the round has ended.
    std::optional<Outcome> onAnswer(Endpoint balancer, std::uint32_t number, bool hasMissing);
    std::optional<Outcome> onTimer(TimePoint now);
    // When the pending round fails, or TimePoint::max().
    TimePoint deadline() const { return this->isPending() ? this->until : TimePoint::max(); }
    TimePoint nextBegin() const { return this->nextRound; }
    // When the last round began.
    TimePoint begunAt() const { return this->begun; }

private:
    // An answer takes one round trip, which is below 10 ms between failure domains of a region.
    static constexpr std::chrono::milliseconds answerTime{ 60 };
    // Minimum time between two rounds, which keeps them at some 2 KB/s for each balancer.
    static constexpr std::chrono::milliseconds minInterval{ 200 };
    static constexpr std::chrono::milliseconds intervalPerBalancer{ 10 };

    std::set<Endpoint> missing; // balancers that have not answered in the pending round
    std::uint32_t round = 0;
    bool isExtended = false;
    TimePoint begun{};
    TimePoint until{};
    TimePoint nextRound{};
    std::optional<TimePoint> completeAsOf;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_AGENTLISTCHECK_H

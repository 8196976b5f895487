#ifndef CACTUSDECK_CORE_LOADESTIMATE_H
#define CACTUSDECK_CORE_LOADESTIMATE_H

#include <cstdint>

#include "core/types.h"

// A balancer's estimate of an agent's load: the utilisation in the agent's last reply, plus the new
// flows that this balancer has sent to the agent since.
//
//     estimate.onPlaced(now);                    // a new flow was forwarded
//     estimate.onReply(utilisation, now);        // a reply frame came back
//     if (a.load(now) < b.load(now)) ...
//
// The weight of a report decreases with its age, so that an agent that was full is tried again. An
// agent whose replies are missing counts as not responding long before the membership protocol
// notices.

namespace cactusdeck {

class LoadEstimate
{
public:
    void onPlaced(TimePoint now);
    void onReply(std::uint16_t utilisation, TimePoint now);

    // Load relative to capacity, for comparing agents; an agent is full at about 1,024.
    double load(std::uint16_t weight, TimePoint now) const;
    bool isResponding(TimePoint now) const;
    std::uint16_t lastUtilisation() const { return this->utilisation; }

private:
    std::uint16_t utilisation = 0;
    std::uint16_t placed = 0; // new flows since the last reply
    TimePoint reportedAt{};
    TimePoint firstUnanswered{};
    TimePoint lastPlaced{};
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_LOADESTIMATE_H

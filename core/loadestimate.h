#ifndef CACTUSDECK_CORE_LOADESTIMATE_H
#define CACTUSDECK_CORE_LOADESTIMATE_H

#include <cstdint>

#include "core/types.h"

// What one balancer knows of one agent's load: the utilisation in its last reply, plus the new
// flows that this balancer has sent it since.
//
//     estimate.onPlaced(now);                    // a new flow was forwarded
//     estimate.onReply(utilisation, now);        // a reply frame came back
//     if (a.load(now) < b.load(now)) ...
//
// An old report loses weight, so that an agent that once was full is tried again. Replies that
// fail to come mark the agent as not responding long before membership can.

namespace cactusdeck {

class LoadEstimate
{
public:
    void onPlaced(TimePoint now);
    void onReply(std::uint16_t utilisation, TimePoint now);

    // Comparable between agents; about 1,024 is full.
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

#ifndef CACTUSDECK_MESH_COLDSTARTLIMITER_H
#define CACTUSDECK_MESH_COLDSTARTLIMITER_H

#include <algorithm>
#include <deque>

#include "core/types.h"

// Limits the new flows that a backend server in cold start gets in any one second. All traffic to a
// server passes its agent, so the limit holds for all balancers together.
//
//     if (limiter.mayAdmit(allowedPerSecond, now)) {
//         limiter.add(now);
//         admit(flow);
//     }

namespace cactusdeck::mesh {

class ColdStartLimiter
{
public:
    // One second plus the time that a packet may take to reach the server.
    static constexpr std::chrono::milliseconds window{ 1100 };

    // True if one more flow keeps every one-second window within the limit. 0 means that the
    // service states no limit: its servers start slowly but can take their usual number of flows.
    bool mayAdmit(double flowsPerSecond, TimePoint now) const
    {
        return flowsPerSecond <= 0
               || double(this->inWindow(now)) + 1 <= std::max(1.0, flowsPerSecond);
    }
    void add(TimePoint now)
    {
        while (!this->admitted.empty() && now - this->admitted.front() > window)
            this->admitted.pop_front();
        this->admitted.push_back(now);
    }

private:
    std::size_t inWindow(TimePoint now) const
    {
        std::size_t count = 0;
        for (auto it = this->admitted.rbegin(); it != this->admitted.rend(); ++it, ++count) {
            if (now - *it > window)
                break;
        }
        return count;
    }

    std::deque<TimePoint> admitted;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_COLDSTARTLIMITER_H

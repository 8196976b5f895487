#ifndef CACTUSDECK_MESH_COLDSTARTLIMITER_H
#define CACTUSDECK_MESH_COLDSTARTLIMITER_H

#include <algorithm>
#include <deque>

#include "core/types.h"

// Bounds the flows that a backend server in cold start gets in any second. The agent is the only
// way to its server, so the bound holds for all balancers together.
//
//     if (meter.isFree(allowedPerSecond, now)) {
//         meter.add(now);
//         admit(flow);
//     }

namespace cactusdeck::mesh {

class ColdStartLimiter
{
public:
    // True if one more flow leaves every window of one second within the bound. A service that
    // states no figure (0) has servers that are slow at first and bear their usual flows.
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
    // Longer than a second by the time that a packet may take to the server.
    static constexpr std::chrono::milliseconds window{ 1100 };

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

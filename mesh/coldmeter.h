#ifndef CACTUSDECK_MESH_COLDMETER_H
#define CACTUSDECK_MESH_COLDMETER_H

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

class ColdMeter
{
public:
    // Allowed when the configuration states no figure for the service.
    static constexpr double unstatedFlowsPerSecond = 4;

    // True if one more flow leaves every window of one second within the bound.
    bool isFree(double flowsPerSecond, TimePoint now) const
    {
        const double allowed = flowsPerSecond > 0 ? flowsPerSecond : unstatedFlowsPerSecond;
        return double(this->inWindow(now)) + 1 <= std::max(1.0, allowed);
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

#endif // CACTUSDECK_MESH_COLDMETER_H

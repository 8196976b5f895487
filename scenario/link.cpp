#include "scenario/link.h"

#include <algorithm>

namespace cactusdeck::scenario {

bool Network::isCut(const Location &from, const Location &to, Traffic traffic) const
{
    return std::any_of(this->cuts.begin(), this->cuts.end(), [&](const auto &cut) {
        const auto &[name, kind] = cut;
        const bool isFromInside = from.zone == name || from.machine == name;
        const bool isToInside = to.zone == name || to.machine == name;
        return kind == traffic && isFromInside != isToInside;
    });
}

void Network::send(const Location &from, const Location &to, Traffic traffic,
                   const Simulation::Action &deliver)
{
    const Link &link = this->link(traffic);
    if (this->isCut(from, to, traffic) || this->simulation.chance(link.loss))
        return;
    const int copies = this->simulation.chance(link.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const double share =
                std::uniform_real_distribution<double>(0, 1)(this->simulation.random());
        this->simulation.after(
                link.delay + std::chrono::duration_cast<Duration>(link.jitter * share), deliver);
    }
}

} // namespace cactusdeck::scenario

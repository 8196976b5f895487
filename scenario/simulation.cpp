#include "scenario/simulation.h"

namespace cactusdeck::scenario {

bool Simulation::chance(double probability)
{
    return probability > 0
           && std::uniform_real_distribution<double>(0, 1)(this->generator) < probability;
}

void Simulation::after(Duration delay, Action action)
{
    this->events.push({ this->time + delay, this->nextNumber++, std::move(action) });
}

void Simulation::runUntil(TimePoint end)
{
    while (!this->events.empty() && this->events.top().time <= end) {
        // top() is const to protect the heap order. Moving from it is safe, because the event is
        // popped before anything compares it again.
        Event event = std::move(const_cast<Event &>(this->events.top()));
        this->events.pop();
        this->time = event.time;
        event.action();
    }
    this->time = end;
}

} // namespace cactusdeck::scenario

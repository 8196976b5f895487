#ifndef CACTUSDECK_SCENARIO_SIMULATION_H
#define CACTUSDECK_SCENARIO_SIMULATION_H

#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "core/types.h"

// Discrete-event simulation: event queue, fake clock and the only random number generator of a
// scenario.
//
//     Simulation simulation(1);
//     simulation.after(std::chrono::seconds(1), [&] { ... });
//     simulation.runUntil(simulation.now() + std::chrono::seconds(60));
//
// Events due at the same time run in the order in which they were added, so that the same seed
// always gives the same run.

namespace cactusdeck::scenario {

class Simulation
{
public:
    using Action = std::function<void()>;

    explicit Simulation(std::uint64_t seed)
        : generator(seed)
    { }

    TimePoint now() const { return this->time; }
    Duration elapsed() const { return this->time - startTime; }
    std::mt19937_64 &random() { return this->generator; }
    bool chance(double probability);

    void after(Duration delay, Action action);
    void runUntil(TimePoint end);

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t number = 0;
        Action action;

        bool operator>(const Event &other) const
        {
            return this->time != other.time ? this->time > other.time : this->number > other.number;
        }
    };

    // Not TimePoint{}, which the state machines interpret as "never".
    static constexpr TimePoint startTime{ std::chrono::hours(1) };

    TimePoint time = startTime;
    std::uint64_t nextNumber = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::mt19937_64 generator;
};

} // namespace cactusdeck::scenario

#endif // CACTUSDECK_SCENARIO_SIMULATION_H

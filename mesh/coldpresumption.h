#ifndef CACTUSDECK_MESH_COLDPRESUMPTION_H
#define CACTUSDECK_MESH_COLDPRESUMPTION_H

#include <optional>

#include "core/types.h"

// Whether an agent must treat its backend server as cold because it cannot know better. A server
// may have been replaced, or have turned cold, while its agent was suspended or its zone was
// evacuated, and opening packets may arrive before the heartbeat that says so. The presumption ends
// with a heartbeat that was sent later.
//
//     if (const auto gap = presumption.onEvent(now)) // at each event, if gaps matter
//         presumption.presume(now);
//     presumption.onHeartbeat(now);
//     if (presumption.isPresumed()) ...

namespace cactusdeck::mesh {

class ColdPresumption
{
public:
    // The agent needs an event at least this often for its suspension to be noticed.
    static constexpr std::chrono::milliseconds eventInterval{ 200 };

    // Returns the time without an event if the agent must have been suspended in it.
    std::optional<Duration> onEvent(TimePoint now)
    {
        const Duration gap = now - this->lastEvent;
        const bool isFirst = this->lastEvent == TimePoint{};
        this->lastEvent = now;
        return !isFirst && gap > suspendedGap ? std::optional(gap) : std::nullopt;
    }
    void presume(TimePoint now) { this->since = now; }
    void onHeartbeat(TimePoint now)
    {
        if (this->since && now - *this->since > backlogTime)
            this->since.reset();
    }
    bool isPresumed() const { return this->since.has_value(); }
    TimePoint nextEvent() const { return this->lastEvent + eventInterval; }

private:
    // More than a busy machine delays the event.
    static constexpr std::chrono::milliseconds suspendedGap{ 350 };
    // Heartbeats that have queued up are read within this time.
    static constexpr std::chrono::milliseconds backlogTime{ 100 };

    TimePoint lastEvent{};
    std::optional<TimePoint> since;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_COLDPRESUMPTION_H

#ifndef CACTUSDECK_SCENARIO_ZONE_H
#define CACTUSDECK_SCENARIO_ZONE_H

#include <algorithm>
#include <optional>

#include "core/types.h"

// Tracks for the measures how long packets still reach a failure domain after it was taken out.

namespace cactusdeck::scenario {

class Zone
{
public:
    void takeOut(TimePoint now) { this->outSince = this->outSince.value_or(now); }
    void putIn() { this->outSince.reset(); }
    // Records that a caller's packet reached a machine of the zone.
    void onPacket(TimePoint now)
    {
        if (this->outSince)
            this->last = std::max(this->last, now - *this->outSince);
    }
    // Time from taking the zone out to the last packet that reached it; the maximum if it was taken
    // out several times.
    Duration lastPacket() const { return this->last; }

private:
    std::optional<TimePoint> outSince;
    Duration last{};
};

} // namespace cactusdeck::scenario

#endif // CACTUSDECK_SCENARIO_ZONE_H

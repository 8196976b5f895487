#ifndef CACTUSDECK_SCENARIO_ZONE_H
#define CACTUSDECK_SCENARIO_ZONE_H

#include <algorithm>
#include <optional>

#include "core/types.h"

// A failure domain as the measures see it.

namespace cactusdeck::scenario {

class Zone
{
public:
    void takeOut(TimePoint now) { this->outSince = this->outSince.value_or(now); }
    void putIn() { this->outSince.reset(); }
    // A caller's packet reached a machine of the zone.
    void onPacket(TimePoint now)
    {
        if (this->outSince)
            this->last = std::max(this->last, now - *this->outSince);
    }
    // Time from taking out to the last packet; the longest of all times it was out.
    Duration lastPacket() const { return this->last; }

private:
    std::optional<TimePoint> outSince;
    Duration last{};
};

} // namespace cactusdeck::scenario

#endif // CACTUSDECK_SCENARIO_ZONE_H

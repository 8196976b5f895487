#include "core/capacityweight.h"

#include <algorithm>
#include <cmath>

namespace cactusdeck {

namespace {

constexpr double unitPerSecond = 1.25;

} // namespace

std::optional<std::uint16_t> CapacityWeight::update(std::uint32_t slots,
                                                    const LatencyBaseline &baseline, TimePoint now)
{
    const bool isFirst = !this->step;
    if (!isFirst && now - this->changedAt < changeInterval)
        return std::nullopt;
    const Duration latency = baseline.isKnown() ? baseline.mean() : Duration(initialLatency);
    const double seconds = std::max(std::chrono::duration<double>(latency).count(), 1e-6);
    const double exact = std::log2(double(slots) / seconds / unitPerSecond) * stepsPerOctave;
    if (!isFirst && std::abs(exact - *this->step) < hysteresis)
        return std::nullopt;
    this->step = std::round(exact);
    const double weight = std::round(std::exp2(*this->step / stepsPerOctave));
    const auto value = std::uint16_t(std::clamp(weight, 1.0, 65535.0));
    if (!isFirst && value == this->announced)
        return std::nullopt;
    this->announced = value;
    this->changedAt = now;
    return value;
}

} // namespace cactusdeck

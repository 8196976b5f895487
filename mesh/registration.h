#ifndef CACTUSDECK_MESH_REGISTRATION_H
#define CACTUSDECK_MESH_REGISTRATION_H

#include <cstdint>
#include <optional>
#include <random>

#include "core/types.h"
#include "mesh/fleetstate.h"

// Decides when a balancer writes its entry in the directory of balancers, through which nodes find
// balancers once all of their seeds have gone. The entry is written some time after the start, and
// again after each restore of the store, which may have lost it.
//
//     if (const auto call = registration.takeCall(state.evacuationsAsOf().era, now))
//         client.send(*call, [](auto outcome) { registration.onOutcome(outcome, now); });

namespace cactusdeck::mesh {

class Registration
{
public:
    enum class Call : std::uint8_t {
        Create, // without effect if there is an entry of this name
        Replace,
    };
    enum class Outcome : std::uint8_t {
        Written,
        AlreadyThere, // the store has the same entry
        OtherThere, // the store has another entry of this name, such as one of an earlier run
        Failed,
    };

    // Only nodes that start later need the entry.
    static constexpr std::chrono::milliseconds firstDelay{ 8000 };
    // After a failure, and without an outcome.
    static constexpr std::chrono::milliseconds retryInterval{ 5000 };
    // After a restore all balancers write their entries again, spread over this time.
    static constexpr std::chrono::milliseconds restoreSpread{ 2000 };

    Registration(TimePoint start, std::uint64_t seed);

    // Returns the call to make now, if any. The era is the newest one that this node has heard of.
    std::optional<Call> takeCall(StoreEra era, TimePoint now);
    void onOutcome(Outcome outcome, TimePoint now);

    bool isRegistered() const { return this->registered; }

private:
    std::mt19937_64 random;
    Call next = Call::Create;
    TimePoint nextAt;
    bool registered = false;
    StoreEra registeredEra = 0; // when the last call was made
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_REGISTRATION_H

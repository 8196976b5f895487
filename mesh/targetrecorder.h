#ifndef CACTUSDECK_MESH_TARGETRECORDER_H
#define CACTUSDECK_MESH_TARGETRECORDER_H

#include <cstdint>
#include <optional>

#include "core/types.h"
#include "mesh/fleetstate.h"

// Decides when a balancer that reads the store reads or writes the record of the targets of routes,
// from which balancers learn the former targets once all processes of the fleet have been killed.
// The record is written when the targets have changed, by the reader with the best rank. The others
// look later whether that was done. Writes are conditional on the revision that was read.
//
//     if (const auto call = recorder.takeCall(state, rank, now))
//         client.send(*call, [](auto outcome) { recorder.onOutcome(outcome, state, now); });

namespace cactusdeck::mesh {

struct TargetCall
{
    enum class Kind : std::uint8_t {
        Read,
        Create, // fails if there is a record
        Replace, // fails if the record has another revision
    };

    Kind kind = Kind::Read;
    bool mayBeOutdated = false; // a read that may return a record of some seconds ago
    Revision revision = 0; // of the record to replace
    TargetRecord record; // to write
};

struct TargetOutcome
{
    enum class Kind : std::uint8_t {
        Written,
        Found, // read, or in the way of a write
        Missing,
        Failed,
    };

    Kind kind = Kind::Failed;
    Revision revision = 0; // 0: not stated
    TargetRecord record; // that was found
};

class TargetRecorder
{
public:
    // A storm of configurations leads to few writes.
    static constexpr std::chrono::milliseconds writeInterval{ 1000 };
    // A reader waits for this time for each reader with a better rank.
    static constexpr std::chrono::milliseconds writeDelay{ 3000 };
    // The same before the first read. Meanwhile a peer may tell what it has read.
    static constexpr std::chrono::milliseconds readDelay{ 500 };
    // Doubles with each failure, since refused calls are priced too.
    static constexpr std::chrono::milliseconds firstBackoff{ 2000 };
    static constexpr std::chrono::milliseconds maxBackoff{ 60000 };
    static constexpr std::chrono::milliseconds callTimeout{ 1500 };

    // Returns the call to make now, if any. The rank is 0 for the first of the readers, and not
    // stated for a balancer that does not read the store or cannot reach it.
    std::optional<TargetCall> takeCall(const FleetState &state, std::optional<std::size_t> rank,
                                       TimePoint now);
    // Returns true if the former targets have become known.
    bool onOutcome(const TargetOutcome &outcome, FleetState &state, TimePoint now);

private:
    void noticeChanges(const FleetState &state, std::size_t rank, TimePoint now);
    void onFound(const TargetOutcome &outcome, FleetState &state, TimePoint now);
    // Forgets what the store is thought to have.
    void forget();
    bool isCovered(const TargetRecord &wanted) const;

    std::optional<TargetRecord> record; // in the store, as last seen
    Revision revision = 0; // of the record; 0: to be read before a write
    bool isMissing = false; // the store has no record
    bool isRestored = false; // since the last read; an outdated record may date from before
    bool isSettled = false; // the record has the targets of the last seen change
    std::uint64_t seenChanges = 0; // of the state
    TimePoint changedAt{}; // when a change was last seen; the epoch: none was
    StoreEra era = 0; // a restored store may have an earlier record
    std::optional<TargetCall> pending; // without an outcome so far
    TimePoint nextAt{};
    std::chrono::milliseconds backoff = firstBackoff;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_TARGETRECORDER_H

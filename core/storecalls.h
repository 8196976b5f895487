#ifndef CACTUSDECK_CORE_STORECALLS_H
#define CACTUSDECK_CORE_STORECALLS_H

#include <optional>
#include <random>

#include "core/outbox.h"
#include "core/tokenbucket.h"

// Calls to the store: identifiers, call budget, timeouts and backoff.
//
//     StoreCalls calls({ .seed = 1 });                   // one for each node, shared by all users
//     StoreSlot slot(calls);                             // one pending call of one user
//     if (slot.isReady(now))
//         slot.send({ .operation = StoreOperation::Get, .key = "config/head" }, now, outbox);
//     if (slot.accept(answer, now))                      // false: an answer to somebody else
//         ...
//     if (std::optional<StoreAnswer> late = slot.expire(now))
//         ...                                            // status Timeout
//
// A user must pass every answer to its slots and call expire from its timer. A StoreCalls must
// outlive the users of it.

namespace cactusdeck {

struct StoreCallOptions
{
    std::uint64_t seed = 0;
    double callsPerSecond = 50; // a reader that fetches 1,500 services needs 30 s at most
    double burst = 100;
    Duration timeout = std::chrono::seconds(2);
    Duration firstBackoff = std::chrono::milliseconds(100); // doubles with each failure
    // Also bounds how late a node notices that the store is back, and the rate of calls during an
    // outage.
    Duration backoffCap = std::chrono::seconds(1);
};

// How long the store may hold a watch before it answers that nothing changed.
inline constexpr std::chrono::seconds watchTime{ 10 };

class StoreCalls
{
public:
    explicit StoreCalls(StoreCallOptions options);

    const StoreCallOptions &options() const { return this->settings; }
    // The id of a new call, or none while the budget is used up.
    std::optional<std::uint64_t> start(TimePoint now);
    // Waiting time after a number of consecutive failures, between half and all of the cap.
    Duration backoff(int failures);
    // Calls started since construction.
    std::uint64_t started() const { return this->nextId - this->firstId; }

private:
    StoreCallOptions settings;
    std::mt19937_64 random;
    std::uint64_t firstId = 1;
    std::uint64_t nextId = 1;
    TokenBucket budget;
};

class StoreSlot
{
public:
    explicit StoreSlot(StoreCalls &storeCalls)
        : calls(&storeCalls)
    { }

    bool isBusy() const { return this->callId != 0; }
    // Neither busy nor in backoff.
    bool isReady(TimePoint now) const;
    // False when the slot isn't ready or the budget is used up; try again at the next timer.
    bool send(StoreCall call, TimePoint now, Outbox &outbox);
    // True when this answers the pending call. Unavailable and Timeout start a backoff; an answer
    // without a delay ends it.
    bool accept(const StoreAnswer &answer, TimePoint now);
    // The call whose time is up, as an answer with status Timeout. A later answer to it is ignored.
    std::optional<StoreAnswer> expire(TimePoint now);
    // Waits before the next call although the store answered, for example after a stale read.
    void delay(TimePoint now);
    // Forgets the pending call and the backoff.
    void reset();

    const StoreCall &call() const { return this->pending; }
    // When the last call was sent.
    TimePoint sentAt() const { return this->sent; }

private:
    StoreCalls *calls;
    StoreCall pending;
    std::uint64_t callId = 0;
    TimePoint sent;
    TimePoint deadline;
    TimePoint notBefore;
    int failures = 0; // in a row
    bool delayed = false; // since the last answer
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_STORECALLS_H

#ifndef CACTUSDECK_CORE_STORECALLS_H
#define CACTUSDECK_CORE_STORECALLS_H

#include <optional>
#include <random>

#include "core/outbox.h"
#include "core/tokenbucket.h"

// Manages calls to the store: call ids, a limit on the call rate, timeouts and backoff.
//
//     StoreCalls calls({ .seed = 1 });                   // one for each node, shared by all users
//     StoreSlot slot(calls);                             // at most one pending call
//     if (slot.isReady(now))
//         slot.send({ .operation = StoreOperation::Get, .key = "config/head" }, now, outbox);
//     if (slot.accept(answer, now))                      // false: an answer to another call
//         ...
//     if (std::optional<StoreAnswer> late = slot.expire(now))
//         ...                                            // status Timeout
//
// A user must pass every answer to its slots and call expire from its timer. A StoreCalls must
// outlive its slots.

namespace cactusdeck {

struct StoreCallOptions
{
    std::uint64_t seed = 0;
    double callsPerSecond = 50; // fetching 1,500 service objects takes 30 s at most
    double burst = 100;
    Duration timeout = std::chrono::seconds(2);
    Duration firstBackoff = std::chrono::milliseconds(100); // doubles with each failure
    // Bounds the call rate during an outage, and the delay until a node notices the end of the
    // outage.
    Duration backoffCap = std::chrono::seconds(1);
};

// How long the store may keep a watch pending before it answers that the object is unchanged.
inline constexpr std::chrono::seconds watchTime{ 10 };

class StoreCalls
{
public:
    explicit StoreCalls(StoreCallOptions options);

    const StoreCallOptions &options() const { return this->settings; }
    // Returns the id of a new call, or none while the call rate is at its limit.
    std::optional<std::uint64_t> start(TimePoint now);
    // Returns the waiting time after a number of consecutive failures: firstBackoff doubled with
    // each further failure, at most backoffCap, multiplied by a random factor from 0.5 to 1.
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
    // Returns false if the slot isn't ready or the call rate is at its limit; try again at the next
    // timer.
    bool send(StoreCall call, TimePoint now, Outbox &outbox);
    // Returns true if this answers the pending call. The statuses Unavailable and Timeout start or
    // extend a backoff. After any other answer the count of failures restarts, unless the user
    // calls delay.
    bool accept(const StoreAnswer &answer, TimePoint now);
    // If the pending call has timed out, returns an answer with status Timeout for it. A later
    // answer to that call is ignored.
    std::optional<StoreAnswer> expire(TimePoint now);
    // Starts or extends a backoff although the store answered, for example after a stale read.
    void delay(TimePoint now);
    // Abandons the pending call and ends the backoff.
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
    int failures = 0; // consecutive failures and delays
    bool delayed = false; // delay was called since the last accepted answer
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_STORECALLS_H

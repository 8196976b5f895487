#ifndef CACTUSDECK_CORE_CONTROLBUDGET_H
#define CACTUSDECK_CORE_CONTROLBUDGET_H

#include <array>
#include <cstdint>
#include <deque>

#include "core/outbox.h"
#include "core/types.h"

// Bounds the control bytes that a node sends. Every control message goes through it.
//
//     ControlBudget budget;
//     budget.send(ControlPriority::Configuration, peer, ConfigurationNotice{ ... }, now, outbox);
//     budget.flush(now, outbox);                         // on each timer: what was deferred
//
// A message that does not fit is deferred, and sent as soon as there are tokens, in order of
// priority. A deferred message is replaced by a newer one of the same kind to the same node if that
// supersedes it (heartbeats, acknowledgements, digests, notices, member lists).
//
// Over any 10 s the bytes sent are at most 10 s x bytesPerSecond, unless one message alone is
// larger than the burst; that one is sent from a full bucket and leaves a debt. Sizes are those of
// the CBOR encoding, without UDP and IP headers.
//
// Lower priorities leave a part of the bucket to higher ones, so that a death is never queued
// behind a bulk transfer. The four lower priorities also have a share of their own. Without it, a
// burst of deaths would delay probes and cause false suspicions, probes of many nodes would keep
// tables from agreeing, and a burst of changes would keep joiners out. What they don't use goes to
// the others; Configuration and Deaths also take from the shares of Changes and Repair.

namespace cactusdeck {

// From most to least urgent.
enum class ControlPriority : std::uint8_t {
    Configuration, // configuration and zone changes
    Deaths, // dead and leaving nodes
    Probes, // probes, digests, requests for shards, and answers; few and small
    Heartbeats, // heartbeats and their answers
    Changes, // other changes of records and holdings
    Repair, // records for joiners and repair, member lists: answers to requests that are repeated
};
inline constexpr std::size_t controlPriorities = 6;

struct ControlBudgetOptions
{
    std::size_t bytesPerSecond = 4096;
};

class ControlBudget
{
public:
    explicit ControlBudget(ControlBudgetOptions options = {});

    // Sends now, or defers. Returns true if the message was sent now.
    bool send(ControlPriority priority, Endpoint to, ControlMessage message, TimePoint now,
              Outbox &outbox);
    // True if a message of this size would be sent at once. For senders that compose messages from
    // the newest state instead of having them deferred.
    bool fits(ControlPriority priority, std::size_t bytes, TimePoint now);
    // Sends deferred messages that now fit.
    void flush(TimePoint now, Outbox &outbox);

    std::uint64_t sentBytes() const { return this->sent; }
    std::size_t deferredMessages() const;
    std::size_t deferredBytes(ControlPriority priority) const;

private:
    struct Deferred
    {
        Endpoint to;
        ControlMessage message;
        std::size_t bytes = 0;
    };

    void refill(TimePoint now);
    static bool mayBorrow(ControlPriority priority);
    double borrowableTokens() const;
    bool fitsReserved(ControlPriority priority, std::size_t bytes) const;
    bool isMoreUrgentDeferred(ControlPriority priority) const;
    bool take(ControlPriority priority, std::size_t bytes);
    bool hasTokens(ControlPriority priority, std::size_t bytes) const;
    void defer(ControlPriority priority, Deferred deferred);

    double capacity; // bytes; of both buckets together
    double rate; // bytes per second; of both buckets together
    double sharedTokens; // tokens of all priorities
    std::array<double, controlPriorities> reservedTokens; // tokens of one priority alone
    TimePoint refilledAt{};
    std::array<std::deque<Deferred>, controlPriorities> queues;
    std::array<std::size_t, controlPriorities> queuedBytes{};
    std::uint64_t sent = 0;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_CONTROLBUDGET_H

#ifndef CACTUSDECK_CORE_LEASE_H
#define CACTUSDECK_CORE_LEASE_H

#include <optional>
#include <string>

#include "core/storecalls.h"

// The lease "lease/status": at most one balancer writes the status summary.
//
//     Lease lease(calls, { .holder = id, .incarnation = incarnation });
//     lease.setCandidate(isAmongCandidates);  // a few balancers, so that few calls are made
//     lease.onTimer(now, outbox);
//     lease.onAnswer(answer, now, outbox);
//     if (std::optional<std::uint64_t> term = lease.term(now))
//         ...                                       // fences every write made under the lease
//
// The holder counts the lease from when it sent the last successful write, by its own clock. Others
// take it over when they have seen the object unchanged for longer than that, by their own clock.
// Clocks are never compared. A holder that pauses beyond the end of its lease may still believe to
// hold it for the duration of one call; its term then fails the write.

namespace cactusdeck {

struct LeaseOptions
{
    NodeId holder;
    Incarnation incarnation = 1; // tells this run from an earlier one with the same id
    Duration duration = std::chrono::seconds(9);
    Duration renewEvery = std::chrono::seconds(3);
    Duration observeEvery = std::chrono::seconds(3);
    // Others wait this much longer than the duration, for clocks that run at different rates.
    Duration takeoverMargin = std::chrono::seconds(1);
    // A timer later than this means that the process was paused; the holder steps down.
    Duration pauseLimit = std::chrono::seconds(2);
};

class Lease
{
public:
    Lease(StoreCalls &calls, LeaseOptions options);

    // A holder that is no candidate any more releases the lease.
    void setCandidate(bool candidate);
    void onAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    void onTimer(TimePoint now, Outbox &outbox);
    // A write under the lease found a higher term: steps down, and exceeds that term next time.
    void onFenced(std::uint64_t higherTerm, TimePoint now, Outbox &outbox);

    // The fencing term, while the lease is held.
    std::optional<std::uint64_t> term(TimePoint now) const;
    // Last holder read from the store; empty when none is known.
    const NodeId &holder() const { return this->storedRecord.holder; }

private:
    struct Record
    {
        NodeId holder; // empty: released
        Incarnation incarnation = 0;
        std::uint64_t term = 0;
        std::uint64_t renewal = 0; // number of renewals in this term
    };

    StoreSlot slot;
    LeaseOptions options;
    bool candidate = false;
    bool held = false;
    bool isRecordCurrent = false; // seen is what the store had when it was last read or written
    Record storedRecord;
    std::uint64_t objectVersion = 0;
    TimePoint unchangedSince; // since when the object has had objectVersion
    TimePoint nextAt; // next read or renewal
    TimePoint expiresAt; // own lease
    std::optional<TimePoint> lastTimer;
    Record pendingRecord; // by the pending write
    std::uint64_t highestTermSeen = 0; // terms up to this were in use

    bool isPaused(TimePoint now) const;
    void checkHeld(TimePoint now, Outbox &outbox);
    void stepDown(const char *reason, TimePoint now, Outbox &outbox);
    void onReadAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    void onWriteAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    void sendNextCall(TimePoint now, Outbox &outbox);
    bool mayAcquire(TimePoint now) const;
    void write(Record record, TimePoint now, Outbox &outbox);
    bool isOwn(const Record &record) const;
    static std::string encode(const Record &record);
    static std::optional<Record> decode(const std::string &text);
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_LEASE_H

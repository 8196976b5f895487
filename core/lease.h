#ifndef CACTUSDECK_CORE_LEASE_H
#define CACTUSDECK_CORE_LEASE_H

#include <optional>
#include <string>

#include "core/storecalls.h"

// The lease "lease/status" elects the one balancer that writes the fleet status.
//
//     Lease lease(calls, { .holder = id, .incarnation = incarnation });
//     lease.setCandidate(isAmongCandidates);  // only a few, to limit the number of store calls
//     lease.onTimer(now, outbox);
//     lease.onAnswer(answer, now, outbox);
//     if (std::optional<std::uint64_t> term = lease.term(now))
//         ...                                       // fences every write made under the lease
//
// The holder's lease ends a fixed duration after it sent its last successful write, by its own
// clock. Another candidate takes the lease over when it has seen the object unchanged for longer
// than that duration, by its own clock. Timestamps of different nodes are never compared. A holder
// whose process is paused beyond the end of its lease may still assume for the duration of one call
// that it holds it; a write with its old term is then rejected.

namespace cactusdeck {

struct LeaseOptions
{
    NodeId holder;
    Incarnation incarnation = 1; // distinguishes this run from earlier ones with the same id
    Duration duration = std::chrono::seconds(9);
    Duration renewEvery = std::chrono::seconds(3);
    Duration observeEvery = std::chrono::seconds(3);
    // Other candidates wait this much longer than the duration, since clocks differ in rate.
    Duration takeoverMargin = std::chrono::seconds(1);
    // If more time than this passes between two timer calls, the process was paused, and the holder
    // steps down.
    Duration pauseLimit = std::chrono::seconds(2);
};

class Lease
{
public:
    Lease(StoreCalls &calls, LeaseOptions options);

    // A holder that stops being a candidate releases the lease.
    void setCandidate(bool candidate);
    void onAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    void onTimer(TimePoint now, Outbox &outbox);
    // Called when a write under the lease found a higher term: steps down, and uses a term above
    // that one for the next acquisition.
    void onFenced(std::uint64_t higherTerm, TimePoint now, Outbox &outbox);

    // The fencing term, or none if the lease isn't held.
    std::optional<std::uint64_t> term(TimePoint now) const;
    // The last known holder; empty if the lease is free or was never read.
    const NodeId &holder() const { return this->storedRecord.holder; }

private:
    struct Record
    {
        NodeId holder; // empty if the lease was released
        Incarnation incarnation = 0;
        std::uint64_t term = 0;
        std::uint64_t renewal = 0; // number of renewals in this term
    };

    StoreSlot slot;
    LeaseOptions options;
    bool candidate = false;
    bool held = false;
    // False if the record in the store may have changed since storedRecord was read or written.
    bool isRecordCurrent = false;
    Record storedRecord;
    std::uint64_t objectVersion = 0;
    TimePoint unchangedSince; // when objectVersion was first seen
    TimePoint nextAt; // next read or renewal
    TimePoint expiresAt; // when the lease of this node ends
    std::optional<TimePoint> lastTimer;
    Record pendingRecord; // value of the pending write
    std::uint64_t highestTermSeen = 0; // a new term must be above this

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

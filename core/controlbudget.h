#ifndef CACTUSDECK_CORE_CONTROLBUDGET_H
#define CACTUSDECK_CORE_CONTROLBUDGET_H

#include <array>
#include <cstdint>
#include <deque>

#include "core/outbox.h"
#include "core/types.h"

// Limits the rate of control bytes that a node sends. Every control message passes through it.
//
//     ControlBudget budget;
//     budget.send(ControlPriority::Configuration, peer, ConfigurationNotice{ ... }, now, outbox);
//     budget.flush(now, outbox);                         // on each timer: sends deferred messages
//
// A message that exceeds the available tokens is deferred, and sent in order of priority as soon as
// there are enough tokens. A deferred heartbeat, acknowledgement, digest, shard request,
// configuration notice or member list is replaced by a newer message of its kind to the same node.
//
// At most 10 s x bytesPerSecond are sent in any 10 s. The exception is a single message larger than
// the burst: it is sent when the bucket is full and leaves a negative number of tokens. Sizes are
// those of the CBOR encoding, without UDP and IP headers.
//
// There is one token bucket shared by all priorities, of which each priority leaves a part to more
// urgent ones, so that the news of a dead node never waits behind a bulk transfer. The four less
// urgent priorities also have a reserved bucket each. Without these, a burst of deaths would delay
// probes and cause false suspicions, probes of many nodes would keep the tables of the nodes from
// converging, and a burst of changes would keep new nodes from joining. Tokens that overflow a
// reserved bucket go to the shared one; Configuration and Deaths may also take tokens reserved for
// Changes and Repair.

namespace cactusdeck {

// From most to least urgent.
enum class ControlPriority : std::uint8_t {
    Configuration, // configuration and zone changes
    Deaths, // dead and leaving nodes
    Probes, // probes, digests, shard requests, and the answers to them; few and small messages
    Heartbeats, // heartbeats and their answers
    Changes, // other changes of records and holdings
    Repair, // records for joining nodes and for repair, member lists; the requests are repeated if
            // the answer is late
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
    // Returns true if a message of this size would be sent at once. Used by senders that build each
    // message from the newest state when it can be sent, rather than have an older one deferred.
    bool fits(ControlPriority priority, std::size_t bytes, TimePoint now);
    // Sends the deferred messages for which there are tokens now.
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

    double capacity; // bytes, total of all buckets
    double rate; // bytes per second, total of all buckets
    double sharedTokens; // tokens that any priority may use
    std::array<double, controlPriorities> reservedTokens; // by priority
    TimePoint refilledAt{};
    std::array<std::deque<Deferred>, controlPriorities> queues;
    std::array<std::size_t, controlPriorities> queuedBytes{};
    std::uint64_t sent = 0;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_CONTROLBUDGET_H

#ifndef CACTUSDECK_CORE_STOREACCESS_H
#define CACTUSDECK_CORE_STOREACCESS_H

#include <functional>

#include "core/lease.h"
#include "core/membership.h"
#include "core/statuswriter.h"
#include "core/storereader.h"

// The part of a balancer that talks to the store: reads the configuration if the balancer is one of
// the readers, and writes the fleet status if it holds the lease.
//
//     StoreDuties duties({ .id = ..., .incarnation = ..., .seed = 1 });
//     duties.assign(membership, now, outbox);                 // when the balancers changed
//     if (ConfigurationPointer found = duties.onTimer(now, outbox))
//         spread.adopt(found, now, outbox);
//
// Readers are the first readerCount balancers by rendezvous hashing, in different zones as far as
// possible, so that the loss of one zone leaves a reader. The same nodes compete for the lease.

namespace cactusdeck {

inline constexpr std::size_t readerCount = 3;

// The balancers that read the store, best first.
std::vector<NodeId> chooseReaders(std::span<const NodeRecord *const> balancers);

struct StoreAccessOptions
{
    NodeId id;
    Incarnation incarnation = 1;
    std::uint64_t seed = 0;
};

class StoreAccess
{
public:
    explicit StoreAccess(const StoreAccessOptions &options);
    StoreAccess(const StoreAccess &) = delete;
    StoreAccess &operator=(const StoreAccess &) = delete;

    void assign(std::span<const NodeRecord *const> balancers, TimePoint now, Outbox &outbox);
    // The node stops: gives up reading and the lease.
    void release(TimePoint now, Outbox &outbox);
    void setKnown(ConfigurationPointer configuration);
    ConfigurationPointer onAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    // status is asked for only if this node holds the lease.
    ConfigurationPointer onTimer(TimePoint now, const std::function<std::string()> &status,
                                 Outbox &outbox);

    bool isReader() const { return this->reader.isActive(); }
    bool isStoreReachable() const { return this->reader.isStoreReachable(); }
    bool holdsLease(TimePoint now) const { return this->lease.term(now).has_value(); }
    std::uint64_t callsStarted() const { return this->calls.started(); }

private:
    NodeId id;
    StoreCalls calls;
    StoreReader reader;
    Lease lease;
    StatusWriter writer;
    std::vector<Endpoint> balancerEndpoints;
    TimePoint nextStatus{};
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_STOREACCESS_H

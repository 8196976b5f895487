#ifndef CACTUSDECK_CORE_STOREACCESS_H
#define CACTUSDECK_CORE_STOREACCESS_H

#include <functional>

#include "core/lease.h"
#include "core/membership.h"
#include "core/statuswriter.h"
#include "core/storereader.h"

// The store access of one balancer: reads the configuration if the balancer is one of the readers,
// and writes the fleet status if it holds the lease.
//
//     StoreAccess access({ .id = ..., .incarnation = ..., .seed = 1 });
//     access.assign(balancers, now, outbox);          // when the set of live balancers changed
//     if (ConfigurationPointer found = access.onTimer(now, status, outbox))
//         spread.adopt(found, now, outbox);
//
// Readers are the first readerCount balancers by rendezvous hashing, in different zones as far as
// possible, so that a reader remains if one zone fails. The same balancers compete for the lease.

namespace cactusdeck {

inline constexpr std::size_t readerCount = 3;

// Chooses the balancers that read the store, highest rank first.
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
    // Stops reading and releases the lease; called when the node shuts down.
    void release(TimePoint now, Outbox &outbox);
    void setKnown(ConfigurationPointer configuration);
    ConfigurationPointer onAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    // Calls `status` for the summary only if this node holds the lease and a write may be due.
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

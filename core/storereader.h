#ifndef CACTUSDECK_CORE_STOREREADER_H
#define CACTUSDECK_CORE_STOREREADER_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/configuration.h"
#include "core/storecalls.h"

// Reads configuration versions from the store while active. Only a few balancers are active
// readers; the other nodes get versions from peers.
//
//     StoreReader reader(calls);
//     reader.setActive(isAmongReaders, now, outbox);
//     reader.setKnown(spread.current());            // whenever the node adopts a version
//     if (ConfigurationPointer found = reader.onAnswer(answer, now, outbox))
//         spread.adopt(found, now, outbox);
//     if (ConfigurationPointer found = reader.onTimer(now, outbox))
//         spread.adopt(found, now, outbox);
//
// The head is read once and then watched. A version is returned when all of its service objects
// have been fetched and verified; contracts that are already known aren't fetched again. If the
// head or a service object is malformed, this is logged and the version is never returned.

namespace cactusdeck {

class StoreReader
{
public:
    explicit StoreReader(StoreCalls &calls);

    void setActive(bool active, TimePoint now, Outbox &outbox);
    bool isActive() const { return this->active; }
    // Sets the newest configuration of this node. Heads that aren't newer are ignored.
    void setKnown(ConfigurationPointer configuration);

    // Each returns a complete version newer than the known one, which becomes the known one, or
    // null.
    ConfigurationPointer onAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    ConfigurationPointer onTimer(TimePoint now, Outbox &outbox);

    // Whether the store answered the last call for the head; false during an outage.
    bool isStoreReachable() const { return this->reachable; }

private:
    struct Fetch
    {
        StoreSlot slot;
        std::optional<ServiceName> service;
    };

    StoreSlot headSlot;
    std::vector<Fetch> fetches;
    bool active = false;
    bool reachable = false;
    std::optional<std::uint64_t> headObjectVersion; // store version of the head that was read last
    ConfigurationPointer known;
    std::optional<ConfigurationHead> wanted; // head of the version that is being fetched
    std::map<std::string, ContractPointer> fetched; // by hash

    void onHead(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    void onHeadValue(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    void onObject(Fetch &fetch, const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    void rejectWanted(const std::string &reason, Outbox &outbox);
    void stopFetching();
    void sendHeadCall(TimePoint now, Outbox &outbox);
    void assignFetches();
    void sendFetches(TimePoint now, Outbox &outbox);
    ContractPointer findContract(const ServiceName &service, const std::string &hash) const;
    bool isFetching(const ServiceName &service) const;
    // Returns the wanted version if all of its contracts are available, else null.
    ConfigurationPointer buildIfComplete(Outbox &outbox);
    ConfigurationPointer advance(TimePoint now, Outbox &outbox);
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_STOREREADER_H

#ifndef CACTUSDECK_CORE_STOREREADER_H
#define CACTUSDECK_CORE_STOREREADER_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/configuration.h"
#include "core/storecalls.h"

// Reads configuration versions from the store. Only the nodes that are told so read.
//
//     StoreReader reader(calls);
//     reader.setActive(isAmongReaders, now, outbox);
//     reader.setKnown(spread.current());            // whenever the node adopts a version
//     if (ConfigurationPointer found = reader.onAnswer(answer, now, outbox))
//         spread.adopt(found, now, outbox);
//     if (ConfigurationPointer found = reader.onTimer(now, outbox))
//         spread.adopt(found, now, outbox);
//
// The head is read once and then watched. A version is handed on when all of its service objects
// were fetched and verified; what is already known isn't fetched again. A malformed head or service
// object is logged and the version is never handed on.

namespace cactusdeck {

class StoreReader
{
public:
    explicit StoreReader(StoreCalls &calls);

    void setActive(bool active, TimePoint now, Outbox &outbox);
    bool isActive() const { return this->active; }
    // The newest configuration of this node. Older and equal heads are ignored.
    void setKnown(ConfigurationPointer configuration);

    // A complete version that is newer than the known one, or null. The version then counts as
    // known.
    ConfigurationPointer onAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    ConfigurationPointer onTimer(TimePoint now, Outbox &outbox);

    // Whether the last head call was answered; false in an outage.
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
    std::optional<ConfigurationHead> wanted; // being fetched
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
    // The wanted version, when all of its contracts are there.
    ConfigurationPointer buildIfComplete(Outbox &outbox);
    ConfigurationPointer advance(TimePoint now, Outbox &outbox);
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_STOREREADER_H

#ifndef CACTUSDECK_NODE_OPERATORCHANGE_H
#define CACTUSDECK_NODE_OPERATORCHANGE_H

#include <functional>
#include <string>
#include <vector>

#include "core/publisher.h"
#include "node/operatorcommand.h"
#include "node/storeclient.h"

// Changes of the configuration through the store.
//
//     BOOST_LEAF_AUTO(contracts, loadDirectory("contracts"));
//     PublishOutcome outcome = makeChange(store, options, [&](Publisher &p, TimePoint now,
//                                                             Outbox &outbox) {
//         p.publish(contracts, now, outbox);
//     });

namespace cactusdeck {

// Parses the files and checks them against each other. All faults are reported, one line each.
Result<std::vector<ServiceContract>> loadContracts(const std::vector<std::string> &files);
// The same for all *.json files of a directory, sorted by name.
Result<std::vector<ServiceContract>> loadDirectory(const std::string &directory);

using StartChange = std::function<void(Publisher &, TimePoint, Outbox &)>;

// Runs a Publisher until it has an outcome.
PublishOutcome makeChange(Endpoint store, PublisherOptions options, const StartChange &start);

// Reads the head once. StoreUnavailable or StoreTimeout without an answer; version 0 when nothing
// was ever published.
Result<ConfigurationHead> readHead(Endpoint store);

// What publishing the contracts would change.
ContractDiff diffAgainst(const ConfigurationHead &head,
                         const std::vector<ServiceContract> &contracts);

// 128 random bits in hexadecimal.
std::string makeChangeId();

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_OPERATORCHANGE_H

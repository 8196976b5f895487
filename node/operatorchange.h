#ifndef CACTUSDECK_NODE_OPERATORCHANGE_H
#define CACTUSDECK_NODE_OPERATORCHANGE_H

#include <functional>
#include <string>
#include <vector>

#include "core/publisher.h"
#include "node/operatorcommand.h"
#include "node/storeclient.h"

// Loads service contracts and changes the configuration in the store.
//
//     BOOST_LEAF_AUTO(contracts, loadDirectory("contracts"));
//     PublishOutcome outcome = makeChange(store, options, [&](Publisher &p, TimePoint now,
//                                                             Outbox &outbox) {
//         p.publish(contracts, now, outbox);
//     });

namespace cactusdeck {

// Parses the files and checks the contracts against each other. The error message has one line for
// each fault.
Result<std::vector<ServiceContract>> loadContracts(const std::vector<std::string> &files);
// Does the same with all *.json files of a directory, sorted by name.
Result<std::vector<ServiceContract>> loadDirectory(const std::string &directory);

// Starts one change, for example by calling Publisher::publish.
using StartChange = std::function<void(Publisher &, TimePoint, Outbox &)>;

// Starts a change and runs its Publisher, with calls to the store, until it has an outcome.
PublishOutcome makeChange(Endpoint store, PublisherOptions options, const StartChange &start);

// Reads the configuration head without retries. Fails with StoreUnavailable or StoreTimeout if the
// store does not answer. Returns a head with version 0 if nothing was ever published.
Result<ConfigurationHead> readHead(Endpoint store);

// Returns the services that publishing the contracts would add, change or remove.
ContractDiff diffAgainst(const ConfigurationHead &head,
                         const std::vector<ServiceContract> &contracts);

// Returns 128 random bits in hexadecimal.
std::string makeChangeId();

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_OPERATORCHANGE_H

#ifndef CACTUSDECK_NODE_STORECLIENT_H
#define CACTUSDECK_NODE_STORECLIENT_H

#include <chrono>
#include <memory>

#include "core/outbox.h"
#include "core/types.h"

// Blocking HTTP client for the object store. The protocol is in docs/design.md, section 8.
//
//     StoreClient client({ .store = endpoint });
//     StoreAnswer answer = client.call({ .operation = StoreOperation::Get, .key = "config/head" });
//
// The status of the answer:
// - Unavailable: the call had no effect, because there was no connection or the store refused it.
// - Timeout: a Put may have taken effect. The client does not repeat it; the caller finds out by
//   reading the object.
// - Ok with the version given in the call, for a Watch: nothing changed within watchTimeout.
//
// call() may run on several threads at the same time.

namespace cactusdeck {

struct StoreClientOptions
{
    Endpoint store;
    std::chrono::milliseconds connectTimeout{ 1000 };
    // Longer than the state machines wait for an answer, so that their backoff determines when a
    // call is repeated.
    std::chrono::milliseconds readTimeout{ 10000 };
    std::chrono::milliseconds watchTimeout{ 10000 };
};

class StoreClient
{
public:
    explicit StoreClient(StoreClientOptions options);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    StoreAnswer call(const StoreCall &call);
    // Makes calls in progress end with Timeout, and later calls with Unavailable.
    void cancel();

private:
    struct Parts;

    std::unique_ptr<Parts> parts;
};

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_STORECLIENT_H

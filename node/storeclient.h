#ifndef CACTUSDECK_NODE_STORECLIENT_H
#define CACTUSDECK_NODE_STORECLIENT_H

#include <chrono>
#include <memory>

#include "core/outbox.h"
#include "core/types.h"

// Blocking calls to the object store over HTTP; the protocol is in docs/design.md, section 8.
//
//     StoreClient client({ .store = endpoint });
//     StoreAnswer answer = client.call({ .operation = StoreOperation::Get, .key = "config/head" });
//
// The status of the answer:
// - Unavailable: the call had no effect; no connection, or the store refused it.
// - Timeout: a Put may have taken effect. It is never repeated here; the caller reads it back.
// - Ok with the version of the call, for a Watch: nothing changed within watchTimeout.
//
// call() may run on several threads at the same time.

namespace cactusdeck {

struct StoreClientOptions
{
    Endpoint store;
    std::chrono::milliseconds connectTimeout{ 1000 };
    // Longer than the state machines wait, so that their backoff decides.
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
    // Ends calls in progress with Timeout and later ones with Unavailable.
    void cancel();

private:
    struct Parts;

    std::unique_ptr<Parts> parts;
};

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_STORECLIENT_H

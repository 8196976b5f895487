#ifndef CACTUSDECK_CORE_OUTBOX_H
#define CACTUSDECK_CORE_OUTBOX_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "core/message.h"
#include "core/types.h"

// Actions requested by a state machine. Event handlers append to an Outbox. The caller, a daemon or
// a simulated scenario, performs the actions in order and passes the answers back as events.
//
//     Outbox outbox;
//     balancer.onTimer(now, outbox);
//     for (const ControlSend &send : outbox.control)
//         ...
//
// Packets do not go through the outbox: they are passed to a DataSink without being copied.

namespace cactusdeck {

struct ControlSend
{
    Endpoint to;
    ControlMessage message;
};

enum class StoreOperation : std::uint8_t { Get, Put, Watch };

// A call to the platform's object service.
struct StoreCall
{
    std::uint64_t id = 0; // chosen by the caller, returned in the answer
    StoreOperation operation = StoreOperation::Get;
    std::string key;
    std::string value; // Put
    // Put: the version of the object to replace, or 0 if the object must not exist yet.
    // Watch: the call is answered as soon as the object's version differs from this one.
    std::uint64_t version = 0;
};

enum class StoreStatus : std::uint8_t { Ok, NotFound, Conflict, Unavailable, Timeout };

struct StoreAnswer
{
    std::uint64_t id = 0;
    StoreStatus status = StoreStatus::Ok;
    std::string key;
    std::string value;
    std::uint64_t version = 0; // of the object; on Conflict the version found in the store
};

enum class Level : std::uint8_t { Debug, Info, Warning, Error };

// One log line: "event=<name> key=value ...".
struct Event
{
    Level level = Level::Info;
    const char *name = "";
    std::vector<std::pair<const char *, std::string>> fields;
};

struct Outbox
{
    std::vector<ControlSend> control;
    std::vector<StoreCall> store;
    std::vector<Event> events;

    void send(Endpoint to, ControlMessage message)
    {
        this->control.push_back({ to, std::move(message) });
    }
    void clear()
    {
        this->control.clear();
        this->store.clear();
        this->events.clear();
    }
};

// Receives the packets and frames that an agent or balancer sends. The bytes are valid only during
// the call.
class DataSink
{
public:
    virtual ~DataSink() = default;
    // An IP packet for the backend server.
    virtual void toServer(std::span<const std::uint8_t> packet) = 0;
    // An IP packet for a caller.
    virtual void toFabric(std::span<const std::uint8_t> packet) = 0;
    // A frame for another node: header, then packet (empty for replies).
    virtual void toNode(Endpoint to, std::span<const std::uint8_t> header,
                        std::span<const std::uint8_t> packet) = 0;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_OUTBOX_H

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

// What a state machine wants done. Event handlers append to an Outbox; the shell or the scenario
// carries it out in order and feeds answers back as events.
//
//     Outbox outbox;
//     balancer.onTimer(now, outbox);
//     for (const ControlSend &send : outbox.control)
//         ...
//
// Packets don't pass through the outbox: they go to a DataSink without being copied.

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
    // Put: the object's version that is replaced, 0 if it must not exist yet.
    // Watch: answers as soon as the object's version differs from this.
    std::uint64_t version = 0;
};

enum class StoreStatus : std::uint8_t { Ok, NotFound, Conflict, Unavailable, Timeout };

struct StoreAnswer
{
    std::uint64_t id = 0;
    StoreStatus status = StoreStatus::Ok;
    std::string key;
    std::string value;
    std::uint64_t version = 0; // of the object; on Conflict the version that is there
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

// Where an agent or balancer puts packets. The bytes are valid only during the call.
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

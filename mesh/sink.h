#ifndef CACTUSDECK_MESH_SINK_H
#define CACTUSDECK_MESH_SINK_H

#include <cstdint>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "core/outbox.h"
#include "core/types.h"

// The output interface of the state machines in mesh/: packets, messages and log lines to send.
// Byte spans passed to it are valid only during the call.

namespace cactusdeck::mesh {

using EventFields = std::vector<std::pair<const char *, std::string>>;

class Sink
{
public:
    virtual ~Sink() = default;
    // A packet for the backend server beside an agent.
    virtual void toServer(std::span<const std::uint8_t> packet) = 0;
    // A packet for a caller. Only the caller's address is used; the platform determines the port.
    virtual void toCaller(Endpoint caller, std::span<const std::uint8_t> packet) = 0;
    // A frame (header, then packet) or a control message (packet is empty) for another node.
    virtual void toNode(Endpoint node, std::span<const std::uint8_t> header,
                        std::span<const std::uint8_t> packet) = 0;
    // Writes one log line. The process around the state machine limits the lines per second.
    virtual void log(Level level, const char *name, EventFields fields) = 0;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_SINK_H

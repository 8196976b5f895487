#ifndef CACTUSDECK_MESH_SINK_H
#define CACTUSDECK_MESH_SINK_H

#include <cstdint>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "core/outbox.h"
#include "core/types.h"

// Where the state machines of mesh/ put what they want done. Bytes are valid only during the call.

namespace cactusdeck::mesh {

using EventFields = std::vector<std::pair<const char *, std::string>>;

class Sink
{
public:
    virtual ~Sink() = default;
    // A packet for the backend server beside an agent.
    virtual void toServer(std::span<const std::uint8_t> packet) = 0;
    // A packet for a caller. Only the address counts; the platform fixes the port.
    virtual void toCaller(Endpoint caller, std::span<const std::uint8_t> packet) = 0;
    // A frame (header, then packet) or a control message (packet is empty) for another node.
    virtual void toNode(Endpoint node, std::span<const std::uint8_t> header,
                        std::span<const std::uint8_t> packet) = 0;
    // One log line. The shell bounds the lines a second.
    virtual void log(Level level, const char *name, EventFields fields) = 0;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_SINK_H

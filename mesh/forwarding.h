#ifndef CACTUSDECK_MESH_FORWARDING_H
#define CACTUSDECK_MESH_FORWARDING_H

#include <cstdint>
#include <span>

#include "core/frame.h"
#include "mesh/sink.h"

namespace cactusdeck::mesh {

// Sends a packet in a frame to the first of the agents. The others are its next hops, as far as
// they fit into a frame.
//
//     sendAlong({ .flags = frameflag::probe, .replyTo = balancer }, agents, segment.bytes, sink);
void sendToHops(ForwardFrame frame, std::span<const Endpoint> agents,
                std::span<const std::uint8_t> packet, Sink &sink);

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_FORWARDING_H

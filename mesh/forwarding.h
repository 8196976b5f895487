#ifndef CACTUSDECK_MESH_FORWARDING_H
#define CACTUSDECK_MESH_FORWARDING_H

#include <cstdint>
#include <span>

#include "core/frame.h"
#include "mesh/sink.h"

namespace cactusdeck::mesh {

// Sends a packet in a forward frame to the first of the agents. The frame lists up to maxHops of
// the agents as hops; an agent that cannot take the packet passes it to the next one.
//
//     sendToHops({ .flags = frameflag::probe, .replyTo = balancer }, agents, segment.bytes, sink);
void sendToHops(ForwardFrame frame, std::span<const Endpoint> agents,
                std::span<const std::uint8_t> packet, Sink &sink);

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_FORWARDING_H

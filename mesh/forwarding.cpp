#include "mesh/forwarding.h"

#include <algorithm>

namespace cactusdeck::mesh {

void sendToHops(ForwardFrame frame, std::span<const Endpoint> agents,
                std::span<const std::uint8_t> packet, Sink &sink)
{
    frame.hopCount = std::uint8_t(std::min(agents.size(), maxHops));
    for (std::size_t i = 0; i < frame.hopCount; ++i)
        frame.hops[i].agent = agents[i];
    FrameBuffer buffer;
    sink.toNode(agents.front(), encodeForward(frame, buffer), packet);
}

} // namespace cactusdeck::mesh

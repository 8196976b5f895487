#ifndef CACTUSDECK_MESH_SEGMENT_H
#define CACTUSDECK_MESH_SEGMENT_H

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/packet.h"

// A packet of a flow without its encoding. The decisions in mesh/ read segments only; how a segment
// lies in a datagram is known to a SegmentCodec.
//
//     std::optional<Segment> segment = codec.parse(datagram);
//     if (segment && segment->isOpening())
//         place(segment->key);

namespace cactusdeck::mesh {

struct Segment
{
    FlowKey key; // as sent: the source is the end that wrote the segment
    std::uint8_t flags = 0; // tcpflag
    std::uint32_t sequence = 0;
    // For an opening segment the number of the copy: 0 for the first one.
    std::uint32_t acknowledgement = 0;
    std::uint32_t payloadLength = 0; // bytes
    bool isBounced = false; // returned by a backend server that does not hold the flow
    std::span<const std::uint8_t> bytes; // as received

    bool has(std::uint8_t flag) const { return (this->flags & flag) != 0; }
    bool isOpening() const { return this->has(tcpflag::syn) && !this->has(tcpflag::ack); }
    bool isOpeningAnswer() const { return this->has(tcpflag::syn) && this->has(tcpflag::ack); }
};

// Reads and writes one encoding of segments.
struct SegmentCodec
{
    // Nothing for a datagram that is truncated or has an unknown form.
    std::optional<Segment> (*parse)(std::span<const std::uint8_t> datagram);
    // The head alone, for questions about a flow; parsing it yields the same key and numbers.
    std::span<const std::uint8_t> (*head)(const Segment &segment);
    // A reset to the caller that wrote the segment.
    std::vector<std::uint8_t> (*resetFor)(const Segment &segment);
    // A bounced packet as its sender wrote it, for another backend server.
    std::vector<std::uint8_t> (*restored)(const Segment &segment);
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_SEGMENT_H

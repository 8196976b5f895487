#ifndef CACTUSDECK_MESH_SEGMENT_H
#define CACTUSDECK_MESH_SEGMENT_H

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/packet.h"

// A packet of a flow, independent of its encoding. The code in mesh/ works on segments only; a
// SegmentCodec translates between segments and datagrams.
//
//     std::optional<Segment> segment = codec.parse(datagram);
//     if (segment && segment->isOpening())
//         place(segment->key);

namespace cactusdeck::mesh {

struct Segment
{
    FlowKey key; // as sent: the source is the end that sent the segment
    std::uint8_t flags = 0; // tcpflag
    std::uint32_t sequence = 0;
    // In an opening segment this field holds the copy number: 0 for the first transmission, 1 for
    // the first retransmission, and so on.
    std::uint32_t acknowledgement = 0;
    std::uint32_t payloadLength = 0; // bytes
    bool isBounced = false; // returned unprocessed by a backend server that does not have the flow
    std::span<const std::uint8_t> bytes; // the whole datagram as received

    bool has(std::uint8_t flag) const { return (this->flags & flag) != 0; }
    bool isOpening() const { return this->has(tcpflag::syn) && !this->has(tcpflag::ack); }
    bool isOpeningAnswer() const { return this->has(tcpflag::syn) && this->has(tcpflag::ack); }
};

// Reads and writes one encoding of segments.
struct SegmentCodec
{
    // Returns nullopt if the datagram is truncated or not a known kind of segment.
    std::optional<Segment> (*parse)(std::span<const std::uint8_t> datagram);
    // Returns the header without the payload, for locate requests. Parsing it yields the same flow
    // key, sequence and acknowledgement numbers.
    std::span<const std::uint8_t> (*head)(const Segment &segment);
    // Builds a reset for the caller that sent the segment.
    std::vector<std::uint8_t> (*resetFor)(const Segment &segment);
    // Rebuilds the original packet from a bounced one, so that it can go to another backend server.
    std::vector<std::uint8_t> (*restored)(const Segment &segment);
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_SEGMENT_H

#ifndef CACTUSDECK_MESH_TESTCODEC_TEST_H
#define CACTUSDECK_MESH_TESTCODEC_TEST_H

#include <cstring>

#include "mesh/segment.h"

// An encoding of segments for tests: the in-memory image of Head, then the payload.

namespace cactusdeck::mesh::test {

struct Head
{
    Endpoint source;
    Endpoint destination;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint32_t length = 0;
    std::uint8_t flags = 0;
    bool isBounced = false;
};

using Bytes = std::vector<std::uint8_t>;

inline Bytes encodeSegment(const Head &head)
{
    Bytes bytes(sizeof head + head.length);
    std::memcpy(bytes.data(), static_cast<const void *>(&head), sizeof head);
    return bytes;
}

inline std::optional<Segment> parseSegment(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < sizeof(Head))
        return std::nullopt;
    Head head;
    std::memcpy(static_cast<void *>(&head), bytes.data(), sizeof head);
    return Segment{ .key = { .source = head.source, .destination = head.destination },
                    .flags = head.flags,
                    .sequence = head.sequence,
                    .acknowledgement = head.acknowledgement,
                    .payloadLength = head.length,
                    .isBounced = head.isBounced,
                    .bytes = bytes };
}

inline Head headOf(const Segment &segment)
{
    return { .source = segment.key.source,
             .destination = segment.key.destination,
             .sequence = segment.sequence,
             .acknowledgement = segment.acknowledgement,
             .length = segment.payloadLength,
             .flags = segment.flags,
             .isBounced = segment.isBounced };
}

inline const SegmentCodec testCodec = {
    .parse = parseSegment,
    .head = [](const Segment &segment) { return segment.bytes.first(sizeof(Head)); },
    .resetFor =
            [](const Segment &segment) {
                return encodeSegment({ .source = segment.key.destination,
                                       .destination = segment.key.source,
                                       .sequence = segment.acknowledgement,
                                       .flags = tcpflag::rst });
            },
    .restored =
            [](const Segment &segment) {
                Head head = headOf(segment);
                head.isBounced = false;
                return encodeSegment(head);
            },
};

} // namespace cactusdeck::mesh::test

#endif // CACTUSDECK_MESH_TESTCODEC_TEST_H

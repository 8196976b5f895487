#ifndef CACTUSDECK_CORE_PACKET_H
#define CACTUSDECK_CORE_PACKET_H

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/types.h"

// Reads and builds IPv4 packets with a TCP or UDP header, through the system's header structs.
//
//     std::optional<PacketView> view = parsePacket(bytes);
//     if (!view)
//         ...                       // truncated, fragmented, not IPv4, or neither TCP nor UDP
//     FlowKey key = view->key;      // source and destination as in the packet's headers
//
// parsePacket never reads past the span and checks all lengths before it reads a field.

namespace cactusdeck {

enum class Protocol : std::uint8_t { Tcp = 6, Udp = 17 };

// Source and destination of a packet. A flow is identified by the key of the caller's packets; for
// a packet from the server, reversed() gives the key of its flow.
struct FlowKey
{
    Endpoint source;
    Endpoint destination;
    Protocol protocol = Protocol::Tcp;

    auto operator<=>(const FlowKey &) const = default;
    FlowKey reversed() const { return { this->destination, this->source, this->protocol }; }
};

// 64-bit hash that all nodes compute alike.
std::uint64_t hashOf(const FlowKey &key);
std::string toString(const FlowKey &key);

inline Bucket bucketOf(std::uint64_t flowHash)
{
    return Bucket(flowHash % bucketCount);
}

namespace tcpflag {
inline constexpr std::uint8_t fin = 0x01;
inline constexpr std::uint8_t syn = 0x02;
inline constexpr std::uint8_t rst = 0x04;
inline constexpr std::uint8_t psh = 0x08;
inline constexpr std::uint8_t ack = 0x10;
} // namespace tcpflag

struct PacketView
{
    FlowKey key;
    std::span<const std::uint8_t> bytes; // the whole IP packet
    std::span<const std::uint8_t> payload;
    // TCP only.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint8_t flags = 0;

    bool has(std::uint8_t flag) const { return (this->flags & flag) != 0; }
    // True for a SYN without ACK, the first packet of a TCP flow. The first packet of a UDP flow
    // can't be told from later ones.
    bool isSyn() const
    {
        return this->key.protocol == Protocol::Tcp && this->has(tcpflag::syn)
               && !this->has(tcpflag::ack);
    }
    // Number of sequence numbers that the segment occupies: one for each byte of payload and one
    // each for SYN and FIN.
    std::uint32_t sequenceLength() const
    {
        return std::uint32_t(this->payload.size()) + (this->has(tcpflag::syn) ? 1 : 0)
               + (this->has(tcpflag::fin) ? 1 : 0);
    }
};

std::optional<PacketView> parsePacket(std::span<const std::uint8_t> bytes);

struct PacketOptions
{
    FlowKey key;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint8_t flags = 0;
    std::span<const std::uint8_t> payload = {};
};

// Builds a packet with valid checksums.
std::vector<std::uint8_t> buildPacket(const PacketOptions &options);

// Builds the TCP reset with which a host without the connection answers the packet (RFC 9293,
// section 3.10.7.1).
std::vector<std::uint8_t> buildResetFor(const PacketView &view);

// True if sequence number a is before b, modulo 2^32.
inline bool isBefore(std::uint32_t a, std::uint32_t b)
{
    return std::int32_t(a - b) < 0;
}

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_PACKET_H

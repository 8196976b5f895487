#include "core/packet.h"

#include <cstring>

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>
#include <xxhash.h>

namespace cactusdeck {

namespace {

constexpr std::size_t minIpHeader = 20; // bytes
constexpr std::size_t minTcpHeader = 20; // bytes
constexpr std::size_t udpHeaderSize = 8; // bytes
constexpr std::uint16_t fragmentMask = 0x3FFF; // more-fragments flag and fragment offset

std::uint32_t sumOf(std::span<const std::uint8_t> bytes, std::uint32_t sum)
{
    for (std::size_t i = 0; i + 1 < bytes.size(); i += 2)
        sum += std::uint32_t(bytes[i]) << 8 | bytes[i + 1];
    if (bytes.size() % 2 != 0)
        sum += std::uint32_t(bytes.back()) << 8;
    return sum;
}

std::uint16_t checksumOf(std::uint32_t sum)
{
    while (sum >> 16 != 0)
        sum = (sum & 0xFFFF) + (sum >> 16);
    return std::uint16_t(~sum);
}

// Sum over the IPv4 pseudo header that TCP and UDP checksums cover.
std::uint32_t pseudoHeaderSum(const FlowKey &key, std::size_t length)
{
    const std::uint32_t source = key.source.address;
    const std::uint32_t destination = key.destination.address;
    return (source >> 16) + (source & 0xFFFF) + (destination >> 16) + (destination & 0xFFFF)
           + std::uint32_t(key.protocol) + std::uint32_t(length);
}

} // namespace

std::uint64_t hashOf(const FlowKey &key)
{
    // The fields are copied without the struct's padding, whose bytes are undefined.
    std::uint8_t bytes[13];
    std::memcpy(bytes, &key.source.address, 4);
    std::memcpy(bytes + 4, &key.destination.address, 4);
    std::memcpy(bytes + 8, &key.source.port, 2);
    std::memcpy(bytes + 10, &key.destination.port, 2);
    bytes[12] = std::uint8_t(key.protocol);
    return XXH3_64bits(bytes, sizeof bytes);
}

std::string toString(const FlowKey &key)
{
    return toString(key.source) + ">" + toString(key.destination)
           + (key.protocol == Protocol::Tcp ? "/tcp" : "/udp");
}

std::optional<PacketView> parsePacket(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < minIpHeader)
        return std::nullopt;
    iphdr ip{};
    std::memcpy(&ip, bytes.data(), sizeof ip);
    const std::size_t headerSize = std::size_t(ip.ihl) * 4;
    const std::size_t totalSize = ntohs(ip.tot_len);
    if (ip.version != 4 || headerSize < minIpHeader || totalSize < headerSize
        || totalSize > bytes.size())
        return std::nullopt;
    // Only the first fragment has the ports, so fragments can't be assigned to a flow. They aren't
    // expected: the fabric reassembles them, or path MTU discovery avoids them.
    if ((ntohs(ip.frag_off) & fragmentMask) != 0)
        return std::nullopt;
    PacketView view;
    view.bytes = bytes.first(totalSize);
    view.key.source.address = ntohl(ip.saddr);
    view.key.destination.address = ntohl(ip.daddr);
    const auto segment = view.bytes.subspan(headerSize);
    if (ip.protocol == IPPROTO_TCP) {
        if (segment.size() < minTcpHeader)
            return std::nullopt;
        tcphdr tcp{};
        std::memcpy(&tcp, segment.data(), sizeof tcp);
        const std::size_t tcpSize = std::size_t(tcp.doff) * 4;
        if (tcpSize < minTcpHeader || tcpSize > segment.size())
            return std::nullopt;
        view.key.protocol = Protocol::Tcp;
        view.key.source.port = ntohs(tcp.source);
        view.key.destination.port = ntohs(tcp.dest);
        view.sequence = ntohl(tcp.seq);
        view.acknowledgement = ntohl(tcp.ack_seq);
        view.flags = segment[13];
        view.payload = segment.subspan(tcpSize);
        return view;
    }
    if (ip.protocol == IPPROTO_UDP) {
        if (segment.size() < udpHeaderSize)
            return std::nullopt;
        udphdr udp{};
        std::memcpy(&udp, segment.data(), sizeof udp);
        const std::size_t udpSize = ntohs(udp.len);
        if (udpSize < udpHeaderSize || udpSize > segment.size())
            return std::nullopt;
        view.key.protocol = Protocol::Udp;
        view.key.source.port = ntohs(udp.source);
        view.key.destination.port = ntohs(udp.dest);
        view.payload = segment.subspan(udpHeaderSize, udpSize - udpHeaderSize);
        return view;
    }
    return std::nullopt;
}

std::vector<std::uint8_t> buildPacket(const PacketOptions &options)
{
    const bool isTcp = options.key.protocol == Protocol::Tcp;
    const std::size_t headerSize = isTcp ? minTcpHeader : udpHeaderSize;
    const std::size_t segmentSize = headerSize + options.payload.size();
    std::vector<std::uint8_t> bytes(minIpHeader + segmentSize);

    iphdr ip{};
    ip.version = 4;
    ip.ihl = minIpHeader / 4;
    ip.tot_len = htons(std::uint16_t(bytes.size()));
    ip.ttl = 64;
    ip.protocol = std::uint8_t(options.key.protocol);
    ip.saddr = htonl(options.key.source.address);
    ip.daddr = htonl(options.key.destination.address);
    std::memcpy(bytes.data(), &ip, sizeof ip);
    ip.check = htons(checksumOf(sumOf(std::span(bytes).first(minIpHeader), 0)));
    std::memcpy(bytes.data(), &ip, sizeof ip);

    const auto segment = std::span(bytes).subspan(minIpHeader);
    if (!options.payload.empty())
        std::memcpy(segment.data() + headerSize, options.payload.data(), options.payload.size());
    const auto checksum = [&] {
        return htons(checksumOf(sumOf(segment, pseudoHeaderSum(options.key, segmentSize))));
    };
    if (isTcp) {
        tcphdr tcp{};
        tcp.source = htons(options.key.source.port);
        tcp.dest = htons(options.key.destination.port);
        tcp.seq = htonl(options.sequence);
        tcp.ack_seq = htonl(options.acknowledgement);
        tcp.doff = minTcpHeader / 4;
        tcp.window = htons(0xFFFF);
        std::memcpy(segment.data(), &tcp, sizeof tcp);
        segment[13] = options.flags;
        const std::uint16_t sum = checksum();
        std::memcpy(segment.data() + 16, &sum, sizeof sum);
    } else {
        udphdr udp{};
        udp.source = htons(options.key.source.port);
        udp.dest = htons(options.key.destination.port);
        udp.len = htons(std::uint16_t(segmentSize));
        std::memcpy(segment.data(), &udp, sizeof udp);
        const std::uint16_t sum = checksum();
        std::memcpy(segment.data() + 6, &sum, sizeof sum);
    }
    return bytes;
}

std::vector<std::uint8_t> buildResetFor(const PacketView &view)
{
    PacketOptions options{ .key = view.key.reversed() };
    if (view.has(tcpflag::ack)) {
        options.sequence = view.acknowledgement;
        options.flags = tcpflag::rst;
    } else {
        options.acknowledgement = view.sequence + view.sequenceLength();
        options.flags = tcpflag::rst | tcpflag::ack;
    }
    return buildPacket(options);
}

} // namespace cactusdeck

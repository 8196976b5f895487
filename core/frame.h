#ifndef CACTUSDECK_CORE_FRAME_H
#define CACTUSDECK_CORE_FRAME_H

#include <array>
#include <cstdint>
#include <optional>
#include <span>

#include "core/types.h"

// Data frames between balancers and agents: a fixed big-endian header (Boost.Endian), then, in a
// forward frame, the caller's IP packet.
//
//     FrameBuffer buffer;
//     std::span<const std::uint8_t> header = encodeForward(forward, buffer);
//
//     std::optional<ForwardFrame> frame = decodeForward(datagram);   // frame->packet is the rest
//
// Decoders check version, kind and lengths before they read, and return nothing on a mismatch.

namespace cactusdeck {

inline constexpr std::uint8_t frameVersion = 2;
inline constexpr std::size_t maxHops = 8;

enum class FrameKind : std::uint8_t { Forward = 1, Reply = 2, Attach = 3 };

// One candidate agent of a forward frame.
struct Hop
{
    Endpoint agent;
    Incarnation incarnation = 0; // 0: any, for agents of which the sender has no record yet

    bool operator==(const Hop &) const = default;
};

namespace frameflag {
inline constexpr std::uint8_t newFlow = 0x01; // an agent may accept the flow
inline constexpr std::uint8_t replyWanted = 0x02;
inline constexpr std::uint8_t zoneOut = 0x04; // the sender's configuration has the hop's zone out
inline constexpr std::uint8_t locate = 0x08; // a question whether the agent holds the flow
// No agent answered for the flow: the backend server is asked by giving it the packet.
inline constexpr std::uint8_t probe = 0x10;
// An agent that declined the new flow may take it when the caller repeats its packet.
inline constexpr std::uint8_t transientDecline = 0x20;
} // namespace frameflag

struct ForwardFrame
{
    std::uint8_t flags = 0;
    ServiceId service{};
    Bucket bucket = 0;
    TableDigest digest = 0;
    ConfigurationVersion configuration = 0;
    // The wait in its server's queue from which the next hop is the better choice for a new flow.
    std::chrono::milliseconds maxQueueWait{ 0 };
    Endpoint replyTo; // data endpoint of the balancer
    std::uint8_t hopIndex = 0; // the hop that receives this frame
    std::uint8_t hopCount = 0;
    std::array<Hop, maxHops> hops{};
    std::span<const std::uint8_t> packet;

    bool has(std::uint8_t flag) const { return (this->flags & flag) != 0; }
    bool isLastHop() const { return this->hopIndex + 1 >= this->hopCount; }
};

enum class Verdict : std::uint8_t {
    Accepted = 1, // took the new flow
    Owner, // holds the flow
    Declined, // the last hop refused the new flow
    UnknownFlow, // no hop holds the flow; the packet was dropped
    WrongService,
    WrongIncarnation,
    ZoneOut,
    Unsure, // the backend server may hold the flow from before the agent's start
};

struct ReplyFrame
{
    Verdict verdict = Verdict::UnknownFlow;
    ServiceId service{};
    std::uint64_t flowHash = 0;
    Endpoint agent;
    Incarnation incarnation = 0;
    std::uint16_t utilisation = 0; // requests in progress and connections, per 1,024 of the limit
    ConfigurationVersion configuration = 0;
};

inline constexpr std::uint16_t fullUtilisation = 1024;

// Balancer to fabric, every 500 ms while it takes packets; the stand-in for a route announcement.
struct AttachFrame
{
    Endpoint data;
    bool attached = true; // false: withdraw
};

inline constexpr std::size_t maxFrameHeader = 128; // bytes
using FrameBuffer = std::array<std::uint8_t, maxFrameHeader>;

std::optional<FrameKind> frameKindOf(std::span<const std::uint8_t> datagram);

std::span<const std::uint8_t> encodeForward(const ForwardFrame &frame, FrameBuffer &buffer);
std::span<const std::uint8_t> encodeReply(const ReplyFrame &frame, FrameBuffer &buffer);
std::span<const std::uint8_t> encodeAttach(const AttachFrame &frame, FrameBuffer &buffer);

std::optional<ForwardFrame> decodeForward(std::span<const std::uint8_t> datagram);
std::optional<ReplyFrame> decodeReply(std::span<const std::uint8_t> datagram);
std::optional<AttachFrame> decodeAttach(std::span<const std::uint8_t> datagram);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_FRAME_H

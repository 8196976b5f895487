#ifndef CACTUSDECK_CORE_FRAME_H
#define CACTUSDECK_CORE_FRAME_H

#include <array>
#include <cstdint>
#include <optional>
#include <span>

#include "core/types.h"

// Data frames between balancers and agents. A frame is a fixed big-endian header (Boost.Endian). In
// a forward frame the hops and the caller's IP packet follow.
//
//     FrameBuffer buffer;
//     std::span<const std::uint8_t> header = encodeForward(forward, buffer);
//
//     std::optional<ForwardFrame> frame = decodeForward(datagram);   // frame->packet: IP packet
//
// Decoders check version, kind and lengths before they read a field, and return std::nullopt if one
// is wrong.

namespace cactusdeck {

inline constexpr std::uint8_t frameVersion = 3;
inline constexpr std::size_t maxHops = 8;

enum class FrameKind : std::uint8_t { Forward = 1, Reply = 2, Attach = 3 };

// One of the agents that a forward frame is offered to in turn.
struct Hop
{
    Endpoint agent;
    // The run of the agent that is meant; 0 means any, as the sender has no record of the agent
    // yet.
    Incarnation incarnation = 0;

    bool operator==(const Hop &) const = default;
};

namespace frameflag {
inline constexpr std::uint8_t newFlow = 0x01; // an agent may accept the packet as a new flow
inline constexpr std::uint8_t replyWanted = 0x02; // requests a reply frame
// In the sender's configuration the hop's failure domain is out of service.
inline constexpr std::uint8_t zoneOut = 0x04;
inline constexpr std::uint8_t locate = 0x08; // only asks whether the agent holds the flow
// No agent has reported that it holds the flow: the agent delivers the packet, so that the backend
// server's answer shows whether it has the connection.
inline constexpr std::uint8_t probe = 0x10;
// An earlier hop declined the new flow for a transient reason and may accept it when the caller
// retransmits its packet.
inline constexpr std::uint8_t transientDecline = 0x20;
} // namespace frameflag

// What a flow's route states of its requests. The agent decides by it which request its server gets
// next. Zero durations: not stated.
struct RequestTerms
{
    std::uint8_t priority = 0; // 0 is the highest
    std::chrono::milliseconds targetLatency{ 0 };
    std::chrono::milliseconds timeout{ 0 }; // after which the caller gives up

    bool operator==(const RequestTerms &) const = default;
};

struct ForwardFrame
{
    std::uint8_t flags = 0;
    ServiceId service{};
    Bucket bucket = 0;
    TableDigest digest = 0;
    ConfigurationVersion configuration = 0;
    // An agent passes a new flow on to the next hop if the flow's requests would wait longer than
    // this in the queue of its server.
    std::chrono::milliseconds maxQueueWait{ 0 };
    RequestTerms terms; // of the flow's route
    Endpoint replyTo; // data endpoint of the balancer
    std::uint8_t hopIndex = 0; // the hop that receives this frame
    std::uint8_t hopCount = 0;
    std::array<Hop, maxHops> hops{};
    std::span<const std::uint8_t> packet;

    bool has(std::uint8_t flag) const { return (this->flags & flag) != 0; }
    bool isLastHop() const { return this->hopIndex + 1 >= this->hopCount; }
};

enum class Verdict : std::uint8_t {
    Accepted = 1, // the agent accepted the new flow
    Owner, // the agent holds the flow
    Declined, // the last hop declined the new flow
    UnknownFlow, // no hop holds the flow; the packet was dropped
    WrongService,
    WrongIncarnation,
    ZoneOut,
    Unsure, // the backend server may have the connection from before the agent's start
};

struct ReplyFrame
{
    Verdict verdict = Verdict::UnknownFlow;
    ServiceId service{};
    std::uint64_t flowHash = 0;
    Endpoint agent;
    Incarnation incarnation = 0;
    std::uint16_t utilisation = 0; // by requests and connections, in 1/1024 of the limit
    ConfigurationVersion configuration = 0;
};

inline constexpr std::uint16_t fullUtilisation = 1024;

// Sent by a balancer to the fabric every 500 ms while it accepts packets. It stands in for a route
// announcement.
struct AttachFrame
{
    Endpoint data;
    bool attached = true; // false withdraws the route
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

#include "core/frame.h"

#include <algorithm>
#include <cstring>

#include <boost/endian/buffers.hpp>

namespace cactusdeck {

namespace {

using namespace boost::endian;

struct Preamble
{
    big_uint8_buf_t version;
    big_uint8_buf_t kind;
};

struct EndpointField
{
    big_uint32_buf_t address;
    big_uint16_buf_t port;
};

struct HopField
{
    EndpointField agent;
    big_uint32_buf_t incarnation;
};

struct ForwardHeader
{
    Preamble preamble;
    big_uint8_buf_t flags;
    big_uint8_buf_t hopIndex;
    big_uint8_buf_t hopCount;
    big_uint8_buf_t priority;
    big_uint16_buf_t bucket;
    big_uint32_buf_t service;
    big_uint32_buf_t digest;
    big_uint64_buf_t configuration;
    big_uint16_buf_t maxQueueWait; // milliseconds, as all durations
    big_uint16_buf_t targetLatency;
    big_uint16_buf_t timeout;
    EndpointField replyTo;
};

struct ReplyHeader
{
    Preamble preamble;
    big_uint8_buf_t verdict;
    big_uint8_buf_t reserved;
    big_uint32_buf_t service;
    big_uint64_buf_t flowHash;
    EndpointField agent;
    big_uint32_buf_t incarnation;
    big_uint16_buf_t utilisation;
    big_uint64_buf_t configuration;
};

struct AttachHeader
{
    Preamble preamble;
    big_uint8_buf_t attached;
    big_uint8_buf_t reserved;
    EndpointField data;
};

static_assert(sizeof(HopField) == 10 && alignof(HopField) == 1);
static_assert(sizeof(ForwardHeader) + maxHops * sizeof(HopField) <= maxFrameHeader);
static_assert(sizeof(ReplyHeader) <= maxFrameHeader && sizeof(AttachHeader) <= maxFrameHeader);

void write(EndpointField &field, Endpoint endpoint)
{
    field.address = endpoint.address;
    field.port = endpoint.port;
}

Endpoint read(const EndpointField &field)
{
    return { field.address.value(), field.port.value() };
}

void write(Preamble &preamble, FrameKind kind)
{
    preamble.version = frameVersion;
    preamble.kind = std::uint8_t(kind);
}

// Longer durations are sent as the longest that the field can hold, about a minute.
std::uint16_t toField(std::chrono::milliseconds duration)
{
    return std::uint16_t(std::clamp<std::int64_t>(duration.count(), 0, UINT16_MAX));
}

template <typename Header>
bool readHeader(std::span<const std::uint8_t> datagram, FrameKind kind, Header &header)
{
    if (datagram.size() < sizeof header || frameKindOf(datagram) != kind)
        return false;
    std::memcpy(static_cast<void *>(&header), datagram.data(), sizeof header);
    return true;
}

template <typename Header>
std::span<const std::uint8_t> writeHeader(const Header &header, FrameBuffer &buffer)
{
    std::memcpy(buffer.data(), &header, sizeof header);
    return std::span<const std::uint8_t>(buffer).first(sizeof header);
}

} // namespace

std::optional<FrameKind> frameKindOf(std::span<const std::uint8_t> datagram)
{
    if (datagram.size() < sizeof(Preamble) || datagram[0] != frameVersion)
        return std::nullopt;
    if (datagram[1] < std::uint8_t(FrameKind::Forward)
        || datagram[1] > std::uint8_t(FrameKind::Attach))
        return std::nullopt;
    return FrameKind(datagram[1]);
}

std::span<const std::uint8_t> encodeForward(const ForwardFrame &frame, FrameBuffer &buffer)
{
    ForwardHeader header;
    write(header.preamble, FrameKind::Forward);
    header.flags = frame.flags;
    header.hopIndex = frame.hopIndex;
    header.hopCount = frame.hopCount;
    header.priority = frame.terms.priority;
    header.bucket = frame.bucket;
    header.service = std::uint32_t(frame.service);
    header.digest = frame.digest;
    header.configuration = frame.configuration;
    header.maxQueueWait = toField(frame.maxQueueWait);
    header.targetLatency = toField(frame.terms.targetLatency);
    header.timeout = toField(frame.terms.timeout);
    write(header.replyTo, frame.replyTo);
    writeHeader(header, buffer);
    std::size_t size = sizeof header;
    for (std::size_t i = 0; i < frame.hopCount; ++i) {
        HopField hop;
        write(hop.agent, frame.hops[i].agent);
        hop.incarnation = frame.hops[i].incarnation;
        std::memcpy(buffer.data() + size, &hop, sizeof hop);
        size += sizeof hop;
    }
    return std::span<const std::uint8_t>(buffer).first(size);
}

std::span<const std::uint8_t> encodeReply(const ReplyFrame &frame, FrameBuffer &buffer)
{
    ReplyHeader header;
    write(header.preamble, FrameKind::Reply);
    header.verdict = std::uint8_t(frame.verdict);
    header.reserved = 0;
    header.service = std::uint32_t(frame.service);
    header.flowHash = frame.flowHash;
    write(header.agent, frame.agent);
    header.incarnation = frame.incarnation;
    header.utilisation = frame.utilisation;
    header.configuration = frame.configuration;
    return writeHeader(header, buffer);
}

std::span<const std::uint8_t> encodeAttach(const AttachFrame &frame, FrameBuffer &buffer)
{
    AttachHeader header;
    write(header.preamble, FrameKind::Attach);
    header.attached = frame.attached ? 1 : 0;
    header.reserved = 0;
    write(header.data, frame.data);
    return writeHeader(header, buffer);
}

std::optional<ForwardFrame> decodeForward(std::span<const std::uint8_t> datagram)
{
    ForwardHeader header;
    if (!readHeader(datagram, FrameKind::Forward, header))
        return std::nullopt;
    ForwardFrame frame;
    frame.flags = header.flags.value();
    frame.hopIndex = header.hopIndex.value();
    frame.hopCount = header.hopCount.value();
    frame.bucket = header.bucket.value();
    frame.service = ServiceId(header.service.value());
    frame.digest = header.digest.value();
    frame.configuration = header.configuration.value();
    frame.maxQueueWait = std::chrono::milliseconds(header.maxQueueWait.value());
    frame.terms = { .priority = header.priority.value(),
                    .targetLatency = std::chrono::milliseconds(header.targetLatency.value()),
                    .timeout = std::chrono::milliseconds(header.timeout.value()) };
    frame.replyTo = read(header.replyTo);
    const std::size_t size = sizeof header + std::size_t(frame.hopCount) * sizeof(HopField);
    if (frame.hopCount == 0 || frame.hopCount > maxHops || frame.hopIndex >= frame.hopCount
        || frame.bucket >= bucketCount || datagram.size() <= size)
        return std::nullopt;
    for (std::size_t i = 0; i < frame.hopCount; ++i) {
        HopField hop;
        std::memcpy(static_cast<void *>(&hop), datagram.data() + sizeof header + i * sizeof hop,
                    sizeof hop);
        frame.hops[i] = { read(hop.agent), hop.incarnation.value() };
    }
    frame.packet = datagram.subspan(size);
    return frame;
}

std::optional<ReplyFrame> decodeReply(std::span<const std::uint8_t> datagram)
{
    ReplyHeader header;
    if (!readHeader(datagram, FrameKind::Reply, header))
        return std::nullopt;
    const std::uint8_t verdict = header.verdict.value();
    if (verdict < std::uint8_t(Verdict::Accepted) || verdict > std::uint8_t(Verdict::Unsure))
        return std::nullopt;
    return ReplyFrame{
        .verdict = Verdict(verdict),
        .service = ServiceId(header.service.value()),
        .flowHash = header.flowHash.value(),
        .agent = read(header.agent),
        .incarnation = header.incarnation.value(),
        .utilisation = header.utilisation.value(),
        .configuration = header.configuration.value(),
    };
}

std::optional<AttachFrame> decodeAttach(std::span<const std::uint8_t> datagram)
{
    AttachHeader header;
    if (!readHeader(datagram, FrameKind::Attach, header))
        return std::nullopt;
    return AttachFrame{ .data = read(header.data), .attached = header.attached.value() != 0 };
}

} // namespace cactusdeck

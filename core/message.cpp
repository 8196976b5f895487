#include "core/message.h"

#include <tuple>
#include <type_traits>

namespace cactusdeck {

namespace {

using nlohmann::json;

// Messages are encoded as arrays of their fields without names. Names would more than double the
// size of a heartbeat, and control traffic is limited in bytes.

#define CACTUSDECK_FIELDS(Type, ...) \
    auto fieldsOf(auto &m) requires std::is_same_v< \
            std::remove_const_t<std::remove_reference_t<decltype(m)>>, Type> \
    { \
        return std::tie(__VA_ARGS__); \
    }

CACTUSDECK_FIELDS(NodeRecord, m.id, m.role, m.zone, m.data, m.control, m.incarnation, m.sequence,
                  m.liveness, m.phase, m.group, m.weight, m.configuration)
CACTUSDECK_FIELDS(Heartbeat, m.record)
CACTUSDECK_FIELDS(ServiceDigest, m.service, m.digest)
CACTUSDECK_FIELDS(HeartbeatAck, m.monitor, m.incarnation, m.sequence, m.suspected, m.configuration,
                  m.services, m.monitors, m.holdings)
CACTUSDECK_FIELDS(Member, m.id, m.weight)
CACTUSDECK_FIELDS(MembersRequest, m.replyTo, m.service)
CACTUSDECK_FIELDS(Members, m.service, m.digest, m.piece, m.pieces, m.members)
CACTUSDECK_FIELDS(HoldingsReport, m.agent, m.incarnation, m.sequence, m.service, m.digest,
                  m.buckets)
CACTUSDECK_FIELDS(Gossip, m.from, m.configuration, m.repair, m.records, m.holdings)
CACTUSDECK_FIELDS(DigestExchange, m.from, m.replyTo, m.configuration, m.shards, m.answer, m.joining,
                  m.size)
CACTUSDECK_FIELDS(ShardCells, m.shard, m.cells)
CACTUSDECK_FIELDS(ShardRequest, m.replyTo, m.shards)
CACTUSDECK_FIELDS(Probe, m.from, m.replyTo, m.number, m.configuration, m.relayTo)
CACTUSDECK_FIELDS(ProbeAck, m.from, m.incarnation, m.number, m.configuration)
CACTUSDECK_FIELDS(ConfigurationNotice, m.from, m.replyTo, m.version)
CACTUSDECK_FIELDS(ConfigurationRequest, m.replyTo, m.have, m.group)
CACTUSDECK_FIELDS(ConfigurationDelta, m.from, m.to, m.head, m.contracts, m.removed, m.group)

#undef CACTUSDECK_FIELDS

template <typename T>
concept Structure = requires(T &value)
{
    fieldsOf(value);
};

template <typename T>
inline constexpr bool isOptional = false;
template <typename T>
inline constexpr bool isOptional<std::optional<T>> = true;
template <typename T>
inline constexpr bool isVector = false;
template <typename T>
inline constexpr bool isVector<std::vector<T>> = true;

template <typename T>
json encodeValue(const T &value)
{
    if constexpr (std::is_same_v<T, std::vector<std::uint8_t>>) {
        return json::binary(value);
    } else if constexpr (std::is_same_v<T, Endpoint>) {
        return (std::uint64_t(value.address) << 16) | value.port;
    } else if constexpr (isOptional<T>) {
        return value ? encodeValue(*value) : json();
    } else if constexpr (isVector<T>) {
        json array = json::array();
        for (const auto &element : value)
            array.push_back(encodeValue(element));
        return array;
    } else if constexpr (Structure<T>) {
        json array = json::array();
        std::apply([&](const auto &...field) { (array.push_back(encodeValue(field)), ...); },
                   fieldsOf(value));
        return array;
    } else if constexpr (std::is_enum_v<T>) {
        return std::underlying_type_t<T>(value);
    } else {
        return json(value);
    }
}

// Size in bytes of a CBOR item head, which holds a length or an unsigned number.
constexpr std::size_t headSize(std::uint64_t number)
{
    if (number < 24)
        return 1;
    if (number <= UINT8_MAX)
        return 2;
    if (number <= UINT16_MAX)
        return 3;
    return number <= UINT32_MAX ? 5 : 9;
}

template <typename T>
std::size_t sizeOf(const T &value)
{
    if constexpr (std::is_same_v<T, std::vector<std::uint8_t>>) {
        return headSize(value.size()) + value.size();
    } else if constexpr (std::is_same_v<T, Endpoint>) {
        return headSize((std::uint64_t(value.address) << 16) | value.port);
    } else if constexpr (isOptional<T>) {
        return value ? sizeOf(*value) : 1;
    } else if constexpr (isVector<T>) {
        std::size_t size = headSize(value.size());
        for (const auto &element : value)
            size += sizeOf(element);
        return size;
    } else if constexpr (Structure<T>) {
        return std::apply(
                [](const auto &...field) {
                    return headSize(sizeof...(field)) + (sizeOf(field) + ... + 0);
                },
                fieldsOf(value));
    } else if constexpr (std::is_same_v<T, bool>) {
        return 1;
    } else if constexpr (std::is_enum_v<T> || std::is_unsigned_v<T>) {
        return headSize(std::uint64_t(value));
    } else if constexpr (std::is_same_v<T, json>) {
        return json::to_cbor(value).size();
    } else {
        return headSize(value.value.size()) + value.value.size(); // a name
    }
}

// The largest valid value of each enumeration type that occurs in a message. A ServiceId may be any
// number.
constexpr std::uint8_t maxValueOf(Role)
{
    return std::uint8_t(Role::Agent);
}
constexpr std::uint8_t maxValueOf(Liveness)
{
    return std::uint8_t(Liveness::Left);
}
constexpr std::uint8_t maxValueOf(Phase)
{
    return std::uint8_t(Phase::Draining);
}
constexpr std::uint32_t maxValueOf(ServiceId)
{
    return UINT32_MAX;
}

// Reads a number and checks its range, since nlohmann::json truncates silently. Exceptions become
// MalformedPacket errors in decodeMessage.
template <typename T>
T readNumber(const json &value, std::uint64_t largest)
{
    const auto number = value.is_number_unsigned() ? value.get<std::uint64_t>() : UINT64_MAX;
    if (!value.is_number_unsigned() || number > largest)
        throw json::type_error::create(302, "number out of range", &value);
    return T(number);
}

template <typename T>
void decodeValue(const json &value, T &result)
{
    if constexpr (std::is_same_v<T, std::vector<std::uint8_t>>) {
        const auto &bytes = value.get_binary();
        result.assign(bytes.begin(), bytes.end());
    } else if constexpr (std::is_same_v<T, Endpoint>) {
        const auto word = readNumber<std::uint64_t>(value, 0xFFFF'FFFF'FFFFull);
        result = { std::uint32_t(word >> 16), std::uint16_t(word) };
    } else if constexpr (isOptional<T>) {
        if (!value.is_null())
            decodeValue(value, result.emplace());
    } else if constexpr (isVector<T>) {
        if (!value.is_array())
            throw json::type_error::create(302, "not an array", &value);
        result.resize(value.size());
        for (std::size_t i = 0; i < value.size(); ++i)
            decodeValue(value[i], result[i]);
    } else if constexpr (Structure<T>) {
        auto fields = fieldsOf(result);
        if (!value.is_array() || value.size() != std::tuple_size_v<decltype(fields)>)
            throw json::type_error::create(
                    302, "structure is not an array with the expected number of fields", &value);
        std::size_t index = 0;
        std::apply([&](auto &...field) { (decodeValue(value[index++], field), ...); }, fields);
    } else if constexpr (std::is_enum_v<T>) {
        result = readNumber<T>(value, maxValueOf(T()));
    } else if constexpr (std::is_unsigned_v<T> && !std::is_same_v<T, bool>) {
        result = readNumber<T>(value, std::numeric_limits<T>::max());
    } else {
        value.get_to(result);
    }
}

template <std::size_t Index = 0>
ControlMessage decodeAlternative(std::size_t index, const json &value)
{
    if constexpr (Index < std::variant_size_v<ControlMessage>) {
        if (index != Index)
            return decodeAlternative<Index + 1>(index, value);
        std::variant_alternative_t<Index, ControlMessage> message;
        decodeValue(value, message);
        return message;
    } else {
        throw json::type_error::create(302, "unknown message kind", &value);
    }
}

constexpr std::uint8_t messageVersion = 1;

} // namespace

std::vector<std::uint8_t> encodeMessage(const ControlMessage &message)
{
    json envelope = json::array({ messageVersion, message.index() });
    std::visit([&](const auto &value) { envelope.push_back(encodeValue(value)); }, message);
    return json::to_cbor(envelope);
}

std::size_t encodedSize(const ControlMessage &message)
{
    const std::size_t envelope = 2 + headSize(message.index()); // array head, version, kind
    return envelope + std::visit([](const auto &value) { return sizeOf(value); }, message);
}

std::size_t encodedSize(const NodeRecord &record)
{
    return sizeOf(record);
}

std::size_t encodedSize(const HoldingsReport &report)
{
    return sizeOf(report);
}

Result<ControlMessage> decodeMessage(std::span<const std::uint8_t> bytes)
{
    try {
        const json envelope = json::from_cbor(bytes.begin(), bytes.end());
        if (!envelope.is_array() || envelope.size() != 3)
            return fail(ErrorKind::MalformedPacket,
                        "control message: expected an array of version, kind and body");
        if (envelope[0] != messageVersion)
            return fail(ErrorKind::MalformedPacket,
                        "control message: unsupported encoding version");
        return decodeAlternative(readNumber<std::size_t>(envelope[1], 255), envelope[2]);
    } catch (const json::exception &error) {
        return fail(ErrorKind::MalformedPacket, std::string("control message: ") + error.what());
    }
}

} // namespace cactusdeck

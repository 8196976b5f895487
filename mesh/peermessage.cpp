#include "mesh/peermessage.h"

#include <cmath>

#include <nlohmann/json.hpp>

namespace cactusdeck::mesh {

namespace {

using nlohmann::json;

// First byte of a control message; differs from frameVersion, the first byte of data frames.
constexpr std::uint8_t peerMessageTag = 0xC1;
constexpr std::size_t endpointBytes = 6;

json toBytes(const std::vector<Endpoint> &endpoints)
{
    return json::binary(encodeEndpoints(endpoints));
}

std::vector<Endpoint> endpointsFrom(const json &value)
{
    return decodeEndpoints(value.get_binary());
}

std::chrono::milliseconds millisecondsFrom(const json &value)
{
    return std::chrono::milliseconds(value.get<std::int64_t>());
}

// The era is the last element, which messages of an earlier release do not have.
StoreEra eraFrom(const json &message, std::size_t index)
{
    return index < message.size() ? message.at(index).get<StoreEra>() : 0;
}

// Messages without an era have the store's revision in the place of the configuration's version.
// The two must not be compared, so no version is known.
ConfigurationVersion configurationFrom(const json &message, std::size_t index, std::size_t eraIndex)
{
    return eraIndex < message.size() ? message.at(index).get<ConfigurationVersion>() : 0;
}

// A list of the endpoints, then their ages in the same order.
json contactsToJson(const std::vector<PeerSet::Contact> &contacts)
{
    std::vector<Endpoint> endpoints;
    json result = json::array({ nullptr });
    for (const PeerSet::Contact &contact : contacts) {
        endpoints.push_back(contact.balancer);
        result.push_back(contact.age.count());
    }
    result[0] = toBytes(endpoints);
    return result;
}

std::vector<PeerSet::Contact> contactsFrom(const json &value)
{
    std::vector<PeerSet::Contact> contacts;
    const std::vector<Endpoint> endpoints = endpointsFrom(value.at(0));
    for (std::size_t i = 0; i < endpoints.size(); ++i)
        contacts.push_back({ .balancer = endpoints[i], .age = millisecondsFrom(value.at(i + 1)) });
    return contacts;
}

using Holdings = std::bitset<bucketCount>;

constexpr std::size_t bitmapBytes = bucketCount / 8;

// Encodes the buckets as a list of two-byte numbers if that is shorter than a bitmap, otherwise as
// a bitmap. The decoder tells them apart by the size.
std::vector<std::uint8_t> encodeHoldings(const Holdings &holdings)
{
    std::vector<std::uint8_t> bytes;
    const bool isSparse = holdings.count() * 2 < bitmapBytes;
    if (!isSparse)
        bytes.resize(bitmapBytes);
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (!holdings.test(bucket))
            continue;
        if (isSparse)
            bytes.insert(bytes.end(), { std::uint8_t(bucket >> 8), std::uint8_t(bucket) });
        else
            bytes[bucket / 8] = std::uint8_t(bytes[bucket / 8] | (1u << (bucket % 8)));
    }
    return bytes;
}

Holdings holdingsFrom(std::span<const std::uint8_t> bytes)
{
    Holdings holdings;
    if (bytes.size() == bitmapBytes) {
        for (std::size_t bucket = 0; bucket < bucketCount; ++bucket)
            holdings.set(bucket, (bytes[bucket / 8] >> (bucket % 8) & 1) != 0);
        return holdings;
    }
    for (std::size_t i = 0; i + 1 < bytes.size(); i += 2)
        holdings.set(std::size_t((bytes[i] << 8) | bytes[i + 1]) % bucketCount);
    return holdings;
}

// Rates are sent in tenths, since an integer takes a third of the bytes of a floating-point number.
constexpr double rateUnit = 0.1;
constexpr std::size_t routesIndex = 17; // in a report

json routeLoadsToJson(const std::vector<RouteLoad> &loads)
{
    json result = json::array();
    for (const RouteLoad &load : loads)
        result.push_back({ load.route.address, load.route.port, load.flows,
                           std::uint32_t(std::lround(load.requestsPerSecond / rateUnit)),
                           load.serviceTime.count(), load.samples });
    return result;
}

// Agents of an earlier release do not state their routes.
std::vector<RouteLoad> routeLoadsFrom(const json &report)
{
    std::vector<RouteLoad> loads;
    if (report.size() <= routesIndex)
        return loads;
    for (const json &value : report.at(routesIndex))
        loads.push_back({ .route = { value.at(0), value.at(1) },
                          .flows = value.at(2),
                          .requestsPerSecond = value.at(3).get<std::uint32_t>() * rateUnit,
                          .serviceTime = std::chrono::microseconds(value.at(4).get<std::int64_t>()),
                          .samples = value.at(5) });
    return loads;
}

// Messages are encoded as arrays without field names, so that each fits into one small datagram.
// The first element is the index of the message type in PeerMessage.
json toJson(const BalancerHello &hello)
{
    return { 0,
             hello.name,
             hello.zone,
             hello.configuration,
             hello.evacuationsAsOf.revision,
             hello.isStoreReachable,
             hello.isLeaving,
             hello.wantsAnswer,
             hello.isSenderNew,
             hello.isReader,
             hello.knownBalancers,
             hello.interval.count(),
             toBytes(hello.balancers),
             contactsToJson(hello.contacts),
             hello.evacuationsAsOf.era,
             hello.knowsFormerTargets };
}

json toJson(const AgentReport &report)
{
    return { 1,
             report.name,
             report.zone,
             report.service,
             report.serverIncarnation,
             std::uint8_t(report.phase),
             report.isCold,
             report.slots,
             report.flows,
             report.requestsInProgress,
             report.requestsPerSecond,
             report.serviceTime.count(),
             report.responseBytes,
             report.interval.count(),
             report.knownBalancers,
             json::binary(encodeHoldings(report.holdings)),
             report.knowsAllFlows,
             routeLoadsToJson(report.routes) };
}

json toJson(const BalancerNotice &notice)
{
    return { 2,
             notice.configuration,
             notice.evacuationsAsOf.revision,
             notice.isZoneEvacuated,
             notice.limits.connections,
             notice.limits.coldFlowsPerSecond,
             notice.idleTimeout.count(),
             notice.zone,
             toBytes(notice.balancers),
             toBytes(notice.newcomers),
             notice.evacuationsAsOf.era };
}

json toJson(const AgentListQuery &query)
{
    return { 3, query.round, query.digest };
}

json toJson(const AgentListAnswer &answer)
{
    return { 4, answer.round, toBytes(answer.agents) };
}

BalancerHello helloFrom(const json &value)
{
    return { .name = value.at(1),
             .zone = value.at(2),
             .configuration = configurationFrom(value, 3, 14),
             .evacuationsAsOf = { .era = eraFrom(value, 14), .revision = value.at(4) },
             .isStoreReachable = value.at(5),
             .isLeaving = value.at(6),
             .wantsAnswer = value.at(7),
             .isSenderNew = value.at(8),
             .isReader = value.at(9),
             .knownBalancers = value.at(10),
             .interval = millisecondsFrom(value.at(11)),
             .balancers = endpointsFrom(value.at(12)),
             .contacts = contactsFrom(value.at(13)),
             .knowsFormerTargets = value.size() > 15 && value.at(15).get<bool>(),
             .isOfEarlierRelease = value.size() <= 14 };
}

AgentReport reportFrom(const json &value)
{
    const std::uint8_t phase = value.at(5).get<std::uint8_t>();
    return { .name = value.at(1),
             .zone = value.at(2),
             .service = value.at(3),
             .serverIncarnation = value.at(4),
             .phase = phase <= std::uint8_t(ServerPhase::Ended) ? ServerPhase(phase)
                                                                : ServerPhase::Unknown,
             .isCold = value.at(6),
             .slots = value.at(7),
             .flows = value.at(8),
             .requestsInProgress = value.at(9),
             .requestsPerSecond = value.at(10),
             .serviceTime = std::chrono::microseconds(value.at(11).get<std::int64_t>()),
             .responseBytes = value.at(12),
             .interval = millisecondsFrom(value.at(13)),
             .knownBalancers = value.at(14),
             .holdings = holdingsFrom(value.at(15).get_binary()),
             .routes = routeLoadsFrom(value),
             .knowsAllFlows = value.at(16) };
}

BalancerNotice noticeFrom(const json &value)
{
    return { .configuration = configurationFrom(value, 1, 10),
             .evacuationsAsOf = { .era = eraFrom(value, 10), .revision = value.at(2) },
             .isZoneEvacuated = value.at(3),
             .limits = { .connections = value.at(4), .coldFlowsPerSecond = value.at(5) },
             .idleTimeout = millisecondsFrom(value.at(6)),
             .zone = value.at(7),
             .balancers = endpointsFrom(value.at(8)),
             .newcomers = endpointsFrom(value.at(9)) };
}

} // namespace

std::vector<std::uint8_t> encodeEndpoints(const std::vector<Endpoint> &endpoints)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(endpoints.size() * endpointBytes);
    for (const Endpoint &endpoint : endpoints) {
        for (int shift = 24; shift >= 0; shift -= 8)
            bytes.push_back(std::uint8_t(endpoint.address >> shift));
        bytes.push_back(std::uint8_t(endpoint.port >> 8));
        bytes.push_back(std::uint8_t(endpoint.port));
    }
    return bytes;
}

std::vector<Endpoint> decodeEndpoints(std::span<const std::uint8_t> bytes)
{
    std::vector<Endpoint> endpoints;
    for (std::size_t i = 0; i + endpointBytes <= bytes.size(); i += endpointBytes) {
        Endpoint endpoint;
        for (std::size_t j = 0; j < 4; ++j)
            endpoint.address = (endpoint.address << 8) | bytes[i + j];
        endpoint.port = std::uint16_t((bytes[i + 4] << 8) | bytes[i + 5]);
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

bool isPeerMessage(std::span<const std::uint8_t> datagram)
{
    return !datagram.empty() && datagram.front() == peerMessageTag;
}

std::vector<std::uint8_t> encode(const PeerMessage &message)
{
    std::vector<std::uint8_t> bytes = { peerMessageTag };
    json::to_cbor(std::visit([](const auto &value) { return toJson(value); }, message), bytes);
    return bytes;
}

std::optional<PeerMessage> decodePeerMessage(std::span<const std::uint8_t> datagram)
{
    if (!isPeerMessage(datagram))
        return std::nullopt;
    try {
        const json value = json::from_cbor(datagram.begin() + 1, datagram.end());
        switch (value.at(0).get<int>()) {
        case 0:
            return helloFrom(value);
        case 1:
            return reportFrom(value);
        case 2:
            return noticeFrom(value);
        case 3:
            return AgentListQuery{ .round = value.at(1), .digest = value.at(2) };
        case 4:
            return AgentListAnswer{ .round = value.at(1), .agents = endpointsFrom(value.at(2)) };
        default:
            return std::nullopt;
        }
    } catch (const json::exception &) {
        // The calling code counts malformed datagrams and logs their sender.
        return std::nullopt;
    }
}

} // namespace cactusdeck::mesh

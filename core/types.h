#ifndef CACTUSDECK_CORE_TYPES_H
#define CACTUSDECK_CORE_TYPES_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

// Value types used by all modules.
//
//     TimePoint now = ...;                          // passed in; core never reads a clock
//     Endpoint endpoint = parseEndpoint("127.0.0.1:7000").value();
//     ServiceId id = serviceIdOf(ServiceName{ "booking" });

namespace cactusdeck {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

namespace detail {

// A string with a type of its own, so that the compiler rejects, for example, a service name in
// place of a group name.
template <typename Tag>
struct Name
{
    std::string value;

    auto operator<=>(const Name &) const = default;
};

template <typename Tag>
void to_json(nlohmann::json &json, const Name<Tag> &name)
{
    json = name.value;
}

template <typename Tag>
void from_json(const nlohmann::json &json, Name<Tag> &name)
{
    json.get_to(name.value);
}

} // namespace detail

// Identifies a balancer or an agent during the lifetime of its instance.
using NodeId = detail::Name<struct NodeIdTag>;
// A failure domain.
using ZoneName = detail::Name<struct ZoneNameTag>;
using ServiceName = detail::Name<struct ServiceNameTag>;
// A group of backend servers. A service contract lists the groups that carry the service.
using GroupName = detail::Name<struct GroupNameTag>;

// Hash of a service name, which identifies the service in frames. A configuration in which two
// names have the same hash is rejected when it is published.
enum class ServiceId : std::uint32_t {};
ServiceId serviceIdOf(const ServiceName &name);

// Number of a run of a node or server. It rises with every restart, and within a run whenever the
// node refutes a suspicion or a record that declares it dead.
using Incarnation = std::uint32_t;

// Version of the accepted configuration, which never decreases; 0 means that none is known.
using ConfigurationVersion = std::uint64_t;

// Identifies the contents of a placement table: nodes that know the same members and weights
// compute the same digest.
using TableDigest = std::uint32_t;

// Index of a bucket, less than bucketCount. The flows of a service are hashed into buckets, which
// are the units of placement.
using Bucket = std::uint16_t;
inline constexpr std::size_t bucketCount = 1024;

// IPv4 address and port in host byte order.
struct Endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

// "192.0.2.1:80"
std::string toString(Endpoint endpoint);
// The address without the port: "192.0.2.1".
std::string hostOf(Endpoint endpoint);
// Returns false when the text isn't an IPv4 address and a port.
bool parseEndpoint(std::string_view text, Endpoint &endpoint);

void to_json(nlohmann::json &json, const Endpoint &endpoint);
void from_json(const nlohmann::json &json, Endpoint &endpoint);

} // namespace cactusdeck

template <typename Tag>
struct std::hash<cactusdeck::detail::Name<Tag>>
{
    std::size_t operator()(const cactusdeck::detail::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.value);
    }
};

template <>
struct std::hash<cactusdeck::Endpoint>
{
    std::size_t operator()(const cactusdeck::Endpoint &endpoint) const noexcept
    {
        const std::uint64_t word = (std::uint64_t(endpoint.address) << 16) | endpoint.port;
        return std::size_t(word * 0x9E3779B97F4A7C15ull);
    }
};

#endif // CACTUSDECK_CORE_TYPES_H

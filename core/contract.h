#ifndef CACTUSDECK_CORE_CONTRACT_H
#define CACTUSDECK_CORE_CONTRACT_H

#include <chrono>
#include <compare>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/packet.h"
#include "core/types.h"

// A service contract: what a service is, which backend servers may host it, and how its traffic is
// handled.
//
//     Result<ServiceContract> contract = parseContract(text, "booking.json");
//     if (auto checked = checkContracts(contracts); !checked)
//         ...                                         // two contracts conflict
//     std::string text = contractText(*contract);     // what is published
//     std::string hash = contractHash(text);
//
// The format is defined by schema/contract.schema.json. Files may contain comments, which are not
// published.
// Errors are of kind InvalidContract; the message names file, path, value and what was expected,
// one line for each fault.

namespace cactusdeck {

// Whether a failure domain (zone) is in service.
enum class ZoneState : std::uint8_t { In, Out };

// An address that callers use for a service.
struct ServiceAddress
{
    Endpoint endpoint;
    Protocol protocol = Protocol::Tcp;

    auto operator<=>(const ServiceAddress &) const = default;
};

// "198.51.100.10:443/tcp"
std::string toString(ServiceAddress address);
// Returns false unless the text is an IPv4 address other than 0.0.0.0, a port above 0, and "tcp" or
// "udp", in the form that toString gives.
bool parseServiceAddress(std::string_view text, ServiceAddress &address);

struct ServiceContract
{
    ServiceName service;
    ServiceId id{}; // serviceIdOf(service)
    std::string owner;
    std::string description;
    std::vector<ServiceAddress> addresses; // sorted
    std::vector<GroupName> groups; // sorted
    bool idempotent = false; // a request may be executed more than once
    std::uint32_t slots = 1; // upper limit of requests in progress for each backend server
    std::uint32_t connections = 1; // upper limit of open connections for each backend server
    std::uint32_t coldSlots = 1; // upper limit of requests in progress during a cold start
    std::chrono::seconds idleTimeout{ 14400 };
    std::chrono::milliseconds requestDeadline{ 10000 };
    std::chrono::seconds drainDeadline{ 3600 };

    bool operator==(const ServiceContract &) const = default;
};

// The content of schema/contract.schema.json.
extern const std::string_view contractSchemaText;

// The file name is used in error messages only.
Result<ServiceContract> parseContract(std::string_view text, std::string_view file);
Result<ServiceContract> readContract(const nlohmann::json &json, std::string_view file);

// Checks the contracts against each other: service names and addresses must be unique, and no two
// names may have the same ServiceId. Each contract must already be valid, as parseContract ensures.
Result<void> checkContracts(std::span<const ServiceContract> contracts);
Result<void> checkContracts(std::span<const ServiceContract *const> contracts);

nlohmann::json toJson(const ServiceContract &contract);
// Canonical text: equal contracts have equal texts.
std::string contractText(const ServiceContract &contract);
// XXH3-128 of the text, 32 hexadecimal digits.
std::string contractHash(std::string_view text);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_CONTRACT_H

#ifndef CACTUSDECK_CORE_HEAD_H
#define CACTUSDECK_CORE_HEAD_H

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/contract.h"
#include "core/error.h"
#include "core/types.h"

// The store object "config/head": one accepted version, by reference to its service objects.
//
//     Result<ConfigurationHead> head = parseHead(answer.value);
//     std::string text = headText(*head);
//
// A malformed object is refused with InvalidContract; nothing of it is used.

namespace cactusdeck {

inline constexpr std::string_view headKey = "config/head";
std::string serviceKey(const ServiceName &service, std::string_view hash);

// How many change records the head keeps, and how many versions a node keeps to compute deltas.
inline constexpr std::size_t changeHistory = 64;

// One accepted change.
struct ChangeRecord
{
    ConfigurationVersion version = 0;
    std::string changeId;
    std::string author;
    std::chrono::milliseconds time{}; // since the epoch, as told by the publisher
    std::string summary;

    bool operator==(const ChangeRecord &) const = default;
};

struct ConfigurationHead
{
    ConfigurationVersion version = 0; // 0: nothing was ever published
    std::string changeId;
    std::vector<ChangeRecord> changes; // oldest first, the last one made this version
    std::map<ServiceName, std::string> services; // hash of each
    std::map<ZoneName, ZoneState> zones; // those not named are in

    bool operator==(const ConfigurationHead &) const = default;
};

Result<ConfigurationHead> parseHead(std::string_view text);
// The object that travels in a ConfigurationDelta has no "services".
Result<ConfigurationHead> parseHead(const nlohmann::json &json, bool withServices);
nlohmann::json toJson(const ConfigurationHead &head, bool withServices);
std::string headText(const ConfigurationHead &head);

// The record of a change, or null if it is not among the last changeHistory ones.
const ChangeRecord *findChange(const ConfigurationHead &head, std::string_view changeId);
// Adds a record and drops those beyond changeHistory; version and changeId follow the record.
void addChange(ConfigurationHead &head, ChangeRecord record);

std::string_view toString(ZoneState state);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_HEAD_H

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

// The store object "config/head" describes one accepted configuration version. It refers to the
// service objects, which hold the contracts, by their hashes.
//
//     Result<ConfigurationHead> head = parseHead(answer.value);
//     std::string text = headText(*head);
//
// A malformed object is rejected as a whole with InvalidContract.

namespace cactusdeck {

inline constexpr std::string_view headKey = "config/head";
std::string serviceKey(const ServiceName &service, std::string_view hash);

// Number of change records in the head, and of earlier versions that a node keeps to compute
// deltas.
inline constexpr std::size_t changeHistory = 64;

// One accepted change.
struct ChangeRecord
{
    ConfigurationVersion version = 0;
    std::string changeId;
    std::string author;
    std::chrono::milliseconds time{}; // since the Unix epoch, by the publisher's clock
    std::string summary;

    bool operator==(const ChangeRecord &) const = default;
};

struct ConfigurationHead
{
    ConfigurationVersion version = 0; // 0: nothing was ever published
    std::string changeId;
    std::vector<ChangeRecord> changes; // oldest first; the last one created this version
    std::map<ServiceName, std::string> services; // content hash of each service object
    std::map<ZoneName, ZoneState> zones; // zones not listed are in service

    bool operator==(const ConfigurationHead &) const = default;
};

Result<ConfigurationHead> parseHead(std::string_view text);
// The head inside a ConfigurationDelta has no "services" member.
Result<ConfigurationHead> parseHead(const nlohmann::json &json, bool withServices);
nlohmann::json toJson(const ConfigurationHead &head, bool withServices);
std::string headText(const ConfigurationHead &head);

// Returns the record of a change, or null if it is not among the last changeHistory changes.
const ChangeRecord *findChange(const ConfigurationHead &head, std::string_view changeId);
// Appends a record, removes the oldest ones beyond changeHistory, and sets the head's version and
// changeId to those of the record.
void addChange(ConfigurationHead &head, ChangeRecord record);

std::string_view toString(ZoneState state);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_HEAD_H

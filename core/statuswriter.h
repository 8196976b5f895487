#ifndef CACTUSDECK_CORE_STATUSWRITER_H
#define CACTUSDECK_CORE_STATUSWRITER_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/lease.h"
#include "core/storecalls.h"

// Writes the store object "status/fleet" while this node holds the lease.
//
//     StatusWriter writer(calls, lease);
//     writer.update(summaryJson, balancerControlEndpoints);
//     writer.onTimer(now, outbox);
//     writer.onAnswer(answer, now, outbox);
//
//     Result<FleetStatus> fleet = parseFleetStatus(answer.value);    // a joiner reads it
//
// The object is replaced conditionally and names the term of its writer: a writer that finds a
// higher term gives up the lease.

namespace cactusdeck {

inline constexpr std::string_view fleetStatusKey = "status/fleet";
// The object is written at most this often, and only when its content changed.
inline constexpr std::chrono::seconds statusInterval{ 10 };

struct FleetStatus
{
    std::uint64_t term = 0;
    NodeId writer;
    nlohmann::json summary;
    std::vector<Endpoint> balancers; // control endpoints, seeds for joiners
};

Result<FleetStatus> parseFleetStatus(std::string_view text);

class StatusWriter
{
public:
    StatusWriter(StoreCalls &calls, Lease &lease, NodeId writer);

    // summary is JSON text.
    void update(std::string summary, std::vector<Endpoint> balancers);
    void onAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    void onTimer(TimePoint now, Outbox &outbox);

private:
    StoreSlot slot;
    Lease *lease;
    NodeId writer;
    std::string summary;
    std::vector<Endpoint> balancers;
    std::optional<std::uint64_t> objectVersion; // none: must be read first
    std::uint64_t term = 0; // own term when objectVersion was learned
    std::string pendingValue; // value of the write that wasn't answered yet
    std::string writtenValue; // value that the store has, as far as known
    std::optional<TimePoint> writtenAt;

    std::string encode() const;
    void handleAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    void onReadAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    void discardState();
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_STATUSWRITER_H

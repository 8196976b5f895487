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
//     Result<FleetStatus> fleet = parseFleetStatus(answer.value);    // in a node that joins
//
// The object is replaced by conditional writes and contains the lease term of its writer. A writer
// that reads a higher term than its own gives up the lease.

namespace cactusdeck {

inline constexpr std::string_view fleetStatusKey = "status/fleet";
// The object is written at most this often, and only when its content changed.
inline constexpr std::chrono::seconds statusInterval{ 10 };

struct FleetStatus
{
    std::uint64_t term = 0;
    NodeId writer;
    nlohmann::json summary;
    std::vector<Endpoint> balancers; // control endpoints, used as seeds by nodes that join
};

Result<FleetStatus> parseFleetStatus(std::string_view text);

class StatusWriter
{
public:
    StatusWriter(StoreCalls &calls, Lease &lease, NodeId writer);

    // The summary is JSON text.
    void update(std::string summary, std::vector<Endpoint> balancers);
    void onAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    void onTimer(TimePoint now, Outbox &outbox);

private:
    StoreSlot slot;
    Lease *lease;
    NodeId writer;
    std::string summary;
    std::vector<Endpoint> balancers;
    std::optional<std::uint64_t> objectVersion; // none: the object must be read before a write
    std::uint64_t term = 0; // lease term under which objectVersion was read or written
    std::string pendingValue; // value of the last write that was sent
    std::string writtenValue; // value that the store is known to have
    std::optional<TimePoint> writtenAt;

    std::string encode() const;
    void handleAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    void onReadAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    void discardState();
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_STATUSWRITER_H

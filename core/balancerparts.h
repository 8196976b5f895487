#ifndef CACTUSDECK_CORE_BALANCERPARTS_H
#define CACTUSDECK_CORE_BALANCERPARTS_H

#include <array>

#include "core/balancer.h"
#include "core/configspread.h"
#include "core/controlbudget.h"
#include "core/forwarder.h"
#include "core/gossip.h"
#include "core/membership.h"
#include "core/monitor.h"
#include "core/routebuilder.h"
#include "core/storeaccess.h"

// The parts of a Balancer and how events pass between them. Used by balancer.cpp and
// balancerstatus.cpp only.

namespace cactusdeck {

// Counted since start; names in status output are in balancerstatus.cpp.
struct BalancerCounters
{
    std::uint64_t packets = 0;
    std::array<std::uint64_t, routeReasonCount> routes{}; // by RouteReason
    std::uint64_t replies = 0;
    std::uint64_t malformed = 0;
};

struct Balancer::Parts
{
    explicit Parts(BalancerOptions balancerOptions);

    MonitorSources monitorSources();
    void adopt(ConfigurationPointer configuration, TimePoint now, Outbox &outbox);
    void onConfigurationChanged(TimePoint now, Outbox &outbox);
    void onVersionSeen(ConfigurationVersion version, Endpoint from, TimePoint now, Outbox &outbox);
    void onSpreadMessage(const ControlMessage &message, TimePoint now, Outbox &outbox);
    // Runs a call of the spread and charges what it sends to the control budget.
    template <typename Call>
    auto withSpread(TimePoint now, Outbox &outbox, Call call);
    void updatePeers(TimePoint now, Outbox &outbox);
    void attach(TimePoint now, DataSink &sink);
    bool isTakingPackets() const;
    void logRoute(const PacketView &view, RouteReason reason, const ForwardFrame &frame,
                  Outbox &outbox);
    void logDrops(TimePoint now, Outbox &outbox);
    nlohmann::json serviceStatus(const ServiceContract &contract) const;

    BalancerOptions options;
    Forwarder forwarder;
    Membership membership;
    ControlBudget budget;
    GossipSpread gossip;
    Monitor monitor;
    ConfigurationSpread spread;
    RouteBuilder routes;
    StoreAccess duties;
    BalancerCounters counters;
    BalancerCounters logged; // counters of drops at the last log line
    std::uint64_t knownBalancers = 0; // generation
    TimePoint nextAttach{};
    TimePoint nextDependants{};
    TimePoint nextDropLog{};
    TimePoint lastPacket{};
    TimePoint stoppedAt{};
    bool isStopping = false;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_BALANCERPARTS_H

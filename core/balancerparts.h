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

// The private implementation of Balancer: its components, and the functions that pass events
// between them. Used by balancer.cpp and balancerstatus.cpp only.

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
    void onConfigurationMessage(const ControlMessage &message, TimePoint now, Outbox &outbox);
    // Calls call(outbox) for the configuration spread, and sends the resulting messages through the
    // control budget.
    template <typename Call>
    auto chargeToBudget(TimePoint now, Outbox &outbox, Call call);
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
    GossipProtocol gossip;
    Monitor monitor;
    ConfigurationSpread spread;
    RouteBuilder routes;
    StoreAccess storeAccess;
    BalancerCounters counters;
    BalancerCounters loggedCounters; // counters at the last log line about drops
    std::uint64_t appliedBalancerGeneration = 0; // balancerGeneration() at the last updatePeers()
    TimePoint nextAttach{};
    TimePoint nextNotifiedAgentsUpdate{};
    TimePoint nextDropLog{};
    TimePoint lastPacket{};
    TimePoint stoppedAt{};
    bool isStopping = false;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_BALANCERPARTS_H

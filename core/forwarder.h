#ifndef CACTUSDECK_CORE_FORWARDER_H
#define CACTUSDECK_CORE_FORWARDER_H

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/agentregistry.h"
#include "core/flowcache.h"
#include "core/frame.h"
#include "core/packet.h"
#include "core/routingtable.h"

// The packet path of a balancer: chooses the chain of agents to which a packet is offered.
//
//     ForwardFrame frame;
//     const RouteReason reason = forwarder.route(view, now, frame);
//     if (isForwarded(reason))
//         send(frame.hops[0].agent, encodeForward(frame, buffer), view.bytes);
//     forwarder.onReply(reply, now);
//
// route() allocates nothing. A balancer owns no flows: when the owner of a packet's flow isn't
// cached, the chain names every agent that may hold the flow, and each agent forwards the packet to
// the next one until it reaches the owner.

namespace cactusdeck {

enum class RouteReason : std::uint8_t {
    CachedOwner, // the agent that last confirmed the flow
    Lookup, // established flow of unknown owner
    NewFlow,
    RetriedNewFlow, // a SYN that no agent answered in time
    // With the reasons from here on the packet is dropped.
    UnknownService, // no service has the destination address
    NoAgent,
    ZoneOut, // the owner's failure domain was taken out of service
};

inline constexpr std::size_t routeReasonCount = std::size_t(RouteReason::ZoneOut) + 1;

std::string_view nameOf(RouteReason reason);

inline bool isForwarded(RouteReason reason)
{
    return reason < RouteReason::UnknownService;
}

struct ForwarderOptions
{
    Endpoint replyTo; // data endpoint of this balancer
    std::size_t flowCacheEntries = 1 << 20;
};

class Forwarder
{
public:
    // Distinct agents to which a packet is offered, best first.
    struct Chain
    {
        std::array<SlotIndex, maxHops> slots{};
        std::size_t size = 0;

        void add(SlotIndex slot);
    };

    explicit Forwarder(ForwarderOptions forwarderOptions);

    RouteReason route(const PacketView &view, TimePoint now, ForwardFrame &frame);
    void onReply(const ReplyFrame &reply, TimePoint now);

    // Computes the chain that route() would choose now, without side effects.
    RouteReason explain(const PacketView &view, TimePoint now, Chain &chain) const;

    RoutingTable &routing() { return this->routingTable; }
    const RoutingTable &routing() const { return this->routingTable; }
    AgentRegistry &agents() { return this->registry; }
    const AgentRegistry &agents() const { return this->registry; }
    void setConfigurationVersion(ConfigurationVersion version) { this->configuration = version; }

private:
    struct Plan
    {
        RouteReason reason = RouteReason::NoAgent;
        Chain chain;
        bool canBeNew = false;
    };

    const FlowCache::Entry *validEntry(std::uint64_t flowHash) const;
    Plan plan(const ServiceRoute &route, const PacketView &view, Bucket bucket,
              const FlowCache::Entry *entry, TimePoint now) const;
    void planNewFlow(const ServiceRoute &route, Bucket bucket, const FlowCache::Entry *entry,
                     TimePoint now, Plan &plan) const;
    void addHolders(const ServiceRoute &route, Bucket bucket, Chain &chain) const;
    void addHomes(const ServiceRoute &route, Bucket bucket, Chain &chain) const;
    void addIfPresent(SlotIndex slot, Chain &chain) const;
    void updateCache(std::uint64_t flowHash, const Plan &plan, const FlowCache::Entry *entry,
                     TimePoint now, ForwardFrame &frame);
    void markFirstHopResponding(const FlowCache::Entry *entry, TimePoint now);
    void recordNewFlow(std::uint64_t flowHash, SlotIndex first, std::uint32_t stamp, TimePoint now);

    ForwarderOptions options;
    RoutingTable routingTable;
    AgentRegistry registry;
    FlowCache cache;
    // Budget of hops beyond a bucket's two home agents. New flows add to it, and each flow that
    // needed such a hop takes from it.
    double retryTokens;
    ConfigurationVersion configuration = 0;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_FORWARDER_H

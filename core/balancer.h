#ifndef CACTUSDECK_CORE_BALANCER_H
#define CACTUSDECK_CORE_BALANCER_H

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "core/outbox.h"
#include "core/packet.h"
#include "core/placement.h"

// A front-end instance: forwards packets to agents, monitors a share of the agents, and takes part
// in gossip, in the distribution of configurations and in accessing the object store.
//
//     Balancer balancer({ .id = NodeId{ "b1" }, .zone = ..., .seed = 1 });
//     balancer.start(now, outbox);
//     balancer.onPacket(packet, now, sink, outbox);      // from the fabric
//     balancer.onFrame(datagram, now, sink, outbox);     // replies of agents
//     balancer.onControl(message, now, outbox);
//     balancer.onStoreAnswer(answer, now, outbox);
//     balancer.onTimer(now, sink, outbox);               // every tickInterval
//     balancer.stop(now, sink, outbox);                  // SIGTERM
//
// The class does no I/O and reads no clock. The times passed in must not decrease.

namespace cactusdeck {

// How often the owner of a Balancer or an Agent calls onTimer.
inline constexpr std::chrono::milliseconds tickInterval{ 50 };

struct BalancerOptions
{
    NodeId id;
    ZoneName zone;
    Endpoint data;
    Endpoint control;
    Endpoint fabric;
    std::vector<Endpoint> seeds; // control endpoints of other balancers
    Incarnation incarnation = 1; // higher than in any earlier run under this id
    std::uint64_t seed = 0;
    std::size_t flowCacheEntries = 1 << 20; // a power of two; 32 bytes each
    const PlacementStrategy *placement = &weightedRendezvous;
};

class Balancer
{
public:
    explicit Balancer(BalancerOptions options);
    ~Balancer();
    Balancer(Balancer &&) noexcept;
    Balancer &operator=(Balancer &&) noexcept;

    void start(TimePoint now, Outbox &outbox);
    void onPacket(std::span<const std::uint8_t> packet, TimePoint now, DataSink &sink,
                  Outbox &outbox);
    void onFrame(std::span<const std::uint8_t> datagram, TimePoint now, DataSink &sink,
                 Outbox &outbox);
    void onControl(const ControlMessage &message, TimePoint now, Outbox &outbox);
    void onStoreAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    void onTimer(TimePoint now, DataSink &sink, Outbox &outbox);

    // Withdraws from the fabric, and keeps forwarding until no packet has arrived for quietTime or
    // stopLimit has passed; then isStopped() is true.
    void stop(TimePoint now, DataSink &sink, Outbox &outbox);
    bool isStopped(TimePoint now) const;

    // Configuration version in force on this node.
    ConfigurationVersion configurationVersion() const;
    // Services, members, zones, configuration versions of all nodes, and counters. Documented in
    // docs/OPERATIONS.md.
    nlohmann::json status(TimePoint now) const;
    // The chains of agents to which a packet of the flow would be forwarded now, as an established
    // and as a new flow, and the reason for each chain.
    nlohmann::json explain(const FlowKey &key, TimePoint now) const;

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_BALANCER_H

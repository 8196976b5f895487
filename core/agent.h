#ifndef CACTUSDECK_CORE_AGENT_H
#define CACTUSDECK_CORE_AGENT_H

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "core/outbox.h"
#include "core/packet.h"

// The agent of one backend server: owns the server's flows and decides which new flows and requests
// the server gets.
//
//     Agent agent({ .id = NodeId{ "a1" }, .zone = ..., .group = ..., .seed = 1 });
//     agent.start(now, outbox);
//     agent.onFrame(datagram, now, sink, outbox);          // from balancers and other agents
//     agent.onServerPacket(packet, now, sink, outbox);     // from the backend server
//     agent.onServerHealth(health, now, outbox);           // after each health poll
//     agent.onControl(message, now, outbox);
//     agent.onTimer(now, sink, outbox);                    // every tickInterval
//     agent.stop(now, outbox);                             // SIGTERM: drains until isStopped()
//
// The class does no I/O and reads no clock. The times passed in must never decrease.

namespace cactusdeck {

struct AgentOptions
{
    NodeId id;
    ZoneName zone;
    Endpoint data;
    Endpoint control;
    GroupName group;
    std::vector<Endpoint> seeds; // control endpoints of balancers
    Incarnation incarnation = 1; // must be higher than in any earlier run with this id
    std::uint64_t seed = 0;
    // True if the server may still have connections from an earlier run of the agent. The agent
    // then asks the server about flows that it doesn't know, and adopts those that the server has.
    bool serverMayHoldFlows = true;
};

enum class ServerStatus : std::uint8_t { Serving, Cold, Shedding, Draining };

// Result of polling the server's health endpoint. It may be outdated or wrong.
struct ServerHealth
{
    bool reachable = false;
    ServerStatus status = ServerStatus::Serving;
    std::uint64_t startedAt = 0; // changes when the server restarts
    std::uint32_t inProgress = 0;
};

class Agent
{
public:
    explicit Agent(AgentOptions options);
    ~Agent();
    Agent(Agent &&) noexcept;
    Agent &operator=(Agent &&) noexcept;

    void start(TimePoint now, Outbox &outbox);
    void onFrame(std::span<const std::uint8_t> datagram, TimePoint now, DataSink &sink,
                 Outbox &outbox);
    void onServerPacket(std::span<const std::uint8_t> packet, TimePoint now, DataSink &sink,
                        Outbox &outbox);
    void onServerHealth(const ServerHealth &health, TimePoint now, Outbox &outbox);
    void onControl(const ControlMessage &message, TimePoint now, Outbox &outbox);
    void onTimer(TimePoint now, DataSink &sink, Outbox &outbox);

    // Starts draining: the agent accepts no new flows, and keeps established ones until they end or
    // the drain deadline has passed.
    void stop(TimePoint now, Outbox &outbox);
    bool isStopped(TimePoint now) const;

    ConfigurationVersion configurationVersion() const;
    // Flows, limits, admission state, holdings, counters; documented in docs/OPERATIONS.md.
    nlohmann::json status(TimePoint now) const;

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_AGENT_H

#ifndef CACTUSDECK_MESH_PEERMESSAGE_H
#define CACTUSDECK_MESH_PEERMESSAGE_H

#include <bitset>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "core/types.h"
#include "mesh/fleetstate.h"

// Control messages between nodes: one CBOR datagram each, after a byte that tells them from the
// data frames of core/frame.h. A node is addressed by its mesh endpoint, on which it receives both.
//
//     send(peer, encode(BalancerHello{ .name = ..., ... }));
//     if (isPeerMessage(datagram))
//         if (auto message = decodePeerMessage(datagram)) ...

namespace cactusdeck::mesh {

// Balancer to balancer, periodically and when its state has changed.
struct BalancerHello
{
    NodeId name;
    ZoneName zone;
    Revision configuration = 0;
    Revision evacuation = 0;
    bool isStoreReachable = false;
    bool isLeaving = false;
    bool wantsAnswer = false; // the sender is new and asks for a hello in return
    std::vector<Endpoint> balancers; // that the sender has heard of
};

enum class ServerPhase : std::uint8_t {
    Unknown, // no heartbeat since the agent started
    Ready,
    Draining, // keeps its flows, gets no new ones
    Paused, // the agent restarts; the backend server and its flows stay
    Ended, // the backend server is gone for good
};

// Agent to each balancer, periodically and when its state has changed.
struct AgentReport
{
    NodeId name;
    ZoneName zone;
    ServiceName service;
    std::uint64_t serverIncarnation = 0; // identifies one run of the backend server; 0: unknown
    ServerPhase phase = ServerPhase::Unknown;
    bool isCold = false;
    std::uint32_t slots = 1; // requests that the server works on at a time
    std::uint32_t flows = 0;
    double requestsInProgress = 0; // mean of the last seconds
    double requestsPerSecond = 0;
    std::chrono::microseconds serviceTime{ 0 }; // without queueing; 0: not measured yet
    double responseBytes = 0; // mean of one response
    std::chrono::milliseconds interval{ 0 }; // until the next report, at most
    // The buckets in which the server has flows, so that balancers need not ask for others.
    std::bitset<bucketCount> holdings;
    // False if the server may have flows that the agent hasn't seen since its start.
    bool knowsAllFlows = false;
};

// Balancer to agent, in answer to a report and when the state has changed.
struct BalancerNotice
{
    Revision configuration = 0;
    Revision evacuation = 0;
    bool isZoneEvacuated = false; // the agent's zone
    ServiceLimits limits; // of the agent's service
    std::chrono::milliseconds idleTimeout{ 0 };
    std::vector<Endpoint> balancers; // that the sender has heard of, itself included
};

using PeerMessage = std::variant<BalancerHello, AgentReport, BalancerNotice>;

// Endpoints as six bytes each.
std::vector<std::uint8_t> encodeEndpoints(const std::vector<Endpoint> &endpoints);
std::vector<Endpoint> decodeEndpoints(std::span<const std::uint8_t> bytes);

bool isPeerMessage(std::span<const std::uint8_t> datagram);
std::vector<std::uint8_t> encode(const PeerMessage &message);
// Nothing for a message that is malformed or of another version.
std::optional<PeerMessage> decodePeerMessage(std::span<const std::uint8_t> datagram);

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_PEERMESSAGE_H

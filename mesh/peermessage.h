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
#include "mesh/peerset.h"
#include "mesh/requestcost.h"

// Control messages between nodes. Each is one datagram: a tag byte that distinguishes it from the
// data frames of core/frame.h, then CBOR. A node receives both kinds on its mesh endpoint.
//
//     send(peer, encode(BalancerHello{ .name = ..., ... }));
//     if (isPeerMessage(datagram))
//         if (auto message = decodePeerMessage(datagram)) ...

namespace cactusdeck::mesh {

// Sent from balancer to balancer, periodically and when the sender's state has changed.
struct BalancerHello
{
    NodeId name;
    ZoneName zone;
    ConfigurationVersion configuration = 0; // 0: none known
    StorePosition evacuationsAsOf;
    bool isStoreReachable = false;
    bool isLeaving = false;
    bool wantsAnswer = false; // the sender asks for a hello in return
    bool isSenderNew = false; // the sender has just started and needs the reports of all agents
    bool isReader = false; // the sender reads the store
    std::uint32_t knownBalancers = 0;
    std::chrono::milliseconds interval{ 0 }; // longest time until the next hello to this receiver
    // That are live for the sender; only in an answer to a balancer that knows fewer.
    std::vector<Endpoint> balancers;
    std::vector<PeerSet::Contact> contacts; // some of the live balancers, by turns
    // Not stated by balancers of an earlier release.
    bool knowsFormerTargets = false;
    // Decoded only: the sender states no era, and no version of the configuration.
    bool isOfEarlierRelease = false;
};

enum class ServerPhase : std::uint8_t {
    Unknown, // no heartbeat since the agent started
    Ready,
    Draining, // keeps its flows and gets no new ones
    Paused, // the agent is stopping or restarting; the backend server keeps running with its flows
    Ended, // this run of the backend server has ended
};

// Sent from an agent to each balancer, periodically and when the agent's state has changed.
struct AgentReport
{
    NodeId name;
    ZoneName zone;
    ServiceName service;
    std::uint64_t serverIncarnation = 0; // identifies one run of the backend server; 0: unknown
    ServerPhase phase = ServerPhase::Unknown;
    bool isCold = false;
    std::uint32_t slots = 1; // requests that the server processes concurrently
    std::uint32_t flows = 0;
    double requestsInProgress = 0; // mean, weighted towards the last second
    double requestsPerSecond = 0;
    std::chrono::microseconds serviceTime{ 0 }; // without queueing; 0: not measured yet
    double responseBytes = 0; // mean of one response
    std::chrono::milliseconds interval{ 0 }; // longest time until the next report to this receiver
    std::uint32_t knownBalancers = 0;
    // The hash buckets in which the server has flows. Balancers need not ask this agent about flows
    // in other buckets.
    std::bitset<bucketCount> holdings;
    // The busiest routes of the server's flows. Empty if not stated.
    std::vector<RouteLoad> routes;
    // False if the server may have flows from before the agent's start that the agent has not seen.
    bool knowsAllFlows = false;
};

// Sent from a balancer to an agent, in response to a report and when the balancer's state changes.
struct BalancerNotice
{
    ConfigurationVersion configuration = 0; // 0: none known
    StorePosition evacuationsAsOf;
    bool isZoneEvacuated = false; // the agent's zone
    ServiceLimits limits; // of the agent's service
    std::chrono::milliseconds idleTimeout{ 0 };
    ZoneName zone; // of the sender
    // Some or all of the balancers that are live for the sender.
    std::vector<Endpoint> balancers;
    std::vector<Endpoint> newcomers; // have just started and need a report at once
};

// Sent from balancer to balancer: asks which agents the receiver knows.
struct AgentListQuery
{
    std::uint32_t round = 0; // returned in the answer
    std::uint64_t digest = 0; // of the sender's list
};

struct AgentListAnswer
{
    std::uint32_t round = 0;
    std::vector<Endpoint> agents; // empty if the digests are equal
};

using PeerMessage =
        std::variant<BalancerHello, AgentReport, BalancerNotice, AgentListQuery, AgentListAnswer>;

// Each endpoint takes six bytes: address and port in network byte order.
std::vector<std::uint8_t> encodeEndpoints(const std::vector<Endpoint> &endpoints);
std::vector<Endpoint> decodeEndpoints(std::span<const std::uint8_t> bytes);

bool isPeerMessage(std::span<const std::uint8_t> datagram);
std::vector<std::uint8_t> encode(const PeerMessage &message);
// Returns nullopt if the message is malformed or of another version.
std::optional<PeerMessage> decodePeerMessage(std::span<const std::uint8_t> datagram);

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_PEERMESSAGE_H

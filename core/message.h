#ifndef CACTUSDECK_CORE_MESSAGE_H
#define CACTUSDECK_CORE_MESSAGE_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "core/error.h"
#include "core/types.h"

// Control messages between the system's own nodes, encoded as CBOR.
//
//     std::vector<std::uint8_t> bytes = encodeMessage(Probe{ ... });
//     Result<ControlMessage> message = decodeMessage(bytes);
//
// A message of at most maxDatagram bytes travels in one UDP datagram; a larger one goes through the
// receiver's JSON-RPC method "deliver". Senders split messages so that only configuration deltas
// and snapshots exceed a datagram.

namespace cactusdeck {

inline constexpr std::size_t maxDatagram = 1200; // bytes; below the usual MTU with room for headers

enum class Role : std::uint8_t { Balancer, Agent };

// Whether the node is there, in the view of whoever sends the record.
enum class Liveness : std::uint8_t { Alive, Suspect, Dead, Left };

// What a node says of itself.
enum class Phase : std::uint8_t {
    Cold, // new or restarted server: carries only its cold load
    Serving,
    Draining, // takes no new flows, keeps its established ones
};

// Membership record of one node. The higher incarnation wins; within an incarnation Dead and Left
// are final, then the higher sequence wins, then the worse liveness. The configuration does not
// take part: it is known for nodes that this node hears from, and may lag for others.
struct NodeRecord
{
    NodeId id;
    Role role = Role::Balancer;
    ZoneName zone;
    Endpoint data; // frames
    Endpoint control; // control messages, UDP; JSON-RPC listens on the same port over TCP
    Incarnation incarnation = 1;
    std::uint32_t sequence = 0;
    Liveness liveness = Liveness::Alive;
    Phase phase = Phase::Serving;
    GroupName group; // agents only: the group of the backend server
    std::uint16_t weight = 1; // agents only: announced capacity
    ConfigurationVersion configuration = 0; // newest version in force on the node

    bool operator==(const NodeRecord &) const = default;
};

// Agent to monitor, every second and on change.
struct Heartbeat
{
    NodeRecord record;
};

// A service and the digest of its placement table in the sender's view.
struct ServiceDigest
{
    ServiceId service{};
    TableDigest digest = 0;
};

// Monitor to agent.
struct HeartbeatAck
{
    Endpoint monitor; // control endpoint, for requests
    Incarnation incarnation = 0; // of the agent's record in the monitor's table
    std::uint32_t sequence = 0; // likewise
    bool suspected = false; // the agent should refute with a higher incarnation
    ConfigurationVersion configuration = 0;
    std::vector<ServiceDigest> services; // some of those that the agent's group carries, in turn
    std::vector<Endpoint> monitors; // control endpoints that the agent should heartbeat to
    std::uint32_t holdings = 0; // digest of the agent's reports that the monitor has
};

// One member of a placement table.
struct Member
{
    NodeId id;
    std::uint16_t weight = 1;

    bool operator==(const Member &) const = default;
};

// Agent to monitor: asks for the members of a service whose digest differs from its own.
struct MembersRequest
{
    Endpoint replyTo;
    ServiceId service{};
};

// One piece of a member list; a list that fits into a datagram has one piece.
struct Members
{
    ServiceId service{};
    TableDigest digest = 0; // of the complete list
    std::uint16_t piece = 0;
    std::uint16_t pieces = 1;
    std::vector<Member> members;
};

// Buckets of a service in which an agent holds flows without being a home agent.
struct HoldingsReport
{
    NodeId agent;
    Incarnation incarnation = 0;
    std::uint32_t sequence = 0;
    ServiceId service{};
    TableDigest digest = 0; // the table under which the agent decided what is home
    std::vector<std::uint8_t> buckets; // serialised Roaring bitmap
};

// Balancer to balancer: changes of membership and holdings.
struct Gossip
{
    NodeId from;
    ConfigurationVersion configuration = 0;
    bool repair = false; // an answer to ShardRequest, not news
    std::vector<NodeRecord> records;
    std::vector<HoldingsReport> holdings;
};

// Balancer to balancer, for repair: a hash over all records of each shard.
struct DigestExchange
{
    NodeId from;
    Endpoint replyTo;
    ConfigurationVersion configuration = 0;
    std::vector<std::uint32_t> shards;
    bool answer = false; // true: sent back, must not be answered again
    bool joining = false; // the sender has little to offer yet
    std::uint32_t size = 0; // alive and suspect nodes that the sender knows
};

// The requester's digest of each cell of a shard; empty if it has no records there.
struct ShardCells
{
    std::uint8_t shard = 0;
    std::vector<std::uint32_t> cells;
};

// Asks for the records and reports of those cells whose digests differ from the receiver's.
struct ShardRequest
{
    Endpoint replyTo;
    std::vector<ShardCells> shards;
};

struct Probe
{
    NodeId from;
    Endpoint replyTo;
    std::uint32_t number = 0;
    ConfigurationVersion configuration = 0;
    std::optional<Endpoint> relayTo; // indirect probe: forward to this endpoint
};

struct ProbeAck
{
    NodeId from;
    Incarnation incarnation = 0;
    std::uint32_t number = 0;
    ConfigurationVersion configuration = 0;
};

// A newer configuration exists; sent at once to agents and peers.
struct ConfigurationNotice
{
    NodeId from;
    Endpoint replyTo;
    ConfigurationVersion version = 0;
};

struct ConfigurationRequest
{
    Endpoint replyTo;
    ConfigurationVersion have = 0;
    std::optional<GroupName> group; // agents: only the services that this group carries
};

// Everything that changed between two versions; from == 0 is a full snapshot.
struct ConfigurationDelta
{
    ConfigurationVersion from = 0;
    ConfigurationVersion to = 0;
    nlohmann::json head; // the accepted head object without its service table
    std::vector<nlohmann::json> contracts; // changed service files
    std::vector<ServiceName> removed;
    std::optional<GroupName> group;
};

using ControlMessage =
        std::variant<Heartbeat, HeartbeatAck, MembersRequest, Members, HoldingsReport, Gossip,
                     DigestExchange, ShardRequest, Probe, ProbeAck, ConfigurationNotice,
                     ConfigurationRequest, ConfigurationDelta>;

std::vector<std::uint8_t> encodeMessage(const ControlMessage &message);
Result<ControlMessage> decodeMessage(std::span<const std::uint8_t> bytes);

// Size in bytes that encodeMessage gives, without encoding. Messages with JSON documents are
// encoded to find out.
std::size_t encodedSize(const ControlMessage &message);
std::size_t encodedSize(const NodeRecord &record);
std::size_t encodedSize(const HoldingsReport &report);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_MESSAGE_H

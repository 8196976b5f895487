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

// Control messages between balancers and agents, encoded as CBOR.
//
//     std::vector<std::uint8_t> bytes = encodeMessage(Probe{ ... });
//     Result<ControlMessage> message = decodeMessage(bytes);
//
// A message of at most maxDatagram bytes is sent in one UDP datagram, a larger one through the
// receiver's JSON-RPC method "deliver". Senders split messages so that only configuration deltas
// and snapshots exceed a datagram.

namespace cactusdeck {

inline constexpr std::size_t maxDatagram = 1200; // bytes; below the usual MTU with room for headers

enum class Role : std::uint8_t { Balancer, Agent };

// State of a node in the view of the sender of its record.
enum class Liveness : std::uint8_t { Alive, Suspect, Dead, Left };

// Operating phase, which a node sets in its own record.
enum class Phase : std::uint8_t {
    Cold, // new or restarted server, which gets only its cold load
    Serving,
    Draining, // takes no new flows and keeps its established ones
};

// Membership record of one node. Of two records of a node the higher incarnation wins; within an
// incarnation Dead and Left are final, then the higher sequence wins, then the worse liveness. The
// configuration does not affect the order: it is up to date for nodes that send messages to this
// node, and may lag for others.
struct NodeRecord
{
    NodeId id;
    Role role = Role::Balancer;
    ZoneName zone;
    Endpoint data; // receives frames
    Endpoint control; // control messages, UDP; JSON-RPC listens on the same port over TCP
    Incarnation incarnation = 1;
    std::uint32_t sequence = 0;
    Liveness liveness = Liveness::Alive;
    Phase phase = Phase::Serving;
    GroupName group; // agents only: the group of the backend server
    std::uint16_t weight = 1; // agents only: announced capacity
    ConfigurationVersion configuration = 0; // version in force on the node

    bool operator==(const NodeRecord &) const = default;
};

// Sent by an agent to its monitors every second and when its record changes.
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

// Sent by a monitor in answer to a heartbeat, and to an agent that may not know its new monitor.
struct HeartbeatAck
{
    Endpoint monitor; // control endpoint of the sender, for requests
    Incarnation incarnation = 0; // of the agent's record in the monitor's table
    std::uint32_t sequence = 0; // likewise
    bool suspected = false; // the agent should refute with a higher incarnation
    ConfigurationVersion configuration = 0;
    std::vector<ServiceDigest> services; // some of those that the agent's group carries, rotating
    std::vector<Endpoint> monitors; // control endpoints to which the agent should send heartbeats
    std::uint32_t holdings = 0; // digest of the agent's reports that the monitor has received
};

// One member of a placement table.
struct Member
{
    NodeId id;
    std::uint16_t weight = 1;

    bool operator==(const Member &) const = default;
};

// Sent by an agent to a monitor: asks for the members of a service whose digest differs from the
// agent's own.
struct MembersRequest
{
    Endpoint replyTo;
    ServiceId service{};
};

// One piece of a member list. A list that fits into a datagram has one piece.
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
    TableDigest digest = 0; // of the placement table by which the agent determined home agents
    std::vector<std::uint8_t> buckets; // serialised Roaring bitmap
};

// Changes of membership and holdings, sent between balancers. Also sent to a node that is suspect
// or dead in the sender's table, with that node's record, so that it can refute.
struct Gossip
{
    NodeId from;
    ConfigurationVersion configuration = 0;
    bool repair = false; // an answer to ShardRequest, with records that others know already
    std::vector<NodeRecord> records;
    std::vector<HoldingsReport> holdings;
};

// Sent between balancers to find differences: a hash over all records of each shard.
struct DigestExchange
{
    NodeId from;
    Endpoint replyTo;
    ConfigurationVersion configuration = 0;
    std::vector<std::uint32_t> shards;
    bool answer = false; // sent in answer to a DigestExchange; must not be answered again
    bool joining = false; // the sender has not joined yet, so its table is incomplete
    std::uint32_t size = 0; // alive and suspect nodes that the sender knows
};

// The requester's digest of each cell of a shard; empty if it has no records there.
struct ShardCells
{
    std::uint8_t shard = 0;
    std::vector<std::uint32_t> cells;
};

// Asks for the records and reports of the cells whose digests differ from the receiver's.
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

// Announces a newer configuration. Sent at once to agents and other balancers.
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

// Everything that changed between two versions. With from == 0 a full snapshot.
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

// Size in bytes of the encoding, computed without encoding. Only JSON documents within a message
// are encoded to find their size.
std::size_t encodedSize(const ControlMessage &message);
std::size_t encodedSize(const NodeRecord &record);
std::size_t encodedSize(const HoldingsReport &report);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_MESSAGE_H

#ifndef CACTUSDECK_CORE_FLOWTABLE_H
#define CACTUSDECK_CORE_FLOWTABLE_H

#include <array>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "core/packet.h"
#include "core/types.h"

// The flows of one agent and the sequence numbers that decide which packets belong to them.
//
//     Flow &flow = table.openTcp(key, service, syn.sequence, now);
//     if (flow.acceptsFromCaller(view))
//         table.recordCallerPacket(flow, view, now);       // the packet goes to the server
//     else
//         ...                                      // another agent's flow
//     table.expire(now, idleTimeoutOf, [](Flow &flow) { ... });
//
// References stay valid until the flow is erased.

namespace cactusdeck {

// The sequence numbers that one side of a TCP connection has sent.
struct SequenceSpace
{
    std::uint32_t base = 0; // lowest acknowledgement number that is accepted
    std::uint32_t next = 0; // end of the highest segment seen
    std::uint32_t payloadNext = 0; // end of the highest payload seen, without SYN and FIN
    std::uint32_t acked = 0; // highest acknowledgement by the other side
    std::uint32_t finEnd = 0;
    bool isKnown = false;
    bool hasFin = false;

    void start(std::uint32_t initialSequence);
    // For a flow whose start was not seen.
    void startMidStream(std::uint32_t nextSequence, std::uint32_t acknowledged);
    void extend(const PacketView &view);
    void acknowledge(std::uint32_t acknowledgement);
    bool covers(std::uint32_t acknowledgement) const
    {
        return this->isKnown && !isBefore(acknowledgement, this->base)
               && !isBefore(this->next, acknowledgement);
    }
    bool isFinAcked() const { return this->hasFin && !isBefore(this->acked, this->finEnd); }
};

enum class FlowState : std::uint8_t {
    Opening, // SYN delivered; the caller has not yet acknowledged this server's SYN
    Open,
    Closing, // one side has sent FIN
    TimeWait, // both FINs acknowledged
    Reset,
};

inline constexpr std::uint32_t noTicket = UINT32_MAX;

struct Flow
{
    FlowKey key;
    ServiceId service{};
    Bucket bucket = 0;
    FlowState state = FlowState::Opening;
    bool isAdopted = false; // the initial sequence numbers are unknown
    bool awaitsFirstRequest = true; // no request yet; may send its first one at any moment
    bool isQueued = false; // has packets in the request queue
    bool isResponding = false; // the server has sent payload for the request in progress
    std::uint32_t ticket = noTicket; // of the request in progress
    std::uint32_t callerIsn = 0;
    std::uint32_t serverIsn = 0;
    SequenceSpace caller;
    SequenceSpace server;
    TimePoint openedAt;
    TimePoint lastActive;

    bool isTcp() const { return this->key.protocol == Protocol::Tcp; }
    bool isClosed() const { return this->state >= FlowState::TimeWait; }
    // True if the packet acknowledges what this agent's server has sent. Not for SYN.
    bool acceptsFromCaller(const PacketView &view) const;
    // True if the packet answers the current flow, and not an earlier one with the same key.
    bool acceptsFromServer(const PacketView &view) const;
    // True if a packet that acceptsFromCaller refused shows that the caller of this very SYN has
    // connected to another server. A delayed packet of an earlier flow doesn't show that.
    bool isConnectedElsewhere(const PacketView &view) const;
    // A SYN-ACK with a new initial sequence number for an established flow: the server has lost it.
    bool isLostByServer(const PacketView &view) const;

    // Resets with the sequence number that the receiver expects next (RFC 5961, section 3.2).
    std::vector<std::uint8_t> resetForServer() const;
    // The caller may have acknowledged more than was seen, so there may be two candidates.
    std::vector<std::vector<std::uint8_t>> resetsForCaller() const;
};

struct FlowKeyHash
{
    std::size_t operator()(const FlowKey &key) const noexcept { return hashOf(key); }
};

class FlowTable
{
public:
    // An unanswered handshake is forgotten after the usual life of a half-open connection.
    static constexpr std::chrono::seconds openingTimeout{ 75 };
    // Both sides have sent FIN, but the last acknowledgement is missing.
    static constexpr std::chrono::seconds closingTimeout{ 60 };
    static constexpr std::chrono::seconds timeWait{ 60 };
    // Closed flows only filter late packets, so they are given up first when there are many.
    static constexpr std::size_t maxClosedFlows = 65536;

    Flow *find(const FlowKey &key);
    Flow &openTcp(const FlowKey &key, ServiceId service, std::uint32_t callerIsn, TimePoint now);
    Flow &openUdp(const FlowKey &key, ServiceId service, TimePoint now);
    // packet is the caller's, probeAnswer the server's answer to a keep-alive probe.
    Flow &adopt(const PacketView &packet, const PacketView &probeAnswer, ServiceId service,
                TimePoint now);
    void erase(const FlowKey &key);

    // Record an accepted packet. isDelivered is false for a packet that is held back: its
    // acknowledgement counts, its payload doesn't.
    void recordCallerPacket(Flow &flow, const PacketView &view, TimePoint now,
                            bool isDelivered = true);
    void recordServerPacket(Flow &flow, const PacketView &view, TimePoint now);
    void close(Flow &flow, FlowState state, TimePoint now);

    // Calls onExpired for each flow past its timeout, then erases it.
    void expire(TimePoint now, const std::function<Duration(ServiceId)> &idleTimeout,
                const std::function<void(Flow &)> &onExpired);
    void forEach(const std::function<void(Flow &)> &visit);
    void clear();

    std::size_t size() const { return this->flows.size(); }
    std::size_t openCount() const { return this->openFlows; }
    // Open flows of the service in the bucket.
    std::uint32_t countIn(ServiceId service, Bucket bucket) const;

private:
    using BucketCounts = std::array<std::uint32_t, bucketCount>;

    Flow &insert(const FlowKey &key, ServiceId service, TimePoint now);
    void count(const Flow &flow, int change);
    void updateClosing(Flow &flow, TimePoint now);
    Duration timeoutOf(const Flow &flow,
                       const std::function<Duration(ServiceId)> &idleTimeout) const;

    std::unordered_map<FlowKey, Flow, FlowKeyHash> flows;
    std::unordered_map<ServiceId, BucketCounts> buckets;
    std::size_t openFlows = 0;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_FLOWTABLE_H

#ifndef CACTUSDECK_CORE_FLOWTABLE_H
#define CACTUSDECK_CORE_FLOWTABLE_H

#include <array>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "core/packet.h"
#include "core/types.h"

// The flows of one agent, with the sequence numbers by which packets are assigned to them.
//
//     Flow &flow = table.openTcp(key, service, syn.sequence, now);
//     if (flow.acceptsFromCaller(view))
//         table.recordCallerPacket(flow, view, now);       // the packet goes to the server
//     else
//         ...                                      // the flow may be another agent's
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
    std::uint32_t finEnd = 0; // sequence number after the FIN, if hasFin
    bool isKnown = false;
    bool hasFin = false;

    void start(std::uint32_t initialSequence);
    // For a flow whose handshake this agent did not see.
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
    Opening, // SYN delivered to the server; its SYN-ACK is not yet acknowledged by the caller
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
    // Taken over from an earlier run of the agent; the initial sequence numbers are unknown.
    bool isAdopted = false;
    bool awaitsFirstRequest = true; // opened recently, without a request so far
    bool isQueued = false; // has packets in the request queue
    bool isResponding = false; // the server has sent payload for the request in progress
    std::uint32_t ticket = noTicket; // from Admission, for the request in progress
    std::uint32_t callerIsn = 0;
    std::uint32_t serverIsn = 0;
    SequenceSpace caller;
    SequenceSpace server;
    TimePoint openedAt;
    TimePoint lastActive;

    bool isTcp() const { return this->key.protocol == Protocol::Tcp; }
    bool isClosed() const { return this->state >= FlowState::TimeWait; }
    // True if the packet acknowledges data that this agent's server has sent. Not for a SYN, which
    // acknowledges nothing.
    bool acceptsFromCaller(const PacketView &view) const;
    // True if the packet belongs to this flow and not to an earlier one with the same key.
    bool acceptsFromServer(const PacketView &view) const;
    // For a packet that acceptsFromCaller() refused: true if the caller has sent it on a connection
    // that the SYN of this flow opened with another server. False for a delayed packet of an
    // earlier flow.
    bool isConnectedElsewhere(const PacketView &view) const;
    // True for a SYN-ACK with a new initial sequence number on an established flow: the server no
    // longer has the connection.
    bool isLostByServer(const PacketView &view) const;

    // A receiver obeys only a reset with exactly the sequence number that it expects next (RFC
    // 5961, section 3.2).
    std::vector<std::uint8_t> resetForServer() const;
    // The caller may have received more than it was seen to acknowledge, so there may be two
    // packets with different sequence numbers.
    std::vector<std::vector<std::uint8_t>> resetsForCaller() const;
};

struct FlowKeyHash
{
    std::size_t operator()(const FlowKey &key) const noexcept { return hashOf(key); }
};

class FlowTable
{
public:
    // For an incomplete handshake: the usual lifetime of a half-open connection.
    static constexpr std::chrono::seconds openingTimeout{ 75 };
    // For a flow on which both sides have sent FIN and the last acknowledgement is missing.
    static constexpr std::chrono::seconds closingTimeout{ 60 };
    static constexpr std::chrono::seconds timeWait{ 60 };
    // Closed flows are kept only to recognise late packets. Above this number they expire at once.
    static constexpr std::size_t maxClosedFlows = 65536;

    Flow *find(const FlowKey &key);
    Flow &openTcp(const FlowKey &key, ServiceId service, std::uint32_t callerIsn, TimePoint now);
    Flow &openUdp(const FlowKey &key, ServiceId service, TimePoint now);
    // Adds an established flow of an earlier run of the agent. packet is the caller's, probeAnswer
    // the server's answer to a keep-alive probe.
    Flow &adopt(const PacketView &packet, const PacketView &probeAnswer, ServiceId service,
                TimePoint now);
    void erase(const FlowKey &key);

    // Record an accepted packet. isDelivered is false for a packet that is held back from the
    // server: only its acknowledgement is recorded.
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
    // Number of open flows of the service in the bucket.
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

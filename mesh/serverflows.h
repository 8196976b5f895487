#ifndef CACTUSDECK_MESH_SERVERFLOWS_H
#define CACTUSDECK_MESH_SERVERFLOWS_H

#include <bitset>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/flowtable.h"
#include "core/frame.h"
#include "mesh/latencyhistogram.h"
#include "mesh/requestcost.h"
#include "mesh/segment.h"
#include "mesh/serverload.h"
#include "mesh/servicestarts.h"

// The flows of one backend server and, measured from their packets, its load.
//
//     ServerFlow &flow = flows.open(segment.key, now);
//     flows.onCaller(flow, segment, now);        // the packet goes to the server
//     flows.onServer(flow, segment, slots, now); // the packet goes to the caller

namespace cactusdeck::mesh {

struct ServerFlow
{
    bool isOpen = false; // the caller has acknowledged this server's opening answer
    bool isAnswered = false; // the server has accepted the flow; serverSequence is known
    bool hasEnded = false; // one side has reset the flow, or both have finished it
    bool isCallerFinished = false;
    bool isServerFinished = false;
    bool hasCallerData = false; // callerNext is known
    bool isFresh = true; // the first request has not arrived yet
    bool isInProgress = false; // a request waits for the first byte of its response
    bool isAtServer = false; // the server has got this request; else the agent holds it
    std::optional<std::uint32_t> openingSequence; // unknown for an adopted flow
    // The server's initial sequence number; for an adopted flow, a number below all of the
    // server's.
    std::uint32_t serverSequence = 0;
    std::uint32_t serverNext = 0; // sequence number after the highest server data seen
    // Sequence number after the highest caller data seen or, before any, after what the server of
    // an adopted flow has acknowledged.
    std::uint32_t callerNext = 0;
    // The caller's last acknowledgement number or, before one is known, the sequence number of a
    // packet of the server. A reset to the caller uses it as its sequence number.
    std::uint32_t callerAcknowledgement = 0;
    std::uint32_t inProgressBefore = 0; // requests in progress at the server when this one arrived
    std::uint32_t requestSequence = 0; // of the first packet of the request in progress
    std::uint64_t request = 0; // number of the one in progress, in ServiceStarts
    Endpoint route; // the address that the caller uses
    RequestTerms terms; // of the flow's route, as in the last frame
    TimePoint openedAt;
    TimePoint requestedAt;
    TimePoint lastActive;
    Endpoint balancer; // that forwarded the last packet; gets replies about the flow
    // Agents that may still get the opening packet if this server bounces it.
    std::vector<Endpoint> remaining;
    bool mayBeTakenSoon = false; // the caller must not be refused if this server bounces it either

    // True if the segment acknowledges this server's opening answer. A caller that received the
    // answers of two servers acknowledges only one of them.
    bool isAcknowledgedBy(const Segment &segment) const;
    // True for a retransmission of the packet that opened this flow, false for the opening packet
    // of a later flow with the same key.
    bool isOpenedBy(const Segment &opening) const;
    // True for a packet of the server that belongs to an earlier flow of the same addresses and
    // ports: this flow is not open, or the server cannot use the sequence number in it.
    bool isPrecededBy(const Segment &serverPacket) const;
    // True if the caller's packet belongs to a later flow of the same addresses and ports: it
    // acknowledges a number that the server has not reached in this flow. The agent may not know
    // that this flow has ended, since a caller that gives up need not say so.
    bool isFollowedBy(const Segment &callerPacket) const;
};

class ServerFlows
{
public:
    ServerFlow *find(const FlowKey &key);
    // Adds a flow whose opening packet is sent to the server. Removes an earlier flow of the same
    // key.
    ServerFlow &open(const FlowKey &key, TimePoint now);
    // Adds a flow from before the agent's start, discovered by a packet of the server.
    ServerFlow &adopt(const FlowKey &key, const Segment &serverPacket, TimePoint now);
    void erase(const FlowKey &key, TimePoint now);
    // A run of the server has ended: removes the flows opened before the time and restarts the load
    // measurement.
    void endRun(TimePoint openedBefore, TimePoint now);
    // Visits the open flows that neither side has finished or reset.
    void forEachOpen(const std::function<void(const FlowKey &, const ServerFlow &)> &visit) const;

    void onCaller(ServerFlow &flow, const Segment &segment, TimePoint now);
    // The flow's request goes to the server.
    void onSent(ServerFlow &flow, TimePoint now);
    // The agent has dropped the request that it held. A copy of its packets begins it anew.
    void onHeldRequestDropped(ServerFlow &flow, TimePoint now);
    void onServer(ServerFlow &flow, const Segment &segment, std::uint32_t slots, TimePoint now);
    // Removes flows that have been idle for longer than the time-out or ended a while ago.
    void expire(std::chrono::milliseconds idleTimeout, TimePoint now);

    // The hash buckets that have flows, including ended flows whose last packets may still arrive.
    std::bitset<bucketCount> holdings() const;
    // The number of flows that have not ended.
    std::size_t openCount() const { return this->live; }
    // The number of flows whose first request has not arrived yet and may arrive at any moment.
    std::size_t freshCount() const { return this->fresh; }
    const ServerLoad &load() const { return this->serverLoad; }
    const RouteCosts &costs() const { return this->routeCosts; }
    // Times from a request's first packet to the first byte of its response, over all runs of the
    // server.
    const LatencyHistogram &answerTimes() const { return this->answers; }
    // Times from an opening packet to the server's answer.
    const LatencyHistogram &openingTimes() const { return this->openings; }

private:
    // For flows that are not open yet; callers give up opening a flow after 1.4 s.
    static constexpr std::chrono::seconds openingTimeout{ 3 };
    // Ended flows are kept for this time, so that late retransmissions still reach their server,
    // which answers them.
    static constexpr std::chrono::seconds endedTimeout{ 5 };
    // A request without a response counts as in progress only as long as callers wait for it.
    static constexpr std::chrono::seconds requestTimeout{ 5 };

    void beginRequest(ServerFlow &flow, TimePoint now);
    void end(ServerFlow &flow, TimePoint now);
    void endFresh(ServerFlow &flow);
    void abandonRequest(ServerFlow &flow, TimePoint now);

    std::unordered_map<FlowKey, ServerFlow, FlowKeyHash> flows;
    std::size_t live = 0;
    std::size_t fresh = 0;
    ServerLoad serverLoad;
    ServiceStarts serviceStarts;
    RouteCosts routeCosts;
    std::uint32_t slotCount = 1; // of the server, as last stated
    LatencyHistogram answers;
    LatencyHistogram openings;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_SERVERFLOWS_H

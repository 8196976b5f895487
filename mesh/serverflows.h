#ifndef CACTUSDECK_MESH_SERVERFLOWS_H
#define CACTUSDECK_MESH_SERVERFLOWS_H

#include <bitset>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/flowtable.h"
#include "mesh/latencyhistogram.h"
#include "mesh/segment.h"
#include "mesh/serverload.h"

// The flows of one backend server, and what their packets tell about its load.
//
//     ServerFlow &flow = flows.open(segment.key, now);
//     flows.onCaller(flow, segment, now);      // the packet goes to the server
//     flows.onServer(flow, segment, now);      // the packet goes to the caller

namespace cactusdeck::mesh {

struct ServerFlow
{
    bool isOpen = false; // the caller has acknowledged this server's answer
    bool isAnswered = false; // the server has taken the flow; serverSequence is known
    bool hasEnded = false; // a side has reset it, or both have finished
    bool isCallerFinished = false;
    bool isServerFinished = false;
    bool hasCallerData = false; // callerNext is known
    bool isFresh = true; // no request yet
    bool isInProgress = false; // a request waits for the first byte of its response
    std::optional<std::uint32_t> openingSequence; // unknown for an adopted flow
    std::uint32_t serverSequence = 0; // initial one
    std::uint32_t callerNext = 0; // end of the highest data seen
    // The caller's last acknowledgement, or where its server is in the sequence.
    std::uint32_t callerAcknowledgement = 0;
    std::uint32_t inProgressBefore = 0; // requests of the server when this one arrived
    TimePoint openedAt;
    TimePoint requestedAt;
    TimePoint lastActive;
    Endpoint balancer; // that sent the last packet; learns of changes
    // Agents that get the opening packet if this server can't take it.
    std::vector<Endpoint> remaining;

    // True if the segment acknowledges the answer of this very server. Where a caller has two
    // answers it acknowledges one of them.
    bool isAcknowledgedBy(const Segment &segment) const;
    // True for a copy of the packet that opened this flow, false for a later flow of the same key.
    bool isOpenedBy(const Segment &opening) const;
};

class ServerFlows
{
public:
    ServerFlow *find(const FlowKey &key);
    // A flow whose opening packet is given to the server. An earlier flow of the same key ends.
    ServerFlow &open(const FlowKey &key, TimePoint now);
    // A flow from before the agent's start, which the server has just answered.
    ServerFlow &adopt(const FlowKey &key, TimePoint now);
    void erase(const FlowKey &key, TimePoint now);
    void clear(TimePoint now);
    // Visits the flows that a caller may still use.
    void forEachOpen(const std::function<void(const FlowKey &, const ServerFlow &)> &visit) const;

    void onCaller(ServerFlow &flow, const Segment &segment, TimePoint now);
    void onServer(ServerFlow &flow, const Segment &segment, std::uint32_t slots, TimePoint now);
    // Forgets flows that are idle for longer than the timeout, or have ended a while ago.
    void expire(std::chrono::milliseconds idleTimeout, TimePoint now);

    // The buckets with flows, ended ones included while their last packets may come.
    std::bitset<bucketCount> holdings() const;
    // Without those that have ended.
    std::size_t openCount() const { return this->live; }
    // Flows that have not brought their first request yet, while it can still come at any moment.
    std::size_t freshCount() const { return this->fresh; }
    const ServerLoad &load() const { return this->serverLoad; }
    // From a request's first packet to the first byte of its answer, all runs of the server.
    const LatencyHistogram &answerTimes() const { return this->answers; }
    // From an opening packet to the server's answer.
    const LatencyHistogram &openingTimes() const { return this->openings; }

private:
    // An unanswered opening packet: the caller gives up after 1.4 s.
    static constexpr std::chrono::seconds openingTimeout{ 3 };
    // Late retransmissions of an ended flow still reach its server, which answers them.
    static constexpr std::chrono::seconds endedTimeout{ 5 };
    // A request without any response counts as in progress no longer than callers wait.
    static constexpr std::chrono::seconds requestTimeout{ 5 };

    void end(ServerFlow &flow, TimePoint now);
    void endFresh(ServerFlow &flow);
    void abandonRequest(ServerFlow &flow, TimePoint now);

    std::unordered_map<FlowKey, ServerFlow, FlowKeyHash> flows;
    std::size_t live = 0;
    std::size_t fresh = 0;
    ServerLoad serverLoad;
    LatencyHistogram answers;
    LatencyHistogram openings;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_SERVERFLOWS_H

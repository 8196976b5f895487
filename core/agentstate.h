#ifndef CACTUSDECK_CORE_AGENTSTATE_H
#define CACTUSDECK_CORE_AGENTSTATE_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/admission.h"
#include "core/adoptionprobes.h"
#include "core/agent.h"
#include "core/agentservices.h"
#include "core/flowtable.h"
#include "core/frame.h"
#include "core/requesttracker.h"

// State of an agent that its packet paths in both directions share.

namespace cactusdeck {

// Counters since the start of the agent. They count packets unless a comment says otherwise.
struct AgentCounters
{
    std::uint64_t accepted = 0; // flows
    std::uint64_t declined = 0; // SYNs passed to the next hop
    std::uint64_t rejected = 0; // SYNs answered with a reset
    std::uint64_t adopted = 0; // flows
    std::uint64_t forwarded = 0; // established packets passed to the next hop
    std::uint64_t missed = 0; // dropped on the last hop of a chain on which no agent held the flow
    std::uint64_t malformed = 0;
    std::uint64_t wrongService = 0;
    std::uint64_t wrongIncarnation = 0;
    std::uint64_t wrongAcknowledgement = 0;
    // Flows reset because their caller had connected to another server with the same SYN.
    std::uint64_t halfOpenResets = 0;
    std::uint64_t lateFromServer = 0; // of an earlier flow with the same key
    std::uint64_t strayFromServer = 0; // of flows that the agent doesn't hold
    std::uint64_t droppedZoneOut = 0;
    std::uint64_t droppedRequests = 0; // payload for which the queue had no room
    std::uint64_t droppedSyn = 0; // duplicates of earlier flows, and SYNs with payload
    std::uint64_t toServer = 0;
    std::uint64_t toFabric = 0;
};

struct AgentState
{
    explicit AgentState(AgentOptions agentOptions)
        : options(std::move(agentOptions))
        , incarnation(options.incarnation)
    { }
    AgentState(const AgentState &) = delete;
    AgentState &operator=(const AgentState &) = delete;

    std::uint16_t utilisation(TimePoint now) const
    {
        if (this->isDraining || this->isStale)
            return fullUtilisation;
        return this->admission.utilisation(this->flows.openCount(), this->requests.waiting(), now);
    }

    AgentOptions options;
    // Rises when the agent refutes a suspicion, or a record that declares it dead.
    Incarnation incarnation;
    ConfigurationVersion configuration = 0;
    ConfigurationVersion newestVersionSeen = 0; // in frames since the last request for a newer one
    AgentServices services;
    FlowTable flows;
    Admission admission;
    RequestTracker requests{ flows, admission, services };
    AdoptionProbes probes;
    AgentCounters counters;
    bool isZoneOut = false;
    bool isDraining = false;
    // A newer configuration has been known for some time and could not be obtained.
    bool isStale = false;
};

using EventFields = std::vector<std::pair<const char *, std::string>>;

inline void addEvent(Outbox &outbox, Level level, const char *name, EventFields fields)
{
    outbox.events.push_back({ level, name, std::move(fields) });
}

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_AGENTSTATE_H

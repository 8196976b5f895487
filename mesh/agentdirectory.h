#ifndef CACTUSDECK_MESH_AGENTDIRECTORY_H
#define CACTUSDECK_MESH_AGENTDIRECTORY_H

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/types.h"
#include "mesh/fleetstate.h"
#include "mesh/peermessage.h"

// The agents that a balancer has heard of, and the choice among them for a new flow.
//
//     directory.onReport(report, from, now);
//     std::vector<AgentIndex> order = directory.candidates(service, zone, state, now);
//     directory.onPlaced(order.front(), now);

namespace cactusdeck::mesh {

using AgentIndex = std::uint16_t;

// What a remembered owner of a flow is worth now.
enum class OwnerState : std::uint8_t {
    Present,
    Lost, // not heard of any more; its flows may live
    Ended, // its backend server has exited, or another run has replaced it
};

class AgentDirectory
{
public:
    struct Options
    {
        ZoneName zone; // of the balancer
        Duration costPerKilobyte{}; // between failure domains
    };

    struct Agent
    {
        Endpoint endpoint;
        AgentReport report;
        TimePoint heard;
        // Rises when flows of before can't be there any more, or the entry is used again.
        std::uint8_t generation = 0;
        bool isPresent = false;
        bool isEnded = false; // its server has exited
        std::uint8_t lastLostGeneration = 0; // flows up to this one may live
        bool hasLostGeneration = false;
        double placed = 0; // flows placed here since the last report
        std::uint32_t unanswered = 0; // opening packets in a row without any sign of the agent
        TimePoint unansweredSince;

        // False while it is known only from another balancer.
        bool hasReported() const { return !this->report.service.value.empty(); }
    };

    explicit AgentDirectory(Options directoryOptions)
        : options(std::move(directoryOptions))
    { }

    // True if the agent is new or has another phase, so that placements change.
    bool onReport(const AgentReport &report, Endpoint from, TimePoint now);
    // An agent that another balancer knows. It may hold flows before it is heard here.
    void addFromPeer(Endpoint agent, TimePoint now);
    // Any other sign of life.
    void onHeard(Endpoint from, TimePoint now);
    void onPlaced(AgentIndex agent, TimePoint now);
    void forgetSilent(TimePoint now);

    struct Candidate
    {
        AgentIndex agent = 0;
        Duration cost{}; // expected, see expectedCost
        bool isSilent = false;
    };
    // The agents that may take a new flow of the service, best first. Agents that are silent come
    // last. Empty if every known agent of the service declines.
    std::vector<Candidate> candidates(const ServiceName &service, const FleetState &state,
                                      std::uint64_t tieBreak, TimePoint now) const;
    // Everybody who may hold a flow.
    std::vector<AgentIndex> possibleOwners() const;
    OwnerState ownerState(AgentIndex agent, std::uint8_t generation) const;
    bool isResponding(const Agent &agent, TimePoint now) const;

    const Agent &at(AgentIndex agent) const { return this->agents[agent]; }
    std::optional<AgentIndex> find(Endpoint endpoint) const;
    const std::vector<Agent> &all() const { return this->agents; }

private:
    // Three reports and the time that one may take.
    static constexpr int silentIntervals = 3;
    static constexpr std::chrono::milliseconds silentMargin{ 200 };
    // An agent behind a partition may return; then its flows are found again.
    static constexpr std::chrono::seconds forgetTimeout{ 20 };
    // Two opening packets that nobody answers in this time: the agent has stopped.
    static constexpr std::uint32_t unansweredLimit = 2;
    static constexpr std::chrono::milliseconds unansweredTime{ 150 };
    // Until measured. Wrong values cost nothing while servers look alike.
    static constexpr std::chrono::milliseconds assumedServiceTime{ 30 };
    static constexpr double assumedRequestsPerFlow = 1; // a second
    static constexpr double assumedResponseBytes = 2048; // a small answer
    static constexpr double maxRequestsPerFlow = 50; // short flows: one request each
    // A server that answers faster than this share of its service's mean is rather failing than
    // fast; speeds of servers differ by 2.4 at most in the known deployments.
    static constexpr double minServiceTimeShare = 0.5;
    // Costs that differ by less than this share are equal, so that flows spread.
    static constexpr double tieJitter = 0.02;

    struct ServiceMeans
    {
        Duration serviceTime{};
        Duration minServiceTime{}; // what a service time counts as at least
        double requestsPerFlow = 0;
        double responseBytes = 0;
    };

    // False when there is no room for another endpoint.
    bool insert(Endpoint endpoint);
    ServiceMeans meansOf(const ServiceName &service) const;
    Duration costOf(const Agent &agent, const ServiceMeans &means) const;

    Options options;
    std::vector<Agent> agents;
    std::unordered_map<Endpoint, AgentIndex> indices;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_AGENTDIRECTORY_H

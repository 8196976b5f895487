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

// The agents that a balancer knows, and the choice among them for a new flow.
//
//     directory.onReport(report, from, now);
//     auto order = directory.candidates(service, state, flowHash, now);
//     directory.onPlaced(order.front().agent, now);

namespace cactusdeck::mesh {

using AgentIndex = std::uint16_t;

// Whether the agent that a flow cache entry names still owns the flow.
enum class OwnerState : std::uint8_t {
    Present,
    Lost, // no longer heard; its flows may still exist
    Ended, // its backend server has exited, or another run has replaced it
};

class AgentDirectory
{
public:
    struct Options
    {
        ZoneName zone; // of the balancer
        Duration costPerKilobyte{}; // between failure domains
        // Servers with at most this many slots are chosen by the costs of requests; 0: none.
        std::uint32_t requestSchedulingMaxSlots = 0;
    };

    struct Agent
    {
        Endpoint endpoint;
        AgentReport report;
        TimePoint heard;
        TimePoint reportedAt; // when the last report arrived
        // Incremented when the flows placed so far can no longer exist: another run of the server
        // has begun, or the server is back after its end.
        std::uint8_t generation = 0;
        bool isPresent = false;
        bool isEnded = false; // its server has exited
        // The generation when the agent was last removed as silent; its flows may still exist.
        std::uint8_t lastLostGeneration = 0;
        bool hasLostGeneration = false;
        double placed = 0; // flows placed here since the agent's last report
        Duration placedWork{}; // of the first requests of these flows
        // Opening packets and questions sent since the agent was last heard.
        std::uint32_t unanswered = 0;
        TimePoint unansweredSince;

        // False if the agent is known only from another balancer.
        bool hasReported() const { return !this->report.service.value.empty(); }
    };

    explicit AgentDirectory(Options directoryOptions)
        : options(std::move(directoryOptions))
    { }

    // Returns true if the agent is new, or its phase or server run has changed.
    bool onReport(const AgentReport &report, Endpoint from, TimePoint now);
    // Adds an agent that another balancer knows. It may own flows although it has not reported
    // here.
    void addFromPeer(Endpoint agent, TimePoint now);
    // Records any other message of the agent.
    void onHeard(Endpoint from, TimePoint now);
    // work: what the flow's first request is expected to take at the agent's server.
    void onPlaced(AgentIndex agent, TimePoint now, Duration work = {});
    // A question was sent to the agent.
    void onAsked(AgentIndex agent, TimePoint now);
    void forgetSilent(TimePoint now);

    struct Candidate
    {
        AgentIndex agent = 0;
        Duration cost{}; // expected, see expectedCost and expectedCompletion
        bool isSilent = false;
    };
    // The agents that may take a new flow of the service, cheapest first, with silent agents last.
    // Empty if no known agent of the service is ready and outside evacuated failure domains.
    // Different tieBreak values spread flows over agents of equal cost.
    std::vector<Candidate> candidates(const ServiceName &service, const FleetState &state,
                                      std::uint64_t tieBreak, TimePoint now) const;

    struct Choice
    {
        std::vector<Candidate> order; // as candidates(), but see choose()
        // How much longer than at the next agent a request may wait before the flow is passed on.
        Duration tolerance{};
        Duration work{}; // that the flow's first request is expected to take
    };
    // As candidates(), but servers with few slots are chosen by what the route's requests cost and
    // what each server still has to do. All balancers know the same reports, so each compares only
    // some of the servers, at random: otherwise all of them would give their flows to the one that
    // was best when it last reported. The servers compared come first, cheapest first.
    Choice choose(const ServiceName &service, Endpoint route, const FleetState &state,
                  std::uint64_t tieBreak, TimePoint now);
    // Adds agents that another balancer knows now. Returns true if this balancer lacked any.
    bool addMissing(const std::vector<Endpoint> &known, TimePoint now);
    // The agents that this balancer has heard and that may own flows, as told to other balancers.
    // Those that it knows only from others are not among them, so that nobody remembers an agent
    // for ever that has gone.
    std::vector<Endpoint> heardOwners(TimePoint now) const;
    // The same for all balancers that have heard the same agents.
    std::uint64_t digest(TimePoint now) const;
    // All agents that may own flows.
    std::vector<AgentIndex> possibleOwners() const;
    // Changes with each agent that is added to possibleOwners().
    std::uint64_t listVersion() const { return this->additions; }
    OwnerState ownerState(AgentIndex agent, std::uint8_t generation) const;
    bool isResponding(const Agent &agent, TimePoint now) const;
    // True for an agent that has not heard its server since it started, and that does not answer:
    // its machine has come back without the server, and has gone again. It owns no flows.
    bool isAbandoned(const Agent &agent, TimePoint now) const;
    // True if the agent should be asked, so that isAbandoned becomes known.
    bool mayBeAbandoned(const Agent &agent, TimePoint now) const;

    const Agent &at(AgentIndex agent) const { return this->agents[agent]; }
    std::optional<AgentIndex> find(Endpoint endpoint) const;
    const std::vector<Agent> &all() const { return this->agents; }

private:
    // An agent is silent if three reports in a row are missing; the margin covers transmission.
    static constexpr int silentIntervals = 3;
    static constexpr std::chrono::milliseconds silentMargin{ 200 };
    // Agents that are silent for longer than this, or than twice the time after which they count as
    // silent, are removed. An agent that was cut off may report again later; then its flows are
    // found again.
    static constexpr std::chrono::seconds forgetTimeout{ 20 };
    // An agent that has left two messages unanswered for this time counts as stopped.
    static constexpr std::uint32_t unansweredLimit = 2;
    static constexpr std::chrono::milliseconds unansweredTime{ 150 };
    // An agent that has not heard its server counts as abandoned after this time.
    static constexpr std::chrono::milliseconds abandonedTime{ 300 };
    // Such an agent is asked if it has not been heard for this time.
    static constexpr std::chrono::milliseconds abandonedCheckTime{ 500 };
    // Used until there are measurements. Wrong values do no harm while they apply to all servers.
    static constexpr std::chrono::milliseconds assumedServiceTime{ 30 };
    static constexpr double assumedRequestsPerFlow = 1; // per second
    static constexpr double assumedResponseBytes = 2048; // a small response
    // Per second. Bounds the quotient when flows are short, with one request each.
    static constexpr double maxRequestsPerFlow = 50;
    // A service time counts as at least this share of the service's mean. A server that answers
    // faster is probably failing requests: in the known deployments, the speeds of servers differ
    // by a factor of 2.4 at most.
    static constexpr double minServiceTimeShare = 0.5;
    // Servers compared for a flow where requests are scheduled: of the own failure domain, and of
    // the others.
    static constexpr std::size_t homeChoices = 3;
    static constexpr std::size_t remoteChoices = 2;
    // How much slower a cold server counts until enough of its requests are measured.
    static constexpr double coldSlowness = 1.5;
    // Costs are computed anew after this time if reports have arrived.
    static constexpr std::chrono::milliseconds costsLifetime{ 20 };
    // Costs are increased by a pseudo-random share up to this one, so that flows spread over agents
    // whose costs differ by less.
    static constexpr double tieJitter = 0.02;

    struct ServiceMeans
    {
        Duration serviceTime{};
        Duration minServiceTime{}; // lower bound applied to the service times of single servers
        double requestsPerFlow = 0;
        double responseBytes = 0;
    };

    // What is known of the costs of a service's requests.
    struct KnownCosts
    {
        ServiceCosts costs;
        ServiceMeans means;
        bool isScheduled = false; // all servers have few slots and state their routes
        TimePoint computedAt{};
        std::uint64_t reports = 0; // received until then
    };

    static Duration silenceLimit(const Agent &agent);
    static bool isIgnoring(const Agent &agent, Duration time, TimePoint now);
    // Returns false if there is no index left for another endpoint.
    bool insert(Endpoint endpoint);
    ServiceMeans meansOf(const ServiceName &service) const;
    const KnownCosts &costsOf(const ServiceName &service, TimePoint now);
    Duration costOf(const Agent &agent, const ServiceMeans &means) const;
    // The time that a request of the route is expected to take at the agent's server, with the cost
    // of sending the response across failure domains.
    Duration expectedCompletion(const Agent &agent, const ServiceCosts::Route &route,
                                const KnownCosts &known, TimePoint now) const;
    // The agents that may take new flows of the service, in no particular order.
    std::vector<Candidate> eligible(const ServiceName &service, const FleetState &state,
                                    TimePoint now) const;
    // Moves a random selection of homeChoices agents of the own domain and remoteChoices of others
    // to the front. Returns their number.
    std::size_t sample(std::vector<Candidate> &agents, std::uint64_t seed) const;

    Options options;
    std::vector<Agent> agents;
    std::unordered_map<Endpoint, AgentIndex> indices;
    std::map<ServiceName, KnownCosts> knownCosts;
    std::uint64_t reports = 0;
    std::uint64_t additions = 0; // to the possible owners
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_AGENTDIRECTORY_H

#ifndef CACTUSDECK_CORE_ADMISSION_H
#define CACTUSDECK_CORE_ADMISSION_H

#include <cstdint>
#include <optional>
#include <vector>

#include "core/agent.h"
#include "core/latencybaseline.h"
#include "core/types.h"

// How much one backend server can handle now, learned from its responses.
//
//     if (admission.decideFlow({ .connections = n, .waiting = m, .isLastHop = true, ... }, now)
//         != FlowDecision::Accept)
//         ...                                           // decline the new flow
//     if (auto ticket = admission.begin(now))           // a request may be dispatched
//         ...
//     admission.onFirstResponse(*ticket, now);
//     admission.end(*ticket, now);
//
// The limit `bearable` on requests in progress starts at the cold value and grows only through
// completed requests. Health reports lower it and never raise it.

namespace cactusdeck {

struct AdmissionLimits
{
    std::uint32_t slots = 1;
    std::uint32_t coldSlots = 1;
    std::uint32_t connections = 1;
    std::chrono::milliseconds requestDeadline{ 10000 };

    bool operator==(const AdmissionLimits &) const = default;
};

enum class FlowDecision : std::uint8_t { Accept, Connections, Busy, Silent, Draining };
const char *nameOf(FlowDecision decision);

class Admission
{
public:
    // The server may have become cold unnoticed while it had nothing to do. After this time without
    // a normal completion only cold slots are used until the next one.
    static constexpr std::chrono::seconds warmLifetime{ 1 };
    // A server that leaves SYNs and requests unanswered for this time gets no new flows but one
    // trial per interval.
    static constexpr std::chrono::seconds silenceLimit{ 1 };
    // An endpoint that reports "cold" or "shedding" longer than this is taken to be stale.
    static constexpr std::chrono::seconds maxHealthStatusAge{ 60 };
    static constexpr std::chrono::seconds shedInterval{ 2 };
    // Within this time a response on an older flow shows that a suspected restart was none.
    static constexpr std::chrono::seconds restartSuspicionWindow{ 5 };
    static constexpr std::uint32_t maxWaiting = 1024; // queued requests and fresh flows
    // Assumed before anything was measured.
    static constexpr std::chrono::milliseconds initialLatency{ 100 };

    // The server is treated as cold from now on.
    void start(TimePoint now);
    void setLimits(const AdmissionLimits &limits);
    const AdmissionLimits &limits() const { return this->configured; }

    struct FlowRequest
    {
        std::size_t connections = 0; // open now
        std::size_t waiting = 0; // queued requests, and fresh flows that may send one soon
        bool isLastHop = true; // a later hop may be less busy, so earlier ones decline sooner
    };
    FlowDecision decideFlow(const FlowRequest &request, TimePoint now);

    // A ticket for a request, unless bearable requests are in progress.
    std::optional<std::uint32_t> begin(TimePoint now);
    // For a server that works on its own accord: counts the work, can't prevent it.
    std::uint32_t beginServerInitiated(TimePoint now);
    void onFirstResponse(std::uint32_t ticket, TimePoint now);
    // Without a response before, the server may still work on the request: it counts as in progress
    // for as long as the server usually takes, or until the deadline while that isn't known.
    void end(std::uint32_t ticket, TimePoint now);

    // Something that the server should answer was delivered.
    void noteDelivery(TimePoint now);
    void noteServerPacket(TimePoint now);
    // The server has lost its connections: it restarted.
    void onRestart(TimePoint now);
    // The server doesn't know a connection that it should know. It has probably restarted.
    void onLostConnection(TimePoint now);
    // The server responds on a flow opened at the given time.
    void onFlowResponse(TimePoint flowOpenedAt, TimePoint now);
    // The server refused a request.
    void onShed(TimePoint now);
    // Returns true if the report shows a restart.
    bool onHealth(const ServerHealth &health, TimePoint now);
    void onTimer(TimePoint now);

    std::uint32_t effectiveLimit(TimePoint now) const;
    std::uint32_t learned() const { return this->learnedLimit; }
    std::uint32_t inProgress() const { return this->active; }
    std::uint16_t utilisation(std::size_t connections, std::size_t waiting, TimePoint now) const;
    bool isSilent(TimePoint now) const;
    bool isCold(TimePoint now) const;
    bool isServerDraining() const { return this->isDraining; }
    std::uint64_t completions() const { return this->completed; }
    std::uint64_t coldResets() const { return this->resets; }
    const LatencyBaseline &baseline() const { return this->latencies; }

private:
    struct Request
    {
        TimePoint begun;
        bool isActive = false;
        bool isServerInitiated = false;
        bool isAnswered = false;
        bool isNormal = false; // answered within the slow limit
        bool isColdSign = false; // counted as overdue
        bool isLoaded = false; // begun when more than half of the limit was in use
        std::optional<TimePoint> abandonedUntil; // ended by the caller, perhaps not by the server
    };

    std::uint32_t allocateTicket(TimePoint now, bool isServerInitiated);
    void release(std::uint32_t ticket);
    void abandon(Request &request, TimePoint now);
    void releaseAbandoned(TimePoint now);
    void resetToCold(TimePoint now);
    void halve(TimePoint now);
    void noteSlow(const Request &request, TimePoint now);
    void noteColdSign(Request &request, TimePoint now);
    void noteNormalCompletion(const Request &request, TimePoint now);
    void noteWarmUp(const Request &request, Duration latency);
    bool isHeldColdByHealth(TimePoint now) const;
    Duration timeSinceNormalCompletion(TimePoint now) const;

    AdmissionLimits configured;
    LatencyBaseline latencies;
    std::vector<Request> requests;
    std::vector<std::uint32_t> freeTickets;
    std::uint32_t active = 0;
    std::uint32_t inherited = 0; // begun before this agent started, as the server reports
    std::optional<TimePoint> inheritedUntil;
    std::uint32_t learnedLimit = 1;
    std::uint32_t normalCompletions = 0;
    std::uint32_t warmUpSamples = 0;
    Duration firstLatency{}; // slowest of the first responses
    bool isWarmedUp = false;
    std::uint32_t slowInRow = 0;
    std::uint32_t coldSigns = 0;
    std::uint64_t completed = 0;
    std::uint64_t resets = 0;
    std::optional<TimePoint> lastNormalCompletion;
    TimePoint adjustedAt; // samples of earlier requests don't count
    TimePoint coldSince;
    std::optional<TimePoint> unansweredSince;
    TimePoint lastTrial;
    std::optional<TimePoint> restartSuspectedAt; // a restart is suspected
    std::uint32_t limitBeforeSuspicion = 0;
    ServerStatus status = ServerStatus::Serving;
    TimePoint statusSince;
    TimePoint lastShed;
    std::optional<std::uint64_t> startedAt;
    bool isDraining = false;
    bool hasLimits = false;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_ADMISSION_H

#ifndef CACTUSDECK_CORE_ADMISSION_H
#define CACTUSDECK_CORE_ADMISSION_H

#include <cstdint>
#include <optional>
#include <vector>

#include "core/agent.h"
#include "core/latencybaseline.h"
#include "core/types.h"

// Admission control for one backend server: estimates from the server's responses how much load it
// can handle.
//
//     if (admission.decideFlow({ .connections = n, .waiting = m, .isLastHop = true, ... }, now)
//         != FlowDecision::Accept)
//         ...                                           // decline the new flow
//     if (auto ticket = admission.begin(now))           // a request may be dispatched
//         ...
//     admission.onFirstResponse(*ticket, now);
//     admission.end(*ticket, now);
//
// The limit on requests in progress starts at coldSlots and grows only through requests that
// complete at normal latency. Health reports may lower it and never raise it.

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
    // A server may become cold unnoticed while it is idle. After this time without a completion at
    // normal latency only coldSlots are used, until the next such completion.
    static constexpr std::chrono::seconds warmLifetime{ 1 };
    // A server that leaves SYNs and requests unanswered for this time counts as silent. It gets no
    // new flows except one trial flow per such interval.
    static constexpr std::chrono::seconds silenceLimit{ 1 };
    // The status "cold" or "shedding" is ignored when the health endpoint has reported it for
    // longer than this: the endpoint is probably wrong.
    static constexpr std::chrono::seconds maxHealthStatusAge{ 60 };
    static constexpr std::chrono::seconds shedInterval{ 2 };
    // If the server responds on an older flow within this time after a suspected restart, it has
    // not restarted, and half of the earlier limit is restored.
    static constexpr std::chrono::seconds restartSuspicionWindow{ 5 };
    // Queued requests, and new flows that may send one soon.
    static constexpr std::uint32_t maxWaiting = 1024;
    // Assumed until the latency baseline is known.
    static constexpr std::chrono::milliseconds initialLatency{ 100 };

    // The server is treated as cold from now on.
    void start(TimePoint now);
    void setLimits(const AdmissionLimits &limits);
    const AdmissionLimits &limits() const { return this->configured; }

    struct FlowRequest
    {
        std::size_t connections = 0; // open now
        std::size_t waiting = 0; // queued requests, and new flows that may send one soon
        // Other hops decline at a lower load than the last one, since a later hop may be less busy.
        bool isLastHop = true;
    };
    FlowDecision decideFlow(const FlowRequest &request, TimePoint now);

    // Returns a ticket for a request, or nothing if effectiveLimit() requests are in progress.
    std::optional<std::uint32_t> begin(TimePoint now);
    // Counts work that the server has begun without a request, which can't be prevented.
    std::uint32_t beginServerInitiated(TimePoint now);
    void onFirstResponse(std::uint32_t ticket, TimePoint now);
    // Ends the request. If the server hasn't responded, it may still be working on the request,
    // which then counts as in progress for the time that the server usually takes, or until the
    // request deadline while that time isn't known.
    void end(std::uint32_t ticket, TimePoint now);

    // A packet that the server should answer was delivered.
    void noteDelivery(TimePoint now);
    void noteServerPacket(TimePoint now);
    // The server has restarted and lost its connections.
    void onRestart(TimePoint now);
    // The server no longer has an established connection. It has probably restarted.
    void onLostConnection(TimePoint now);
    // The server has responded on a flow that was opened at the given time.
    void onFlowResponse(TimePoint flowOpenedAt, TimePoint now);
    // The server has refused a request (load shedding).
    void onShed(TimePoint now);
    // Returns true if the report shows a restart.
    bool onHealth(const ServerHealth &health, TimePoint now);
    void onTimer(TimePoint now);

    // The limit on requests in progress: the learned one, or at most coldSlots while the server may
    // be cold.
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
        bool isColdSign = false; // has been counted in coldSigns
        bool isLoaded = false; // begun when more than half of the limit was in use
        // Set if the caller gave up before a response: the request keeps its slot until then,
        // because the server may still be working on it.
        std::optional<TimePoint> abandonedUntil;
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
    // Requests in progress from before this agent's start, as the server's health endpoint reports.
    std::uint32_t inherited = 0;
    std::optional<TimePoint> inheritedUntil;
    std::uint32_t learnedLimit = 1;
    std::uint32_t normalCompletions = 0;
    std::uint32_t warmUpSamples = 0;
    Duration firstLatency{}; // highest latency among the first responses
    bool isWarmedUp = false;
    std::uint32_t slowInRow = 0;
    std::uint32_t coldSigns = 0;
    std::uint64_t completed = 0;
    std::uint64_t resets = 0;
    std::optional<TimePoint> lastNormalCompletion;
    // Last decrease of the limit. Requests begun earlier don't change the limit any more.
    TimePoint adjustedAt;
    TimePoint coldSince;
    std::optional<TimePoint> unansweredSince;
    TimePoint lastTrial;
    std::optional<TimePoint> restartSuspectedAt;
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

#ifndef CACTUSDECK_SOAK_GUARANTEES_H
#define CACTUSDECK_SOAK_GUARANTEES_H

#include <array>
#include <cstdint>
#include <iostream>
#include <string>

#include "core/types.h"

// The guarantees that a soak checks from what callers and servers observe, and how often each was
// checked and broken. The log and tools/soak.sh call them promises.
//
//     guarantees.check(Guarantee::PacketsUnchanged, packet.isIntact, now, "server s2");

namespace cactusdeck::soak {

enum class Guarantee : std::uint8_t {
    PacketsUnchanged, // each end receives the bytes that the other end sent
    OpenFlowKept, // no reset while the server run that holds the flow is up and its route exists
    RequestAnswered, // within Callers::answerLimit, unless a fault affects the flow
    RequestOnce, // a request is executed by a single run of a single server
    DrainKept, // no new flow on a server after its drain is acknowledged
    EvacuationKept, // no new flow in an evacuated failure domain after Soak::evacuationLimit
    ColdKept, // a cold server gets no more flows per second than it can serve, plus an allowance
    RouteInForce, // after Soak::changeLimit added routes are served and removed ones are not
    Recovered, // each new flow opens after the faults have ended
    DirectoryKept, // at the end each balancer has its entry in the store, also after restores
    CleanExit, // nodes end only when killed by the soak, or with status 0 when asked to stop
};
inline constexpr std::size_t guaranteeCount = 11;

class GuaranteeChecks
{
public:
    explicit GuaranteeChecks(TimePoint start)
        : startedAt(start)
    { }

    void check(Guarantee guarantee, bool isKept, TimePoint now, const std::string &what)
    {
        ++this->checked[std::size_t(guarantee)];
        if (isKept)
            return;
        ++this->broken[std::size_t(guarantee)];
        this->log(now, "broken promise=" + std::string(nameOf(guarantee)) + " " + what);
    }

    void log(TimePoint now, const std::string &text) const
    {
        using Milliseconds = std::chrono::milliseconds;
        const auto at = std::chrono::duration_cast<Milliseconds>(now - this->startedAt);
        std::cout << "at_ms=" << at.count() << ' ' << text << '\n' << std::flush;
    }

    std::uint64_t checks(Guarantee guarantee) const
    {
        return this->checked[std::size_t(guarantee)];
    }
    std::uint64_t breaks(Guarantee guarantee) const { return this->broken[std::size_t(guarantee)]; }

    static const char *nameOf(Guarantee guarantee)
    {
        static constexpr std::array<const char *, guaranteeCount> names = {
            "packets_unchanged", "open_flow_kept",  "request_answered", "request_once",
            "drain_kept",        "evacuation_kept", "cold_kept",        "route_in_force",
            "recovered",         "directory_kept",  "clean_exit"
        };
        return names[std::size_t(guarantee)];
    }

private:
    TimePoint startedAt;
    std::array<std::uint64_t, guaranteeCount> checked{};
    std::array<std::uint64_t, guaranteeCount> broken{};
};

} // namespace cactusdeck::soak

#endif // CACTUSDECK_SOAK_GUARANTEES_H

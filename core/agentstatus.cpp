#include "core/agentstatus.h"

namespace cactusdeck {

namespace {

nlohmann::json toJson(const AgentCounters &counters)
{
    return { { "accepted", counters.accepted },
             { "declined", counters.declined },
             { "rejected", counters.rejected },
             { "adopted", counters.adopted },
             { "forwarded", counters.forwarded },
             { "missed", counters.missed },
             { "malformed", counters.malformed },
             { "wrongService", counters.wrongService },
             { "wrongIncarnation", counters.wrongIncarnation },
             { "wrongAcknowledgement", counters.wrongAcknowledgement },
             { "halfOpenResets", counters.halfOpenResets },
             { "lateFromServer", counters.lateFromServer },
             { "strayFromServer", counters.strayFromServer },
             { "droppedZoneOut", counters.droppedZoneOut },
             { "droppedRequests", counters.droppedRequests },
             { "droppedSyn", counters.droppedSyn },
             { "toServer", counters.toServer },
             { "toFabric", counters.toFabric } };
}

nlohmann::json toJson(const Admission &admission, TimePoint now)
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    return { { "bearable", admission.effectiveLimit(now) },
             { "learned", admission.learned() },
             { "slots", admission.limits().slots },
             { "coldSlots", admission.limits().coldSlots },
             { "connections", admission.limits().connections },
             { "inProgress", admission.inProgress() },
             { "completions", admission.completions() },
             { "coldResets", admission.coldResets() },
             { "silent", admission.isSilent(now) },
             { "baselineMicroseconds",
               duration_cast<microseconds>(admission.baseline().latency()).count() } };
}

} // namespace

nlohmann::json statusOf(const AgentState &state, TimePoint now)
{
    return { { "flows",
               { { "open", state.flows.openCount() },
                 { "known", state.flows.size() },
                 { "probing", state.probes.size() } } },
             { "requests",
               { { "queued", state.requests.queued() },
                 { "waiting", state.requests.waiting() },
                 { "expired", state.requests.expired() } } },
             { "admission", toJson(state.admission, now) },
             { "counters", toJson(state.counters) },
             { "configuration", state.configuration },
             { "incarnation", state.incarnation },
             { "utilisation", state.utilisation(now) },
             { "zoneOut", state.isZoneOut },
             { "draining", state.isDraining },
             { "stale", state.isStale } };
}

} // namespace cactusdeck

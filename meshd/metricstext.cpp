#include "meshd/metricstext.h"

#include <array>
#include <cmath>

namespace cactusdeck::meshd {

namespace {

template <typename Counters>
struct NamedCounter
{
    const char *name;
    std::uint64_t Counters::*value;
};

using mesh::AgentCounters;
using mesh::BalancerCounters;

constexpr std::array balancerCounters = {
    NamedCounter<BalancerCounters>{ "packets_total", &BalancerCounters::packets },
    NamedCounter<BalancerCounters>{ "malformed_total", &BalancerCounters::malformed },
    NamedCounter<BalancerCounters>{ "flows_placed_total", &BalancerCounters::placed },
    NamedCounter<BalancerCounters>{ "flows_placed_in_zone_total", &BalancerCounters::placedInZone },
    NamedCounter<BalancerCounters>{ "packets_held_total", &BalancerCounters::held },
    NamedCounter<BalancerCounters>{ "packets_forwarded_total", &BalancerCounters::forwarded },
    NamedCounter<BalancerCounters>{ "flow_searches_total", &BalancerCounters::searches },
    NamedCounter<BalancerCounters>{ "flow_questions_total", &BalancerCounters::questions },
    NamedCounter<BalancerCounters>{ "flow_probes_total", &BalancerCounters::probes },
    NamedCounter<BalancerCounters>{ "flow_searches_found_total", &BalancerCounters::searchesFound },
    NamedCounter<BalancerCounters>{ "flow_searches_expired_total",
                                    &BalancerCounters::searchesExpired },
    NamedCounter<BalancerCounters>{ "agent_list_checks_total", &BalancerCounters::listChecks },
    NamedCounter<BalancerCounters>{ "agent_list_checks_failed_total",
                                    &BalancerCounters::listChecksFailed },
    NamedCounter<BalancerCounters>{ "resets_no_route_total", &BalancerCounters::resetNoRoute },
    NamedCounter<BalancerCounters>{ "resets_no_server_total", &BalancerCounters::resetNoServer },
    NamedCounter<BalancerCounters>{ "resets_ended_total", &BalancerCounters::resetEnded },
    NamedCounter<BalancerCounters>{ "packets_dropped_total", &BalancerCounters::dropped },
    NamedCounter<BalancerCounters>{ "state_changes_total", &BalancerCounters::stateChanges },
};

constexpr std::array agentCounters = {
    NamedCounter<AgentCounters>{ "flows_admitted_total", &AgentCounters::admitted },
    NamedCounter<AgentCounters>{ "flows_passed_on_total", &AgentCounters::passedOn },
    NamedCounter<AgentCounters>{ "flows_passed_on_busy_total", &AgentCounters::passedOnBusy },
    NamedCounter<AgentCounters>{ "flows_refused_total", &AgentCounters::refused },
    NamedCounter<AgentCounters>{ "packets_to_server_total", &AgentCounters::toServer },
    NamedCounter<AgentCounters>{ "packets_to_caller_total", &AgentCounters::toCaller },
    NamedCounter<AgentCounters>{ "packets_bounced_total", &AgentCounters::bounced },
    NamedCounter<AgentCounters>{ "flows_adopted_total", &AgentCounters::adopted },
    NamedCounter<AgentCounters>{ "resets_server_lost_flow_total", &AgentCounters::resetFlows },
    NamedCounter<AgentCounters>{ "unknown_flow_total", &AgentCounters::unknownFlow },
    NamedCounter<AgentCounters>{ "flow_probes_total", &AgentCounters::probes },
    NamedCounter<AgentCounters>{ "server_resets_total", &AgentCounters::serverResets },
    NamedCounter<AgentCounters>{ "server_resets_dropped_total", &AgentCounters::droppedResets },
    NamedCounter<AgentCounters>{ "packets_dropped_evacuated_total",
                                 &AgentCounters::droppedEvacuated },
    NamedCounter<AgentCounters>{ "packets_dropped_earlier_flow_total",
                                 &AgentCounters::droppedEarlierFlow },
    NamedCounter<AgentCounters>{ "flows_unservable_total", &AgentCounters::unservable },
    NamedCounter<AgentCounters>{ "malformed_total", &AgentCounters::malformed },
    NamedCounter<AgentCounters>{ "heartbeats_total", &AgentCounters::heartbeats },
    NamedCounter<AgentCounters>{ "heartbeats_stale_total", &AgentCounters::staleHeartbeats },
    NamedCounter<AgentCounters>{ "heartbeats_rejected_total", &AgentCounters::rejectedHeartbeats },
};

class MetricsBuilder
{
public:
    template <typename Value>
    void add(const char *name, Value value)
    {
        this->text += std::string("cactusdeck_") + name + " " + std::to_string(value) + "\n";
    }
    template <typename Counters, std::size_t N>
    void add(const std::array<NamedCounter<Counters>, N> &table, const Counters &counters)
    {
        for (const NamedCounter<Counters> &entry : table)
            this->add(entry.name, counters.*(entry.value));
    }
    void add(const char *name, const mesh::LatencyHistogram &histogram)
    {
        for (const auto &bucket : histogram.cumulative()) {
            const std::string bound = std::isinf(bucket.below.count())
                                              ? "+Inf"
                                              : std::to_string(bucket.below.count());
            this->text += std::string("cactusdeck_") + name + "_bucket{le=\"" + bound + "\"} "
                          + std::to_string(bucket.count) + "\n";
        }
    }
    void add(const mesh::Traffic &traffic)
    {
        for (std::size_t i = 0; i < mesh::messageKindNames.size(); ++i) {
            const auto kind = mesh::MessageKind(i);
            for (const bool isHome : { true, false }) {
                const std::string labels = std::string("{kind=\"") + mesh::messageKindNames[i]
                                           + "\",domain=\"" + (isHome ? "same" : "other") + "\"}";
                this->add(("mesh_bytes_total" + labels).c_str(), traffic.bytes(kind, isHome));
                this->add(("mesh_messages_total" + labels).c_str(), traffic.messages(kind, isHome));
            }
        }
    }
    void add(const LogWriter &log)
    {
        this->add("log_lines_total", log.lines());
        this->add("log_lines_left_out_total", log.dropped());
    }

    std::string text;
};

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

std::string metricsText(const mesh::Balancer &balancer, const LogWriter &log, TimePoint now)
{
    MetricsBuilder text;
    text.add(balancerCounters, balancer.counters());
    text.add(balancer.traffic());
    const mesh::FleetState &state = balancer.state();
    text.add("configuration_version", state.configurationVersion());
    text.add("evacuation_era", state.evacuationsAsOf().era);
    text.add("evacuation_revision", state.evacuationsAsOf().revision);
    text.add("zones_evacuated", state.evacuated().size());
    text.add("evacuations_held", state.heldEvacuations(now).size());
    text.add("agents_known", balancer.agents().possibleOwners().size());
    text.add("balancers_live", balancer.liveBalancers(now));
    text.add("ready", int(balancer.isReady(now)));
    text.add("store_queries_total", balancer.reader().queries());
    text.add("store_queries_failed_total", balancer.reader().failed());
    if (balancer.reader().lastAnswer() != TimePoint{})
        text.add("store_answer_age_seconds", seconds(now - balancer.reader().lastAnswer()));
    text.add(log);
    return std::move(text.text);
}

std::string metricsText(const mesh::Agent &agent, const LogWriter &log, TimePoint now)
{
    MetricsBuilder text;
    text.add(agentCounters, agent.counters());
    text.add(agent.traffic());
    text.add("server_phase", int(agent.server().phase()));
    text.add("server_cold", int(agent.server().isCold(now)));
    text.add("flows_open", agent.flowCount());
    text.add("requests_in_progress", agent.load().inProgress());
    text.add("requests_per_second", agent.load().requestsPerSecond(now));
    text.add("answer_seconds", agent.answerTimes());
    text.add("opening_seconds", agent.openingTimes());
    text.add("service_time_seconds", seconds(agent.load().serviceTime()));
    text.add("requests_held_total", agent.requests().held());
    text.add("requests_expired_total", agent.requests().expired());
    text.add("requests_waiting", agent.requests().waiting());
    text.add("requests_at_server", agent.requests().atServer());
    for (const mesh::RouteLoad &load : agent.costs().loads(now)) {
        const std::string labels = "{route=\"" + toString(load.route) + "\"}";
        text.add(("route_flows" + labels).c_str(), load.flows);
        text.add(("route_requests_per_second" + labels).c_str(), load.requestsPerSecond);
        text.add(("route_service_time_seconds" + labels).c_str(), seconds(load.serviceTime));
    }
    text.add(log);
    return std::move(text.text);
}

} // namespace cactusdeck::meshd

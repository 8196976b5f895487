#include "mesh/balancer.h"

#include <algorithm>
#include <map>

#include <xxhash.h>

#include "mesh/forwarding.h"

// How a balancer finds the agent of a flow that is not in its cache.

namespace cactusdeck::mesh {

void Balancer::search(const Segment &segment, std::uint64_t flowHash, TimePoint now, Sink &sink)
{
    if (FlowSearch *search = this->searches.find(flowHash)) {
        search->hold(segment.bytes);
        return;
    }
    SearchSends sends;
    const SearchPlan plan = this->planSearch(segment.key, sends, now);
    if (plan.mayBeAbandoned && this->wasProbedInVain(flowHash, now)) {
        ++this->counts.dropped;
        sink.log(Level::Info, "packet_dropped",
                 { { "flow", toString(segment.key) }, { "reason", "flow_may_be_abandoned" } });
        return;
    }
    this->beginSearch(segment, plan, sends, now, sink);
}

void Balancer::beginSearch(const Segment &segment, const SearchPlan &plan, const SearchSends &sends,
                           TimePoint now, Sink &sink)
{
    if (sends.questions.empty() && sends.chains.empty() && plan.unconfirmed.empty()) {
        ++this->counts.dropped;
        sink.log(Level::Warning, "packet_dropped",
                 { { "flow", toString(segment.key) }, { "reason", "no_agent_known" } });
        return;
    }
    FlowSearch *search = this->searches.begin(segment.key, plan, now);
    if (search == nullptr) {
        ++this->counts.dropped;
        sink.log(Level::Warning, "packet_dropped",
                 { { "flow", toString(segment.key) }, { "reason", "too_many_searches" } });
        return;
    }
    ++this->counts.searches;
    search->hold(segment.bytes);
    for (const AgentIndex agent : sends.questions) {
        this->directory.onAsked(agent, now);
        this->ask(agent, segment, sink);
    }
    this->sendChains(segment, sends.chains, sink);
    this->applySearchStage(hashOf(segment.key), search->stage(), now, sink);
}

void Balancer::sendChains(const Segment &segment, const Chains &chains, Sink &sink)
{
    this->counts.probes += chains.size();
    for (const std::vector<AgentIndex> &chain : chains)
        this->forward(segment, chain, frameflag::probe, sink);
}

SearchPlan Balancer::planSearch(const FlowKey &key, SearchSends &sends, TimePoint now)
{
    // Agents of all services, since the flow may be older than the route's current targets.
    const std::vector<AgentIndex> possibleOwners = this->directory.possibleOwners();
    const Bucket bucket = bucketOf(hashOf(key));
    // Flows are placed in the caller's domain if possible, so most owners are there.
    const auto home =
            std::count_if(possibleOwners.begin(), possibleOwners.end(), [this](AgentIndex agent) {
                return this->isHome(this->directory.at(agent));
            });
    const bool isAskingHome = this->questions.take(double(home), now);
    SearchPlan plan{ .listVersion = this->directory.listVersion() };
    std::vector<AgentIndex> chained;
    for (const AgentIndex agent : possibleOwners) {
        const AgentDirectory::Agent &entry = this->directory.at(agent);
        const bool isRuledOut = entry.report.knowsAllFlows && !entry.report.holdings.test(bucket);
        const bool isAskedAnyway = isAskingHome && this->isHome(entry);
        if (this->directory.isAbandoned(entry, now))
            continue;
        // Of an agent in a chain it is not known whether it is the one that does not answer.
        if (this->directory.mayBeAbandoned(entry, now))
            sends.questions.push_back(agent);
        if (!this->directory.isResponding(entry, now)) {
            plan.isComplete = false;
            if (isAskedAnyway || !isRuledOut)
                sends.questions.push_back(agent);
        } else if (isRuledOut && !isAskedAnyway) {
            plan.unconfirmed.push_back(agent);
        } else if (isAskedAnyway || entry.report.knowsAllFlows || !entry.hasReported()) {
            plan.asked.push_back(agent);
            sends.questions.push_back(agent);
        } else if (this->mayHold(key, agent)) {
            // Some time after an evacuation, agents of the domain forward packets without
            // consulting their servers, so a chain through them rules nothing out.
            const bool isEvacuated = this->fleet.isEvacuated(entry.report.zone, now);
            plan.isComplete &= !isEvacuated;
            plan.mayBeAbandoned |= isEvacuated;
            if (!isEvacuated)
                (this->isHome(entry) ? chained : plan.unconfirmed).push_back(agent);
            else if (this->mayServeOpenFlows(entry.report.zone, now))
                plan.unconfirmed.push_back(agent);
        } else if (!this->fleet.knowsFormerTargets()) {
            // The agent's service may have been a target of the address.
            plan.isComplete = false;
        }
    }
    this->planChains(key, chained, plan, sends.chains, now);
    return plan;
}

// Agents that started later than their servers do not know all flows; only the servers do. To ask
// each agent and then send each the packet would take a hundred datagrams per flow, from a balancer
// that searches for all its flows at once when everything has restarted. In a chain the agents
// forward the packet themselves, and the last one answers if no server has the flow. A chain stays
// within one failure domain, since bytes between domains are expensive.
void Balancer::planChains(const FlowKey &key, const std::vector<AgentIndex> &agents,
                          SearchPlan &plan, Chains &chains, TimePoint now) const
{
    std::map<ZoneName, std::vector<AgentIndex>> zones;
    for (const AgentIndex agent : agents)
        zones[this->directory.at(agent).report.zone].push_back(agent);
    // Each attempt starts at another agent, since a chain breaks off at an agent that has stopped.
    const std::uint64_t turn = hashOf(key) ^ std::uint64_t(now.time_since_epoch().count());
    for (auto &[zone, members] : zones) {
        const auto first = std::ptrdiff_t(XXH3_64bits(&turn, sizeof turn) % members.size());
        std::rotate(members.begin(), members.begin() + first, members.end());
        for (std::span<const AgentIndex> rest = members; !rest.empty();) {
            const auto chain = rest.first(std::min(rest.size(), maxHops));
            plan.hasChains = true;
            plan.asked.push_back(chain.back());
            chains.emplace_back(chain.begin(), chain.end());
            rest = rest.subspan(chain.size());
        }
    }
}

void Balancer::ask(AgentIndex agent, const Segment &segment, Sink &sink)
{
    this->ask(std::span(&agent, 1), segment, sink);
}

void Balancer::ask(std::span<const AgentIndex> agents, const Segment &segment, Sink &sink)
{
    ++this->counts.questions;
    const std::span<const std::uint8_t> head = this->options.codec->head(segment);
    this->sent.add(MessageKind::Search, this->isHome(this->directory.at(agents.front())),
                   head.size());
    std::vector<Endpoint> hops;
    for (const AgentIndex agent : agents)
        hops.push_back(this->directory.at(agent).endpoint);
    sendToHops({ .flags = frameflag::locate, .replyTo = this->options.mesh }, hops, head, sink);
}

bool Balancer::mayHold(const FlowKey &key, AgentIndex agent) const
{
    return this->fleet.mayServe(key.destination, this->directory.at(agent).report.service);
}

void Balancer::onSearchAnswer(std::uint64_t flowHash, AgentIndex agent, SearchAnswer answer,
                              TimePoint now, Sink &sink)
{
    if (FlowSearch *search = this->searches.find(flowHash))
        this->applySearchStage(flowHash, search->onAnswer(agent, answer), now, sink);
}

void Balancer::applySearchStage(std::uint64_t flowHash, SearchStage stage, TimePoint now,
                                Sink &sink)
{
    FlowSearch *search = this->searches.find(flowHash);
    if (stage == SearchStage::MustProbe) {
        this->probe(flowHash, *search, now, sink);
    } else if (stage == SearchStage::MustConfirm) {
        this->confirm(*search, now, sink);
    } else if (stage == SearchStage::Exhausted) {
        this->finishSearch(flowHash, now, sink);
    } else if (stage == SearchStage::Unresolved) {
        ++this->counts.searchesExpired;
        sink.log(Level::Info, "search_unresolved", { { "flow", toString(search->key()) } });
        // A new balancer may not have heard the flow's agent yet.
        if (search->mayBeAbandoned() && !search->isUnanswered() && !this->isNew(now))
            this->countProbe(flowHash, now);
        this->searches.erase(flowHash);
    }
}

void Balancer::onSearchDeadline(std::uint64_t flowHash, TimePoint now, Sink &sink)
{
    FlowSearch *search = this->searches.find(flowHash);
    const std::vector<AgentIndex> &missing = search->missing();
    sink.log(Level::Info, "search_unanswered",
             { { "flow", toString(search->key()) },
               { "stage", std::to_string(int(search->stage())) },
               { "missing", std::to_string(missing.size()) },
               { "first_missing",
                 missing.empty() ? "none"
                                 : this->directory.at(missing.front()).report.name.value } });
    // The last agent of a chain does not answer once its domain's grace is over.
    const bool isAnswerExpected =
            std::any_of(missing.begin(), missing.end(), [&](AgentIndex agent) {
                return !this->fleet.isEvacuated(this->directory.at(agent).report.zone, now);
            });
    this->applySearchStage(flowHash, search->onDeadline(isAnswerExpected), now, sink);
}

void Balancer::probe(std::uint64_t flowHash, FlowSearch &search, TimePoint now, Sink &sink)
{
    const std::vector<std::uint8_t> packet = search.packets().front();
    const std::optional<Segment> segment = this->options.codec->parse(packet);
    if (!segment)
        return;
    std::vector<AgentIndex> agents;
    const std::vector<AgentIndex> unsure = search.unsure();
    for (const AgentIndex agent : unsure) {
        if (this->mayHold(segment->key, agent))
            agents.push_back(agent);
        else if (this->fleet.knowsFormerTargets())
            search.ruleOut(agent);
    }
    this->counts.probes += agents.size();
    for (const AgentIndex agent : agents)
        this->forward(*segment, agent, frameflag::probe, sink);
    search.startProbing(std::move(agents), now);
    this->applySearchStage(flowHash, search.stage(), now, sink);
}

void Balancer::confirm(FlowSearch &search, TimePoint now, Sink &sink)
{
    const std::vector<std::uint8_t> packet = search.packets().front();
    const std::optional<Segment> segment = this->options.codec->parse(packet);
    if (!segment)
        return;
    std::vector<AgentIndex> knowing; // agents that can answer without their servers
    std::vector<AgentIndex> others;
    for (const AgentIndex agent : search.unconfirmed())
        (this->directory.at(agent).report.knowsAllFlows ? knowing : others).push_back(agent);
    SearchPlan plan;
    Chains questionChains;
    Chains probeChains;
    this->planChains(segment->key, knowing, plan, questionChains, now);
    this->planChains(segment->key, others, plan, probeChains, now);
    search.startConfirming(std::move(plan.asked), now);
    for (const std::vector<AgentIndex> &chain : questionChains)
        this->ask(chain, *segment, sink);
    this->sendChains(*segment, probeChains, sink);
}

void Balancer::finishSearch(std::uint64_t flowHash, TimePoint now, Sink &sink)
{
    FlowSearch *search = this->searches.find(flowHash);
    const bool isNew = now - this->startedAt < agentDiscoveryTime;
    const bool isCertain = isNew || search->isOwnerKnown();
    if (!isCertain && search->listVersion() != this->directory.listVersion()) {
        this->searchAgain(flowHash, now, sink);
        return;
    }
    if (isCertain || this->listCheck.isCompleteSince(search->begunAt())) {
        this->declareLost(flowHash, !isNew, sink);
        return;
    }
    search->startListCheck(now);
    this->beginListCheck(now, sink);
}

// A caller whose flow is lost is told so, and does not wait for an answer in vain.
void Balancer::declareLost(std::uint64_t flowHash, bool isCertain, Sink &sink)
{
    const FlowSearch *search = this->searches.find(flowHash);
    const std::vector<std::uint8_t> packet = search->packets().front();
    this->searches.erase(flowHash);
    this->cache.erase(flowHash);
    const std::optional<Segment> segment = this->options.codec->parse(packet);
    if (!segment)
        return;
    // A caller that sent only an acknowledgement waits for no answer and needs no reset.
    if (isCertain && (segment->payloadLength > 0 || segment->has(tcpflag::fin))) {
        this->reset(*segment, "flow_unknown", this->counts.resetEnded, sink);
        return;
    }
    ++this->counts.dropped;
    sink.log(Level::Info, "packet_dropped",
             { { "flow", toString(segment->key) },
               { "reason", "flow_unknown" },
               { "certain", isCertain ? "yes" : "no" } });
}

void Balancer::beginListCheck(TimePoint now, Sink &sink)
{
    this->nextListCheck = TimePoint::max();
    if (this->listCheck.isPending())
        return;
    if (!this->listCheck.mayBegin(now)) {
        this->nextListCheck = this->listCheck.nextBegin();
        return;
    }
    const std::vector<Endpoint> live = this->peers.live(now);
    if (live.empty()) {
        // Balancers that are known but not heard may know agents that this one lacks.
        if (this->peers.knowsOthers())
            return;
        this->listCheck.completeAlone(now);
        this->onListChecked(AgentListCheck::Outcome::Complete, now, sink);
        return;
    }
    ++this->counts.listChecks;
    const std::vector<std::uint8_t> bytes = encode(AgentListQuery{
            .round = this->listCheck.begin(live, now), .digest = this->directory.digest(now) });
    for (const Endpoint &peer : live) {
        this->sent.add(MessageKind::Hello, this->peers.isHome(peer), bytes.size());
        sink.toNode(peer, bytes, {});
    }
}

void Balancer::onListQuery(const AgentListQuery &query, Endpoint from, TimePoint now, Sink &sink)
{
    AgentListAnswer answer{ .round = query.round };
    if (query.digest != this->directory.digest(now))
        answer.agents = this->directory.heardOwners(now);
    const std::vector<std::uint8_t> bytes = encode(answer);
    this->sent.add(MessageKind::Hello, this->peers.isHome(from), bytes.size());
    sink.toNode(from, bytes, {});
}

void Balancer::onListAnswer(const AgentListAnswer &answer, Endpoint from, TimePoint now, Sink &sink)
{
    const bool hasMissing = this->directory.addMissing(answer.agents, now);
    if (const auto outcome = this->listCheck.onAnswer(from, answer.round, hasMissing))
        this->onListChecked(*outcome, now, sink);
}

void Balancer::onListChecked(AgentListCheck::Outcome outcome, TimePoint now, Sink &sink)
{
    bool isWaiting = false;
    this->counts.listChecksFailed += outcome == AgentListCheck::Outcome::Failed ? 1 : 0;
    if (outcome != AgentListCheck::Outcome::Complete)
        sink.log(Level::Info, "agent_list_checked",
                 { { "complete", "no" },
                   { "extended", outcome == AgentListCheck::Outcome::Extended ? "yes" : "no" } });
    for (const std::uint64_t flowHash : this->searches.inListCheck()) {
        const FlowSearch *search = this->searches.find(flowHash);
        // The list may have grown since the search was planned, also by a report.
        if (search->listVersion() != this->directory.listVersion())
            this->searchAgain(flowHash, now, sink);
        else if (this->listCheck.isCompleteSince(search->begunAt()))
            this->declareLost(flowHash, true, sink);
        else
            isWaiting = true;
    }
    if (isWaiting)
        this->beginListCheck(now, sink);
}

void Balancer::searchAgain(std::uint64_t flowHash, TimePoint now, Sink &sink)
{
    const std::vector<std::vector<std::uint8_t>> packets = this->searches.find(flowHash)->packets();
    this->searches.erase(flowHash);
    for (const std::vector<std::uint8_t> &packet : packets) {
        if (const auto segment = this->options.codec->parse(packet))
            this->search(*segment, flowHash, now, sink);
    }
}

bool Balancer::mayServeOpenFlows(const ZoneName &evacuated, TimePoint now) const
{
    const auto since = this->evacuatedSince.find(evacuated);
    return since != this->evacuatedSince.end() && now - since->second < evacuationGrace;
}

bool Balancer::wasProbedInVain(std::uint64_t flowHash, TimePoint now) const
{
    const auto it = this->probed.find(flowHash);
    return it != this->probed.end() && now - it->second.front() < probeWindow;
}

void Balancer::countProbe(std::uint64_t flowHash, TimePoint now)
{
    const auto [it, isNew] = this->probed.try_emplace(flowHash);
    ProbeTimes &times = it->second;
    if (isNew)
        times.fill(now - probeWindow);
    std::rotate(times.begin(), times.begin() + 1, times.end());
    times.back() = now;
}

} // namespace cactusdeck::mesh

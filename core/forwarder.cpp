#include "core/forwarder.h"

#include <algorithm>
#include <array>

namespace cactusdeck {

namespace {

using namespace std::chrono_literals;

constexpr double retryShare = 0.1; // hops that each new flow adds to the budget
constexpr double retryBurst = 100;
// A cached owner is asked at this interval to confirm the flow. Its reply also reports its load.
constexpr std::uint32_t confirmIntervalTicks = 16;
using Tick = std::chrono::duration<std::int64_t, std::ratio<1, 16>>;
constexpr std::uint8_t maxAttempts = 100;

std::uint32_t stampOf(TimePoint now)
{
    return std::uint32_t(std::chrono::floor<Tick>(now.time_since_epoch()).count());
}

constexpr std::array<std::string_view, routeReasonCount> reasonNames = {
    "cached_owner",    "lookup",   "new_flow", "retried_new_flow",
    "unknown_service", "no_agent", "zone_out",
};

} // namespace

std::string_view nameOf(RouteReason reason)
{
    return reasonNames[std::size_t(reason)];
}

void Forwarder::Chain::add(SlotIndex slot)
{
    const auto end = this->slots.begin() + std::ptrdiff_t(this->size);
    if (this->size < maxHops && std::find(this->slots.begin(), end, slot) == end)
        this->slots[this->size++] = slot;
}

Forwarder::Forwarder(ForwarderOptions forwarderOptions)
    : options(forwarderOptions)
    , cache(forwarderOptions.flowCacheEntries)
    , retryTokens(retryBurst)
{ }

// Ignores an entry whose slot has been reused for another agent. Whether the agent carries the
// service isn't checked here: it did when the entry was made, and the agent checks again.
const FlowCache::Entry *Forwarder::validEntry(std::uint64_t flowHash) const
{
    const FlowCache::Entry *entry = this->cache.find(flowHash);
    if (entry == nullptr)
        return nullptr;
    const AgentHop &hop = this->registry.hopOf(entry->agent);
    return hop.isPresent && hop.generation == entry->generation ? entry : nullptr;
}

void Forwarder::addIfPresent(SlotIndex slot, Chain &chain) const
{
    const AgentHop &hop = this->registry.hopOf(slot);
    if (hop.isPresent && !hop.isZoneOut)
        chain.add(slot);
}

void Forwarder::addHomes(const ServiceRoute &route, Bucket bucket, Chain &chain) const
{
    const auto order = route.table.order(bucket);
    for (const std::uint16_t member : order.first(std::min(order.size(), homeAgents)))
        this->addIfPresent(route.memberSlots[member], chain);
}

// Agents that reported flows in the bucket come first. The agents whose current report hasn't
// arrived yet and the rest of the placement order follow, because they may hold the flow as well.
void Forwarder::addHolders(const ServiceRoute &route, Bucket bucket, Chain &chain) const
{
    for (const SlotIndex slot : route.holdersOf(bucket))
        this->addIfPresent(slot, chain);
    for (const SlotIndex slot : route.unconfirmed)
        this->addIfPresent(slot, chain);
    for (const std::uint16_t member : route.table.order(bucket))
        this->addIfPresent(route.memberSlots[member], chain);
}

void Forwarder::planNewFlow(const ServiceRoute &route, Bucket bucket, const FlowCache::Entry *entry,
                            TimePoint now, Plan &plan) const
{
    std::array<SlotIndex, maxHops> usable{};
    std::array<SlotIndex, maxHops> silent{};
    std::size_t usableCount = 0;
    std::size_t silentCount = 0;
    for (const std::uint16_t member : route.table.order(bucket)) {
        const SlotIndex slot = route.memberSlots[member];
        const AgentSlot &agent = this->registry.at(slot);
        if (!agent.takesNewFlows)
            continue;
        if (agent.load.isResponding(now))
            usable[usableCount++] = slot;
        else
            silent[silentCount++] = slot;
    }
    if (usableCount >= homeAgents) {
        const AgentSlot &first = this->registry.at(usable[0]);
        const AgentSlot &second = this->registry.at(usable[1]);
        bool isSecondBetter =
                second.load.load(second.weight, now) < first.load.load(first.weight, now);
        // The previous first packet got no reply. Its agent may have failed, so the other home
        // agent goes first.
        if (entry != nullptr && entry->isPending())
            isSecondBetter = entry->agent == usable[0];
        if (isSecondBetter)
            std::swap(usable[0], usable[1]);
    }
    // Without budget a new flow is offered to the home agents only, so that declined flows of an
    // overloaded service don't load all its agents with forwarding.
    const bool hasBudget = this->retryTokens >= 1;
    const std::size_t depth = hasBudget ? usableCount : std::min(usableCount, homeAgents);
    for (std::size_t i = 0; i < depth; ++i)
        plan.chain.add(usable[i]);
    for (std::size_t i = 0; i < silentCount && plan.chain.size < homeAgents; ++i)
        plan.chain.add(silent[i]);
}

Forwarder::Plan Forwarder::plan(const ServiceRoute &route, const PacketView &view, Bucket bucket,
                                const FlowCache::Entry *entry, TimePoint now) const
{
    Plan plan;
    const bool isUdp = view.key.protocol == Protocol::Udp;
    plan.canBeNew = isUdp || view.isSyn();
    const bool hasOwner = entry != nullptr && !entry->isPending();
    const bool isOwnerOut = hasOwner && this->registry.hopOf(entry->agent).isZoneOut;
    if (isOwnerOut && !plan.canBeNew) {
        plan.reason = RouteReason::ZoneOut;
        return plan;
    }
    if (hasOwner && !isOwnerOut)
        plan.chain.add(entry->agent);
    if (view.isSyn()) {
        this->planNewFlow(route, bucket, entry, now, plan);
        plan.reason = entry != nullptr && entry->isPending() ? RouteReason::RetriedNewFlow
                                                             : RouteReason::NewFlow;
    } else if (hasOwner && !isOwnerOut && entry->isConfirmed()) {
        // One hop is enough: an agent that doesn't know the flow says so in a reply, and the next
        // packet is sent along a full chain.
        plan.reason = RouteReason::CachedOwner;
    } else if (isUdp) {
        // The first agent of the chain accepts an unknown UDP flow, so agents that reported flows
        // in the bucket go first.
        for (const SlotIndex slot : route.holdersOf(bucket))
            this->addIfPresent(slot, plan.chain);
        this->addHomes(route, bucket, plan.chain);
        plan.reason = RouteReason::NewFlow;
    } else {
        this->addHomes(route, bucket, plan.chain);
        this->addHolders(route, bucket, plan.chain);
        plan.reason = RouteReason::Lookup;
    }
    if (plan.chain.size == 0)
        plan.reason = RouteReason::NoAgent;
    return plan;
}

void Forwarder::updateCache(std::uint64_t flowHash, const Plan &plan, const FlowCache::Entry *entry,
                            TimePoint now, ForwardFrame &frame)
{
    const std::uint32_t stamp = stampOf(now);
    if (plan.reason == RouteReason::CachedOwner) {
        if (stamp - entry->stamp < confirmIntervalTicks)
            return;
        this->cache.find(flowHash)->stamp = stamp;
    }
    frame.flags |= frameflag::replyWanted;
    if (plan.canBeNew) {
        frame.flags |= frameflag::newFlow;
        this->recordNewFlow(flowHash, plan.chain.slots[0], stamp, now);
    }
}

void Forwarder::recordNewFlow(std::uint64_t flowHash, SlotIndex first, std::uint32_t stamp,
                              TimePoint now)
{
    this->registry.at(first).load.onPlaced(now);
    const bool isFirstTry = this->cache.find(flowHash) == nullptr;
    FlowCache::Entry &entry = this->cache.insert(flowHash, stamp);
    entry.stamp = stamp;
    if (!entry.isPending())
        return;
    if (isFirstTry)
        this->retryTokens = std::min(retryBurst, this->retryTokens + retryShare);
    entry.agent = first;
    entry.generation = this->registry.hopOf(first).generation;
    entry.attempts = std::uint8_t(std::min<int>(entry.attempts + 1, maxAttempts));
}

RouteReason Forwarder::route(const PacketView &view, TimePoint now, ForwardFrame &frame)
{
    const ServiceRoute *route = this->routingTable.find(view.key.destination, view.key.protocol);
    if (route == nullptr)
        return RouteReason::UnknownService;
    const std::uint64_t flowHash = hashOf(view.key);
    const Bucket bucket = bucketOf(flowHash);
    const FlowCache::Entry *entry = this->validEntry(flowHash);
    const Plan plan = this->plan(*route, view, bucket, entry, now);
    if (!isForwarded(plan.reason))
        return plan.reason;
    frame.flags = 0;
    frame.service = route->id;
    frame.bucket = bucket;
    frame.digest = route->table.digest();
    frame.configuration = this->configuration;
    frame.replyTo = this->options.replyTo;
    frame.hopIndex = 0;
    frame.hopCount = std::uint8_t(plan.chain.size);
    for (std::size_t i = 0; i < plan.chain.size; ++i)
        frame.hops[i] = this->registry.hopOf(plan.chain.slots[i]).hop;
    this->updateCache(flowHash, plan, entry, now, frame);
    return plan.reason;
}

RouteReason Forwarder::explain(const PacketView &view, TimePoint now, Chain &chain) const
{
    const ServiceRoute *route = this->routingTable.find(view.key.destination, view.key.protocol);
    if (route == nullptr)
        return RouteReason::UnknownService;
    const std::uint64_t flowHash = hashOf(view.key);
    const Plan plan = this->plan(*route, view, bucketOf(flowHash), this->validEntry(flowHash), now);
    chain = plan.chain;
    return plan.reason;
}

// A reply from a later hop shows that the first hop responds as well, since it forwarded the frame.
void Forwarder::markFirstHopResponding(const FlowCache::Entry *entry, TimePoint now)
{
    if (entry == nullptr || !entry->isPending())
        return;
    LoadEstimate &load = this->registry.at(entry->agent).load;
    load.onReply(load.lastUtilisation(), now);
}

void Forwarder::onReply(const ReplyFrame &reply, TimePoint now)
{
    const FlowCache::Entry *known = this->validEntry(reply.flowHash);
    this->markFirstHopResponding(known, now);
    const auto slot = this->registry.find(reply.agent);
    if (!slot)
        return;
    this->registry.raiseIncarnation(*slot, reply.incarnation);
    this->registry.at(*slot).load.onReply(reply.utilisation, now);
    const bool isTaken = reply.verdict == Verdict::Accepted || reply.verdict == Verdict::Owner;
    if (!isTaken
        || (reply.verdict == Verdict::Accepted && known != nullptr && known->agent != *slot))
        this->retryTokens -= reply.verdict == Verdict::UnknownFlow ? 0 : 1;
    this->retryTokens = std::max(0.0, this->retryTokens);
    if (!isTaken) {
        this->cache.erase(reply.flowHash);
        return;
    }
    // Two agents may accept one SYN. The one whose server the caller has acknowledged stays the
    // owner.
    if (reply.verdict == Verdict::Accepted && known != nullptr && known->isConfirmed())
        return;
    FlowCache::Entry &entry = this->cache.insert(reply.flowHash, stampOf(now));
    entry.agent = *slot;
    entry.generation = this->registry.hopOf(*slot).generation;
    entry.attempts = reply.verdict == Verdict::Owner ? FlowCache::confirmed : FlowCache::accepted;
}

} // namespace cactusdeck

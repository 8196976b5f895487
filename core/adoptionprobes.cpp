#include "core/adoptionprobes.h"

namespace cactusdeck {

namespace {

// Largest difference between the caller's and the server's sequence numbers that segments in flight
// can explain. It is larger than usual windows, and so small that the numbers of another connection
// match with a probability of 1 in 30,000.
constexpr std::uint32_t plausibleDistance = 1u << 24;

bool isNear(std::uint32_t a, std::uint32_t b)
{
    return a - b <= plausibleDistance || b - a <= plausibleDistance;
}

} // namespace

std::vector<std::uint8_t> buildKeepAlive(const FlowKey &key, std::uint32_t sequence,
                                         std::uint32_t acknowledgement)
{
    return buildPacket({ .key = key,
                         .sequence = sequence - 1,
                         .acknowledgement = acknowledgement,
                         .flags = tcpflag::ack });
}

bool AdoptionProbes::isAbsent(const FlowKey &key, TimePoint now) const
{
    const auto found = this->absentUntil.find(key);
    return found != this->absentUntil.end() && now < found->second;
}

std::vector<std::uint8_t> AdoptionProbes::build(const FlowKey &key, Probe &probe, TimePoint now)
{
    probe.sentAt = now;
    ++probe.attempts;
    return buildKeepAlive(key, probe.sequence, probe.acknowledgement);
}

std::optional<std::vector<std::uint8_t>>
AdoptionProbes::hold(const PacketView &view, std::span<const std::uint8_t> datagram, TimePoint now)
{
    auto found = this->probes.find(view.key);
    const bool isNew = found == this->probes.end();
    if (isNew) {
        if (this->probes.size() >= maxProbes)
            return std::nullopt;
        found = this->probes.emplace(view.key, Probe{}).first;
    }
    Probe &probe = found->second;
    if (probe.held.size() < maxHeld)
        probe.held.emplace_back(datagram.begin(), datagram.end());
    // The server doesn't answer a probe beyond the sequence number that it expects next, so the
    // probe is built from the packet with the lowest one.
    if (!isNew && !isBefore(view.sequence, probe.sequence))
        return std::nullopt;
    probe.packet.assign(view.bytes.begin(), view.bytes.end());
    probe.sequence = view.sequence;
    probe.acknowledgement = view.acknowledgement;
    return build(view.key, probe, now);
}

ProbeResult AdoptionProbes::evaluate(const PacketView &serverPacket) const
{
    const auto found = this->probes.find(serverPacket.key.reversed());
    if (found == this->probes.end() || serverPacket.has(tcpflag::syn))
        return ProbeResult::Unrelated;
    if (serverPacket.has(tcpflag::rst))
        return ProbeResult::Absent;
    if (!serverPacket.has(tcpflag::ack))
        return ProbeResult::Unrelated;
    const Probe &probe = found->second;
    const bool matches = serverPacket.sequence - probe.acknowledgement <= plausibleDistance
                         && isNear(serverPacket.acknowledgement, probe.sequence);
    return matches ? ProbeResult::Present : ProbeResult::Absent;
}

std::vector<std::uint8_t> AdoptionProbes::probedPacket(const FlowKey &key) const
{
    const auto found = this->probes.find(key);
    return found == this->probes.end() ? std::vector<std::uint8_t>() : found->second.packet;
}

std::vector<std::vector<std::uint8_t>> AdoptionProbes::release(const FlowKey &key)
{
    const auto found = this->probes.find(key);
    if (found == this->probes.end())
        return {};
    auto held = std::move(found->second.held);
    this->probes.erase(found);
    return held;
}

void AdoptionProbes::markAbsent(const FlowKey &key, TimePoint now)
{
    if (this->absentUntil.size() < maxProbes)
        this->absentUntil[key] = now + absentLifetime;
}

void AdoptionProbes::onTimer(TimePoint now,
                             const std::function<void(std::span<const std::uint8_t>)> &resend,
                             const std::function<void(const FlowKey &)> &giveUp)
{
    std::vector<FlowKey> unanswered;
    for (auto &[key, probe] : this->probes) {
        if (now - probe.sentAt < retryInterval)
            continue;
        if (probe.attempts >= maxAttempts)
            unanswered.push_back(key);
        else
            resend(build(key, probe, now));
    }
    for (const FlowKey &key : unanswered)
        giveUp(key);
    std::erase_if(this->absentUntil, [&](const auto &entry) { return now >= entry.second; });
}

void AdoptionProbes::clear()
{
    this->probes.clear();
    this->absentUntil.clear();
}

} // namespace cactusdeck

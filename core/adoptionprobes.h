#ifndef CACTUSDECK_CORE_ADOPTIONPROBES_H
#define CACTUSDECK_CORE_ADOPTIONPROBES_H

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/flowtable.h"

// Finds out after a restart of the agent whether the server still has the connection of a flow that
// the agent doesn't know: a TCP keep-alive probe is sent to the server, which answers it if it has
// the connection.
//
//     if (probes.isOpen(now) && !probes.isAbsent(key, now))
//         if (auto probe = probes.hold(view, datagram, now))
//             sink.toServer(*probe);
//     switch (probes.evaluate(serverPacket)) { case ProbeResult::Present: ... }
//     for (auto &datagram : probes.release(key))
//         ...
//
// Frames of the flow are held until the server has answered; none is delivered before.

namespace cactusdeck {

enum class ProbeResult : std::uint8_t {
    Unrelated, // no probe of this flow, or no answer to it
    Present,
    Absent, // the server doesn't have the connection, or has another one with the same key
};

class AdoptionProbes
{
public:
    static constexpr std::chrono::milliseconds retryInterval{ 200 };
    static constexpr int maxAttempts = 3;
    // How long an absent flow is remembered, so that the server doesn't get a probe for each packet
    // of another agent's flow.
    static constexpr std::chrono::seconds absentLifetime{ 1 };
    static constexpr std::size_t maxProbes = 4096;
    static constexpr std::size_t maxHeld = 8; // frames per flow

    // Until the given time the server may have connections that the agent doesn't know.
    void open(TimePoint until) { this->openUntil = until; }
    bool isOpen(TimePoint now) const { return now < this->openUntil; }
    bool isAbsent(const FlowKey &key, TimePoint now) const;

    // Holds the frame. Returns the probe packet if one has to be sent now.
    std::optional<std::vector<std::uint8_t>>
    hold(const PacketView &view, std::span<const std::uint8_t> datagram, TimePoint now);
    ProbeResult evaluate(const PacketView &serverPacket) const;
    // The caller's packet from which the probe was built: the one with the lowest sequence number.
    std::vector<std::uint8_t> probedPacket(const FlowKey &key) const;
    // Ends the probe and returns the frames that were held.
    std::vector<std::vector<std::uint8_t>> release(const FlowKey &key);
    void markAbsent(const FlowKey &key, TimePoint now);

    // Calls resend with each probe that is due for retransmission, and giveUp for each flow whose
    // last probe the server hasn't answered.
    void onTimer(TimePoint now, const std::function<void(std::span<const std::uint8_t>)> &resend,
                 const std::function<void(const FlowKey &)> &giveUp);
    std::size_t size() const { return this->probes.size(); }
    void clear();

private:
    struct Probe
    {
        std::vector<std::uint8_t> packet; // the caller's
        std::uint32_t sequence = 0;
        std::uint32_t acknowledgement = 0;
        std::vector<std::vector<std::uint8_t>> held;
        TimePoint sentAt;
        int attempts = 0;
    };
    static std::vector<std::uint8_t> build(const FlowKey &key, Probe &probe, TimePoint now);

    std::unordered_map<FlowKey, Probe, FlowKeyHash> probes;
    std::unordered_map<FlowKey, TimePoint, FlowKeyHash> absentUntil;
    TimePoint openUntil;
};

// Builds a keep-alive packet. A receiver that has the connection answers it with its current
// sequence numbers (RFC 9293, section 3.8.4). sequence is the number of the sender's next byte; the
// packet carries the number before it.
std::vector<std::uint8_t> buildKeepAlive(const FlowKey &key, std::uint32_t sequence,
                                         std::uint32_t acknowledgement);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_ADOPTIONPROBES_H

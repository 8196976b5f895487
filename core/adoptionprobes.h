#ifndef CACTUSDECK_CORE_ADOPTIONPROBES_H
#define CACTUSDECK_CORE_ADOPTIONPROBES_H

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/flowtable.h"

// Asks a server that outlived its agent whether it has a connection that the new agent doesn't
// know.
//
//     if (probes.isOpen(now) && !probes.isAbsent(key, now))
//         if (auto probe = probes.hold(view, datagram, now))
//             sink.toServer(*probe);
//     switch (probes.evaluate(serverPacket)) { case ProbeResult::Present: ... }
//     for (auto &datagram : probes.release(key))
//         ...
//
// Frames wait until the server has answered; none reaches it before.

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
    // Spares the server a probe for each packet of another agent's flow.
    static constexpr std::chrono::seconds absentLifetime{ 1 };
    static constexpr std::size_t maxProbes = 4096;
    static constexpr std::size_t maxHeld = 8; // frames a flow

    // Unknown flows may be the server's until then.
    void open(TimePoint until) { this->openUntil = until; }
    bool isOpen(TimePoint now) const { return now < this->openUntil; }
    bool isAbsent(const FlowKey &key, TimePoint now) const;

    // Keeps the frame. Returns the probe if one has to be sent now.
    std::optional<std::vector<std::uint8_t>>
    hold(const PacketView &view, std::span<const std::uint8_t> datagram, TimePoint now);
    ProbeResult evaluate(const PacketView &serverPacket) const;
    // The caller's packet with the lowest sequence number, on which the probe was based.
    std::vector<std::uint8_t> probedPacket(const FlowKey &key) const;
    // Ends the probe and returns the frames that waited for it.
    std::vector<std::vector<std::uint8_t>> release(const FlowKey &key);
    void markAbsent(const FlowKey &key, TimePoint now);

    // Calls resend with each probe that is due, and giveUp for flows that the server didn't answer.
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

// A packet without payload that the receiver answers with its present sequence numbers, if it has
// the connection (RFC 9293, section 3.8.4). Sequence numbers are those of the sender's next byte.
std::vector<std::uint8_t> buildKeepAlive(const FlowKey &key, std::uint32_t sequence,
                                         std::uint32_t acknowledgement);

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_ADOPTIONPROBES_H

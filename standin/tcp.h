#ifndef CACTUSDECK_STANDIN_TCP_H
#define CACTUSDECK_STANDIN_TCP_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/packet.h"

// One end of a minimal TCP connection, for callers and backend servers of the stand-in.
//
//     TcpConnection caller = TcpConnection::connect({ .key = key, .initialSequence = 7 }, now,
//     out); TcpConnection server = TcpConnection::accept({ .key = key.reversed() }, syn, now, out);
//     caller.onPacket(view, now, out);       // for each packet of the flow
//     caller.write("request\n", now, out);
//     caller.onTimer(now, out);              // every few milliseconds
//     std::string bytes = caller.takeReceived();
//
// Implemented: handshake, in-order delivery with reassembly, retransmission, FIN in both
// directions, RST with exact sequence number (RFC 5961), challenge acknowledgements, keep-alive.
// Not implemented: options, congestion and flow control beyond a fixed window, urgent data.

namespace cactusdeck {

using PacketList = std::vector<std::vector<std::uint8_t>>;

struct TcpOptions
{
    FlowKey key; // source is this end
    std::uint32_t initialSequence = 0;
    Duration firstTimeout = std::chrono::milliseconds(200);
    Duration maxTimeout = std::chrono::milliseconds(1000);
    Duration keepAlive{}; // idle time before a keep-alive probe; 0: no probes
    std::size_t segmentSize = 1200; // bytes of payload
};

enum class TcpState : std::uint8_t {
    SynSent,
    SynReceived,
    Established,
    Closed, // both directions ended with FIN
    Refused, // the SYN was answered with RST
    Reset,
};

class TcpConnection
{
public:
    static TcpConnection connect(const TcpOptions &options, TimePoint now, PacketList &out);
    // The SYN must be one for this end.
    static TcpConnection accept(const TcpOptions &options, const PacketView &syn, TimePoint now,
                                PacketList &out);

    void onPacket(const PacketView &view, TimePoint now, PacketList &out);
    void onTimer(TimePoint now, PacketList &out);

    void write(std::string_view bytes, TimePoint now, PacketList &out);
    // Ends the sending direction after everything that was written.
    void close(TimePoint now, PacketList &out);
    // Sends RST.
    void abort(PacketList &out);

    std::string takeReceived();

    TcpState state() const { return this->currentState; }
    bool isOpen() const
    {
        return this->currentState == TcpState::SynReceived
               || this->currentState == TcpState::Established;
    }
    bool isPeerClosed() const { return this->finReceived; }
    bool isAllAcknowledged() const { return this->sendBase == this->sendNext; }
    // When the last packet came, or the connection began.
    TimePoint lastHeard() const { return this->heardAt; }
    const FlowKey &key() const { return this->options.key; }
    std::uint32_t initialSequence() const { return this->options.initialSequence; }
    std::uint32_t peerInitialSequence() const { return this->peerSequence; }

private:
    TcpConnection(const TcpOptions &options, TcpState state, TimePoint now);

    void emit(std::uint8_t flags, std::uint32_t sequence, std::string_view payload,
              PacketList &out) const;
    void acknowledge(PacketList &out) const { this->emit(tcpflag::ack, this->sendNext, {}, out); }
    void onPacketInSynSent(const PacketView &view, PacketList &out);
    void onAcknowledgement(std::uint32_t acknowledgement, TimePoint now, PacketList &out);
    void onSegment(const PacketView &view, PacketList &out);
    void mergeOutOfOrder();
    void sendNew(TimePoint now, PacketList &out);
    void resendFirst(PacketList &out) const;
    void updateClosed();

    TcpOptions options;
    TcpState currentState;
    std::uint32_t peerSequence = 0; // initial sequence number of the other end

    std::uint32_t sendBase; // oldest unacknowledged
    std::uint32_t sendNext;
    std::string sendBuffer; // from sendBase on, without SYN and FIN
    bool closeRequested = false;
    bool finSent = false;
    bool finAcknowledged = false;

    std::uint32_t receiveNext = 0;
    std::map<std::uint32_t, std::string> outOfOrder; // segments after a gap
    std::optional<std::uint32_t> finSequence;
    bool finReceived = false;
    std::string received;

    Duration timeout;
    TimePoint resendAt;
    std::uint32_t recoverUntil; // end of what was sent when the last timeout struck
    TimePoint heardAt;
    TimePoint probedAt;
};

} // namespace cactusdeck

#endif // CACTUSDECK_STANDIN_TCP_H

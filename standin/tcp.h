#ifndef CACTUSDECK_STANDIN_TCP_H
#define CACTUSDECK_STANDIN_TCP_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/packet.h"

// One end of a minimal TCP connection, for the simulated callers and backend servers.
//
//     auto caller = TcpConnection::connect({ .key = key, .initialSequence = 7 }, now, out);
//     auto server = TcpConnection::accept({ .key = key.reversed() }, syn, now, out);
//     caller.onPacket(view, now, out);       // for each packet of the flow
//     caller.write("request\n", now, out);
//     caller.onTimer(now, out);              // every few milliseconds
//     std::string bytes = caller.takeReceived();
//
// Implemented: handshake, in-order delivery with reassembly, retransmission, FIN in both
// directions, RST accepted only with the exact sequence number and challenge acknowledgements
// (RFC 5961), keep-alive. Not implemented: options, congestion control, flow control beyond a fixed
// window, urgent data.

namespace cactusdeck {

using PacketList = std::vector<std::vector<std::uint8_t>>;

struct TcpOptions
{
    FlowKey key; // the source is this end
    std::uint32_t initialSequence = 0;
    // Retransmission timeout: doubles with each retransmission, up to maxTimeout.
    Duration firstTimeout = std::chrono::milliseconds(200);
    Duration maxTimeout = std::chrono::milliseconds(1000);
    Duration keepAlive{}; // idle time before a keep-alive probe; 0: no probes
    std::size_t segmentSize = 1200; // maximum payload of a segment in bytes
};

enum class TcpState : std::uint8_t {
    SynSent,
    SynReceived,
    Established,
    Closed, // both directions were closed by FIN
    Refused, // the SYN was answered with RST
    Reset,
};

class TcpConnection
{
public:
    static TcpConnection connect(const TcpOptions &options, TimePoint now, PacketList &out);
    // The SYN must be addressed to this end.
    static TcpConnection accept(const TcpOptions &options, const PacketView &syn, TimePoint now,
                                PacketList &out);

    void onPacket(const PacketView &view, TimePoint now, PacketList &out);
    void onTimer(TimePoint now, PacketList &out);

    void write(std::string_view bytes, TimePoint now, PacketList &out);
    // Sends FIN after all written data.
    void close(TimePoint now, PacketList &out);
    // Resets the connection: sends RST if it is open.
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
    // Time of the last valid packet, or of the start of the connection if there was none.
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

    std::uint32_t sendBase; // first unacknowledged sequence number, SND.UNA of RFC 9293
    std::uint32_t sendNext; // next sequence number to send, SND.NXT
    std::string sendBuffer; // data from sendBase on; SYN and FIN take no place in it
    bool closeRequested = false;
    bool finSent = false;
    bool finAcknowledged = false;

    std::uint32_t receiveNext = 0; // next sequence number expected, RCV.NXT
    std::map<std::uint32_t, std::string> outOfOrder; // segments after a gap, by sequence number
    std::optional<std::uint32_t> finSequence;
    bool finReceived = false;
    std::string received;

    Duration timeout;
    TimePoint resendAt;
    std::uint32_t recoverUntil; // value of sendNext at the last retransmission timeout
    TimePoint heardAt;
    TimePoint probedAt; // time of the last keep-alive probe
};

} // namespace cactusdeck

#endif // CACTUSDECK_STANDIN_TCP_H

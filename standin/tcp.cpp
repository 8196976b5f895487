#include "standin/tcp.h"

#include <algorithm>
#include <utility>

namespace cactusdeck {

namespace {

constexpr std::uint32_t window = 0xFFFF; // bytes, as announced by buildPacket

std::span<const std::uint8_t> bytesOf(std::string_view text)
{
    return { reinterpret_cast<const std::uint8_t *>(text.data()), text.size() };
}

std::string_view textOf(std::span<const std::uint8_t> bytes)
{
    return { reinterpret_cast<const char *>(bytes.data()), bytes.size() };
}

} // namespace

TcpConnection::TcpConnection(const TcpOptions &tcpOptions, TcpState state, TimePoint now)
    : options(tcpOptions)
    , currentState(state)
    , sendBase(tcpOptions.initialSequence)
    , sendNext(tcpOptions.initialSequence + 1)
    , timeout(tcpOptions.firstTimeout)
    , resendAt(now + tcpOptions.firstTimeout)
    , recoverUntil(tcpOptions.initialSequence)
    , heardAt(now)
    , probedAt(now)
{ }

TcpConnection TcpConnection::connect(const TcpOptions &options, TimePoint now, PacketList &out)
{
    TcpConnection connection(options, TcpState::SynSent, now);
    connection.resendFirst(out);
    return connection;
}

TcpConnection TcpConnection::accept(const TcpOptions &options, const PacketView &syn, TimePoint now,
                                    PacketList &out)
{
    TcpConnection connection(options, TcpState::SynReceived, now);
    connection.peerSequence = syn.sequence;
    connection.receiveNext = syn.sequence + 1;
    connection.resendFirst(out);
    return connection;
}

void TcpConnection::emit(std::uint8_t flags, std::uint32_t sequence, std::string_view payload,
                         PacketList &out) const
{
    out.push_back(buildPacket({ .key = this->options.key,
                                .sequence = sequence,
                                .acknowledgement = this->receiveNext,
                                .flags = flags,
                                .payload = bytesOf(payload) }));
}

void TcpConnection::onPacket(const PacketView &view, TimePoint now, PacketList &out)
{
    if (this->currentState == TcpState::Refused || this->currentState == TcpState::Reset)
        return;
    if (this->currentState == TcpState::SynSent) {
        this->onPacketInSynSent(view, out);
        if (this->currentState == TcpState::Established) {
            this->heardAt = now;
            this->sendNew(now, out);
        }
        return;
    }
    if (this->currentState == TcpState::SynReceived && view.isSyn()
        && view.sequence == this->peerSequence) {
        this->resendFirst(out);
        return;
    }
    // A closed connection ignores resets: its acknowledgements of late packets may reach a peer
    // that has already removed the connection and answers with RST.
    if (view.has(tcpflag::rst)) {
        if (this->currentState != TcpState::Closed && view.sequence == this->receiveNext)
            this->currentState = TcpState::Reset;
        else if (this->currentState != TcpState::Closed
                 && view.sequence - this->receiveNext < window)
            this->acknowledge(out);
        return;
    }
    const std::uint32_t length = view.sequenceLength();
    const bool isOld = length == 0 ? isBefore(view.sequence, this->receiveNext)
                                   : !isBefore(this->receiveNext, view.sequence + length);
    if (view.has(tcpflag::syn) || isOld || view.sequence - this->receiveNext > window) {
        const bool overlaps = !isOld && isBefore(view.sequence, this->receiveNext);
        if (view.has(tcpflag::syn) || !overlaps) {
            // Sends a challenge acknowledgement for a SYN, otherwise a duplicate acknowledgement,
            // which also answers a keep-alive probe.
            this->heardAt = view.has(tcpflag::syn) ? this->heardAt : now;
            this->acknowledge(out);
            return;
        }
    }
    if (!view.has(tcpflag::ack))
        return;
    if (this->currentState == TcpState::SynReceived && view.acknowledgement != this->sendNext) {
        out.push_back(buildResetFor(view));
        return;
    }
    if (isBefore(this->sendNext, view.acknowledgement)) {
        this->acknowledge(out);
        return;
    }
    this->heardAt = now;
    this->onAcknowledgement(view.acknowledgement, now, out);
    this->onSegment(view, out);
    this->sendNew(now, out);
    this->updateClosed();
}

void TcpConnection::onPacketInSynSent(const PacketView &view, PacketList &out)
{
    const bool isForThisSyn =
            view.has(tcpflag::ack) && view.acknowledgement == this->options.initialSequence + 1;
    if (view.has(tcpflag::rst)) {
        if (isForThisSyn)
            this->currentState = TcpState::Refused;
    } else if (!isForThisSyn) {
        if (view.has(tcpflag::ack))
            out.push_back(buildResetFor(view));
    } else if (view.has(tcpflag::syn)) {
        this->currentState = TcpState::Established;
        this->peerSequence = view.sequence;
        this->receiveNext = view.sequence + 1;
        this->sendBase = this->sendNext;
        this->timeout = this->options.firstTimeout;
        this->acknowledge(out);
    }
}

void TcpConnection::onAcknowledgement(std::uint32_t acknowledgement, TimePoint now, PacketList &out)
{
    if (!isBefore(this->sendBase, acknowledgement))
        return;
    std::uint32_t advance = acknowledgement - this->sendBase;
    if (this->currentState == TcpState::SynReceived) {
        this->currentState = TcpState::Established;
        --advance;
    }
    const std::size_t bytes = std::min<std::size_t>(advance, this->sendBuffer.size());
    this->sendBuffer.erase(0, bytes);
    if (this->finSent && advance > bytes)
        this->finAcknowledged = true;
    this->sendBase = acknowledgement;
    this->timeout = this->options.firstTimeout;
    this->resendAt = now + this->timeout;
    // If several segments were lost before the timeout, resends the next one on each
    // acknowledgement, so that each of them does not wait for another timeout.
    if (isBefore(this->sendBase, this->recoverUntil))
        this->resendFirst(out);
}

void TcpConnection::onSegment(const PacketView &view, PacketList &out)
{
    if (view.sequenceLength() == 0)
        return;
    if (!view.payload.empty()) {
        std::string &stored = this->outOfOrder[view.sequence];
        if (stored.size() < view.payload.size())
            stored = textOf(view.payload);
    }
    if (view.has(tcpflag::fin))
        this->finSequence = view.sequence + std::uint32_t(view.payload.size());
    this->mergeOutOfOrder();
    this->acknowledge(out);
}

void TcpConnection::mergeOutOfOrder()
{
    bool isProgress = true;
    while (isProgress) {
        isProgress = false;
        std::erase_if(this->outOfOrder, [&](const auto &segment) {
            const auto &[sequence, bytes] = segment;
            if (isBefore(this->receiveNext, sequence))
                return false;
            const std::uint32_t known = this->receiveNext - sequence;
            if (known < bytes.size()) {
                this->received.append(bytes, known);
                this->receiveNext = sequence + std::uint32_t(bytes.size());
                isProgress = true;
            }
            return true;
        });
    }
    if (!this->finReceived && this->finSequence == this->receiveNext) {
        this->finReceived = true;
        ++this->receiveNext;
    }
}

void TcpConnection::sendNew(TimePoint now, PacketList &out)
{
    if (this->currentState != TcpState::Established || this->finSent)
        return;
    if (this->isAllAcknowledged())
        this->resendAt = now + this->timeout;
    std::uint32_t sent = this->sendNext - this->sendBase;
    while (sent < this->sendBuffer.size() && sent < window - this->options.segmentSize) {
        const auto segment =
                std::string_view(this->sendBuffer).substr(sent, this->options.segmentSize);
        this->emit(tcpflag::ack | tcpflag::psh, this->sendNext, segment, out);
        sent += std::uint32_t(segment.size());
        this->sendNext += std::uint32_t(segment.size());
    }
    if (this->closeRequested && sent == this->sendBuffer.size()) {
        this->emit(tcpflag::fin | tcpflag::ack, this->sendNext, {}, out);
        this->finSent = true;
        ++this->sendNext;
    }
}

void TcpConnection::resendFirst(PacketList &out) const
{
    if (this->currentState == TcpState::SynSent) {
        this->emit(tcpflag::syn, this->sendBase, {}, out);
    } else if (this->currentState == TcpState::SynReceived) {
        this->emit(tcpflag::syn | tcpflag::ack, this->sendBase, {}, out);
    } else {
        const std::size_t inFlight = this->sendNext - this->sendBase - (this->finSent ? 1 : 0);
        const auto segment = std::string_view(this->sendBuffer)
                                     .substr(0, std::min(inFlight, this->options.segmentSize));
        if (!segment.empty())
            this->emit(tcpflag::ack | tcpflag::psh, this->sendBase, segment, out);
        else if (this->finSent)
            this->emit(tcpflag::fin | tcpflag::ack, this->sendBase, {}, out);
    }
}

void TcpConnection::onTimer(TimePoint now, PacketList &out)
{
    const bool isLive = this->currentState == TcpState::SynSent || this->isOpen();
    if (!isLive)
        return;
    if (!this->isAllAcknowledged() && now >= this->resendAt) {
        this->timeout = std::min(this->timeout * 2, this->options.maxTimeout);
        this->resendAt = now + this->timeout;
        this->recoverUntil = this->sendNext;
        this->resendFirst(out);
    }
    const Duration idle = this->options.keepAlive;
    if (idle > Duration::zero() && this->currentState == TcpState::Established
        && now - std::max(this->heardAt, this->probedAt) >= idle) {
        this->probedAt = now;
        this->emit(tcpflag::ack, this->sendNext - 1, {}, out);
    }
}

void TcpConnection::write(std::string_view bytes, TimePoint now, PacketList &out)
{
    this->sendBuffer += bytes;
    this->sendNew(now, out);
}

void TcpConnection::close(TimePoint now, PacketList &out)
{
    this->closeRequested = true;
    this->sendNew(now, out);
}

void TcpConnection::abort(PacketList &out)
{
    if (this->isOpen())
        this->emit(tcpflag::rst | tcpflag::ack, this->sendNext, {}, out);
    this->currentState = TcpState::Reset;
}

std::string TcpConnection::takeReceived()
{
    return std::exchange(this->received, {});
}

void TcpConnection::updateClosed()
{
    if (this->finReceived && this->finAcknowledged)
        this->currentState = TcpState::Closed;
}

} // namespace cactusdeck

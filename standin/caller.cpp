#include "standin/caller.h"

#include <algorithm>

namespace cactusdeck {

namespace {

// Probes detect the loss of an idle connection: a slow server acknowledges them while a request is
// in progress, a lost one does not.
constexpr std::chrono::seconds keepAlive{ 1 };

TcpOptions tcpOptionsOf(const CallerOptions &options, std::mt19937_64 &random)
{
    return { .key = options.key,
             .initialSequence = std::uint32_t(random()),
             .keepAlive = keepAlive };
}

} // namespace

Caller::Caller(CallerOptions callerOptions, TimePoint now, PacketList &out)
    : options(std::move(callerOptions))
    , random(this->options.seed)
    , tcp(TcpConnection::connect(tcpOptionsOf(this->options, this->random), now, out))
    , startedAt(now)
    , nextRequestAt(now)
{ }

std::string Caller::idOf(std::size_t number) const
{
    return this->options.name + '-' + std::to_string(number);
}

void Caller::onPacket(const PacketView &view, TimePoint now, PacketList &out)
{
    this->tcp.onPacket(view, now, out);
    this->stream += this->tcp.takeReceived();
    this->readAnswer(now);
    this->onTimer(now, out);
}

void Caller::onTimer(TimePoint now, PacketList &out)
{
    this->tcp.onTimer(now, out);
    this->wasEstablished = this->wasEstablished || this->tcp.isOpen();
    if (this->result == CallerOutcome::WrongAnswer)
        this->tcp.abort(out);
    if (this->result != CallerOutcome::Running)
        return;
    this->checkConnection(now);
    if (this->result != CallerOutcome::Running || this->tcp.state() != TcpState::Established
        || this->isWaiting || this->isClosing)
        return;
    const bool isDone = this->options.isSession ? this->isFinishing : this->answerCount > 0;
    if (isDone) {
        this->isClosing = true;
        this->tcp.close(now, out);
    } else if (now >= this->nextRequestAt) {
        this->sendRequest(now, out);
    }
}

void Caller::finish()
{
    this->isFinishing = true;
}

void Caller::sendRequest(TimePoint now, PacketList &out)
{
    std::uniform_real_distribution<double> share(0, 1);
    std::uniform_int_distribution<std::size_t> size(this->options.minAnswer,
                                                    this->options.maxAnswer);
    const bool isBooking = share(this->random) < this->options.bookingShare;
    this->isWaiting = true;
    this->requestedAt = now;
    const Request request{ .id = this->idOf(++this->requestCount),
                           .kind = isBooking ? RequestKind::Booking : this->options.kind,
                           .answerBytes = size(this->random) };
    this->tcp.write(encodeRequest(request), now, out);
}

void Caller::readAnswer(TimePoint now)
{
    if (!this->header) {
        const auto line = takeLine(this->stream);
        if (!line)
            return;
        this->header = decodeAnswerHeader(*line);
        if (!this->header || !this->isWaiting
            || this->header->id != this->idOf(this->requestCount)) {
            this->result = CallerOutcome::WrongAnswer;
            return;
        }
    }
    if (this->stream.size() < this->header->bytes)
        return;
    const std::string body = this->stream.substr(0, this->header->bytes);
    this->stream.erase(0, this->header->bytes);
    this->onAnswer(*this->header, body, now);
    this->header.reset();
}

void Caller::onAnswer(const AnswerHeader &answer, const std::string &body, TimePoint now)
{
    if (answer.checksum != checksumOf(answer.id, body)) {
        this->result = CallerOutcome::WrongAnswer;
        return;
    }
    ++this->answerCount;
    this->isWaiting = false;
    this->slowestAnswer = std::max(this->slowestAnswer, now - this->requestedAt);
    this->nextRequestAt = now + this->options.pause;
}

void Caller::checkConnection(TimePoint now)
{
    const TcpState state = this->tcp.state();
    if (state == TcpState::Refused) {
        this->result = CallerOutcome::Refused;
    } else if (state == TcpState::SynSent) {
        if (now - this->startedAt > connectLimit)
            this->result = CallerOutcome::Unanswered;
    } else if (state == TcpState::Closed) {
        // The caller closes only after its last answer. A connection that the server closes
        // first leaves a request unanswered and counts as reset.
        this->result = this->isClosing ? CallerOutcome::Finished : CallerOutcome::Reset;
    } else if (state == TcpState::Reset || now - this->tcp.lastHeard() > silenceLimit) {
        // A caller that is closing has received all answers, so an interrupted close does not count
        // as a broken flow.
        this->uncleanClose = this->isClosing;
        const CallerOutcome broken =
                state == TcpState::Reset ? CallerOutcome::Reset : CallerOutcome::Silent;
        this->result = this->isClosing ? CallerOutcome::Finished : broken;
    }
}

} // namespace cactusdeck

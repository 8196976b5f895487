#ifndef CACTUSDECK_STANDIN_CALLER_H
#define CACTUSDECK_STANDIN_CALLER_H

#include <random>
#include <string>

#include "standin/request.h"
#include "standin/tcp.h"

// Simulates one caller of a service: a TCP connection that carries either a single request (fetch)
// or a sequence of requests until finish() is called (session).
//
//     Caller caller({ .key = key, .name = "f7", .isSession = true }, now, out);
//     caller.onPacket(view, now, out);
//     caller.onTimer(now, out);
//     if (caller.outcome() != CallerOutcome::Running)
//         ...
//
// Verifies that each answer is complete, has the correct checksum and belongs to the request in
// progress.

namespace cactusdeck {

enum class CallerOutcome : std::uint8_t {
    Running,
    Finished, // every request answered
    Refused, // the SYN was answered with RST
    Unanswered, // the SYN was never answered
    Reset, // established, then reset
    Silent, // established, then no packet for silenceLimit
    WrongAnswer, // malformed, for another request, or with a wrong checksum
};

struct CallerOptions
{
    FlowKey key; // the source is the caller
    std::string name; // prefix of its request identifiers
    bool isSession = false;
    RequestKind kind = RequestKind::Ticket; // kind of the requests that are not bookings
    double bookingShare = 0; // fraction of the requests that are bookings
    std::size_t minAnswer = 200; // bytes
    std::size_t maxAnswer = 2000;
    Duration pause = std::chrono::milliseconds(500); // between an answer and the next request
    std::uint64_t seed = 1;
};

class Caller
{
public:
    static constexpr std::chrono::seconds silenceLimit{ 5 };
    static constexpr std::chrono::seconds connectLimit{ 10 };

    Caller(CallerOptions options, TimePoint now, PacketList &out);

    void onPacket(const PacketView &view, TimePoint now, PacketList &out);
    void onTimer(TimePoint now, PacketList &out);
    // A session closes its connection after the answer in progress.
    void finish();

    CallerOutcome outcome() const { return this->result; }
    bool isEstablished() const { return this->wasEstablished; }
    // The connection is closed in both directions. It still acknowledges late packets.
    bool isClosed() const { return this->tcp.state() == TcpState::Closed; }
    // All answers arrived, but a reset or a time-out interrupted the close.
    bool isUncleanClose() const { return this->uncleanClose; }
    std::size_t answers() const { return this->answerCount; }
    std::string firstRequest() const { return this->idOf(1); }
    // Longest time between a request and its answer.
    Duration slowest() const { return this->slowestAnswer; }
    std::uint32_t serverSequence() const { return this->tcp.peerInitialSequence(); }
    const FlowKey &key() const { return this->options.key; }

private:
    std::string idOf(std::size_t number) const;
    void sendRequest(TimePoint now, PacketList &out);
    void readAnswer(TimePoint now);
    void onAnswer(const AnswerHeader &header, const std::string &body, TimePoint now);
    void checkConnection(TimePoint now);

    CallerOptions options;
    std::mt19937_64 random;
    TcpConnection tcp;
    CallerOutcome result = CallerOutcome::Running;
    bool wasEstablished = false;
    bool isFinishing = false;
    bool isClosing = false;
    bool uncleanClose = false;
    bool isWaiting = false; // a request is in progress
    std::size_t requestCount = 0;
    std::size_t answerCount = 0;
    TimePoint startedAt;
    TimePoint requestedAt;
    TimePoint nextRequestAt;
    Duration slowestAnswer{};
    std::string stream;
    std::optional<AnswerHeader> header;
};

} // namespace cactusdeck

#endif // CACTUSDECK_STANDIN_CALLER_H

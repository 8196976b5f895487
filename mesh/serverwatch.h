#ifndef CACTUSDECK_MESH_SERVERWATCH_H
#define CACTUSDECK_MESH_SERVERWATCH_H

#include <cstdint>
#include <optional>

#include "core/types.h"

// Whether the backend server beside an agent is there at all. A server that crashed says nothing,
// and neither does one that never started again after its machine lost power; callers of its flows
// would wait until their deadlines. As soon as packets go unanswered the agent tries to connect to
// the server: a refused connection proves that nobody listens. Silence proves nothing of a server
// that was heard before, since it may be cut off and return with its flows; one that was never
// heard and whose own machine can't reach it is not there.
//
//     watch.onHanded(now);                    // the server has been given a packet
//     watch.onSign(now);                      // a packet or a heartbeat of the server
//     if (watch.takeCheck(now))
//         ... connect, then watch.onOutcome(outcome, now)
//     if (watch.isGone()) ...

namespace cactusdeck::mesh {

enum class ConnectOutcome : std::uint8_t { Connected, Refused, TimedOut };

class ServerWatch
{
public:
    void start(TimePoint now);
    void onPacketSent(TimePoint now);
    void onServerHeard();
    // The agent is about to stop; platforms stop an agent after its server.
    void onStop(TimePoint now);

    // True when a check is due; its outcome must follow.
    bool takeCheck(TimePoint now);
    // True if the server turns out to be gone.
    bool onOutcome(ConnectOutcome outcome, TimePoint now);
    TimePoint nextCheck() const;
    bool isGone() const { return this->gone; }

private:
    // A server acknowledges or returns a packet within a few milliseconds; an answer takes tens.
    static constexpr std::chrono::milliseconds unansweredTime{ 200 };
    // A server that starts with its agent listens and beats by then, as a rule.
    static constexpr std::chrono::milliseconds firstCheckDelay{ 300 };
    // The second look, so that a server between two runs of its listener is not taken for gone.
    static constexpr std::chrono::milliseconds confirmDelay{ 100 };
    static constexpr int refusalLimit = 2;
    // Of a server that was not heard since the start; with the timeouts 1.4 s, more than the
    // interval of heartbeats (1.2 s).
    static constexpr int timeoutLimit = 2;
    // While nothing is learned.
    static constexpr std::chrono::milliseconds firstRetryDelay{ 500 };
    static constexpr std::chrono::milliseconds maxRetryDelay{ 8000 };

    std::optional<TimePoint> due;
    std::chrono::milliseconds retryDelay = firstRetryDelay;
    int refusals = 0;
    int timeouts = 0;
    bool hasHeard = false;
    bool isChecking = false;
    bool gone = false;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_SERVERWATCH_H

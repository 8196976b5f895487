#ifndef CACTUSDECK_MESH_SERVERWATCH_H
#define CACTUSDECK_MESH_SERVERWATCH_H

#include <cstdint>
#include <optional>

#include "core/types.h"

// Detects that the backend server of an agent no longer runs. A server that crashed, or did not
// start again after its machine lost power, does not deregister, and callers of its flows would
// wait until their deadlines. When packets go unanswered, the agent therefore tries to connect to
// the server. A refused connection proves that nothing listens there. A time-out proves nothing
// about a server that has been heard before, since it may be cut off and return with its flows; a
// server that has never been heard and cannot be reached from its own machine does not run.
//
//     watch.onPacketSent(now);                // a packet was sent to the server
//     watch.onServerHeard();                  // a packet or a heartbeat came from the server
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
    // The agent is about to stop. The check is due at once, because platforms stop the server
    // first.
    void onStop(TimePoint now);

    // Starts a check if one is due. If it returns true, the calling code must connect to the server
    // and pass the outcome to onOutcome.
    bool takeCheck(TimePoint now);
    // Returns true if this outcome shows that the server no longer runs.
    bool onOutcome(ConnectOutcome outcome, TimePoint now);
    TimePoint nextCheck() const;
    bool isGone() const { return this->gone; }

private:
    // A server acknowledges or bounces a packet within a few milliseconds and responds to a request
    // within tens of milliseconds.
    static constexpr std::chrono::milliseconds unansweredTime{ 200 };
    // A server that starts together with its agent usually listens and sends heartbeats by then.
    static constexpr std::chrono::milliseconds firstCheckDelay{ 300 };
    // Delay of the second check after a refusal, so that a server that is just reopening its
    // listening socket is not taken for stopped.
    static constexpr std::chrono::milliseconds confirmDelay{ 100 };
    static constexpr int refusalLimit = 2;
    // Time-outs after which a server that was never heard counts as stopped. Delays and time-outs
    // add up to 1.4 s, which is more than the heartbeat interval (1.2 s).
    static constexpr int timeoutLimit = 2;
    // Delay between checks that give no proof; doubles up to the maximum.
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

#ifndef CACTUSDECK_NODE_LOGGING_H
#define CACTUSDECK_NODE_LOGGING_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>

#include "core/eventformat.h"
#include "core/outbox.h"
#include "node/metrics.h"
#include "node/settings.h"

// Log lines of the form "event=<name> key=value ...". They are queued, and written by easylogging++
// on another thread than the packet loop's.
//
//     BOOST_LEAF_CHECK(configureLogging(settings.log));
//     EventLog log({ .level = settings.log.level, .wake = ... });
//     log.push(event);                // any thread; does not wait for the log to be written
//     log.drain(writeLogLine);        // writer thread, after wake was called

namespace cactusdeck {

inline constexpr std::size_t defaultLogCapacity = 8192; // lines

struct EventLogOptions
{
    Level level = Level::Info; // lower levels are discarded
    std::size_t capacity = defaultLogCapacity;
    // Called when the queue becomes non-empty, on the thread that called push.
    std::function<void()> wake = {};
    Metrics *metrics = nullptr;
};

class EventLog
{
public:
    using Writer = std::function<void(Level, const std::string &)>;

    explicit EventLog(EventLogOptions options);

    // Replaces EventLogOptions::wake.
    void setWake(std::function<void()> wake);
    // Drops the event, and counts it, if the queue is full.
    void push(Event event);
    // Writes all queued lines, and then one line event=log_dropped if events were dropped since the
    // last call. Returns the number of lines written.
    std::size_t drain(const Writer &write);

private:
    EventLogOptions options;
    std::mutex mutex;
    std::deque<Event> queue;
    std::uint64_t dropped = 0;
};

// Allows one event per interval and counts the others. Limits the log lines about malformed
// datagrams, which any host may send.
class LogRateLimiter
{
public:
    explicit LogRateLimiter(Duration minimum)
        : interval(minimum)
    { }

    // Returns true if an event at this time may be logged, and then sets suppressed to the number
    // of events that were not allowed since the last one that was.
    bool tryAcquire(TimePoint now, std::uint64_t &suppressed);

private:
    Duration interval;
    bool hasLast = false;
    TimePoint last{};
    std::uint64_t suppressedCount = 0;
};

// Sets target and line format of easylogging++. Fails with Io if the log file can't be written.
Result<void> configureLogging(const LogSettings &settings);
void writeLogLine(Level level, const std::string &line);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_LOGGING_H

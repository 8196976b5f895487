#ifndef CACTUSDECK_MESHD_LOGWRITER_H
#define CACTUSDECK_MESHD_LOGWRITER_H

#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/outbox.h"
#include "core/types.h"

// Writes log lines to standard output, "time=<Unix ms> level=info event=<name> key=value ...". The
// rate of lines with the same event name is limited; a lines_left_out event reports how many were
// suppressed. Writing never blocks: if the reader of the output is too slow, lines are dropped.
// Suppressed and dropped lines are both counted.
//
//     log.add({ Level::Info, "flow_placed", fields }, now);
//     log.flush(); // after each batch of events

namespace cactusdeck::meshd {

class LogWriter
{
public:
    struct Options
    {
        int descriptor = 1;
        Level level = Level::Info;
    };

    // Per event name. Enough to follow single flows under light load, and low enough that logging
    // takes at most a twentieth of a small machine's processor when many events are frequent.
    static constexpr std::uint32_t maxLinesPerSecond = 40;
    static constexpr std::size_t bufferCapacity = 64 << 10; // bytes not yet written

    explicit LogWriter(Options writerOptions)
        : options(writerOptions)
    { }

    void add(const Event &event, TimePoint now);
    // Writes as much of the buffer as the output takes without blocking.
    void flush();

    std::uint64_t lines() const { return this->writtenLines; }
    // Lines suppressed by the rate limit or dropped because the buffer was full.
    std::uint64_t dropped() const { return this->droppedLines; }

private:
    struct Window
    {
        TimePoint since;
        std::uint32_t lines = 0;
        std::uint64_t suppressed = 0;
    };

    void append(const Event &event);

    Options options;
    std::unordered_map<std::string, Window> windows; // by event name
    std::string buffer;
    std::uint64_t writtenLines = 0;
    std::uint64_t droppedLines = 0;
};

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_LOGWRITER_H

#ifndef CACTUSDECK_MESHD_LOGWRITER_H
#define CACTUSDECK_MESHD_LOGWRITER_H

#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/outbox.h"
#include "core/types.h"

// Log lines on standard output, "time=<Unix ms> level=info event=<name> key=value ...". Lines are
// bounded a second for each name; what was left out is counted and told. Writing never waits: a
// reader that does not keep up loses lines, which are counted too.
//
//     log.add({ Level::Info, "flow_placed", fields }, now);
//     log.flush();                    // after each batch of events

namespace cactusdeck::meshd {

class LogWriter
{
public:
    struct Options
    {
        int descriptor = 1;
        Level level = Level::Info;
    };

    // Lines a second of one name: enough to follow a flow on a calm day, and a twentieth of a small
    // machine's processor at most when many names are busy.
    static constexpr std::uint32_t maxLinesPerSecond = 40;
    static constexpr std::size_t bufferCapacity = 64 << 10; // bytes that wait for a slow reader

    explicit LogWriter(Options writerOptions)
        : options(writerOptions)
    { }

    void add(const Event &event, TimePoint now);
    void flush();

    std::uint64_t lines() const { return this->writtenLines; }
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
    std::unordered_map<std::string, Window> windows; // by name
    std::string buffer;
    std::uint64_t writtenLines = 0;
    std::uint64_t droppedLines = 0;
};

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_LOGWRITER_H

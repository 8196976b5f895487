#include "meshd/logwriter.h"

#include <algorithm>
#include <chrono>
#include <climits>

#include <poll.h>
#include <unistd.h>

#include "core/eventformat.h"
#include "node/settings.h"

namespace cactusdeck::meshd {

namespace {

using namespace std::chrono_literals;

// A pipe that poll reports as writable accepts this many bytes without blocking.
constexpr std::size_t chunkBytes = PIPE_BUF;

bool isWritable(int descriptor)
{
    pollfd request{ descriptor, POLLOUT, 0 };
    return poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

} // namespace

void LogWriter::add(const Event &event, TimePoint now)
{
    if (event.level < this->options.level)
        return;
    Window &window = this->windows[event.name];
    if (now - window.since >= 1s) {
        if (window.suppressed > 0)
            this->append(
                    { Level::Warning,
                      "lines_left_out",
                      { { "of", event.name }, { "count", std::to_string(window.suppressed) } } });
        window = { .since = now };
    }
    if (window.lines >= maxLinesPerSecond) {
        ++window.suppressed;
        ++this->droppedLines;
        return;
    }
    ++window.lines;
    this->append(event);
}

void LogWriter::append(const Event &event)
{
    if (this->buffer.size() >= bufferCapacity) {
        ++this->droppedLines;
        return;
    }
    // Wall-clock time, so that the logs of several machines can be merged. Nothing else uses it.
    const auto time = std::chrono::floor<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    this->buffer += "time=" + std::to_string(time.count()) + " level="
                    + std::string(toString(event.level)) + " " + formatEvent(event) + "\n";
    ++this->writtenLines;
}

void LogWriter::flush()
{
    while (!this->buffer.empty() && isWritable(this->options.descriptor)) {
        const std::size_t size = std::min(this->buffer.size(), chunkBytes);
        const ssize_t count = ::write(this->options.descriptor, this->buffer.data(), size);
        if (count <= 0)
            return; // retried by the next flush
        this->buffer.erase(0, std::size_t(count));
    }
}

} // namespace cactusdeck::meshd

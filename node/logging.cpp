#include "node/logging.h"

#include <algorithm>
#include <fstream>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace cactusdeck {

namespace {

constexpr const char *loggerName = "cactusdeck";

} // namespace

EventLog::EventLog(EventLogOptions logOptions)
    : options(std::move(logOptions))
{ }

void EventLog::setWake(std::function<void()> wake)
{
    const std::lock_guard lock(this->mutex);
    this->options.wake = std::move(wake);
}

void EventLog::push(Event event)
{
    if (event.level < this->options.level)
        return;
    std::function<void()> wake;
    {
        const std::lock_guard lock(this->mutex);
        if (this->queue.size() >= this->options.capacity) {
            ++this->dropped;
            if (this->options.metrics)
                this->options.metrics->add(Counter::LogLinesDropped);
            return;
        }
        if (this->queue.empty())
            wake = this->options.wake;
        this->queue.push_back(std::move(event));
    }
    if (wake)
        wake();
}

std::size_t EventLog::drain(const Writer &write)
{
    std::deque<Event> events;
    std::uint64_t lost = 0;
    {
        const std::lock_guard lock(this->mutex);
        events.swap(this->queue);
        std::swap(lost, this->dropped);
    }
    if (this->options.metrics && !events.empty())
        this->options.metrics->record(HistogramId::LogQueue, double(events.size()));
    if (lost > 0)
        events.push_back({ Level::Warning, "log_dropped", { { "lines", std::to_string(lost) } } });
    for (const Event &event : events)
        write(event.level, formatEvent(event));
    return events.size();
}

bool LogRateLimiter::tryAcquire(TimePoint now, std::uint64_t &suppressed)
{
    if (this->hasLast && now - this->last < this->interval) {
        ++this->suppressedCount;
        return false;
    }
    this->hasLast = true;
    this->last = now;
    suppressed = this->suppressedCount;
    this->suppressedCount = 0;
    return true;
}

Result<void> configureLogging(const LogSettings &settings)
{
    const bool toFile = settings.target != "stderr";
    if (toFile && !std::ofstream(settings.target, std::ios::app))
        return fail(ErrorKind::Io, settings.target + ": log file can't be written");
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format,
                              "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, toFile ? "true" : "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, toFile ? "false" : "true");
    if (toFile)
        configuration.setGlobally(el::ConfigurationType::Filename, settings.target);
    el::Loggers::reconfigureLogger(el::Loggers::getLogger(loggerName), configuration);
    return {};
}

void writeLogLine(Level level, const std::string &line)
{
    switch (level) {
    case Level::Debug:
        CLOG(DEBUG, loggerName) << line;
        break;
    case Level::Info:
        CLOG(INFO, loggerName) << line;
        break;
    case Level::Warning:
        CLOG(WARNING, loggerName) << line;
        break;
    case Level::Error:
        CLOG(ERROR, loggerName) << line;
        break;
    }
}

} // namespace cactusdeck

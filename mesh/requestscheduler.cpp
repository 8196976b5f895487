#include "mesh/requestscheduler.h"

#include <algorithm>

namespace cactusdeck::mesh {

std::chrono::milliseconds RequestScheduler::timeoutOf(const RequestTerms &terms)
{
    return terms.timeout > std::chrono::milliseconds::zero() ? terms.timeout : defaultTimeout;
}

bool RequestScheduler::offer(const Segment &segment, const RequestTerms &terms,
                             Duration serviceTime, TimePoint now)
{
    const TimePoint deadline = now + timeoutOf(terms);
    const bool isQueued = this->queue.contains(segment.key);
    if (!isQueued && this->queue.isEmpty() && this->hasFreeSlot()) {
        this->running[segment.key] = deadline;
        return true;
    }
    RequestQueue::Rank rank{ .priority = terms.priority, .deadline = deadline };
    if (terms.targetLatency > std::chrono::milliseconds::zero())
        rank.inTimeUntil = now + terms.targetLatency - networkTime - serviceTime;
    const bool isHeld = this->queue.push(
            { .key = segment.key, .sequence = segment.sequence, .bytes = segment.bytes }, rank);
    if (isHeld && !isQueued) {
        ++this->heldRequests;
        this->deadlines[segment.key] = deadline;
    }
    return false;
}

void RequestScheduler::finish(const FlowKey &key)
{
    this->running.erase(key);
    this->queue.drop(key);
    this->deadlines.erase(key);
}

const FlowKey *RequestScheduler::next(TimePoint now) const
{
    return this->hasFreeSlot() ? this->queue.front(now) : nullptr;
}

std::vector<std::vector<std::uint8_t>> RequestScheduler::take(const FlowKey &key, TimePoint now)
{
    const FlowKey taken = key; // the argument may be part of the queue
    const auto deadline = this->deadlines.find(taken);
    this->running[taken] =
            deadline == this->deadlines.end() ? now + defaultTimeout : deadline->second;
    this->deadlines.erase(taken);
    return this->queue.take(taken);
}

std::vector<FlowKey> RequestScheduler::expire(TimePoint now)
{
    std::vector<FlowKey> expired;
    this->queue.expire(now, [&](const FlowKey &key) {
        this->deadlines.erase(key);
        expired.push_back(key);
    });
    std::erase_if(this->running, [&](const auto &request) { return now >= request.second; });
    this->expiredRequests += expired.size();
    return expired;
}

TimePoint RequestScheduler::nextTimer() const
{
    // While nobody waits it does not matter that the server is slow.
    if (this->queue.isEmpty())
        return TimePoint::max();
    TimePoint next = this->queue.nextDeadline();
    for (const auto &[key, until] : this->running)
        next = std::min(next, until);
    return next;
}

void RequestScheduler::clear()
{
    this->queue.clear();
    this->running.clear();
    this->deadlines.clear();
}

} // namespace cactusdeck::mesh

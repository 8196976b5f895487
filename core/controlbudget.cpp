#include "core/controlbudget.h"

#include <algorithm>
#include <chrono>

namespace cactusdeck {

namespace {

// A full bucket plus the refill of 10 s is 10 s of the allowed rate: 2 + 10 x 0.8 = 10.
constexpr double burstSeconds = 2.0;
constexpr double refillShare = 0.8;

// Heartbeat answers and probes need 1.3 KB/s at long-run size.
constexpr double livenessShare = 0.4;

// Part of the general bucket that a priority leaves to more urgent ones.
constexpr std::array<double, controlPriorities> reserves = { 0.0, 0.1, 0.2, 0.3, 0.4 };

constexpr std::size_t indexOf(ControlPriority priority)
{
    return std::size_t(priority);
}

// True if a newer message of this kind to the same node makes a deferred one useless.
bool supersedes(const ControlMessage &message)
{
    return std::holds_alternative<Heartbeat>(message)
           || std::holds_alternative<HeartbeatAck>(message)
           || std::holds_alternative<DigestExchange>(message)
           || std::holds_alternative<ConfigurationNotice>(message);
}

} // namespace

ControlBudget::ControlBudget(ControlBudgetOptions options)
    : capacity(burstSeconds * double(options.bytesPerSecond))
    , rate(refillShare * double(options.bytesPerSecond))
    , general((1 - livenessShare) * this->capacity)
    , liveness(livenessShare * this->capacity)
{ }

bool ControlBudget::send(ControlPriority priority, Endpoint to, ControlMessage message,
                         TimePoint now, Outbox &outbox)
{
    this->refill(now);
    const std::size_t bytes = encodedSize(message);
    if (this->fits(priority, bytes, now) && this->take(priority, bytes)) {
        outbox.send(to, std::move(message));
        return true;
    }
    this->defer(priority, { to, std::move(message), bytes });
    return false;
}

bool ControlBudget::fits(ControlPriority priority, std::size_t bytes, TimePoint now)
{
    this->refill(now);
    // Deferred messages of this or a higher priority go first. Liveness has its own share.
    const bool own = priority == ControlPriority::Liveness;
    for (std::size_t i = own ? indexOf(priority) : 0; i <= indexOf(priority); ++i) {
        if (!this->queues[i].empty() && (own || i != indexOf(ControlPriority::Liveness)))
            return false;
    }
    return this->hasTokens(priority, bytes);
}

void ControlBudget::flush(TimePoint now, Outbox &outbox)
{
    this->refill(now);
    bool blocked = false;
    for (std::size_t i = 0; i < controlPriorities; ++i) {
        const auto priority = ControlPriority(i);
        auto &queue = this->queues[i];
        if (blocked && priority != ControlPriority::Liveness)
            continue;
        while (!queue.empty() && this->take(priority, queue.front().bytes)) {
            this->queuedBytes[i] -= queue.front().bytes;
            outbox.send(queue.front().to, std::move(queue.front().message));
            queue.pop_front();
        }
        blocked = blocked || (!queue.empty() && priority != ControlPriority::Liveness);
    }
}

std::size_t ControlBudget::deferredMessages() const
{
    std::size_t count = 0;
    for (const auto &queue : this->queues)
        count += queue.size();
    return count;
}

std::size_t ControlBudget::deferredBytes(ControlPriority priority) const
{
    return this->queuedBytes[indexOf(priority)];
}

void ControlBudget::refill(TimePoint now)
{
    if (now <= this->refilled)
        return;
    const double seconds = std::chrono::duration<double>(now - this->refilled).count();
    this->refilled = now;
    const double added = this->rate * seconds;
    this->liveness += livenessShare * added;
    const double livenessCapacity = livenessShare * this->capacity;
    const double overflow = std::max(0.0, this->liveness - livenessCapacity);
    this->liveness -= overflow;
    this->general = std::min((1 - livenessShare) * this->capacity,
                             this->general + (1 - livenessShare) * added + overflow);
}

bool ControlBudget::hasTokens(ControlPriority priority, std::size_t bytes) const
{
    if (priority == ControlPriority::Liveness && this->liveness >= double(bytes))
        return true;
    const double full = (1 - livenessShare) * this->capacity;
    const double reserve = reserves[indexOf(priority)] * full;
    if (this->general - double(bytes) >= reserve)
        return true;
    // Larger than what the priority may use: waits for a full bucket.
    return double(bytes) > full - reserve && this->general >= full;
}

bool ControlBudget::take(ControlPriority priority, std::size_t bytes)
{
    if (!this->hasTokens(priority, bytes))
        return false;
    const bool own = priority == ControlPriority::Liveness && this->liveness >= double(bytes);
    (own ? this->liveness : this->general) -= double(bytes);
    this->sent += bytes;
    return true;
}

void ControlBudget::defer(ControlPriority priority, Deferred deferred)
{
    auto &queue = this->queues[indexOf(priority)];
    std::size_t &bytes = this->queuedBytes[indexOf(priority)];
    bytes += deferred.bytes;
    if (supersedes(deferred.message)) {
        const auto same = std::find_if(queue.begin(), queue.end(), [&](const Deferred &other) {
            return other.to == deferred.to && other.message.index() == deferred.message.index();
        });
        if (same != queue.end()) {
            bytes -= same->bytes;
            *same = std::move(deferred);
            return;
        }
    }
    queue.push_back(std::move(deferred));
}

} // namespace cactusdeck

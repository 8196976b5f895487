#include "core/controlbudget.h"

#include <algorithm>
#include <chrono>

namespace cactusdeck {

namespace {

// Capacity of all buckets, in seconds of the allowed rate, and their refill rate as a share of it.
// Full buckets plus the refill of 10 s give 10 s of the allowed rate: 2 + 10 x 0.8 = 10.
constexpr double burstSeconds = 2.0;
constexpr double refillShare = 0.8;

// Share of rate and capacity that is reserved for each priority. At 4 KB/s, a whole datagram fits
// into the reserved buckets of Changes and Repair.
constexpr std::array<double, controlPriorities> reservedBucketShares = { 0.0,  0.0, 0.08,
                                                                         0.24, 0.2, 0.16 };
constexpr double sharedBucketShare = 0.32;

// Part of the shared bucket that each priority leaves to more urgent ones.
constexpr std::array<double, controlPriorities> sharedBucketReserves = { 0.0,  0.1, 0.2,
                                                                         0.25, 0.3, 0.4 };

constexpr std::size_t indexOf(ControlPriority priority)
{
    return std::size_t(priority);
}

// Returns true if the newer of two messages to the same node makes the older one obsolete.
bool supersedes(const ControlMessage &newer, const ControlMessage &older)
{
    if (newer.index() != older.index())
        return false;
    if (const auto *members = std::get_if<Members>(&newer)) {
        const auto &old = std::get<Members>(older);
        return members->service == old.service && members->piece == old.piece;
    }
    return std::holds_alternative<Heartbeat>(newer) || std::holds_alternative<HeartbeatAck>(newer)
           || std::holds_alternative<DigestExchange>(newer)
           || std::holds_alternative<ShardRequest>(newer)
           || std::holds_alternative<ConfigurationNotice>(newer);
}

} // namespace

ControlBudget::ControlBudget(ControlBudgetOptions options)
    : capacity(burstSeconds * double(options.bytesPerSecond))
    , rate(refillShare * double(options.bytesPerSecond))
    , sharedTokens(sharedBucketShare * this->capacity)
    , reservedTokens(reservedBucketShares)
{
    for (double &tokens : this->reservedTokens)
        tokens *= this->capacity;
}

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
    // Deferred messages of the same priority are sent first.
    return this->queues[indexOf(priority)].empty() && this->hasTokens(priority, bytes);
}

void ControlBudget::flush(TimePoint now, Outbox &outbox)
{
    this->refill(now);
    for (std::size_t i = 0; i < controlPriorities; ++i) {
        auto &queue = this->queues[i];
        while (!queue.empty() && this->take(ControlPriority(i), queue.front().bytes)) {
            this->queuedBytes[i] -= queue.front().bytes;
            outbox.send(queue.front().to, std::move(queue.front().message));
            queue.pop_front();
        }
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
    if (now <= this->refilledAt)
        return;
    const double seconds = std::chrono::duration<double>(now - this->refilledAt).count();
    this->refilledAt = now;
    const double added = this->rate * seconds;
    this->sharedTokens += sharedBucketShare * added;
    for (std::size_t i = 0; i < controlPriorities; ++i) {
        this->reservedTokens[i] += reservedBucketShares[i] * added;
        const double overflow =
                std::max(0.0, this->reservedTokens[i] - reservedBucketShares[i] * this->capacity);
        this->reservedTokens[i] -= overflow;
        this->sharedTokens += overflow;
    }
    this->sharedTokens = std::min(this->sharedTokens, sharedBucketShare * this->capacity);
}

// A message larger than the reserved bucket fits when that bucket is full.
bool ControlBudget::fitsReserved(ControlPriority priority, std::size_t bytes) const
{
    const double share = reservedBucketShares[indexOf(priority)] * this->capacity;
    return share > 0 && this->reservedTokens[indexOf(priority)] >= std::min(double(bytes), share);
}

// Shared tokens are kept for deferred messages that are more urgent.
bool ControlBudget::isMoreUrgentDeferred(ControlPriority priority) const
{
    return std::any_of(this->queues.begin(), this->queues.begin() + std::ptrdiff_t(priority),
                       [](const auto &queue) { return !queue.empty(); });
}

bool ControlBudget::hasTokens(ControlPriority priority, std::size_t bytes) const
{
    if (this->fitsReserved(priority, bytes))
        return true;
    if (this->isMoreUrgentDeferred(priority))
        return false;
    const double full = sharedBucketShare * this->capacity;
    const double reserve = sharedBucketReserves[indexOf(priority)] * full;
    if (this->mayBorrow(priority)
        && this->sharedTokens + this->borrowableTokens() - reserve >= double(bytes))
        return true;
    if (this->sharedTokens - double(bytes) >= reserve)
        return true;
    // A message larger than what the priority may use is sent when the shared bucket is full.
    return double(bytes) > full - reserve && this->sharedTokens >= full;
}

bool ControlBudget::mayBorrow(ControlPriority priority)
{
    return priority == ControlPriority::Configuration || priority == ControlPriority::Deaths;
}

double ControlBudget::borrowableTokens() const
{
    return this->reservedTokens[indexOf(ControlPriority::Repair)]
           + this->reservedTokens[indexOf(ControlPriority::Changes)];
}

bool ControlBudget::take(ControlPriority priority, std::size_t bytes)
{
    if (!this->hasTokens(priority, bytes))
        return false;
    this->sent += bytes;
    double &ownTokens = this->reservedTokens[indexOf(priority)];
    if (this->fitsReserved(priority, bytes)) {
        ownTokens -= double(bytes);
        return true;
    }
    double rest = double(bytes);
    for (const ControlPriority lender : { ControlPriority::Repair, ControlPriority::Changes }) {
        if (!this->mayBorrow(priority))
            break;
        double &tokens = this->reservedTokens[indexOf(lender)];
        const double part = std::min(rest, tokens);
        tokens -= part;
        rest -= part;
    }
    this->sharedTokens -= rest;
    return true;
}

void ControlBudget::defer(ControlPriority priority, Deferred deferred)
{
    auto &queue = this->queues[indexOf(priority)];
    std::size_t &bytes = this->queuedBytes[indexOf(priority)];
    bytes += deferred.bytes;
    const auto older = std::find_if(queue.begin(), queue.end(), [&](const Deferred &other) {
        return other.to == deferred.to && supersedes(deferred.message, other.message);
    });
    if (older != queue.end()) {
        bytes -= older->bytes;
        *older = std::move(deferred);
        return;
    }
    queue.push_back(std::move(deferred));
}

} // namespace cactusdeck

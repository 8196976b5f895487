#include "core/storecalls.h"

#include <algorithm>
#include <utility>

namespace cactusdeck {

namespace {

// The timeout doubles with each retry up to this limit: a slow store answers a retry in time only
// if it may take longer than the call before.
constexpr int maxTimeoutDoublings = 3;
constexpr int maxBackoffDoublings = 20;

} // namespace

StoreCalls::StoreCalls(StoreCallOptions options)
    : settings(options)
    , random(options.seed)
    , budget(options.callsPerSecond, options.burst)
{ }

std::optional<std::uint64_t> StoreCalls::start(TimePoint now)
{
    if (!this->budget.take(1, now))
        return std::nullopt;
    return this->nextId++;
}

Duration StoreCalls::backoff(int failures)
{
    const std::int64_t factor = std::int64_t(1) << std::min(failures - 1, maxBackoffDoublings);
    const Duration full = std::min(this->settings.firstBackoff * factor, this->settings.backoffCap);
    const double share = std::uniform_real_distribution<double>(0.5, 1)(this->random);
    return std::chrono::duration_cast<Duration>(full * share);
}

bool StoreSlot::isReady(TimePoint now) const
{
    return !this->isBusy() && now >= this->notBefore;
}

bool StoreSlot::send(StoreCall call, TimePoint now, Outbox &outbox)
{
    if (!this->isReady(now))
        return false;
    const std::optional<std::uint64_t> id = this->calls->start(now);
    if (!id)
        return false;
    if (!this->delayed)
        this->failures = 0;
    call.id = *id;
    this->callId = *id;
    this->sent = now;
    this->deadline =
            now
            + this->calls->options().timeout * (1 << std::min(this->failures, maxTimeoutDoublings));
    if (call.operation == StoreOperation::Watch)
        this->deadline += watchTime;
    this->pending = call;
    outbox.store.push_back(std::move(call));
    return true;
}

bool StoreSlot::accept(const StoreAnswer &answer, TimePoint now)
{
    if (!this->isBusy() || answer.id != this->callId)
        return false;
    this->callId = 0;
    this->delayed = false;
    if (answer.status == StoreStatus::Unavailable || answer.status == StoreStatus::Timeout)
        this->delay(now);
    return true;
}

std::optional<StoreAnswer> StoreSlot::expire(TimePoint now)
{
    if (!this->isBusy() || now < this->deadline)
        return std::nullopt;
    StoreAnswer answer{ .id = this->callId, .status = StoreStatus::Timeout, .key = pending.key };
    this->accept(answer, now);
    return answer;
}

void StoreSlot::delay(TimePoint now)
{
    ++this->failures;
    this->delayed = true;
    this->notBefore = now + this->calls->backoff(this->failures);
}

void StoreSlot::reset()
{
    this->callId = 0;
    this->failures = 0;
    this->delayed = false;
    this->notBefore = {};
}

} // namespace cactusdeck

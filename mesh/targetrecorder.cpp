#include "mesh/targetrecorder.h"

#include <algorithm>
#include <utility>

namespace cactusdeck::mesh {

std::optional<TargetCall> TargetRecorder::takeCall(const FleetState &state,
                                                   std::optional<std::size_t> rank, TimePoint now)
{
    if (!rank || this->pending || state.configuration() == nullptr)
        return std::nullopt;
    this->noticeChanges(state, *rank, now);
    const bool isKnown = state.knowsFormerTargets();
    const Duration delay = (isKnown ? writeDelay : readDelay) * std::int64_t(*rank);
    if (this->isSettled || now < this->nextAt || now - this->changedAt < delay)
        return std::nullopt;
    TargetCall call{ .mayBeOutdated = isKnown && !this->isRestored };
    if (this->record || this->isMissing) {
        TargetRecord wanted = state.targetRecord();
        this->isSettled = this->record && this->isCovered(wanted);
        if (this->isSettled)
            return std::nullopt;
        if (this->isMissing)
            call = { .kind = TargetCall::Kind::Create, .record = std::move(wanted) };
        else if (this->revision != 0)
            call = { .kind = TargetCall::Kind::Replace,
                     .revision = this->revision,
                     .record = std::move(wanted) };
    }
    this->pending = call;
    return call;
}

void TargetRecorder::noticeChanges(const FleetState &state, std::size_t rank, TimePoint now)
{
    const StoreEra newest = std::max(this->era, state.evacuationsAsOf().era);
    const bool isNewEra = this->era != 0 && newest > this->era;
    this->era = newest;
    if (!isNewEra && state.targetChanges() == this->seenChanges && this->changedAt != TimePoint{})
        return;
    this->seenChanges = state.targetChanges();
    this->changedAt = now;
    this->isSettled = false;
    if (isNewEra) {
        this->forget();
        this->isRestored = true;
    }
    // A reader with a better rank may have written meanwhile.
    if (rank > 0) {
        this->revision = 0;
        this->isMissing = false;
    }
}

void TargetRecorder::forget()
{
    this->record.reset();
    this->revision = 0;
    this->isMissing = false;
}

bool TargetRecorder::isCovered(const TargetRecord &wanted) const
{
    // The writer of a record for a newer configuration knows more than this balancer.
    if (this->record->version > wanted.version)
        return true;
    const auto hasTarget = [](const TargetsByAddress &targets, Endpoint address,
                              const ServiceName &service) {
        const auto entry = targets.find(address);
        return entry != targets.end() && entry->second.contains(service);
    };
    const auto isRecorded = [&](const auto &entry) {
        return std::all_of(entry.second.begin(), entry.second.end(), [&](const ServiceName &name) {
            return hasTarget(this->record->former, entry.first, name)
                   || hasTarget(this->record->current, entry.first, name);
        });
    };
    return this->record->current == wanted.current
           && std::all_of(wanted.former.begin(), wanted.former.end(), isRecorded);
}

bool TargetRecorder::onOutcome(const TargetOutcome &outcome, FleetState &state, TimePoint now)
{
    const bool wasKnown = state.knowsFormerTargets();
    const TargetCall call = std::exchange(this->pending, std::nullopt).value_or(TargetCall{});
    this->nextAt = now;
    if (outcome.kind != TargetOutcome::Kind::Failed) {
        this->backoff = firstBackoff;
        this->isRestored = false;
    }
    switch (outcome.kind) {
    case TargetOutcome::Kind::Written:
        this->nextAt = now + writeInterval;
        this->isSettled = state.targetChanges() == this->seenChanges;
        // The answer does not state the revision.
        this->forget();
        this->record = call.record;
        if (call.kind == TargetCall::Kind::Create)
            state.setFormerTargetsKnown();
        break;
    case TargetOutcome::Kind::Found:
        this->onFound(outcome, state, now);
        break;
    case TargetOutcome::Kind::Missing:
        this->forget();
        this->isMissing = call.kind == TargetCall::Kind::Read;
        break;
    case TargetOutcome::Kind::Failed:
        // The call may still be executed.
        this->forget();
        this->nextAt = now + this->backoff;
        this->backoff = std::min(this->backoff * 2, maxBackoff);
        break;
    }
    return !wasKnown && state.knowsFormerTargets();
}

void TargetRecorder::onFound(const TargetOutcome &outcome, FleetState &state, TimePoint now)
{
    // Its targets are not former ones if the configuration that has them is still to come.
    if (outcome.record.version > state.configurationVersion()) {
        this->forget();
        this->isSettled = state.knowsFormerTargets();
        this->nextAt = now + firstBackoff;
        return;
    }
    this->record = outcome.record;
    this->revision = outcome.revision;
    this->isMissing = false;
    state.adoptTargets(outcome.record);
    this->seenChanges = state.targetChanges();
}

} // namespace cactusdeck::mesh

#include "core/publisher.h"

#include <algorithm>
#include <utility>

namespace cactusdeck {

namespace {

// Number of service objects written in parallel.
constexpr std::size_t parallelWrites = 8;
// Limits the size of the head, which contains 64 change summaries and is read by every reader.
constexpr std::size_t maxReasonBytes = 500; // bytes

std::string describe(const ChangeRecord &record)
{
    return "version " + std::to_string(record.version) + ", change " + record.changeId + " by "
           + record.author + ": " + record.summary;
}

bool isUnreachable(StoreStatus status)
{
    return status == StoreStatus::Unavailable || status == StoreStatus::Timeout;
}

} // namespace

std::string_view toString(PublishResult result)
{
    switch (result) {
    case PublishResult::Accepted:
        return "accepted";
    case PublishResult::Unchanged:
        return "unchanged";
    case PublishResult::Conflict:
        return "conflict";
    case PublishResult::Rejected:
        return "rejected";
    case PublishResult::NotAccepted:
        return "not accepted";
    case PublishResult::OutcomeUnknown:
        return "outcome unknown";
    }
    return "";
}

Publisher::Publisher(StoreCalls &calls, PublisherOptions publisherOptions)
    : headSlot(calls)
    , writers(parallelWrites, ObjectWriter{ StoreSlot(calls), {} })
    , options(std::move(publisherOptions))
{ }

void Publisher::publish(std::vector<ServiceContract> newContracts, TimePoint now, Outbox &outbox)
{
    this->contracts = std::move(newContracts);
    this->begin(Change::Contracts, now, outbox);
}

void Publisher::setZone(ZoneName name, ZoneState state, TimePoint now, Outbox &outbox)
{
    this->zone = std::move(name);
    this->zoneState = state;
    if (this->zone.value.empty())
        return this->reject(ErrorKind::UnknownZone, "the zone has no name");
    this->begin(Change::Zone, now, outbox);
}

void Publisher::lookUp(TimePoint now, Outbox &outbox)
{
    this->begin(Change::LookUp, now, outbox);
}

void Publisher::begin(Change kind, TimePoint now, Outbox &outbox)
{
    if (this->options.changeId.empty())
        return this->reject(ErrorKind::InvalidArgument, "the change has no identifier");
    if (kind != Change::LookUp && this->options.author.empty())
        return this->reject(ErrorKind::InvalidArgument, "the change has no author");
    if (this->options.reason.size() > maxReasonBytes)
        return this->reject(ErrorKind::InvalidArgument,
                            "reason: got " + std::to_string(this->options.reason.size())
                                    + " bytes, expected at most " + std::to_string(maxReasonBytes));
    this->change = kind;
    this->step = Step::ReadHead;
    this->deadline = now + this->options.deadline;
    this->advance(now, outbox);
}

void Publisher::onAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox)
{
    if (this->step == Step::Done)
        return;
    if (this->headSlot.accept(answer, now))
        this->onHeadAnswer(answer, now);
    for (ObjectWriter &writer : this->writers) {
        if (writer.slot.accept(answer, now))
            this->onObjectAnswer(writer, answer);
    }
    this->advance(now, outbox);
}

void Publisher::onTimer(TimePoint now, Outbox &outbox)
{
    if (this->step == Step::Done)
        return;
    if (const std::optional<StoreAnswer> late = this->headSlot.expire(now))
        this->onHeadAnswer(*late, now);
    for (ObjectWriter &writer : this->writers)
        writer.slot.expire(now);
    if (this->step != Step::Done && now >= this->deadline)
        this->onDeadline();
    this->advance(now, outbox);
}

void Publisher::advance(TimePoint now, Outbox &outbox)
{
    if (this->step == Step::WriteObjects) {
        this->sendObjects(now, outbox);
        const bool allWritten = std::all_of(this->objects.begin(), this->objects.end(),
                                            [](const ObjectState &o) { return o.written; });
        if (allWritten)
            this->step = Step::WriteHead;
    }
    if (this->step != Step::Done && this->step != Step::WriteObjects)
        this->sendHeadCall(now, outbox);
}

void Publisher::sendHeadCall(TimePoint now, Outbox &outbox)
{
    if (!this->headSlot.isReady(now))
        return;
    StoreCall call{ .key = std::string(headKey) };
    if (this->step == Step::WriteHead || this->step == Step::Confirm) {
        call.operation = StoreOperation::Put;
        call.value = headText(this->step == Step::Confirm ? this->base : this->plan.target);
        call.version = this->baseObjectVersion;
    }
    if (this->headSlot.send(std::move(call), now, outbox) && this->step == Step::WriteHead)
        ++this->unresolvedHeadWrites;
}

void Publisher::sendObjects(TimePoint now, Outbox &outbox)
{
    for (ObjectWriter &writer : this->writers) {
        if (writer.object && this->objects[*writer.object].written)
            writer.object.reset();
        if (!writer.object && this->nextObject < this->objects.size())
            writer.object = this->nextObject++;
        if (!writer.object || !writer.slot.isReady(now))
            continue;
        const ServiceObject &object = this->plan.objects[*writer.object];
        writer.slot.send({ .operation = StoreOperation::Put,
                           .key = object.key,
                           .value = object.text,
                           .version = this->objects[*writer.object].expectedVersion },
                         now, outbox);
    }
}

void Publisher::onObjectAnswer(ObjectWriter &writer, const StoreAnswer &answer)
{
    if (!writer.object)
        return;
    ObjectState &object = this->objects[*writer.object];
    if (answer.status == StoreStatus::Ok)
        object.written = true;
    else if (answer.status == StoreStatus::Conflict)
        // The object exists already, from an earlier publish or a write whose answer was lost.
        // Writing it again is cheaper than reading it to verify its content.
        object.expectedVersion = answer.version;
}

void Publisher::onHeadAnswer(const StoreAnswer &answer, TimePoint now)
{
    if (this->headSlot.call().operation == StoreOperation::Get)
        this->onHeadRead(answer, now);
    else if (this->step == Step::Confirm)
        this->onConfirmAnswer(answer);
    else
        this->onHeadWriteAnswer(answer);
}

void Publisher::onHeadRead(const StoreAnswer &answer, TimePoint now)
{
    if (isUnreachable(answer.status))
        return;
    ConfigurationHead head;
    std::string fault;
    if (answer.status == StoreStatus::Ok) {
        fault = leaf::try_handle_all(
                [&]() -> Result<std::string> {
                    BOOST_LEAF_ASSIGN(head, parseHead(answer.value));
                    return std::string();
                },
                [](const Error &error) { return error.message; },
                [] { return std::string("malformed"); });
    }
    const std::uint64_t object = answer.status == StoreStatus::Ok ? answer.version : 0;
    const bool isStale = head.version < this->options.newestKnown && !this->options.force;
    if (object < this->conflictObjectVersion || (fault.empty() && isStale)) {
        this->newestStaleVersion = std::max(this->newestStaleVersion, head.version);
        this->headSlot.delay(now);
        return;
    }
    if (this->step == Step::ReadBack) {
        if (fault.empty())
            this->onReadBack(answer, std::move(head), now);
        else
            this->headSlot.delay(now);
        return;
    }
    if (!fault.empty())
        return this->reject(ErrorKind::InvalidContract, fault);
    this->base = std::move(head);
    this->baseObjectVersion = object;
    this->planFromBase();
}

void Publisher::onHeadWriteAnswer(const StoreAnswer &answer)
{
    if (answer.status == StoreStatus::Ok) {
        this->finishAccepted(this->plan.target.version);
        return;
    }
    if (answer.status == StoreStatus::Conflict) {
        // This write can no longer take effect. An earlier write of this change, whose answer was
        // lost, may have caused the conflict.
        --this->unresolvedHeadWrites;
        this->conflictObjectVersion = answer.version;
    }
    this->step = Step::ReadBack;
}

void Publisher::onConfirmAnswer(const StoreAnswer &answer)
{
    if (answer.status == StoreStatus::Ok) {
        const std::string by = this->base.changes.empty()
                                       ? std::string()
                                       : ", " + describe(this->base.changes.back());
        this->finish(PublishResult::Unchanged, {}, "already in effect" + by);
        return;
    }
    if (answer.status == StoreStatus::Conflict)
        this->conflictObjectVersion = answer.version;
    this->step = Step::ReadHead;
}

void Publisher::onReadBack(const StoreAnswer &answer, ConfigurationHead head, TimePoint now)
{
    if (const ChangeRecord *own = findChange(head, this->options.changeId)) {
        this->finishAccepted(own->version);
        return;
    }
    const std::uint64_t object = answer.status == StoreStatus::Ok ? answer.version : 0;
    if (object <= this->baseObjectVersion) {
        // The write hasn't taken effect, or this is a stale read. Sending the same conditional
        // write again is safe, since at most one of them can replace the base.
        if (this->conflictObjectVersion == 0)
            this->step = Step::WriteHead;
        else
            this->headSlot.delay(now);
        return;
    }
    // If the write took effect and was followed by other changes, its record is still in the head,
    // unless more changes followed than the head keeps records.
    const bool isCovered = !head.changes.empty()
                           && (head.changes.size() < changeHistory
                               || head.changes.front().version <= this->plan.target.version);
    if (this->unresolvedHeadWrites > 0 && !isCovered)
        return this->onDeadline();
    this->onBaseReplaced(std::move(head), object);
}

void Publisher::onBaseReplaced(ConfigurationHead winner, std::uint64_t object)
{
    // The base has been replaced by another head, so none of the writes sent so far can take
    // effect.
    this->unresolvedHeadWrites = 0;
    const bool isRebasable =
            this->change == Change::Zone
            && zoneStateOf(winner, this->zone) == zoneStateOf(this->base, this->zone);
    // The same head in a newer object version: another publisher rewrote it in step Confirm.
    const bool isSameHead = winner == this->base;
    if (!isRebasable && !isSameHead)
        return this->finishConflict(winner);
    this->base = std::move(winner);
    this->baseObjectVersion = object;
    this->planFromBase();
}

void Publisher::planFromBase()
{
    this->objects.clear();
    this->nextObject = 0;
    for (ObjectWriter &writer : this->writers) {
        writer.slot.reset();
        writer.object.reset();
    }
    if (this->change == Change::LookUp)
        return this->finishLookUp();
    if (findChange(this->base, this->options.changeId))
        return this->reject(ErrorKind::InvalidArgument,
                            "change " + this->options.changeId + " was accepted before");
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_ASSIGN(this->plan, this->makePlan());
                this->objects.resize(this->plan.objects.size());
                this->step = this->plan.isUnchanged ? Step::Confirm : Step::WriteObjects;
                return {};
            },
            [&](const Error &error) { this->reject(error.kind, error.message); },
            [&] { this->reject(ErrorKind::Internal, "computing the new head failed"); });
    if (this->step == Step::Confirm && this->base.version == 0)
        this->finish(PublishResult::Unchanged, {}, "nothing was ever published");
}

Result<ChangePlan> Publisher::makePlan() const
{
    if (this->change == Change::Contracts)
        return planContracts(this->base, this->contracts, this->options);
    return planZone(this->base, this->zone, this->zoneState, this->options);
}

void Publisher::finishLookUp()
{
    if (const ChangeRecord *own = findChange(this->base, this->options.changeId))
        return this->finishAccepted(own->version);
    this->reject(ErrorKind::NotFound, "change " + this->options.changeId + " is not among the last "
                                              + std::to_string(changeHistory)
                                              + " accepted changes");
}

void Publisher::onDeadline()
{
    const std::string &id = this->options.changeId;
    if (this->unresolvedHeadWrites > 0) {
        this->finish(
                PublishResult::OutcomeUnknown,
                { ErrorKind::StoreTimeout, "no answer to the write of config/head" },
                "outcome not known yet: the store became unreachable after the write of change "
                        + id + " was sent; check with: " + checkCommand(id));
    } else if (this->step == Step::ReadBack) {
        this->finish(PublishResult::Conflict,
                     { ErrorKind::Conflict, "another change was accepted first" },
                     "conflict: another change was accepted first; the store became unreachable "
                     "before it could be read");
    } else if (this->newestStaleVersion != 0) {
        const std::string stale = "the store has version "
                                  + std::to_string(this->newestStaleVersion) + ", nodes report "
                                  + std::to_string(this->options.newestKnown);
        this->finish(PublishResult::NotAccepted, { ErrorKind::StoreTimeout, stale },
                     "not accepted: " + stale);
    } else {
        const std::string reason = "the store could not be reached in time";
        this->finish(PublishResult::NotAccepted, { ErrorKind::StoreUnavailable, reason },
                     "not accepted: " + reason + "; nothing was changed");
    }
}

void Publisher::finish(PublishResult kind, Error error, std::string message)
{
    this->step = Step::Done;
    this->result = PublishOutcome{ .result = kind,
                                   .changeId = this->options.changeId,
                                   .version = this->base.version,
                                   .diff = this->plan.diff,
                                   .error = std::move(error),
                                   .message = std::move(message) };
}

void Publisher::finishAccepted(ConfigurationVersion version)
{
    this->finish(PublishResult::Accepted, {}, "accepted as version " + std::to_string(version));
    this->result->version = version;
}

void Publisher::finishConflict(const ConfigurationHead &winner)
{
    std::string lost = "another change was accepted first";
    if (!winner.changes.empty())
        lost += ": " + describe(winner.changes.back());
    this->finish(PublishResult::Conflict, { ErrorKind::Conflict, lost }, "conflict: " + lost);
    this->result->version = winner.version;
    if (!winner.changes.empty())
        this->result->winner = winner.changes.back();
}

void Publisher::reject(ErrorKind kind, const std::string &message)
{
    this->finish(PublishResult::Rejected, { kind, message }, "rejected: " + message);
}

std::string checkCommand(const std::string &changeId)
{
    return "cactusdeck status --change " + changeId;
}

} // namespace cactusdeck

#include "core/lease.h"

#include <algorithm>
#include <utility>

namespace cactusdeck {

namespace {

constexpr std::string_view leaseKey = "lease/status";

} // namespace

Lease::Lease(StoreCalls &calls, LeaseOptions leaseOptions)
    : slot(calls)
    , options(std::move(leaseOptions))
{ }

void Lease::setCandidate(bool value)
{
    this->candidate = value;
}

std::optional<std::uint64_t> Lease::term(TimePoint now) const
{
    if (!this->held || now >= this->expiresAt || this->isPaused(now))
        return std::nullopt;
    return this->storedRecord.term;
}

bool Lease::isPaused(TimePoint now) const
{
    return this->lastTimer && now - *this->lastTimer > this->options.pauseLimit;
}

bool Lease::isOwn(const Record &record) const
{
    return record.holder == this->options.holder && record.incarnation == this->options.incarnation;
}

void Lease::checkHeld(TimePoint now, Outbox &outbox)
{
    if (!this->held)
        return;
    if (this->isPaused(now))
        this->stepDown("paused", now, outbox);
    else if (now >= this->expiresAt)
        this->stepDown("expired", now, outbox);
}

void Lease::stepDown(const char *reason, TimePoint now, Outbox &outbox)
{
    this->held = false;
    this->isRecordCurrent = false;
    // The answer to a pending write must not make this node the holder again.
    this->slot.reset();
    this->nextAt = now;
    outbox.events.push_back(
            { Level::Warning,
              "lease_lost",
              { { "term", std::to_string(this->storedRecord.term) }, { "reason", reason } } });
}

void Lease::onFenced(std::uint64_t higherTerm, TimePoint now, Outbox &outbox)
{
    this->highestTermSeen = std::max(this->highestTermSeen, higherTerm);
    if (this->held)
        this->stepDown("fenced", now, outbox);
}

void Lease::onTimer(TimePoint now, Outbox &outbox)
{
    this->checkHeld(now, outbox);
    this->lastTimer = now;
    if (const std::optional<StoreAnswer> late = this->slot.expire(now)) {
        this->isRecordCurrent = false;
        this->nextAt = now;
    }
    this->sendNextCall(now, outbox);
}

void Lease::onAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox)
{
    // After a pause, a process may receive the answer before its timer runs.
    this->checkHeld(now, outbox);
    if (!this->slot.accept(answer, now))
        return;
    if (this->slot.call().operation == StoreOperation::Get)
        this->onReadAnswer(answer, now, outbox);
    else
        this->onWriteAnswer(answer, now, outbox);
    this->sendNextCall(now, outbox);
}

void Lease::onReadAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox)
{
    if (answer.status != StoreStatus::Ok && answer.status != StoreStatus::NotFound)
        return;
    const std::uint64_t version = answer.status == StoreStatus::Ok ? answer.version : 0;
    Record record;
    if (answer.status == StoreStatus::Ok) {
        const std::optional<Record> decoded = decode(answer.value);
        if (!decoded)
            outbox.events.push_back({ Level::Error, "lease_malformed", {} });
        // The holder in a malformed object is unknown; the lease is taken over if the object stays
        // unchanged.
        record = decoded.value_or(
                Record{ .holder = NodeId{ "?" }, .term = this->storedRecord.term });
    }
    if (this->held && (!this->isOwn(record) || record.term != this->storedRecord.term))
        this->stepDown("taken over", now, outbox);
    if (version != this->objectVersion)
        this->unchangedSince = now;
    this->objectVersion = version;
    this->highestTermSeen = std::max(this->highestTermSeen, record.term);
    this->storedRecord = std::move(record);
    this->isRecordCurrent = true;
    const bool isDue = this->held || this->mayAcquire(now);
    this->nextAt = isDue ? now : now + this->options.observeEvery;
}

void Lease::onWriteAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox)
{
    if (answer.status == StoreStatus::Conflict && this->held) {
        this->stepDown("conflict", now, outbox);
        return;
    }
    if (answer.status != StoreStatus::Ok) {
        // Reading the object shows whether the write took effect.
        this->isRecordCurrent = false;
        this->nextAt = now;
        return;
    }
    const bool wasHeld = this->held;
    this->storedRecord = this->pendingRecord;
    this->highestTermSeen = std::max(this->highestTermSeen, this->storedRecord.term);
    this->objectVersion = answer.version;
    this->unchangedSince = now;
    this->isRecordCurrent = true;
    this->expiresAt = this->slot.sentAt() + this->options.duration;
    this->held = this->isOwn(this->storedRecord) && now < this->expiresAt;
    this->nextAt = this->slot.sentAt()
                   + (this->held ? this->options.renewEvery : this->options.observeEvery);
    if (this->held && !wasHeld)
        outbox.events.push_back({ Level::Info,
                                  "lease_acquired",
                                  { { "term", std::to_string(this->storedRecord.term) } } });
}

bool Lease::mayAcquire(TimePoint now) const
{
    if (!this->isRecordCurrent)
        return false;
    // If the stored record is this node's although it doesn't hold the lease, a write's answer was
    // lost or the process was paused; the node may acquire the lease again at once.
    return this->storedRecord.holder.value.empty() || this->isOwn(this->storedRecord)
           || now - this->unchangedSince >= this->options.duration + this->options.takeoverMargin;
}

void Lease::sendNextCall(TimePoint now, Outbox &outbox)
{
    if (!this->slot.isReady(now))
        return;
    if (!this->candidate) {
        if (this->held && this->isRecordCurrent) {
            Record released = this->storedRecord;
            released.holder = {};
            this->held = false;
            this->write(std::move(released), now, outbox);
        }
        return;
    }
    if (now < this->nextAt)
        return;
    if (this->held && this->isRecordCurrent) {
        Record renewed = this->storedRecord;
        ++renewed.renewal;
        this->write(std::move(renewed), now, outbox);
    } else if (this->mayAcquire(now)) {
        this->write({ .holder = this->options.holder,
                      .incarnation = this->options.incarnation,
                      .term = std::max(this->highestTermSeen, this->storedRecord.term) + 1 },
                    now, outbox);
    } else {
        this->slot.send({ .key = std::string(leaseKey) }, now, outbox);
    }
}

void Lease::write(Record record, TimePoint now, Outbox &outbox)
{
    this->pendingRecord = std::move(record);
    this->slot.send({ .operation = StoreOperation::Put,
                      .key = std::string(leaseKey),
                      .value = encode(this->pendingRecord),
                      .version = this->objectVersion },
                    now, outbox);
}

std::string Lease::encode(const Record &record)
{
    const nlohmann::json json = { { "holder", record.holder },
                                  { "incarnation", record.incarnation },
                                  { "term", record.term },
                                  { "renewal", record.renewal } };
    return json.dump();
}

std::optional<Lease::Record> Lease::decode(const std::string &text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        Record record;
        json.at("holder").get_to(record.holder);
        json.at("incarnation").get_to(record.incarnation);
        json.at("term").get_to(record.term);
        json.at("renewal").get_to(record.renewal);
        return record;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace cactusdeck

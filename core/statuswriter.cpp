#include "core/statuswriter.h"

#include <utility>

namespace cactusdeck {

using nlohmann::json;

Result<FleetStatus> parseFleetStatus(std::string_view text)
{
    try {
        const json value = json::parse(text);
        FleetStatus status;
        value.at("term").get_to(status.term);
        value.at("writer").get_to(status.writer);
        status.summary = value.at("summary");
        value.at("balancers").get_to(status.balancers);
        return status;
    } catch (const json::exception &error) {
        return fail(ErrorKind::NotFound, std::string(fleetStatusKey) + ": " + error.what());
    }
}

StatusWriter::StatusWriter(StoreCalls &calls, Lease &statusLease, NodeId writerId)
    : slot(calls)
    , lease(&statusLease)
    , writer(std::move(writerId))
{ }

void StatusWriter::update(std::string newSummary, std::vector<Endpoint> newBalancers)
{
    this->summary = std::move(newSummary);
    this->balancers = std::move(newBalancers);
}

std::string StatusWriter::encode() const
{
    json value = { { "term", this->term },
                   { "writer", this->writer },
                   { "summary", json::parse(this->summary, nullptr, false) },
                   { "balancers", this->balancers } };
    if (value["summary"].is_discarded())
        value["summary"] = nullptr;
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void StatusWriter::discardState()
{
    this->slot.reset();
    this->objectVersion.reset();
    this->writtenValue.clear();
}

void StatusWriter::onTimer(TimePoint now, Outbox &outbox)
{
    const std::optional<std::uint64_t> current = this->lease->term(now);
    if (!current || *current != this->term)
        this->discardState();
    if (!current || this->summary.empty())
        return;
    this->term = *current;
    if (const std::optional<StoreAnswer> late = this->slot.expire(now))
        this->handleAnswer(*late, now, outbox);
    if (!this->slot.isReady(now) || (this->writtenAt && now - *this->writtenAt < statusInterval))
        return;
    if (!this->objectVersion) {
        this->slot.send({ .key = std::string(fleetStatusKey) }, now, outbox);
        return;
    }
    std::string value = this->encode();
    if (value == this->writtenValue)
        return;
    this->pendingValue = value;
    this->slot.send({ .operation = StoreOperation::Put,
                      .key = std::string(fleetStatusKey),
                      .value = std::move(value),
                      .version = *this->objectVersion },
                    now, outbox);
}

void StatusWriter::onAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox)
{
    if (!this->slot.accept(answer, now))
        return;
    if (this->lease->term(now) == this->term)
        this->handleAnswer(answer, now, outbox);
    else
        this->discardState();
}

void StatusWriter::handleAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox)
{
    if (this->slot.call().operation == StoreOperation::Get) {
        this->onReadAnswer(answer, now, outbox);
    } else if (answer.status == StoreStatus::Ok) {
        this->objectVersion = answer.version;
        this->writtenValue = this->pendingValue;
        this->writtenAt = this->slot.sentAt();
    } else {
        // After a conflict or a lost answer, the object must be read again.
        this->objectVersion.reset();
    }
}

void StatusWriter::onReadAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox)
{
    if (answer.status == StoreStatus::NotFound)
        this->objectVersion = 0;
    if (answer.status != StoreStatus::Ok)
        return;
    const std::uint64_t found = leaf::try_handle_all(
            [&]() -> Result<std::uint64_t> {
                BOOST_LEAF_AUTO(status, parseFleetStatus(answer.value));
                return status.term;
            },
            [] { return std::uint64_t(0); }); // a malformed object is replaced
    if (found > this->term) {
        this->lease->onFenced(found, now, outbox);
        this->discardState();
        return;
    }
    this->objectVersion = answer.version;
    if (answer.value == this->pendingValue) {
        this->writtenValue = this->pendingValue;
        this->writtenAt = now;
    }
}

} // namespace cactusdeck

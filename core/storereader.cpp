#include "core/storereader.h"

#include <algorithm>
#include <utility>

namespace cactusdeck {

namespace {

// Number of service objects fetched in parallel; keeps a full read within the limit on store calls.
constexpr std::size_t parallelFetches = 4;

Event versionEvent(Level level, const char *name, ConfigurationVersion version, std::string reason)
{
    return { level,
             name,
             { { "version", std::to_string(version) }, { "reason", std::move(reason) } } };
}

} // namespace

StoreReader::StoreReader(StoreCalls &calls)
    : headSlot(calls)
    , fetches(parallelFetches, Fetch{ StoreSlot(calls), {} })
    , known(Configuration::empty({}))
{ }

void StoreReader::setActive(bool value, TimePoint now, Outbox &outbox)
{
    if (value == this->active)
        return;
    this->active = value;
    this->headSlot.reset();
    this->headObjectVersion.reset();
    this->stopFetching();
    if (value)
        this->sendHeadCall(now, outbox);
}

void StoreReader::setKnown(ConfigurationPointer configuration)
{
    if (configuration && configuration->version() > this->known->version())
        this->known = std::move(configuration);
}

void StoreReader::stopFetching()
{
    this->wanted.reset();
    this->fetched.clear();
    for (Fetch &fetch : this->fetches) {
        fetch.slot.reset();
        fetch.service.reset();
    }
}

ConfigurationPointer StoreReader::onAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox)
{
    if (!this->active)
        return nullptr;
    if (this->headSlot.accept(answer, now)) {
        this->onHead(answer, now, outbox);
        return this->advance(now, outbox);
    }
    for (Fetch &fetch : this->fetches) {
        if (fetch.slot.accept(answer, now)) {
            this->onObject(fetch, answer, now, outbox);
            return this->advance(now, outbox);
        }
    }
    return nullptr;
}

ConfigurationPointer StoreReader::onTimer(TimePoint now, Outbox &outbox)
{
    if (!this->active)
        return nullptr;
    if (const std::optional<StoreAnswer> late = this->headSlot.expire(now))
        this->onHead(*late, now, outbox);
    for (Fetch &fetch : this->fetches)
        fetch.slot.expire(now);
    return this->advance(now, outbox);
}

void StoreReader::onHead(const StoreAnswer &answer, TimePoint now, Outbox &outbox)
{
    const bool isAnswered =
            answer.status == StoreStatus::Ok || answer.status == StoreStatus::NotFound;
    if (isAnswered != this->reachable) {
        this->reachable = isAnswered;
        outbox.events.push_back({ isAnswered ? Level::Info : Level::Warning,
                                  isAnswered ? "store_reachable" : "store_unreachable",
                                  {} });
    }
    if (!isAnswered)
        return;
    if (answer.status == StoreStatus::NotFound) {
        // The object doesn't exist, or was created and the read is stale. A watch on version 0
        // waits for its creation.
        this->headObjectVersion = 0;
        this->headSlot.delay(now);
    } else if (this->headSlot.call().operation == StoreOperation::Get
               || answer.version != this->headSlot.call().version) {
        this->onHeadValue(answer, now, outbox);
    }
}

void StoreReader::onHeadValue(const StoreAnswer &answer, TimePoint now, Outbox &outbox)
{
    // Heads are ordered by their own version, not by the store's version of the object, which
    // restarts if the object is deleted and created again.
    this->headObjectVersion = answer.version;
    ConfigurationHead head;
    const bool isValid = leaf::try_handle_all(
            [&]() -> Result<bool> {
                BOOST_LEAF_ASSIGN(head, parseHead(answer.value));
                return true;
            },
            [&](const Error &error) {
                outbox.events.push_back(
                        versionEvent(Level::Error, "configuration_refused", 0, error.message));
                return false;
            },
            [] { return false; });
    if (!isValid) {
        this->headSlot.delay(now);
        return;
    }
    if (head.version > this->known->version()) {
        if (!this->wanted || head.version > this->wanted->version)
            this->wanted = std::move(head);
        return;
    }
    // Nothing new. The delay prevents a loop: if stale and current reads alternate, each watch is
    // answered at once.
    this->headSlot.delay(now);
    if (head.version < this->known->version()) {
        outbox.events.push_back(versionEvent(Level::Info, "configuration_stale_read", head.version,
                                             "known: " + std::to_string(this->known->version())));
    } else if (head.changeId != this->known->changeId()) {
        outbox.events.push_back(
                versionEvent(Level::Error, "configuration_refused", head.version,
                             "change " + head.changeId + " instead of " + this->known->changeId()));
    }
}

void StoreReader::onObject(Fetch &fetch, const StoreAnswer &answer, TimePoint now, Outbox &outbox)
{
    const auto entry = this->wanted ? this->wanted->services.find(*fetch.service)
                                    : std::map<ServiceName, std::string>::iterator();
    if (!this->wanted || entry == this->wanted->services.end()
        || fetch.slot.call().key != serviceKey(entry->first, entry->second)) {
        fetch.service.reset();
        return;
    }
    const ServiceName &service = entry->first;
    const std::string &hash = entry->second;
    if (answer.status == StoreStatus::NotFound
        || (answer.status == StoreStatus::Ok && contractHash(answer.value) != hash)) {
        // Service objects are written before the head, so this read is stale or damaged.
        fetch.slot.delay(now);
        outbox.events.push_back(versionEvent(Level::Warning, "service_object_unreadable",
                                             this->wanted->version, fetch.slot.call().key));
        return;
    }
    if (answer.status != StoreStatus::Ok)
        return;
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(contract, parsePublished(answer.value, service, hash));
                this->fetched[hash] = std::move(contract);
                return {};
            },
            [&](const Error &error) { this->rejectWanted(error.message, outbox); }, [] {});
    fetch.service.reset();
}

void StoreReader::rejectWanted(const std::string &reason, Outbox &outbox)
{
    outbox.events.push_back(
            versionEvent(Level::Error, "configuration_refused", this->wanted->version, reason));
    this->wanted.reset();
}

ContractPointer StoreReader::findContract(const ServiceName &service, const std::string &hash) const
{
    ContractPointer current = this->known->published(service);
    if (current && current->hash == hash)
        return current;
    const auto found = this->fetched.find(hash);
    return found == this->fetched.end() ? nullptr : found->second;
}

bool StoreReader::isFetching(const ServiceName &service) const
{
    return std::any_of(this->fetches.begin(), this->fetches.end(),
                       [&](const Fetch &fetch) { return fetch.service == service; });
}

void StoreReader::sendHeadCall(TimePoint now, Outbox &outbox)
{
    StoreCall call{ .operation = StoreOperation::Get, .key = std::string(headKey) };
    if (this->headObjectVersion) {
        call.operation = StoreOperation::Watch;
        call.version = *this->headObjectVersion;
    }
    this->headSlot.send(std::move(call), now, outbox);
}

void StoreReader::assignFetches()
{
    auto entry = this->wanted->services.begin();
    for (Fetch &fetch : this->fetches) {
        if (fetch.slot.isBusy())
            continue;
        if (fetch.service && !this->wanted->services.contains(*fetch.service))
            fetch.service.reset();
        for (; !fetch.service && entry != this->wanted->services.end(); ++entry) {
            if (!this->findContract(entry->first, entry->second) && !this->isFetching(entry->first))
                fetch.service = entry->first;
        }
    }
}

void StoreReader::sendFetches(TimePoint now, Outbox &outbox)
{
    this->assignFetches();
    for (Fetch &fetch : this->fetches) {
        if (!fetch.service || !fetch.slot.isReady(now))
            continue;
        const std::string &hash = this->wanted->services.at(*fetch.service);
        fetch.slot.send({ .key = serviceKey(*fetch.service, hash) }, now, outbox);
    }
}

ConfigurationPointer StoreReader::buildIfComplete(Outbox &outbox)
{
    std::vector<ContractPointer> contracts;
    contracts.reserve(this->wanted->services.size());
    for (const auto &[service, hash] : this->wanted->services) {
        ContractPointer contract = this->findContract(service, hash);
        if (!contract)
            return nullptr;
        contracts.push_back(std::move(contract));
    }
    return leaf::try_handle_all(
            [&]() -> Result<ConfigurationPointer> {
                return Configuration::build(*this->wanted, std::move(contracts));
            },
            [&](const Error &error) {
                this->rejectWanted(error.message, outbox);
                return ConfigurationPointer();
            },
            [] { return ConfigurationPointer(); });
}

ConfigurationPointer StoreReader::advance(TimePoint now, Outbox &outbox)
{
    if (this->headSlot.isReady(now))
        this->sendHeadCall(now, outbox);
    if (this->wanted && this->wanted->version <= this->known->version())
        this->stopFetching();
    if (!this->wanted)
        return nullptr;
    ConfigurationPointer found = this->buildIfComplete(outbox);
    if (found) {
        this->known = found;
        this->stopFetching();
    } else if (this->wanted) {
        this->sendFetches(now, outbox);
    }
    return found;
}

} // namespace cactusdeck

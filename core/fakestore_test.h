#ifndef CACTUSDECK_CORE_FAKESTORE_TEST_H
#define CACTUSDECK_CORE_FAKESTORE_TEST_H

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "core/contract.h"
#include "core/outbox.h"
#include "core/storecalls.h"

// An in-memory store for tests, which can be made to fail in the ways a real store does.
//
//     FakeStore store;
//     store.executeCalls(outbox, now);                       // takes the calls out of the outbox
//     for (const StoreAnswer &answer : store.answers(now))   // those that are due
//         ...

namespace cactusdeck {

class FakeStore
{
public:
    struct Object
    {
        std::string value;
        std::uint64_t version = 0;
        std::string previous; // what a stale read returns
    };

    bool down = false; // answers calls with Unavailable and does not execute them
    bool silent = false; // executes calls, but no answer arrives
    Duration delay = std::chrono::milliseconds(2);
    int loseAnswers = 0; // number of writes to loseKey that take effect without an answer
    std::string loseKey = "config/head";
    int staleReads = 0; // number of reads of existing objects that return the previous value
    bool staleWatches = false; // a watch on the current version returns the previous one at once
    std::map<std::string, Object> objects;
    int calls = 0;

    void put(const std::string &key, const std::string &value)
    {
        Object &object = this->objects[key];
        object = { value, object.version + 1, object.value };
    }
    void executeCalls(Outbox &outbox, TimePoint now)
    {
        for (StoreCall &call : std::exchange(outbox.store, {})) {
            ++this->calls;
            this->execute(call, now);
        }
    }
    std::vector<StoreAnswer> answers(TimePoint now)
    {
        this->answerWatches(now);
        std::vector<StoreAnswer> due;
        std::erase_if(this->pending, [&](const auto &entry) {
            if (entry.first <= now)
                due.push_back(entry.second);
            return entry.first <= now;
        });
        return due;
    }

private:
    std::vector<std::pair<TimePoint, StoreAnswer>> pending;
    std::vector<std::pair<TimePoint, StoreCall>> watches;

    void execute(const StoreCall &call, TimePoint now)
    {
        if (this->down)
            this->answer(call, StoreStatus::Unavailable, {}, now);
        else if (call.operation == StoreOperation::Get)
            this->read(call, now);
        else if (call.operation == StoreOperation::Put)
            this->write(call, now);
        else
            this->watches.emplace_back(now, call);
    }
    void read(const StoreCall &call, TimePoint now)
    {
        Object object = this->objects[call.key];
        if (this->staleReads > 0 && object.version > 0) {
            --this->staleReads;
            object = { object.previous, object.version - 1, {} };
        }
        this->answer(call, object.version == 0 ? StoreStatus::NotFound : StoreStatus::Ok, object,
                     now);
    }
    void write(const StoreCall &call, TimePoint now)
    {
        const bool isCurrent = this->objects[call.key].version == call.version;
        if (isCurrent)
            this->put(call.key, call.value);
        if (isCurrent && this->loseAnswers > 0 && call.key == this->loseKey) {
            --this->loseAnswers;
            return;
        }
        Object object = this->objects[call.key];
        object.value.clear();
        this->answer(call, isCurrent ? StoreStatus::Ok : StoreStatus::Conflict, object, now);
    }
    void answerWatches(TimePoint now)
    {
        std::erase_if(this->watches, [&](const auto &entry) {
            const auto &[since, call] = entry;
            const Object &object = this->objects[call.key];
            const bool isStale = this->staleWatches && object.version == call.version;
            if (!this->down && object.version == call.version && now - since < watchTime
                && !isStale)
                return false;
            if (this->down)
                this->answer(call, StoreStatus::Unavailable, {}, now);
            else if (isStale)
                this->answer(call, StoreStatus::Ok, { object.previous, call.version - 1, {} }, now);
            else if (object.version == call.version)
                this->answer(call, StoreStatus::Ok, { {}, call.version, {} }, now);
            else
                this->answer(call, StoreStatus::Ok, object, now);
            return true;
        });
    }
    void answer(const StoreCall &call, StoreStatus status, const Object &object, TimePoint now)
    {
        if (this->silent)
            return;
        this->pending.push_back(
                { now + this->delay, { call.id, status, call.key, object.value, object.version } });
    }
};

inline std::string contractJson(const std::string &service, int index, int slots = 5)
{
    const nlohmann::json json = { { "service", service },
                                  { "owner", "team" },
                                  { "addresses",
                                    { "198.51.100." + std::to_string(index) + ":443/tcp" } },
                                  { "groups", { service + "-group" } },
                                  { "idempotent", false },
                                  { "slots", slots },
                                  { "connections", 2000 },
                                  { "coldSlots", 1 } };
    return json.dump();
}

inline ServiceContract testContract(const std::string &service, int index, int slots = 5)
{
    return parseContract(contractJson(service, index, slots), "test").value();
}

// Returns the message of the error that a call fails with, or an empty string if it succeeds.
template <typename Call>
std::string errorOf(Call call)
{
    return leaf::try_handle_all(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(call());
                return std::string();
            },
            [](const Error &error) { return error.message; }, [] { return std::string("other"); });
}

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_FAKESTORE_TEST_H

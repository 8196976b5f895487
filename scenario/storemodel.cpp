#include "scenario/storemodel.h"

#include <algorithm>
#include <utility>

#include "core/head.h"
#include "core/storecalls.h"

namespace cactusdeck::scenario {

std::string StoreModel::value(const std::string &key) const
{
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? std::string() : found->second.value;
}

void StoreModel::execute(const StoreCall &call, const Reply &reply)
{
    ++this->calls;
    if (this->isDown)
        this->answer(call, StoreStatus::Unavailable, {}, reply);
    else if (call.operation == StoreOperation::Get)
        this->read(call, reply);
    else if (call.operation == StoreOperation::Put)
        this->write(call, reply);
    else
        this->watch(call, reply);
}

void StoreModel::answer(const StoreCall &call, StoreStatus status, const Object &object,
                        const Reply &reply)
{
    const StoreAnswer answer{ call.id, status, call.key, object.value, object.version };
    this->simulation.after(this->delay, [reply, answer] { reply(answer); });
}

void StoreModel::read(const StoreCall &call, const Reply &reply)
{
    Object object = this->objects[call.key];
    if (this->staleReadsLeft > 0 && object.version > 1) {
        --this->staleReadsLeft;
        object = { object.previous, object.version - 1, {} };
    }
    const StoreStatus status = object.version == 0 ? StoreStatus::NotFound : StoreStatus::Ok;
    this->answer(call, status, object, reply);
}

void StoreModel::write(const StoreCall &call, const Reply &reply)
{
    Object &object = this->objects[call.key];
    if (object.version != call.version) {
        this->answer(call, StoreStatus::Conflict, { {}, object.version, {} }, reply);
        return;
    }
    object.previous = std::exchange(object.value, call.value);
    ++object.version;
    const bool isHead = call.key == headKey;
    if (isHead && this->onHeadWritten)
        this->onHeadWritten(object.value);
    if (isHead && this->lostAnswersLeft > 0)
        --this->lostAnswersLeft;
    else
        this->answer(call, StoreStatus::Ok, { {}, object.version, {} }, reply);
    this->notifyWatches(call.key);
}

void StoreModel::watch(const StoreCall &call, const Reply &reply)
{
    if (this->objects[call.key].version != call.version) {
        this->read(call, reply);
        return;
    }
    const std::uint64_t number = this->nextWatch++;
    this->watches.push_back({ number, call, reply });
    this->simulation.after(watchTime, [this, number] {
        const auto found = std::find_if(this->watches.begin(), this->watches.end(),
                                        [&](const Watch &watch) { return watch.number == number; });
        if (found == this->watches.end())
            return;
        const StoreStatus status = this->isDown ? StoreStatus::Unavailable : StoreStatus::Ok;
        this->answer(found->call, status, { {}, found->call.version, {} }, found->reply);
        this->watches.erase(found);
    });
}

void StoreModel::notifyWatches(const std::string &key)
{
    std::erase_if(this->watches, [&](const Watch &watch) {
        if (watch.call.key != key)
            return false;
        this->read(watch.call, watch.reply);
        return true;
    });
}

} // namespace cactusdeck::scenario

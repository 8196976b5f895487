#include "standin/objectstore.h"

#include <utility>

namespace cactusdeck {

ObjectAnswer ObjectStore::read(const std::string &key)
{
    const auto found = this->objects.find(key);
    if (found == this->objects.end())
        return { .status = ObjectStatus::NotFound };
    const Object &object = found->second;
    if (this->staleReadsLeft > 0 && object.version > 1) {
        --this->staleReadsLeft;
        return { .value = object.previous, .version = object.version - 1 };
    }
    return { .value = object.value, .version = object.version };
}

ObjectAnswer ObjectStore::get(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    ++this->calls["get"];
    if (this->isDown) {
        ++this->calls["refused"];
        return { .status = ObjectStatus::NoAnswer };
    }
    return this->read(key);
}

ObjectAnswer ObjectStore::put(const std::string &key, std::string value,
                              std::optional<std::uint64_t> expected)
{
    const std::lock_guard lock(this->mutex);
    ++this->calls["put"];
    if (this->isDown) {
        ++this->calls["refused"];
        return { .status = ObjectStatus::NoAnswer };
    }
    const auto found = this->objects.find(key);
    const std::uint64_t version = found == this->objects.end() ? 0 : found->second.version;
    if (expected && *expected != version) {
        ++this->calls["conflict"];
        return { .status = ObjectStatus::Conflict, .version = version };
    }
    Object &object = this->objects[key];
    object.previous = std::exchange(object.value, std::move(value));
    ++object.version;
    this->changed.notify_all();
    if (this->lostAnswersLeft > 0) {
        --this->lostAnswersLeft;
        return { .status = ObjectStatus::NoAnswer };
    }
    return { .version = object.version };
}

ObjectAnswer ObjectStore::watch(const std::string &key, std::uint64_t version, Duration timeout)
{
    std::unique_lock lock(this->mutex);
    ++this->calls["watch"];
    ++this->calls["pendingWatches"];
    const auto isDifferent = [&] {
        const auto found = this->objects.find(key);
        return version != (found == this->objects.end() ? 0 : found->second.version);
    };
    const bool isWoken =
            this->changed.wait_for(lock, timeout, [&] { return this->isDown || isDifferent(); });
    --this->calls["pendingWatches"];
    if (this->isDown) {
        ++this->calls["refused"];
        return { .status = ObjectStatus::NoAnswer };
    }
    return isWoken ? this->read(key) : ObjectAnswer{ .status = ObjectStatus::NotModified };
}

void ObjectStore::setFaults(const nlohmann::json &faults)
{
    const std::lock_guard lock(this->mutex);
    this->isDown = faults.value("down", this->isDown);
    if (faults.contains("delayMilliseconds"))
        this->answerDelay = std::chrono::milliseconds(faults.at("delayMilliseconds").get<int>());
    this->lostAnswersLeft = faults.value("loseAnswers", this->lostAnswersLeft);
    this->staleReadsLeft = faults.value("staleReads", this->staleReadsLeft);
    this->changed.notify_all();
}

Duration ObjectStore::delay()
{
    const std::lock_guard lock(this->mutex);
    return this->answerDelay;
}

nlohmann::json ObjectStore::counters()
{
    const std::lock_guard lock(this->mutex);
    return this->calls;
}

} // namespace cactusdeck

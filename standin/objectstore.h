#ifndef CACTUSDECK_STANDIN_OBJECTSTORE_H
#define CACTUSDECK_STANDIN_OBJECTSTORE_H

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "core/types.h"

// The platform's object store: versioned values with conditional writes, watches and faults.
//
//     ObjectStore store;
//     store.put("config/head", "{}", 0);                   // create
//     store.watch("config/head", 1, std::chrono::seconds(30));
//     store.setFaults({ { "loseAnswers", 1 } });
//
// Thread-safe. Versions rise by one with each write of an object; 0 stands for a missing object.

namespace cactusdeck {

enum class ObjectStatus : std::uint8_t { Ok, NotFound, Conflict, NotModified, NoAnswer };

struct ObjectAnswer
{
    ObjectStatus status = ObjectStatus::Ok;
    std::string value;
    std::uint64_t version = 0;
};

class ObjectStore
{
public:
    ObjectAnswer get(const std::string &key);
    // Replaces the given version, creates the object for 0, writes unconditionally without one.
    ObjectAnswer put(const std::string &key, std::string value,
                     std::optional<std::uint64_t> expected);
    // Returns when the version differs, or after the timeout with NotModified.
    ObjectAnswer watch(const std::string &key, std::uint64_t version, Duration timeout);

    // Keys down, delayMilliseconds, loseAnswers and staleReads; missing keys keep their value.
    // Throws nlohmann::json::exception on a value of another type.
    void setFaults(const nlohmann::json &faults);
    // Time by which each answer is delayed.
    Duration delay();
    // Numbers of calls by kind, and of pending watches.
    nlohmann::json counters();

private:
    struct Object
    {
        std::string value;
        std::uint64_t version = 0;
        std::string previous;
    };

    ObjectAnswer read(const std::string &key);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Object> objects;
    bool isDown = false;
    Duration answerDelay{};
    std::uint32_t lostAnswersLeft = 0;
    std::uint32_t staleReadsLeft = 0;
    std::map<std::string, std::uint64_t> calls{ { "get", 0 },     { "put", 0 },
                                                { "watch", 0 },   { "conflict", 0 },
                                                { "refused", 0 }, { "pendingWatches", 0 } };
};

} // namespace cactusdeck

#endif // CACTUSDECK_STANDIN_OBJECTSTORE_H

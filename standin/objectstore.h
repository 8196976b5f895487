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

// Simulates the platform's object store: versioned values with conditional writes, watches and
// injected faults.
//
//     ObjectStore store;
//     store.put("config/head", "{}", 0);                   // creates the object
//     store.watch("config/head", 1, std::chrono::seconds(30));
//     store.setFaults({ { "loseAnswers", 1 } });
//
// Thread-safe. Each write increments the version of the object; version 0 denotes a missing object.

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
    // Writes only if the object has the expected version, where 0 means that it must not exist;
    // otherwise returns Conflict. Without an expected version the write is unconditional.
    ObjectAnswer put(const std::string &key, std::string value,
                     std::optional<std::uint64_t> expected);
    // Blocks until the version of the object differs from the given one. Returns NotModified if it
    // does not within the timeout.
    ObjectAnswer watch(const std::string &key, std::uint64_t version, Duration timeout);

    // Sets the injected faults; a missing key leaves its fault as it is:
    //   down               no call is answered
    //   delayMilliseconds  delay of each answer
    //   loseAnswers        number of following writes that take effect without an answer
    //   staleReads         number of following reads that return the previous version, where the
    //                      object has one
    // Throws nlohmann::json::exception on a value of the wrong type.
    void setFaults(const nlohmann::json &faults);
    // Time by which the caller has to delay each answer.
    Duration delay();
    // Number of calls by kind, and number of pending watches.
    nlohmann::json counters();

private:
    struct Object
    {
        std::string value;
        std::uint64_t version = 0;
        std::string previous; // value of the version before, for stale reads
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

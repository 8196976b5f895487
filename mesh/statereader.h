#ifndef CACTUSDECK_MESH_STATEREADER_H
#define CACTUSDECK_MESH_STATEREADER_H

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/types.h"
#include "mesh/fleetstate.h"
#include "mesh/sink.h"

// Follows the operators' objects in the store: lists a kind once, then watches it from the revision
// of the last answer, and lists again when the store has dropped that part of its history. Every
// wait has an end, since a watch can go silent without an error.
//
//     for (const StoreQuery &query : reader.takeQueries(now))
//         client.ask(query);
//     if (reader.onResult(result, now, state, sink))
//         tellPeers(state);

namespace cactusdeck::mesh {

enum class StoreTopic : std::uint8_t { Configuration, Evacuations };
inline constexpr std::size_t storeTopicCount = 2;

struct StoreQuery
{
    StoreTopic topic = StoreTopic::Configuration;
    Revision since = 0; // 0: list all objects; else wait for changes after this revision
    std::chrono::milliseconds wait{ 0 }; // of a watch
};

struct StoreObject
{
    std::string name;
    Revision revision = 0; // of its last change
    bool isDeleted = false;
    nlohmann::json content;
};

enum class StoreResultKind : std::uint8_t {
    Answered,
    HistoryLost, // the revision is too old to watch from
    Failed, // refused, broken off or silent; nothing is known
};

struct StoreResult
{
    StoreQuery query;
    StoreResultKind kind = StoreResultKind::Failed;
    Revision asOf = 0;
    std::vector<StoreObject> objects;
};

class StateReader
{
public:
    using ConfigurationDecoder =
            std::function<std::optional<FleetConfiguration>(const nlohmann::json &content)>;

    // An empty watch ends after this time; a silent one is found a little later. Short enough that
    // a deaf watch delays a change by less than the time in which the change must be in force.
    static constexpr std::chrono::milliseconds watchTime{ 12000 };

    StateReader(ConfigurationDecoder configurationDecoder, std::uint64_t seed);

    // Whether this node reads the store now; a query under way is not broken off.
    void setActive(bool isActive, TimePoint now);
    std::vector<StoreQuery> takeQueries(TimePoint now);
    TimePoint nextQuery() const;
    // True if the state has changed.
    bool onResult(const StoreResult &result, TimePoint now, FleetState &state, Sink &sink);

    bool isActive() const { return this->active; }
    // False while the last two answers failed.
    bool isReachable() const { return this->failures < failureLimit; }
    TimePoint lastAnswer() const { return this->answeredAt; }
    std::uint64_t queries() const { return this->queryCount; }
    std::uint64_t failed() const { return this->failureCount; }

private:
    static constexpr std::uint32_t failureLimit = 2;
    // Doubles with each failure, and while history is lost as soon as it has been listed; the store
    // is priced and limited per call.
    static constexpr std::chrono::milliseconds firstBackoff{ 200 };
    static constexpr std::chrono::milliseconds maxBackoff{ 2000 };

    struct Topic
    {
        Revision revision = 0; // 0: must list
        bool isQueryPending = false;
        TimePoint nextAt;
        std::chrono::milliseconds backoff = firstBackoff;
        bool hasLostHistory = false; // since the last watch that was answered
    };

    bool apply(const StoreResult &result, FleetState &state, Sink &sink);
    bool applyConfiguration(const StoreResult &result, FleetState &state, Sink &sink);
    bool applyEvacuations(const StoreResult &result, FleetState &state);
    void onFailure(Topic &topic, TimePoint now, Sink &sink);
    void backOff(Topic &topic, TimePoint now);

    ConfigurationDecoder decodeConfiguration;
    std::mt19937_64 random;
    std::array<Topic, storeTopicCount> topics;
    std::set<ZoneName> zones; // as of the last answer
    bool active = false;
    std::uint32_t failures = 0;
    TimePoint answeredAt{};
    std::uint64_t queryCount = 0;
    std::uint64_t failureCount = 0;
};

} // namespace cactusdeck::mesh

#endif // CACTUSDECK_MESH_STATEREADER_H

#ifndef CACTUSDECK_SCENARIO_STOREMODEL_H
#define CACTUSDECK_SCENARIO_STOREMODEL_H

#include <functional>
#include <list>
#include <map>

#include "core/outbox.h"
#include "scenario/simulation.h"

// Model of the platform's object store on the simulated clock: conditional writes, watches and
// injected faults.
//
//     StoreModel store(simulation);
//     store.execute(call, [](const StoreAnswer &answer) { ... });
//     store.isDown = true;
//
// Calls fail without effect while the store is down. When an answer is lost, its write has taken
// effect.

namespace cactusdeck::scenario {

class StoreModel
{
public:
    using Reply = std::function<void(const StoreAnswer &)>;

    explicit StoreModel(Simulation &ownSimulation)
        : simulation(ownSimulation)
    { }

    void execute(const StoreCall &call, const Reply &reply);

    bool isDown = false;
    Duration delay = std::chrono::milliseconds(5); // of every answer
    int lostAnswersLeft = 0; // how many of the next writes of the head get no answer
    int staleReadsLeft = 0; // how many next reads of replaced objects return the previous value
    std::function<void(const std::string &value)> onHeadWritten;
    std::uint64_t calls = 0;

    std::string value(const std::string &key) const;

private:
    struct Object
    {
        std::string value;
        std::uint64_t version = 0;
        std::string previous;
    };
    struct Watch
    {
        std::uint64_t number = 0;
        StoreCall call;
        Reply reply;
    };

    void answer(const StoreCall &call, StoreStatus status, const Object &object,
                const Reply &reply);
    void read(const StoreCall &call, const Reply &reply);
    void write(const StoreCall &call, const Reply &reply);
    void watch(const StoreCall &call, const Reply &reply);
    void notifyWatches(const std::string &key);

    Simulation &simulation;
    std::map<std::string, Object> objects;
    std::list<Watch> watches;
    std::uint64_t nextWatch = 0;
};

} // namespace cactusdeck::scenario

#endif // CACTUSDECK_SCENARIO_STOREMODEL_H

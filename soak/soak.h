#ifndef CACTUSDECK_SOAK_SOAK_H
#define CACTUSDECK_SOAK_SOAK_H

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

#include "platform/standin/store.h"
#include "soak/callers.h"

// One soak test run: real nodes, with simulated callers, servers, fabric and store around them, and
// faults drawn from a seed, which may overlap.
//
//     Soak soak({ .program = "...", .folder = "...", .seed = 7 });
//     BOOST_LEAF_AUTO(isKept, soak.run());

namespace cactusdeck::soak {

struct SoakOptions
{
    std::string program; // path of cactusdeck-mesh
    std::string folder;
    std::uint64_t seed = 1;
    std::uint8_t network = 16; // second byte of the loopback addresses
    std::size_t balancers = 4;
    std::size_t serversPerService = 3;
    std::chrono::seconds faultTime{ 25 };
};

class Soak
{
public:
    explicit Soak(SoakOptions soakOptions);

    // Returns true if every guarantee held. Errors are of kind Io.
    Result<bool> run();

private:
    using Action = std::function<void(TimePoint)>;
    using Fault = void (Soak::*)(TimePoint);

    struct NamedFault
    {
        const char *name;
        Fault begin;
    };
    static const std::vector<NamedFault> faults;

    // Of the store, with what the operator had written by then.
    struct StoreCopy
    {
        TimePoint at;
        standin::StoreContent content;
        std::uint64_t version = 0;
        std::set<std::string> evacuatedZones;
    };

    // Seeds below have no restores and draw nothing for them, so that seeds that have failed before
    // play the same faults as then.
    static constexpr std::uint64_t firstSeedWithRestores = 1001;
    static constexpr std::chrono::milliseconds warmUp{ 3000 };
    // The platform's limits: how soon a change must be in force, and how soon after a fault of the
    // store or of nodes has ended.
    static constexpr std::chrono::milliseconds changeLimit{ 3000 };
    static constexpr std::chrono::milliseconds evacuationLimit{ 5000 };
    static constexpr std::chrono::milliseconds catchUpTime{ 4000 };
    // Time to recover after the last fault, before each opening must succeed.
    static constexpr std::chrono::milliseconds settleTime{ 6000 };
    static constexpr std::chrono::milliseconds openingCheckTime{ 3000 };
    static constexpr std::chrono::milliseconds stopLimit{ 6000 }; // the platform's grace period
    static constexpr double coldRequestsPerSecond = 4;
    static constexpr std::chrono::milliseconds evacuationTime{ 8000 };
    static constexpr int lostRouteChanges = 4;
    static constexpr std::chrono::milliseconds copyInterval{ 500 };
    static constexpr std::chrono::milliseconds greatestCopyAge{ 9000 };
    // A balancer writes its entry 8 s after its start, and within 2 s after it knows of a restore;
    // it calls again 5 s after a failed call.
    static constexpr std::chrono::milliseconds directoryLimit{ 8500 };

    Result<void> build();
    void scheduleFaults(TimePoint from, TimePoint until);
    void scheduleRestores(TimePoint from, TimePoint until);
    void inject(const char *name, Fault fault, TimePoint at);
    void after(Duration delay, Action action) { this->actions.emplace(this->now + delay, action); }
    Duration randomDuration(std::chrono::milliseconds least, std::chrono::milliseconds most);
    std::optional<std::size_t> randomRunningNode(bool isBalancer);
    Server *randomRunningServer();
    void restartNodeAfter(std::size_t node, Duration delay);
    // Kills all running balancers, and agents if withAgents. Each is restarted after a random delay
    // between least and most.
    void killAll(bool withAgents, std::chrono::milliseconds least, std::chrono::milliseconds most);
    void startServerAfter(Server &server, Duration delay, RunOptions run);
    void step();
    void runUntil(TimePoint end);
    void finishActions();
    void publish();
    void updateExpectations();
    void copyStore();
    // The operator writes what the restored store has lost.
    void writeAgain(const StoreCopy &copy);
    void beginStoreFault(standin::StoreFault fault, TimePoint at);
    void endStoreFault(TimePoint at);
    void checkDirectory();
    bool report() const;

    void killNode(TimePoint at);
    void killBalancers(TimePoint at);
    void killEverything(TimePoint at);
    void freezeNode(TimePoint at);
    void stopBalancer(TimePoint at);
    void disturbStore(TimePoint at);
    // Restores the store as soon as it has no other fault.
    void restoreSoon(TimePoint at);
    void restoreStore(const StoreCopy &from, TimePoint at);
    void restoreBesidesNoFault();
    // The operator makes the change after a random delay between least and most.
    void changeSoon(std::chrono::milliseconds least, std::chrono::milliseconds most,
                    const char *name, Fault change);
    void crashServer(TimePoint at);
    void drainServer(TimePoint at);
    void changeRoute(TimePoint at);
    void evacuate(TimePoint at);
    void losePackets(TimePoint at);
    void loseHeartbeats(TimePoint at);

    SoakOptions options;
    std::mt19937_64 random;
    TimePoint now;
    GuaranteeChecks guarantees;
    Endpoint storeEndpoint;
    standin::Store store;
    Fleet fleet;
    Servers servers;
    std::unique_ptr<Callers> callers;
    std::multimap<TimePoint, Action> actions;
    std::map<std::string, std::uint64_t> injected;
    standin::Publication publication;
    Endpoint changingRoute;
    TimePoint routeChangedAt{}; // last change of changingRoute
    TimePoint storeFaultEndedAt{};
    bool hasStoreFault = false;
    std::deque<StoreCopy> copies; // the oldest first
    bool hasLostWrites = false; // the operator has not written them again yet
    std::map<std::string, TimePoint> evacuatedAt; // start of each evacuation in force, by zone
    std::map<std::string, TimePoint> returnedAt; // zones whose return may not be known everywhere
};

} // namespace cactusdeck::soak

#endif // CACTUSDECK_SOAK_SOAK_H

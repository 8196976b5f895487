#ifndef CACTUSDECK_SCENARIO_MACHINE_H
#define CACTUSDECK_SCENARIO_MACHINE_H

#include <deque>
#include <functional>
#include <optional>

#include "core/agent.h"
#include "core/balancer.h"
#include "scenario/link.h"
#include "standin/backendserver.h"

// A simulated machine: a balancer, or an agent with its backend server. It drives the production
// state machine and passes the messages that it sends to the MachineEnvironment.
//
//     Machine machine({ "b1", "amman-a" }, balancerOptions, environment);
//     machine.start();
//     machine.pause(std::chrono::seconds(3));    // input that arrives meanwhile is queued
//     machine.stop();                            // planned stop; hasStopped() becomes true

namespace cactusdeck::scenario {

class Machine;

// The callbacks through which a machine sends and logs, and the clock that it uses.
struct MachineEnvironment
{
    Simulation &simulation;
    std::function<void(Machine &, Endpoint, std::vector<std::uint8_t>)> sendData;
    std::function<void(Machine &, const ControlSend &)> sendControl;
    std::function<void(Machine &, const StoreCall &)> callStore;
    std::function<void(const Machine &, const Event &)> log;
};

class Machine : private DataSink
{
public:
    Machine(Location ownLocation, const BalancerOptions &options,
            MachineEnvironment &ownEnvironment);
    Machine(Location ownLocation, const AgentOptions &options, const BackendOptions &backend,
            MachineEnvironment &ownEnvironment);

    void start();
    void tick();
    void tickServer();
    void pollHealth();
    void stop();
    void pause(Duration duration);
    // Simulates a restart of the agent process: its state is lost, the server keeps its
    // connections.
    void restartAgent(const std::vector<Endpoint> &seeds);

    void receiveData(const std::vector<std::uint8_t> &bytes);
    void receiveControl(const ControlMessage &message);
    void receiveStoreAnswer(const StoreAnswer &answer);

    const Location &location() const { return this->machineLocation; }
    Endpoint data() const { return this->dataEndpoint; }
    Endpoint control() const { return this->controlEndpoint; }
    bool isBalancer() const { return this->balancer.has_value(); }
    bool isPaused() const { return this->simulation().now() < this->pausedUntil; }
    bool hasStopped() const;
    bool isUp() const { return this->up; }
    // Simulates a power loss; pending events of the machine are ignored from now on.
    void fail() { this->up = false; }
    ConfigurationVersion version() const;
    nlohmann::json status() const;
    BackendServer *backend() { return this->server ? &*this->server : nullptr; }
    double speed() const { return this->serverSpeed; }

    // When the machine last started, resumed from a pause or was reconnected after a network cut.
    // The propagation time of a change counts from here if this is later than the commit.
    TimePoint reachableSince;
    std::optional<TimePoint> stoppedAt; // when stop() was called
    std::optional<TimePoint> lastNewFlow; // when a SYN last reached the server
    ConfigurationVersion highestVersion = 0;
    std::uint64_t controlBytes = 0;
    std::deque<std::pair<TimePoint, std::size_t>> controlWindow;
    std::size_t controlWindowBytes = 0;

private:
    using Input = std::function<void()>;

    Simulation &simulation() const { return this->machineEnvironment->simulation; }
    TimePoint now() const { return this->simulation().now(); }
    void receive(const Input &input);
    void flushOutbox();
    void sendFromServer(PacketSends &sends);

    void toServer(std::span<const std::uint8_t> packet) override;
    void toFabric(std::span<const std::uint8_t> packet) override;
    void toNode(Endpoint to, std::span<const std::uint8_t> header,
                std::span<const std::uint8_t> packet) override;

    Location machineLocation;
    MachineEnvironment *machineEnvironment;
    Endpoint dataEndpoint;
    Endpoint controlEndpoint;
    std::optional<AgentOptions> agentOptions;
    std::optional<Balancer> balancer;
    std::optional<Agent> agent;
    std::optional<BackendServer> server;
    double serverSpeed = 1;
    bool up = true;
    TimePoint pausedUntil;
    std::vector<Input> pendingInputs; // arrived while paused; handled by the next tick()
    Outbox outbox;
};

inline constexpr Endpoint fabricEndpoint{ 0x0AFF0001, 7000 }; // 10.255.0.1

} // namespace cactusdeck::scenario

#endif // CACTUSDECK_SCENARIO_MACHINE_H

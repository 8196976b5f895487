#ifndef CACTUSDECK_SOAK_SERVER_H
#define CACTUSDECK_SOAK_SERVER_H

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "platform/standin/calls.h"
#include "platform/standin/packet.h"
#include "soak/guarantees.h"
#include "standin/udpport.h"

// A backend server beside an agent: one run after the other, each with its flows and heartbeats.
//
//     Server server({ .name = "s1", .address = ..., .outbound = ..., ... }, promises);
//     server.startRun(now, {});
//     server.step(now);            // every millisecond or so
//     server.beginDrain();         // reports, serves on, then ends

namespace cactusdeck::soak {

struct ServerOptions
{
    std::string name;
    std::string service;
    std::string zone;
    Endpoint address; // takes packets here
    Endpoint outbound; // of the agent; the server's own packets go there
    Endpoint control; // of the agent; heartbeats go there
    double coldRequestsPerSecond = 0;
};

struct RunOptions
{
    std::chrono::milliseconds coldFor{ 0 };
    bool keepsInstance = false; // the same id as the run before, born anew
};

class Server
{
public:
    Server(ServerOptions serverOptions, UdpPort socket, GuaranteeChecks &allGuarantees);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    void startRun(TimePoint now, RunOptions runOptions);
    void crash();
    // Ends by itself: reports, serves for drainTime after the acknowledgement, leaves.
    void beginDrain() { this->isDraining = true; }
    void setSendsHeartbeats(bool isOn) { this->sendsHeartbeats = isOn; }
    void step(TimePoint now);

    bool isUp() const { return this->isRunning; }
    // Whether this run gave the flow this opening answer and has not ended it.
    bool hasFlow(const FlowKey &key, std::uint32_t sequence) const;
    // The same, and the caller's confirmation has come.
    bool hasOpenFlow(const FlowKey &key, std::uint32_t sequence) const;
    const ServerOptions &settings() const { return this->options; }
    // When evacuations hold; none while packets may still come.
    void setNoNewFlowsFrom(std::optional<TimePoint> from) { this->noNewFlowsFrom = from; }

private:
    struct Flow
    {
        std::uint32_t sequence = 0; // of the opening answer
        std::uint32_t received = 0; // next byte of the caller
        std::uint32_t sent = 0; // next own byte
        bool isOpen = false;
        bool isEnded = false;
        standin::Packet lastAnswer;
    };
    struct Answer
    {
        TimePoint at;
        FlowKey key;
        standin::Packet packet;
    };

    static constexpr std::chrono::milliseconds heartbeatInterval{ 400 };
    static constexpr std::chrono::milliseconds heartbeatRetryInterval{ 150 };
    static constexpr std::chrono::milliseconds serviceTime{ 15 };
    static constexpr std::chrono::milliseconds drainTime{ 3000 };
    // Opening packets that were under way when the drain was acknowledged.
    static constexpr std::chrono::milliseconds drainSlack{ 200 };
    static constexpr double coldFactor = 1.5; // the platform's allowance
    static constexpr double coldSlack = 5; // requests

    void heartbeatLoop();
    void onPacket(std::span<const std::uint8_t> bytes, TimePoint now);
    void onOpening(const standin::Packet &packet, TimePoint now);
    void onData(Flow &flow, const standin::Packet &packet, TimePoint now);
    void send(const standin::Packet &packet);
    void finishDrain();
    // A run listens for health checks, which nobody sends; what counts is that it can be connected.
    void listen();
    void acceptAll();

    ServerOptions options;
    UdpPort port;
    boost::asio::io_context io;
    std::optional<boost::asio::ip::tcp::acceptor> listener;
    GuaranteeChecks &guarantees;
    std::atomic<bool> isRunning = false;
    std::atomic<bool> isDraining = false;
    std::atomic<bool> sendsHeartbeats = true;
    std::atomic<bool> isClosing = false;
    std::atomic<std::int64_t> drainAcknowledged = 0; // on the steady clock; 0: not yet
    std::mutex heartbeatMutex; // guards the next three
    standin::Beat heartbeat;
    std::optional<standin::Beat>
            pendingDeregistration; // the run that has ended and has not said so yet
    TimePoint coldUntil{};
    std::uint32_t runs = 0;
    std::uint32_t nextSequence = 1;
    std::map<FlowKey, Flow> flows;
    std::deque<Answer> answers;
    std::deque<TimePoint> coldFlows;
    std::optional<TimePoint> noNewFlowsFrom;
    // Requests by id, of all servers: each may run once.
    static std::set<std::string> &executedRequests();
    std::thread heartbeatThread;
};

} // namespace cactusdeck::soak

#endif // CACTUSDECK_SOAK_SERVER_H

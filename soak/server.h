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

// Simulates a backend server next to its agent. A run is one lifetime of the server process, with
// flows and heartbeats of its own; runs follow one another.
//
//     Server server({ .name = "s1", .address = ..., .outbound = ..., ... }, std::move(port),
//                   guarantees);
//     server.startRun(now, {});
//     server.step(now);            // every millisecond or so
//     server.beginDrain();         // reports the drain, goes on serving for a while, then ends

namespace cactusdeck::soak {

struct ServerOptions
{
    std::string name;
    std::string service;
    std::string zone;
    Endpoint address; // receives packets here
    Endpoint outbound; // of the agent; receives the server's packets
    Endpoint control; // of the agent; receives heartbeats
    double coldRequestsPerSecond = 0;
};

struct RunOptions
{
    std::chrono::milliseconds coldFor{ 0 };
    bool keepsInstance = false; // reuses the instance id of the previous run, with a new start time
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
    // Reports the drain in heartbeats, serves until drainTime after one was acknowledged, then
    // deregisters and ends the run.
    void beginDrain() { this->isDraining = true; }
    void setSendsHeartbeats(bool isOn) { this->sendsHeartbeats = isOn; }
    void step(TimePoint now);

    bool isUp() const { return this->isRunning; }
    // Whether the current run answered the opening of the flow with this sequence number and has
    // not ended the flow.
    bool hasFlow(const FlowKey &key, std::uint32_t sequence) const;
    // hasFlow(), and the caller has acknowledged the answer.
    bool hasOpenFlow(const FlowKey &key, std::uint32_t sequence) const;
    const ServerOptions &settings() const { return this->options; }
    // From when an evacuation must keep new flows away; none while new flows are allowed.
    void setNoNewFlowsFrom(std::optional<TimePoint> from) { this->noNewFlowsFrom = from; }
    // Whether the agent may drop the packets of open flows, because the failure domain is evacuated
    // or the agent need not know of its return yet.
    void setMayLosePackets(bool isAllowed) { this->isLossAllowed = isAllowed; }
    bool mayLosePackets() const { return this->isLossAllowed; }

private:
    struct Flow
    {
        std::uint32_t sequence = 0; // of the SYN-ACK
        std::uint32_t received = 0; // sequence number of the caller's next byte
        std::uint32_t sent = 0; // sequence number of the server's next byte
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
    // Allows for opening packets that were in flight when the drain was acknowledged.
    static constexpr std::chrono::milliseconds drainSlack{ 200 };
    // The platform tolerates this multiple of the cold limit.
    static constexpr double coldFactor = 1.5;
    static constexpr double coldSlack = 5; // requests beyond coldFactor

    void heartbeatLoop();
    void onPacket(std::span<const std::uint8_t> bytes, TimePoint now);
    void onOpening(const standin::Packet &packet, TimePoint now);
    void onData(Flow &flow, const standin::Packet &packet, TimePoint now);
    void send(const standin::Packet &packet);
    void finishDrain();
    // Listens on the server's TCP port while a run is up. The agent checks by connecting to it
    // whether the server still runs; nothing is sent over the connection.
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
    std::atomic<std::int64_t> drainAcknowledged = 0; // steady clock ticks; 0: not yet
    std::mutex heartbeatMutex; // guards heartbeat, pendingDeregistration, coldUntil
    standin::ServerHeartbeat heartbeat;
    std::optional<standin::ServerHeartbeat>
            pendingDeregistration; // of a run that has drained; not sent yet
    TimePoint coldUntil{};
    std::uint32_t runs = 0;
    std::uint32_t nextSequence = 1;
    std::map<FlowKey, Flow> flows;
    std::deque<Answer> answers;
    std::deque<TimePoint> coldFlows;
    std::optional<TimePoint> noNewFlowsFrom;
    bool isLossAllowed = false;
    // Ids of the requests executed by any server; each may be executed only once.
    static std::set<std::string> &executedRequests();
    std::thread heartbeatThread;
};

} // namespace cactusdeck::soak

#endif // CACTUSDECK_SOAK_SERVER_H

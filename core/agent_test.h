#ifndef CACTUSDECK_CORE_AGENT_TEST_H
#define CACTUSDECK_CORE_AGENT_TEST_H

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/agent.h"
#include "core/configuration.h"
#include "core/frame.h"

// Simulated servers, callers and a network for tests of the agent. There are no sockets, and time
// advances only when a test says so.

namespace cactusdeck::testing {

using Bytes = std::vector<std::uint8_t>;

inline Bytes bytesOf(std::string_view text)
{
    return { text.begin(), text.end() };
}

inline const ServiceAddress tcpAddress{ { 0xC633640A, 443 }, Protocol::Tcp };
inline const ServiceAddress udpAddress{ { 0xC633640A, 443 }, Protocol::Udp };

// A backend server with a simplified TCP that handles SYN, data, FIN, RST, keep-alives and
// challenge ACKs. It responds to a segment with payload by "answer:" and the payload.
class FakeServer
{
public:
    struct Connection
    {
        std::uint32_t expected = 0; // next sequence number of the caller
        std::uint32_t next = 0; // next sequence number of the server
        bool isEstablished = false;
    };

    void receive(std::span<const std::uint8_t> bytes)
    {
        const PacketView view = *parsePacket(bytes);
        ++this->packets;
        if (this->isMute || view.key.protocol == Protocol::Udp)
            return;
        const auto found = this->connections.find(view.key);
        if (found != this->connections.end())
            this->onSegment(view, found->second);
        else if (view.isSyn())
            this->accept(view);
        else if (!view.has(tcpflag::rst))
            this->output.push_back(buildResetFor(view));
    }
    void respond(const FlowKey &key, std::string_view text)
    {
        Connection &connection = this->connections.at(key);
        this->send(key, connection, tcpflag::ack, text);
        connection.next += std::uint32_t(text.size());
    }
    void retransmit(const FlowKey &key, std::string_view text)
    {
        Connection copy = this->connections.at(key);
        copy.next -= std::uint32_t(text.size());
        this->send(key, copy, tcpflag::ack, text);
    }
    void restart() { this->connections.clear(); }

    std::map<FlowKey, Connection> connections;
    std::deque<Bytes> output;
    std::string received;
    std::uint32_t lastIsn = 0;
    int packets = 0;
    int challenges = 0; // challenge ACKs sent
    bool isResponding = true; // false: payload is acknowledged and not responded to
    bool isMute = false; // true: packets are not answered at all

private:
    void accept(const PacketView &view)
    {
        static std::uint32_t isn = 1000000;
        this->lastIsn = isn += 300000;
        Connection &connection = this->connections[view.key];
        connection = { view.sequence + 1, isn + 1, false };
        Connection syn = connection;
        syn.next = isn;
        this->send(view.key, syn, tcpflag::syn | tcpflag::ack, "");
    }
    void onSegment(const PacketView &view, Connection &connection)
    {
        if (view.has(tcpflag::rst)) {
            if (view.sequence == connection.expected)
                this->connections.erase(view.key);
            return;
        }
        if (view.has(tcpflag::syn) || isBefore(view.sequence, connection.expected)) {
            this->challenges += view.has(tcpflag::syn) && connection.isEstablished ? 1 : 0;
            this->send(view.key, connection, tcpflag::ack, "");
            return;
        }
        connection.isEstablished = true;
        connection.expected += view.sequenceLength();
        const std::string text(view.payload.begin(), view.payload.end());
        this->received += text;
        if (!text.empty() && this->isResponding)
            this->respond(view.key, "answer:" + text);
        else if (!text.empty())
            this->send(view.key, connection, tcpflag::ack, "");
        if (view.has(tcpflag::fin)) {
            this->send(view.key, connection, tcpflag::fin | tcpflag::ack, "");
            this->connections.erase(view.key);
        }
    }
    void send(const FlowKey &key, const Connection &connection, std::uint8_t flags,
              std::string_view text)
    {
        this->output.push_back(buildPacket({ .key = key.reversed(),
                                             .sequence = connection.next,
                                             .acknowledgement = connection.expected,
                                             .flags = flags,
                                             .payload = bytesOf(text) }));
    }
};

class Backend;
class Caller;

// Carries packets and frames between agents, servers and callers, in the order in which they were
// sent.
class TestNetwork
{
public:
    Backend &add(std::uint16_t port);
    ForwardFrame forward(const std::vector<Backend *> &chain,
                         std::uint8_t flags = frameflag::newFlow) const;
    Bytes datagram(const ForwardFrame &frame, const Bytes &packet) const;
    void frame(const ForwardFrame &frame, const Bytes &packet);
    void frame(const std::vector<Backend *> &chain, const Bytes &packet,
               std::uint8_t flags = frameflag::newFlow)
    {
        this->frame(this->forward(chain, flags), packet);
    }
    void fromServer(Backend &backend, const Bytes &packet = {});
    void toNode(Endpoint to, Bytes datagram);
    // Delivers the packets that servers and agents have sent, until none is in flight.
    void run();
    void advance(Duration duration, Duration step);
    void clearReplies() { this->replies.clear(); }

    TimePoint now{ std::chrono::seconds(1000) };
    ConfigurationVersion configuration = 1; // version that frames name
    bool holdServerPackets = false; // packets of servers stay in flight
    std::vector<std::unique_ptr<Backend>> backends;
    std::map<std::uint16_t, Backend *> backendsByPort;
    std::vector<ReplyFrame> replies;
    std::deque<Bytes> toCallers;
    std::vector<Caller *> callers;

private:
    Endpoint balancer{ 0x7F000001, 7100 };
    bool isRunning = false;
};

// A backend server and its agent.
class Backend : public DataSink
{
public:
    Backend(TestNetwork &testNetwork, std::uint16_t port)
        : data{ 0x7F000001, port }
        , agent(this->options(false))
        , network(testNetwork)
    {
        this->startAgent();
    }

    AgentOptions options(bool mayHoldFlows) const
    {
        return { .id = { std::string("a").append(std::to_string(this->data.port)) },
                 .zone = { "amman-a" },
                 .data = this->data,
                 .control = { this->data.address, std::uint16_t(this->data.port + 1000) },
                 .group = { "booking" },
                 .seeds = { { 0x7F000001, 7101 } },
                 .incarnation = 3,
                 .seed = 1,
                 .serverMayHoldFlows = mayHoldFlows };
    }
    void restartAgent(bool mayHoldFlows)
    {
        this->agent = Agent(this->options(mayHoldFlows));
        this->startAgent();
    }
    void startAgent()
    {
        this->agent.start(this->network.now, this->outbox);
        this->configure(1, ZoneState::In);
    }
    // Sends the agent a complete configuration with one service, as the balancer would that
    // monitors it.
    void configure(ConfigurationVersion version, ZoneState zone)
    {
        ServiceContract contract{ .service = { "booking" },
                                  .id = serviceIdOf({ "booking" }),
                                  .owner = "wadi-rum",
                                  .description = "test",
                                  .addresses = { tcpAddress, udpAddress },
                                  .groups = { { "booking" } },
                                  .idempotent = true,
                                  .slots = 2,
                                  .connections = 100,
                                  .coldSlots = 1,
                                  .requestDeadline = std::chrono::milliseconds(2000),
                                  .drainDeadline = std::chrono::seconds(60) };
        const std::string text = contractText(contract);
        const std::string hash = contractHash(text);
        ConfigurationHead head{ .version = version,
                                .changeId = std::string("c").append(std::to_string(version)),
                                .services = { { contract.service, hash } },
                                .zones = { { { "amman-a" }, zone } } };
        head.changes.push_back({ .version = version, .changeId = head.changeId, .author = "t" });
        leaf::try_handle_all(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(published, parsePublished(text, contract.service, hash));
                    BOOST_LEAF_AUTO(built, Configuration::build(head, { published }));
                    this->agent.onControl(deltaBetween(nullptr, *built, GroupName{ "booking" }),
                                          this->network.now, this->outbox);
                    return {};
                },
                [](const Error &error) { throw std::runtime_error(error.message); },
                [] { throw std::runtime_error("configuration not built"); });
    }

    void toServer(std::span<const std::uint8_t> packet) override { this->server.receive(packet); }
    void toFabric(std::span<const std::uint8_t> packet) override
    {
        this->network.toCallers.emplace_back(packet.begin(), packet.end());
    }
    void toNode(Endpoint to, std::span<const std::uint8_t> header,
                std::span<const std::uint8_t> packet) override
    {
        Bytes datagram(header.begin(), header.end());
        datagram.insert(datagram.end(), packet.begin(), packet.end());
        this->network.toNode(to, std::move(datagram));
    }

    nlohmann::json status() const { return this->agent.status(this->network.now); }
    int counter(const char *name) const { return this->status()["counters"][name].get<int>(); }
    int flows() const { return this->status()["flows"]["open"].get<int>(); }
    std::ptrdiff_t eventCount(std::string_view name) const
    {
        return std::count_if(this->outbox.events.begin(), this->outbox.events.end(),
                             [&](const Event &event) { return event.name == name; });
    }
    bool sentConfigurationRequest() const
    {
        return std::any_of(this->outbox.control.begin(), this->outbox.control.end(),
                           [](const ControlSend &send) {
                               return std::holds_alternative<ConfigurationRequest>(send.message);
                           });
    }

    Endpoint data;
    Outbox outbox;
    FakeServer server;
    Agent agent;

private:
    TestNetwork &network;
};

// A caller with a simplified TCP: it accepts the first SYN-ACK, acknowledges data at once, and
// answers a SYN-ACK for another SYN with a reset.
class Caller
{
public:
    explicit Caller(TestNetwork &testNetwork)
        : Caller(testNetwork, { { 0x0A000001, nextPort() }, tcpAddress.endpoint, Protocol::Tcp },
                 5000)
    { }
    Caller(TestNetwork &testNetwork, const FlowKey &flowKey, std::uint32_t initialSequence)
        : key(flowKey)
        , isn(initialSequence)
        , next(initialSequence + 1)
        , network(testNetwork)
    {
        this->network.callers.push_back(this);
    }
    ~Caller() { std::erase(this->network.callers, this); }
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    Bytes syn() const
    {
        return buildPacket({ .key = this->key, .sequence = this->isn, .flags = tcpflag::syn });
    }
    Bytes packet(std::uint8_t flags, std::string_view text = "") const
    {
        return buildPacket({ .key = this->key,
                             .sequence = this->next,
                             .acknowledgement = this->expected,
                             .flags = flags,
                             .payload = bytesOf(text) });
    }
    void open(const std::vector<Backend *> &hops)
    {
        this->chain = hops;
        this->network.frame(hops, this->syn());
    }
    void send(const std::vector<Backend *> &hops, std::uint8_t flags, std::string_view text = "")
    {
        this->chain = hops;
        this->last = this->packet(flags, text);
        this->next += std::uint32_t(text.size()) + ((flags & tcpflag::fin) != 0 ? 1 : 0);
        this->network.frame(hops, this->last, 0);
    }
    void request(std::string_view text, const std::vector<Backend *> &hops)
    {
        this->send(hops, tcpflag::ack | tcpflag::psh, text);
    }
    void repeat(const std::vector<Backend *> &hops) { this->network.frame(hops, this->last, 0); }

    void receive(const PacketView &view)
    {
        if (view.has(tcpflag::rst)) {
            ++this->resets;
        } else if (!this->isConnected) {
            this->handshake(view);
        } else if (view.sequence == this->expected && view.sequenceLength() > 0) {
            this->received.append(view.payload.begin(), view.payload.end());
            this->expected += view.sequenceLength();
            this->network.frame(this->chain, this->packet(tcpflag::ack), 0);
        } else if (view.sequenceLength() == 0 && isBefore(view.sequence, this->expected)) {
            // A keep-alive is answered with an acknowledgement.
            this->network.frame(this->chain, this->packet(tcpflag::ack), 0);
        }
    }

    FlowKey key;
    std::uint32_t isn;
    std::uint32_t next;
    std::uint32_t expected = 0;
    std::uint32_t serverIsn = 0;
    bool isConnected = false;
    int resets = 0;
    std::string received;
    std::vector<Backend *> chain;

private:
    static std::uint16_t nextPort()
    {
        static std::uint16_t port = 4000;
        return ++port;
    }
    void handshake(const PacketView &view)
    {
        if (view.acknowledgement != this->isn + 1) {
            this->network.frame(this->chain, buildResetFor(view), 0);
            return;
        }
        this->isConnected = true;
        this->serverIsn = view.sequence;
        this->expected = view.sequence + 1;
        if (!this->chain.empty())
            this->network.frame(this->chain, this->packet(tcpflag::ack), 0);
    }

    TestNetwork &network;
    Bytes last;
};

inline Backend &TestNetwork::add(std::uint16_t port)
{
    this->backends.push_back(std::make_unique<Backend>(*this, port));
    this->backendsByPort[port] = this->backends.back().get();
    return *this->backends.back();
}

inline ForwardFrame TestNetwork::forward(const std::vector<Backend *> &chain,
                                         std::uint8_t flags) const
{
    ForwardFrame frame{ .flags = flags,
                        .service = serviceIdOf({ "booking" }),
                        .configuration = this->configuration,
                        .replyTo = this->balancer,
                        .hopCount = std::uint8_t(chain.size()) };
    for (std::size_t i = 0; i < chain.size(); ++i)
        frame.hops[i] = { chain[i]->data, 3 };
    return frame;
}

inline Bytes TestNetwork::datagram(const ForwardFrame &frame, const Bytes &packet) const
{
    FrameBuffer buffer;
    const auto header = encodeForward(frame, buffer);
    Bytes bytes(header.begin(), header.end());
    bytes.insert(bytes.end(), packet.begin(), packet.end());
    return bytes;
}

inline void TestNetwork::frame(const ForwardFrame &frame, const Bytes &packet)
{
    this->toNode(frame.hops[0].agent, this->datagram(frame, packet));
    this->run();
}

inline void TestNetwork::toNode(Endpoint to, Bytes datagram)
{
    if (to == this->balancer)
        this->replies.push_back(*decodeReply(datagram));
    else if (Backend *backend = this->backendsByPort[to.port])
        backend->agent.onFrame(datagram, this->now, *backend, backend->outbox);
}

inline void TestNetwork::fromServer(Backend &backend, const Bytes &packet)
{
    if (!packet.empty())
        backend.server.output.push_back(packet);
    this->run();
}

inline void TestNetwork::run()
{
    if (this->isRunning)
        return;
    this->isRunning = true;
    for (bool isBusy = true; isBusy;) {
        isBusy = false;
        for (const auto &backend : this->backends) {
            while (!this->holdServerPackets && !backend->server.output.empty()) {
                const Bytes packet = std::move(backend->server.output.front());
                backend->server.output.pop_front();
                backend->agent.onServerPacket(packet, this->now, *backend, backend->outbox);
                isBusy = true;
            }
        }
        while (!this->toCallers.empty()) {
            const Bytes packet = std::move(this->toCallers.front());
            this->toCallers.pop_front();
            const PacketView view = *parsePacket(packet);
            isBusy = true;
            // A caller with the same key as an earlier one has replaced it.
            const auto found = std::find_if(
                    this->callers.rbegin(), this->callers.rend(),
                    [&](const Caller *caller) { return caller->key == view.key.reversed(); });
            if (found != this->callers.rend())
                (*found)->receive(view);
        }
    }
    this->isRunning = false;
}

inline void TestNetwork::advance(Duration duration, Duration step)
{
    for (Duration passed = Duration::zero(); passed < duration; passed += step) {
        this->now += step;
        for (const auto &backend : this->backends)
            backend->agent.onTimer(this->now, *backend, backend->outbox);
        this->run();
    }
}

} // namespace cactusdeck::testing

#endif // CACTUSDECK_CORE_AGENT_TEST_H

#include "node/runningnode.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>

#include <httplib.h>
#include <poll.h>

#include "node/outcome.h"
#include "node/rpcclient.h"

using namespace cactusdeck;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr Endpoint anyPort{ 0x7F000001, 0 };

// A state machine that records its events. It forwards packets from the data socket to the server,
// and packets from the server to the fabric.
struct Recorder
{
    NodeStateMachine stateMachine()
    {
        using Bytes = std::span<const std::uint8_t>;
        return {
            .start =
                    [this](TimePoint, Outbox &outbox) {
                        outbox.store = this->storeCalls;
                        for (const ControlSend &send : this->sends)
                            outbox.send(send.to, send.message);
                    },
            .onDatagram =
                    [](Bytes bytes, TimePoint, DataSink &sink, Outbox &) {
                        const bool isPacket = bytes[0] >> 4 == 4;
                        if (isPacket)
                            sink.toServer(bytes);
                        return isPacket;
                    },
            .onServerPacket = [](Bytes bytes, TimePoint, DataSink &sink,
                                 Outbox &) { sink.toFabric(bytes); },
            .onControl = [this](const ControlMessage &message, TimePoint,
                                Outbox &) { this->control.set_value(message); },
            .onStoreAnswer =
                    [this](const StoreAnswer &answer, TimePoint, Outbox &) {
                        this->answers.push_back(answer.id);
                        if (this->answers.size() == 1)
                            this->firstAnswer.set_value(answer.id);
                    },
            .onServerHealth =
                    [this](const ServerHealth &answer, TimePoint, Outbox &) {
                        if (this->polls++ == 0)
                            this->health.set_value(answer);
                    },
            .onTimer = [](TimePoint, DataSink &, Outbox &) {},
            .stop = [this](TimePoint, DataSink &, Outbox &) { ++this->stops; },
            .isStopped = [this](TimePoint) { return this->mayStop.load(); },
            .status =
                    [](TimePoint) {
                        return json{ { "id", "n" } };
                    },
        };
    }

    std::vector<StoreCall> storeCalls;
    std::vector<ControlSend> sends;
    std::promise<ControlMessage> control;
    std::promise<std::uint64_t> firstAnswer;
    std::promise<ServerHealth> health;
    std::vector<std::uint64_t> answers; // used on the packet loop's thread only
    std::atomic<int> polls{ 0 };
    std::atomic<int> stops{ 0 };
    std::atomic<bool> mayStop{ true };
};

std::unique_ptr<RunningNode> startNode(Recorder &recorder, Endpoint fabric = { 0x7F000001, 9 },
                                       const RunningNode::RoleOptions &role = {})
{
    const NodeSettings settings{ .id = { "n" },
                                 .zone = { "z" },
                                 .data = anyPort,
                                 .control = anyPort,
                                 .fabric = fabric,
                                 .log = { .level = Level::Error } };
    auto node =
            outcomeOf([&] { return RunningNode::start(settings, role, recorder.stateMachine()); });
    BOOST_REQUIRE_MESSAGE(node, node.error.message);
    return std::move(*node.value);
}

DataSocket bindLoopback()
{
    return std::move(outcomeOf([] { return DataSocket::bind(anyPort); }).value.value());
}

std::size_t waitAndReceive(DataSocket &socket)
{
    pollfd descriptor{ socket.descriptor(), POLLIN, 0 };
    poll(&descriptor, 1, 10000);
    return socket.receive();
}

void sendOne(DataSocket &socket, Endpoint to, std::vector<std::uint8_t> bytes)
{
    socket.queue(to, {}, bytes, PacketLifetime::Temporary);
    socket.flush();
}

json counterOf(const RunningNode &node, const char *name)
{
    const auto metrics = outcomeOf([&] { return RpcClient(node.rpcEndpoint()).call("metrics"); });
    return metrics.value.value()["counters"][name]["value"];
}

} // namespace

BOOST_AUTO_TEST_SUITE(runningNode)

// Guards against packets that are sent from the wrong socket, and against accepting packets from
// other sources than the server's endpoint as packets of the server.
BOOST_AUTO_TEST_CASE(packetsAreForwardedBetweenFabricAndServer)
{
    Recorder recorder;
    DataSocket fabric = bindLoopback();
    DataSocket server = bindLoopback();
    DataSocket stranger = bindLoopback();
    const auto node = startNode(recorder, fabric.local(),
                                { .server = ServerSettings{ server.local(), { 0x7F000001, 9 } } });
    sendOne(fabric, node->dataEndpoint(), { 0x45, 1 });
    BOOST_REQUIRE(waitAndReceive(server) == 1u);
    const Endpoint serverSide = server.datagram(0).from;
    BOOST_TEST((serverSide != node->dataEndpoint()));
    sendOne(stranger, serverSide, { 0x45, 99 });
    sendOne(server, serverSide, { 0x45, 2 });
    BOOST_REQUIRE(waitAndReceive(fabric) == 1u);
    BOOST_TEST(fabric.datagram(0).bytes[1] == 2);
    BOOST_TEST(counterOf(*node, "server_packets_foreign") == 1);
}

// Guards against a node that crashes on malformed datagrams: data datagrams of no known kind and
// control datagrams with invalid CBOR are counted, and the next valid message is handled.
BOOST_AUTO_TEST_CASE(malformedDatagramsAreCounted)
{
    Recorder recorder;
    const auto node = startNode(recorder);
    DataSocket sender = bindLoopback();
    sendOne(sender, node->dataEndpoint(), { 0x99 });
    sendOne(sender, node->controlEndpoint(), { 0xFF, 0xFF });
    while (counterOf(*node, "malformed_datagrams") != 2)
        std::this_thread::yield();
    sendOne(sender, node->controlEndpoint(), encodeMessage(ProbeAck{ .from = { "b" } }));
    const ControlMessage message = recorder.control.get_future().get();
    BOOST_TEST(std::get<ProbeAck>(message).from.value == "b");
}

// Guards against control messages that are lost because they are too long for a datagram.
BOOST_AUTO_TEST_CASE(messagesTooLargeForADatagramAreDeliveredOverRpc)
{
    Recorder receiver;
    const auto to = startNode(receiver);
    ConfigurationDelta delta{ .from = 1, .to = 2 };
    delta.contracts = { json(std::string(5000, 'x')) };
    Recorder sender;
    sender.sends = { { to->rpcEndpoint(), delta } };
    const auto from = startNode(sender);
    const ControlMessage message = receiver.control.get_future().get();
    BOOST_TEST((std::get<ConfigurationDelta>(message).contracts == delta.contracts));
}

BOOST_AUTO_TEST_CASE(deliverRejectsInvalidMessages)
{
    Recorder recorder;
    const auto node = startNode(recorder);
    const RpcClient client(node->rpcEndpoint());
    const auto text = outcomeOf([&] { return client.call("deliver", { { "message", "!" } }); });
    BOOST_TEST((text.error.kind == ErrorKind::InvalidArgument));
    const auto cbor = outcomeOf([&] { return client.call("deliver", { { "message", "AAAA" } }); });
    BOOST_TEST((cbor.error.kind == ErrorKind::MalformedPacket));
}

// Guards against a slow store call that blocks the calls behind it.
BOOST_AUTO_TEST_CASE(slowStoreCallDoesNotDelayOthers)
{
    httplib::Server store;
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future();
    store.Get("/objects/slow", [&](const auto &, auto &) { released.wait(); });
    store.Get("/objects/fast", [](const auto &, auto &answer) { answer.status = 404; });
    const int port = store.bind_to_any_port("127.0.0.1");
    std::thread thread([&] { store.listen_after_bind(); });
    Recorder recorder;
    recorder.storeCalls = { { .id = 1, .key = "slow" }, { .id = 2, .key = "fast" } };
    {
        const auto node = startNode(recorder, { 0x7F000001, 9 },
                                    { .store = Endpoint{ 0x7F000001, std::uint16_t(port) } });
        BOOST_TEST(recorder.firstAnswer.get_future().get() == 2u);
        // The destructor also shows that a pending call does not keep the node from stopping.
    }
    release.set_value();
    store.stop();
    thread.join();
}

BOOST_AUTO_TEST_CASE(unreachableServerIsReported)
{
    Recorder recorder;
    const auto node =
            startNode(recorder, { 0x7F000001, 9 },
                      { .server = ServerSettings{ { 0x7F000001, 9 }, { 0x7F000001, 9 } } });
    BOOST_TEST(!recorder.health.get_future().get().reachable);
}

// Guards against a second SIGTERM that starts the graceful stop again or cuts it short.
BOOST_AUTO_TEST_CASE(stopIsCalledOnceAndWaitsForTheMachine)
{
    Recorder recorder;
    recorder.mayStop = false;
    const auto node = startNode(recorder);
    node->requestStop();
    node->requestStop();
    while (recorder.stops == 0)
        std::this_thread::yield();
    node->requestStop();
    // The node still answers, since its state machine has not stopped.
    const auto status = outcomeOf([&] { return RpcClient(node->rpcEndpoint()).call("status"); });
    BOOST_TEST((*status.value)["id"] == "n");
    recorder.mayStop = true;
    node->waitUntilStopped();
    BOOST_TEST(recorder.stops == 1);
}

BOOST_AUTO_TEST_CASE(flowsAreParsed)
{
    const auto flow = outcomeOf([] { return parseFlow("10.0.0.1:4000>198.51.100.10:443/tcp"); });
    BOOST_REQUIRE(flow);
    BOOST_TEST(toString(flow.value->destination) == "198.51.100.10:443");
    for (const char *text : { "", "10.0.0.1:4000", "10.0.0.1>1.2.3.4:5/tcp",
                              "10.0.0.1:1>1.2.3.4:5/icmp", "10.0.0.1:1/tcp>1.2.3.4:5" })
        BOOST_TEST(!outcomeOf([&] { return parseFlow(text); }), text);
}

BOOST_AUTO_TEST_SUITE_END()

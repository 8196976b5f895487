#include "node/runningnode.h"

#include <future>

#include "node/outcome.h"
#include "node/rpcclient.h"

namespace cactusdeck {

namespace {

// Shorter than rpcTimeout, so that the client gets an error answer instead of a timeout.
constexpr std::chrono::milliseconds loopCallTimeout{ 1500 };

} // namespace

RunningNode::RunningNode(const NodeSettings &settings, NodeStateMachine nodeStateMachine)
    : stateMachine(std::move(nodeStateMachine))
    , log({ .level = settings.log.level, .metrics = &this->metrics })
{ }

RunningNode::~RunningNode()
{
    // RPC handlers wait for the packet loop and the packet loop calls the actors, so they are
    // stopped in this order.
    this->rpc.stop();
    if (this->loop) {
        this->loop->abort();
        this->loop->join();
    }
    if (this->actors)
        this->actors->stop();
}

Result<std::unique_ptr<RunningNode>> RunningNode::start(const NodeSettings &settings,
                                                        const RoleOptions &role,
                                                        NodeStateMachine stateMachine)
{
    BOOST_LEAF_CHECK(configureLogging(settings.log));
    std::unique_ptr<RunningNode> node(new RunningNode(settings, std::move(stateMachine)));
    BOOST_LEAF_CHECK(node->open(settings, role));
    return node;
}

Result<void> RunningNode::open(const NodeSettings &settings, const RoleOptions &role)
{
    PacketLoopOptions options{ .data = settings.data,
                               .control = settings.control,
                               .fabric = settings.fabric };
    if (role.server)
        options.server = role.server->data;
    PacketLoopDependencies dependencies{
        .callStore = [this](StoreCall call) { this->actors->callStore(std::move(call)); },
        .deliver =
                [this](Endpoint to, std::vector<std::uint8_t> message) {
                    this->actors->deliver(to, std::move(message));
                },
        .log = &this->log,
        .metrics = &this->metrics
    };
    BOOST_LEAF_ASSIGN(this->loop,
                      PacketLoop::open(options, this->stateMachine, std::move(dependencies)));
    this->addMethods(settings);
    BOOST_LEAF_ASSIGN(this->rpcAddress, this->rpc.listen(settings.control));
    NodeActorsOptions actorOptions{
        .store = role.store,
        .onStoreAnswer = [this](const StoreAnswer &answer) { this->onStoreAnswer(answer); },
        .onServerHealth = [this](const ServerHealth &health) { this->onServerHealth(health); },
        .log = &this->log,
        .metrics = &this->metrics
    };
    if (role.server)
        actorOptions.health = role.server->health;
    this->actors = std::make_unique<NodeActors>(std::move(actorOptions));
    this->log.push({ Level::Info,
                     "started",
                     { { "id", settings.id.value },
                       { "zone", settings.zone.value },
                       { "version", CACTUSDECK_VERSION },
                       { "data", toString(this->dataEndpoint()) },
                       { "control", toString(this->controlEndpoint()) } } });
    this->loop->start();
    return {};
}

void RunningNode::addMethods(const NodeSettings &settings)
{
    using Json = nlohmann::json;
    this->rpc.add({ .name = "status", .handler = [this](const Json &) {
                       return this->callOnLoopThread(this->stateMachine.status);
                   } });
    this->rpc.add({ .name = "metrics", .handler = [this](const Json &) -> Result<Json> {
                       return this->metrics.toJson();
                   } });
    this->rpc.add({ .name = "version", .handler = [id = settings.id](const Json &) -> Result<Json> {
                       return Json{ { "id", id }, { "version", CACTUSDECK_VERSION } };
                   } });
    this->rpc.add(
            { .name = "deliver", .parameters = { "message" }, .handler = [this](const Json &p) {
                 return this->deliver(p.at("message").get<std::string>());
             } });
    if (this->stateMachine.explain) {
        this->rpc.add(
                { .name = "explain", .parameters = { "flow" }, .handler = [this](const Json &p) {
                     return this->explain(p.at("flow").get<std::string>());
                 } });
    }
}

Result<nlohmann::json> RunningNode::deliver(const std::string &text)
{
    std::vector<std::uint8_t> bytes;
    if (!decodeBase64(text, bytes))
        return fail(ErrorKind::InvalidArgument, "message: expected base64 text");
    this->metrics.add(Counter::ControlReceived);
    this->metrics.add(Counter::ControlBytesReceived, bytes.size());
    BOOST_LEAF_AUTO(message, decodeMessage(bytes));
    const bool accepted =
            this->loop->post([this, message = std::move(message)](TimePoint now, Outbox &outbox) {
                this->stateMachine.onControl(message, now, outbox);
            });
    if (!accepted)
        return fail(ErrorKind::PeerUnavailable, "the packet loop is overloaded or stopped");
    return nlohmann::json{ { "accepted", true } };
}

Result<nlohmann::json> RunningNode::explain(const std::string &text)
{
    BOOST_LEAF_AUTO(flow, parseFlow(text));
    return this->callOnLoopThread(
            [this, flow](TimePoint now) { return this->stateMachine.explain(flow, now); });
}

Result<nlohmann::json> RunningNode::callOnLoopThread(std::function<nlohmann::json(TimePoint)> f)
{
    // Shared, since the task may run after this function has timed out.
    const auto promise = std::make_shared<std::promise<nlohmann::json>>();
    std::future<nlohmann::json> future = promise->get_future();
    const bool accepted = this->loop->post([promise, f = std::move(f)](TimePoint now, Outbox &) {
        try {
            promise->set_value(f(now));
        } catch (...) {
            promise->set_exception(std::current_exception());
        }
    });
    if (!accepted || future.wait_for(loopCallTimeout) != std::future_status::ready)
        return fail(ErrorKind::PeerUnavailable, "the packet loop is overloaded or stopped");
    return future.get();
}

void RunningNode::onStoreAnswer(const StoreAnswer &answer)
{
    this->loop->post([this, answer](TimePoint now, Outbox &outbox) {
        if (this->stateMachine.onStoreAnswer)
            this->stateMachine.onStoreAnswer(answer, now, outbox);
    });
}

void RunningNode::onServerHealth(const ServerHealth &health)
{
    this->loop->post([this, health](TimePoint now, Outbox &outbox) {
        this->stateMachine.onServerHealth(health, now, outbox);
    });
}

Endpoint RunningNode::dataEndpoint() const
{
    return this->loop->dataEndpoint();
}

Endpoint RunningNode::controlEndpoint() const
{
    return this->loop->controlEndpoint();
}

Endpoint RunningNode::rpcEndpoint() const
{
    return this->rpcAddress;
}

void RunningNode::requestStop()
{
    this->log.push({ Level::Info, "stop_requested", {} });
    this->loop->requestStop();
}

void RunningNode::waitUntilStopped()
{
    this->loop->join();
    this->log.push({ Level::Info, "stopped", {} });
}

int RunningNode::endedDescriptor() const
{
    return this->loop->endedDescriptor();
}

Result<FlowKey> parseFlow(const std::string &text)
{
    const std::size_t arrow = text.find('>');
    const std::size_t slash = text.rfind('/');
    FlowKey key;
    if (arrow != std::string::npos && slash != std::string::npos && slash > arrow
        && parseEndpoint(text.substr(0, arrow), key.source)
        && parseEndpoint(text.substr(arrow + 1, slash - arrow - 1), key.destination)) {
        const std::string protocol = text.substr(slash + 1);
        key.protocol = protocol == "udp" ? Protocol::Udp : Protocol::Tcp;
        if (protocol == "tcp" || protocol == "udp")
            return key;
    }
    return fail(ErrorKind::InvalidArgument, "flow: expected SOURCE>DESTINATION/PROTOCOL such as "
                                            "10.0.0.1:4000>198.51.100.10:443/tcp, got "
                                                    + text);
}

Incarnation currentIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(std::chrono::duration_cast<std::chrono::seconds>(now).count());
}

} // namespace cactusdeck

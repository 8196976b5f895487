#include "node/actors.h"

#include <atomic>

#include <caf/all.hpp>

#include "node/outcome.h"
#include "node/rpcclient.h"
#include "node/serverhealth.h"
#include "node/storeclient.h"

namespace cactusdeck::detail {

// A control message that is delivered to another node over JSON-RPC.
struct Delivery
{
    Endpoint to;
    std::vector<std::uint8_t> message;
};

} // namespace cactusdeck::detail

// These messages stay within the process, so CAF need not be able to serialise them.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cactusdeck::StoreCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cactusdeck::detail::Delivery)

namespace cactusdeck {

namespace {

using detail::Delivery;

using DrainAtom = caf::atom_constant<caf::atom("drain")>;
using PollAtom = caf::atom_constant<caf::atom("poll")>;

// A balancer normally has a few reads, one write and two or three watches in progress. Each
// occupies a thread.
constexpr int maxStoreCalls = 32;
constexpr int maxDeliveries = 16;
constexpr std::chrono::seconds deliveryTimeout{ 5 };

caf::actor_system_config &configure(caf::actor_system_config &config)
{
    // Blocking work runs in detached actors with their own threads, so the scheduler's threads only
    // dispatch messages.
    config.set("scheduler.max-threads", 2);
    return config;
}

} // namespace

struct NodeActors::Parts
{
    explicit Parts(NodeActorsOptions actorOptions)
        : options(std::move(actorOptions))
        , store({ .store = this->options.store.value_or(Endpoint{}) })
        , system(configure(this->config))
    {
        // Parts is passed to the actors as an argument instead of being captured: CAF 0.17
        // dereferences a null argument tuple if a function is spawned without arguments, which the
        // undefined-behaviour sanitizer reports.
        this->dispatcher = this->system.spawn(
                [](caf::event_based_actor *self, Parts *parts) { return parts->dispatch(self); },
                this);
        this->writer = this->system.spawn<caf::detached>(
                [](caf::event_based_actor *, Parts *parts) { return parts->writeLog(); }, this);
        if (this->options.health) {
            this->poller = this->system.spawn<caf::detached>(
                    [](caf::event_based_actor *self, Parts *parts) { return parts->poll(self); },
                    this);
        }
    }

    caf::behavior writeLog()
    {
        return { [this](DrainAtom) { this->options.log->drain(writeLogLine); } };
    }

    caf::behavior dispatch(caf::event_based_actor *self)
    {
        return {
            [this, self](const StoreCall &call) {
                self->spawn<caf::detached>([call](caf::event_based_actor *,
                                                  Parts *parts) { parts->runStoreCall(call); },
                                           this);
            },
            [this, self](const Delivery &delivery) {
                self->spawn<caf::detached>(
                        [delivery](caf::event_based_actor *, Parts *parts) {
                            parts->runDelivery(delivery);
                        },
                        this);
            },
        };
    }

    caf::behavior poll(caf::event_based_actor *self)
    {
        self->send(self, PollAtom::value);
        return { [this, self](PollAtom) {
            // Sent before the poll, so that the server's response time does not add to the
            // interval.
            self->delayed_send(self, healthInterval, PollAtom::value);
            this->options.onServerHealth(pollServerHealth(*this->options.health));
        } };
    }

    void runStoreCall(const StoreCall &call)
    {
        const TimePoint begin = Clock::now();
        const StoreAnswer answer = this->store.call(call);
        const std::chrono::duration<double, std::micro> elapsed = Clock::now() - begin;
        // A watch waits for a change, so its duration is not the store's latency.
        if (call.operation != StoreOperation::Watch)
            this->options.metrics->record(HistogramId::StoreLatency, elapsed.count());
        this->options.metrics->add(Counter::StoreCalls);
        if (answer.status == StoreStatus::Unavailable
            || (answer.status == StoreStatus::Timeout && call.operation != StoreOperation::Watch))
            this->options.metrics->add(Counter::StoreFailures);
        --this->storeCallsInProgress;
        this->options.onStoreAnswer(answer);
    }

    void runDelivery(const Delivery &delivery)
    {
        const auto outcome = outcomeOf(
                [&] { return RpcClient(delivery.to, deliveryTimeout).deliver(delivery.message); });
        --this->deliveriesInProgress;
        if (outcome)
            return;
        this->options.metrics->add(Counter::ControlDropped);
        this->options.log->push({ Level::Warning,
                                  "delivery_failed",
                                  { { "to", toString(delivery.to) },
                                    { "bytes", std::to_string(delivery.message.size()) },
                                    { "error", outcome.error.message } } });
    }

    NodeActorsOptions options;
    StoreClient store;
    std::atomic<int> storeCallsInProgress{ 0 };
    std::atomic<int> deliveriesInProgress{ 0 };
    bool stopped = false;
    caf::actor_system_config config;
    caf::actor_system system;
    caf::actor dispatcher;
    caf::actor writer;
    caf::actor poller;
};

NodeActors::NodeActors(NodeActorsOptions options)
    : parts(std::make_unique<Parts>(std::move(options)))
{
    this->parts->options.log->setWake(
            [writer = this->parts->writer] { caf::anon_send(writer, DrainAtom::value); });
}

NodeActors::~NodeActors()
{
    this->stop();
}

void NodeActors::callStore(StoreCall call)
{
    if (++this->parts->storeCallsInProgress > maxStoreCalls) {
        --this->parts->storeCallsInProgress;
        this->parts->options.metrics->add(Counter::StoreFailures);
        this->parts->options.onStoreAnswer(
                { .id = call.id, .status = StoreStatus::Unavailable, .key = std::move(call.key) });
        return;
    }
    caf::anon_send(this->parts->dispatcher, std::move(call));
}

void NodeActors::deliver(Endpoint to, std::vector<std::uint8_t> message)
{
    if (++this->parts->deliveriesInProgress > maxDeliveries) {
        --this->parts->deliveriesInProgress;
        this->parts->options.metrics->add(Counter::ControlDropped);
        return;
    }
    caf::anon_send(this->parts->dispatcher, Delivery{ to, std::move(message) });
}

void NodeActors::stop()
{
    if (this->parts->stopped)
        return;
    this->parts->stopped = true;
    this->parts->store.cancel();
    for (caf::actor *actor :
         { &this->parts->dispatcher, &this->parts->poller, &this->parts->writer }) {
        if (*actor)
            caf::anon_send_exit(*actor, caf::exit_reason::user_shutdown);
        *actor = nullptr;
    }
    this->parts->system.await_all_actors_done();
    this->parts->options.log->setWake({});
    this->parts->options.log->drain(writeLogLine);
}

} // namespace cactusdeck

#include "node/balancerdaemon.h"

#include <random>

#include "core/balancer.h"
#include "node/daemon.h"

namespace cactusdeck {

namespace {

constexpr std::uint8_t ipVersion4 = 4;

// Packets from the fabric are encapsulated as GUE variant 1, so they begin with an IPv4 header. The
// version in its first byte distinguishes them from frames.
bool dispatchDatagram(Balancer &balancer, std::span<const std::uint8_t> datagram, TimePoint now,
                      DataSink &sink, Outbox &outbox)
{
    if (datagram.empty())
        return false;
    if (datagram[0] >> 4 == ipVersion4) {
        balancer.onPacket(datagram, now, sink, outbox);
        return true;
    }
    if (!frameKindOf(datagram))
        return false;
    balancer.onFrame(datagram, now, sink, outbox);
    return true;
}

} // namespace

NodeStateMachine makeBalancerStateMachine(const BalancerSettings &settings)
{
    const NodeSettings &node = settings.node;
    // Shared, since std::function must be able to copy the handlers.
    const auto balancer =
            std::make_shared<Balancer>(BalancerOptions{ .id = node.id,
                                                        .zone = node.zone,
                                                        .data = node.data,
                                                        .control = node.control,
                                                        .fabric = node.fabric,
                                                        .seeds = node.seeds,
                                                        .incarnation = currentIncarnation(),
                                                        .seed = std::random_device()() });
    using Bytes = std::span<const std::uint8_t>;
    return {
        .start = [=](TimePoint now, Outbox &outbox) { balancer->start(now, outbox); },
        .onDatagram =
                [=](Bytes bytes, TimePoint now, DataSink &sink, Outbox &outbox) {
                    return dispatchDatagram(*balancer, bytes, now, sink, outbox);
                },
        .onControl = [=](const ControlMessage &message, TimePoint now,
                         Outbox &outbox) { balancer->onControl(message, now, outbox); },
        .onStoreAnswer = [=](const StoreAnswer &answer, TimePoint now,
                             Outbox &outbox) { balancer->onStoreAnswer(answer, now, outbox); },
        .onTimer = [=](TimePoint now, DataSink &sink,
                       Outbox &outbox) { balancer->onTimer(now, sink, outbox); },
        .stop = [=](TimePoint now, DataSink &sink,
                    Outbox &outbox) { balancer->stop(now, sink, outbox); },
        .isStopped = [=](TimePoint now) { return balancer->isStopped(now); },
        .status = [=](TimePoint now) { return balancer->status(now); },
        .explain = [=](const FlowKey &key, TimePoint now) { return balancer->explain(key, now); },
    };
}

Result<std::unique_ptr<RunningNode>> startBalancer(const BalancerSettings &settings)
{
    return RunningNode::start(settings.node, { .store = settings.store },
                              makeBalancerStateMachine(settings));
}

int runBalancerDaemon(int argc, char **argv)
{
    return runDaemon(
            { .name = "cactusdeck-balancer",
              .description = "front-end instance of the load balancer",
              .check = [](const std::string &file) -> Result<void> {
                  BOOST_LEAF_CHECK(loadBalancerSettings(file));
                  return {};
              },
              .start = [](const std::string &file) -> Result<std::unique_ptr<RunningNode>> {
                  BOOST_LEAF_AUTO(settings, loadBalancerSettings(file));
                  return startBalancer(settings);
              } },
            argc, argv);
}

} // namespace cactusdeck

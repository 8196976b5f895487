#include "node/agentdaemon.h"

#include <random>

#include "core/agent.h"
#include "core/frame.h"
#include "node/daemon.h"

namespace cactusdeck {

NodeStateMachine makeAgentStateMachine(const AgentSettings &settings)
{
    const NodeSettings &node = settings.node;
    // Shared, since std::function must be able to copy the handlers.
    const auto agent = std::make_shared<Agent>(AgentOptions{ .id = node.id,
                                                             .zone = node.zone,
                                                             .data = node.data,
                                                             .control = node.control,
                                                             .group = settings.group,
                                                             .seeds = node.seeds,
                                                             .incarnation = currentIncarnation(),
                                                             .seed = std::random_device()() });
    using Bytes = std::span<const std::uint8_t>;
    return {
        .start = [=](TimePoint now, Outbox &outbox) { agent->start(now, outbox); },
        .onDatagram =
                [=](Bytes bytes, TimePoint now, DataSink &sink, Outbox &outbox) {
                    if (!frameKindOf(bytes))
                        return false;
                    agent->onFrame(bytes, now, sink, outbox);
                    return true;
                },
        .onServerPacket = [=](Bytes bytes, TimePoint now, DataSink &sink,
                              Outbox &outbox) { agent->onServerPacket(bytes, now, sink, outbox); },
        .onControl = [=](const ControlMessage &message, TimePoint now,
                         Outbox &outbox) { agent->onControl(message, now, outbox); },
        .onServerHealth = [=](const ServerHealth &health, TimePoint now,
                              Outbox &outbox) { agent->onServerHealth(health, now, outbox); },
        .onTimer = [=](TimePoint now, DataSink &sink,
                       Outbox &outbox) { agent->onTimer(now, sink, outbox); },
        .stop = [=](TimePoint now, DataSink &, Outbox &outbox) { agent->stop(now, outbox); },
        .isStopped = [=](TimePoint now) { return agent->isStopped(now); },
        .status = [=](TimePoint now) { return agent->status(now); },
    };
}

Result<std::unique_ptr<RunningNode>> startAgent(const AgentSettings &settings)
{
    return RunningNode::start(settings.node, { .server = settings.server },
                              makeAgentStateMachine(settings));
}

int runAgentDaemon(int argc, char **argv)
{
    return runDaemon(
            { .name = "cactusdeck-agent",
              .description = "agent that runs beside a backend server",
              .check = [](const std::string &file) -> Result<void> {
                  BOOST_LEAF_CHECK(loadAgentSettings(file));
                  return {};
              },
              .start = [](const std::string &file) -> Result<std::unique_ptr<RunningNode>> {
                  BOOST_LEAF_AUTO(settings, loadAgentSettings(file));
                  return startAgent(settings);
              } },
            argc, argv);
}

} // namespace cactusdeck

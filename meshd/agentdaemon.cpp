#include "meshd/agentdaemon.h"

#include "mesh/agent.h"
#include "meshd/eventloop.h"
#include "meshd/metricstext.h"
#include "meshd/reload.h"
#include "platform/heartbeat.h"
#include "platform/segmentcodec.h"

namespace cactusdeck::meshd {

namespace {

constexpr std::string_view metricsTarget = "/metrics";
// The server is on the same machine, so it would answer within this time. A time-out does not prove
// that it has stopped.
constexpr std::chrono::milliseconds serverCheckTimeout{ 300 };

std::chrono::milliseconds timeOfDay()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
}

class AgentDaemon
{
public:
    AgentDaemon(const Settings &nodeSettings, std::string settingsFile)
        : settings(nodeSettings)
        , file(std::move(settingsFile))
        , loop({ .mesh = settings.mesh,
                 .packets = settings.outbound,
                 .server = settings.server,
                 .callerPort = settings.packets.port,
                 .http = { settings.control, settings.metrics },
                 .store = settings.store,
                 .logLevel = settings.logLevel })
        , agent({ .name = settings.id,
                  .zone = settings.zone,
                  .service = settings.service,
                  .mesh = settings.mesh,
                  .server = settings.server,
                  .seeds = settings.seeds,
                  .codec = &platform::segmentCodec,
                  .requestSchedulingMaxSlots = settings.requestSchedulingMaxSlots })
    { }

    Result<void> run()
    {
        BOOST_LEAF_CHECK(this->loop.open(this->handlers()));
        this->agent.start(EventLoop::now(), this->loop);
        this->loop.run();
        return {};
    }

private:
    EventLoopHandlers handlers()
    {
        return {
            .onMeshDatagram =
                    [this](std::span<const std::uint8_t> bytes, Endpoint from, TimePoint now) {
                        this->agent.onDatagram(bytes, from, now, this->loop);
                    },
            .onPacket =
                    [this](std::span<const std::uint8_t> bytes, Endpoint, TimePoint now) {
                        this->agent.onServerPacket(bytes, now, this->loop);
                    },
            .onTimer = [this](TimePoint now) { this->agent.onTimer(now, this->loop); },
            .nextTimer = [this] { return this->agent.nextTimer(); },
            .onPaused = [this](TimePoint now) { this->agent.onPaused(now, this->loop); },
            .onStop = [this](TimePoint now) { this->agent.stop(now, this->loop); },
            .isStopped = [this](TimePoint) { return this->agent.isStopped(); },
            .onReload =
                    [this](TimePoint now) {
                        this->agent.addBalancers(reloadSeeds(NodeRole::Agent, this->file,
                                                             this->settings, this->loop),
                                                 now, this->loop);
                    },
            .afterEvent = [this](TimePoint now) { this->checkServer(now); },
            .onHttp = [this](const HttpRequest &request) { return this->respond(request); },
            .needsDirectory = [this](TimePoint now) { return this->agent.needsDirectory(now); },
            .onDirectory = [this](const std::vector<Endpoint> &found,
                                  TimePoint now) { this->agent.addFound(found, now, this->loop); },
        };
    }

    void checkServer(TimePoint now)
    {
        if (!this->agent.takeServerCheck(now))
            return;
        this->loop.tryConnect(this->settings.server, serverCheckTimeout,
                              [this](mesh::ConnectOutcome outcome, TimePoint at) {
                                  this->agent.onServerCheck(outcome, at, this->loop);
                              });
    }

    HttpResponse respond(const HttpRequest &request)
    {
        const TimePoint now = EventLoop::now();
        if (request.target == metricsTarget)
            return { .body = metricsText(this->agent, this->loop.logWriter(), now),
                     .contentType = "text/plain" };
        const platform::ServerCall call =
                platform::decodeCall(request.method, request.target, request.body);
        if (const auto *decoded = std::get_if<mesh::Heartbeat>(&call)) {
            mesh::Heartbeat heartbeat = *decoded;
            if (heartbeat.startedAt != 0)
                heartbeat.age = timeOfDay() - std::chrono::milliseconds(heartbeat.startedAt);
            if (this->agent.onHeartbeat(heartbeat, now, this->loop))
                return { .body = "{}" };
            return { .status = 400, .body = R"({"error":"not the server of this agent"})" };
        }
        if (const auto *deregistration = std::get_if<platform::Deregistration>(&call)) {
            this->agent.onDeregister(deregistration->instance, deregistration->startedAt, now,
                                     this->loop);
            return { .body = "{}" };
        }
        if (const auto *malformed = std::get_if<platform::MalformedCall>(&call)) {
            this->agent.onMalformedHeartbeat(malformed->reason, this->loop);
            return { .status = 400, .body = R"({"error":"malformed"})" };
        }
        return { .status = 404, .body = R"({"error":"not found"})" };
    }

    Settings settings;
    std::string file;
    EventLoop loop;
    mesh::Agent agent;
};

} // namespace

Result<void> runAgent(const Settings &settings, const std::string &file)
{
    AgentDaemon daemon(settings, file);
    return daemon.run();
}

} // namespace cactusdeck::meshd

#include "meshd/balancerdaemon.h"

#include <random>

#include "mesh/balancer.h"
#include "mesh/registration.h"
#include "meshd/eventloop.h"
#include "meshd/metricstext.h"
#include "meshd/reload.h"
#include "platform/heartbeat.h"
#include "platform/objects.h"
#include "platform/segmentcodec.h"

namespace cactusdeck::meshd {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view metricsTarget = "/metrics";
constexpr std::string_view stateTarget = "/state"; // requested by other balancers
constexpr std::chrono::milliseconds fetchTimeout{ 1000 };
constexpr std::chrono::milliseconds registrationTimeout{ 2000 };
constexpr unsigned statusConflict = 409;

class BalancerDaemon
{
public:
    BalancerDaemon(const Settings &nodeSettings, std::string settingsFile)
        : settings(nodeSettings)
        , file(std::move(settingsFile))
        , loop({ .mesh = settings.mesh,
                 .packets = settings.packets,
                 .callerPort = settings.packets.port,
                 .http = httpEndpoints(settings),
                 .store = settings.store,
                 .logLevel = settings.logLevel })
        , balancer({ .name = settings.id,
                     .zone = settings.zone,
                     .mesh = settings.mesh,
                     .seeds = settings.seeds,
                     .codec = &platform::segmentCodec,
                     .decodeConfiguration = platform::decodeConfiguration,
                     .costPerKilobyte = settings.costPerKilobyte,
                     .requestSchedulingMaxSlots = settings.requestSchedulingMaxSlots,
                     .seed = std::random_device()() })
    { }

    Result<void> run()
    {
        BOOST_LEAF_CHECK(this->loop.open(this->handlers()));
        this->balancer.start(EventLoop::now(), this->loop);
        this->loop.run();
        return {};
    }

private:
    static std::vector<Endpoint> httpEndpoints(const Settings &settings)
    {
        std::vector<Endpoint> endpoints = { settings.readiness, settings.metrics, settings.mesh };
        // A backend server may send its heartbeats to a balancer; it gets status 404.
        if (settings.control != Endpoint{})
            endpoints.push_back(settings.control);
        return endpoints;
    }

    EventLoopHandlers handlers()
    {
        return {
            .onMeshDatagram =
                    [this](std::span<const std::uint8_t> bytes, Endpoint from, TimePoint now) {
                        this->balancer.onDatagram(bytes, from, now, this->loop);
                    },
            .onPacket =
                    [this](std::span<const std::uint8_t> bytes, Endpoint, TimePoint now) {
                        this->balancer.onCallerPacket(bytes, now, this->loop);
                    },
            .onTimer = [this](TimePoint now) { this->balancer.onTimer(now, this->loop); },
            .nextTimer = [this] { return this->balancer.nextTimer(); },
            .onPaused = [this](TimePoint now) { this->balancer.onPaused(now, this->loop); },
            .onStop = [this](TimePoint now) { this->balancer.stop(now, this->loop); },
            .isStopped = [this](TimePoint now) { return this->balancer.isStopped(now); },
            .onReload =
                    [this](TimePoint now) {
                        this->balancer.addBalancers(reloadSeeds(NodeRole::Balancer, this->file,
                                                                this->settings, this->loop),
                                                    now, this->loop);
                    },
            .afterEvent = [this](TimePoint now) { this->startPendingCalls(now); },
            .onHttp = [this](const HttpRequest &request) { return this->respond(request); },
            .needsDirectory = [this](TimePoint now) { return this->balancer.needsDirectory(now); },
            .onDirectory =
                    [this](const std::vector<Endpoint> &found, TimePoint now) {
                        this->balancer.addFound(found, now, this->loop);
                    },
        };
    }

    void startPendingCalls(TimePoint now)
    {
        for (const mesh::StoreQuery &query : this->balancer.takeQueries(now))
            this->queryStore(query);
        if (const auto call = this->balancer.takeTargetCall(now))
            this->callForTargets(*call);
        if (const std::optional<Endpoint> peer = this->balancer.takeFetch())
            this->fetchState(*peer);
        const mesh::StoreEra era = this->balancer.state().evacuationsAsOf().era;
        if (const auto call = this->registration.takeCall(era, now))
            this->registerNode(*call);
    }

    void queryStore(const mesh::StoreQuery &query)
    {
        this->loop.call({ .to = this->settings.store,
                          .target = platform::queryTarget(query),
                          .timeout = query.timeout },
                        [this, query](const HttpAnswer &answer, TimePoint now) {
                            const platform::StoreResponse response{
                                .status = answer.status,
                                .era = answer.header(platform::storeEraHeader),
                                .body = answer.body
                            };
                            this->balancer.onStoreResult(
                                    platform::decodeStoreResult(query, response), now, this->loop);
                        });
    }

    void callForTargets(const mesh::TargetCall &call)
    {
        this->loop.call({ .to = this->settings.store,
                          .method = methodOf(call.kind),
                          .target = platform::targetRecordTarget(call),
                          .body = platform::encodeTargetRecord(call),
                          .timeout = mesh::TargetRecorder::callTimeout },
                        [this, call](const HttpAnswer &answer, TimePoint now) {
                            const platform::StoreResponse response{ .status = answer.status,
                                                                    .body = answer.body };
                            this->balancer.onTargetOutcome(
                                    platform::decodeTargetOutcome(call, response), now, this->loop);
                        });
    }

    static std::string methodOf(mesh::TargetCall::Kind kind)
    {
        switch (kind) {
        case mesh::TargetCall::Kind::Read:
            return "GET";
        case mesh::TargetCall::Kind::Create:
            return "POST";
        case mesh::TargetCall::Kind::Replace:
            break;
        }
        return "PUT";
    }

    void fetchState(Endpoint peer)
    {
        this->loop.call(
                { .to = peer, .target = std::string(stateTarget), .timeout = fetchTimeout },
                [this, peer](const HttpAnswer &answer, TimePoint now) {
                    if (answer.status != 200)
                        return this->balancer.onFetchFailed(peer, now, this->loop);
                    const auto *bytes = reinterpret_cast<const std::uint8_t *>(answer.body.data());
                    this->balancer.onFetched(peer, { bytes, answer.body.size() }, now, this->loop);
                });
    }

    void registerNode(mesh::Registration::Call call)
    {
        const bool isCreation = call == mesh::Registration::Call::Create;
        this->loop.call(
                { .to = this->settings.store,
                  .method = isCreation ? "POST" : "PUT",
                  .target = isCreation ? platform::directoryTarget()
                                       : platform::directoryEntryTarget(this->settings.id),
                  .body = platform::encodeDirectoryEntry(this->settings.id, this->settings.mesh),
                  .timeout = registrationTimeout },
                [this](const HttpAnswer &answer, TimePoint now) {
                    const auto outcome = this->outcomeOf(answer);
                    if (outcome == mesh::Registration::Outcome::Failed)
                        this->logRegistrationFailure(answer.status);
                    this->registration.onOutcome(outcome, now);
                });
    }

    mesh::Registration::Outcome outcomeOf(const HttpAnswer &answer) const
    {
        using Outcome = mesh::Registration::Outcome;
        if (answer.status >= 200 && answer.status < 300)
            return Outcome::Written;
        if (answer.status != statusConflict)
            return Outcome::Failed;
        return platform::isSameEntry(answer.body, this->settings.mesh) ? Outcome::AlreadyThere
                                                                       : Outcome::OtherThere;
    }

    void logRegistrationFailure(unsigned status)
    {
        this->loop.log(Level::Warning, "registration_failed",
                       { { "status", std::to_string(status) } });
    }

    HttpResponse respond(const HttpRequest &request)
    {
        const TimePoint now = EventLoop::now();
        if (request.target == metricsTarget)
            return { .body = metricsText(this->balancer, this->loop.logWriter(), now),
                     .contentType = "text/plain" };
        if (request.target == stateTarget) {
            const std::vector<std::uint8_t> state = this->balancer.encodeState(now);
            return { .body = std::string(state.begin(), state.end()),
                     .contentType = "application/cbor" };
        }
        const platform::ServerCall call =
                platform::decodeCall(request.method, request.target, request.body);
        if (std::holds_alternative<platform::ReadinessProbe>(call))
            return { .status = this->balancer.isReady(now) ? 200u : 503u };
        return { .status = 404, .body = R"({"error":"not found"})" };
    }

    Settings settings;
    std::string file;
    EventLoop loop;
    mesh::Balancer balancer;
    mesh::Registration registration{ EventLoop::now(), std::random_device()() };
};

} // namespace

Result<void> runBalancer(const Settings &settings, const std::string &file)
{
    BalancerDaemon daemon(settings, file);
    return daemon.run();
}

} // namespace cactusdeck::meshd

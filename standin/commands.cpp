#include "standin/commands.h"

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

#include "standin/fabric.h"
#include "standin/http.h"
#include "standin/udpport.h"

namespace cactusdeck {

namespace {

constexpr std::chrono::milliseconds pollInterval{ 2 };
constexpr std::chrono::milliseconds retryInterval{ 50 };
constexpr long zoneOutLimitMilliseconds = 3000; // target: no packet into the zone after this

std::atomic<bool> isStopping = false;

void stopOnSignals()
{
    for (const int signal : { SIGTERM, SIGINT })
        std::signal(signal, [](int) { isStopping = true; });
}

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

void setJson(httplib::Response &response, const nlohmann::json &json)
{
    response.set_content(json.dump(), "application/json");
}

Result<nlohmann::json> readJson(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream)
        return fail(ErrorKind::Io, file + ": cannot be read");
    nlohmann::json json = nlohmann::json::parse(stream, nullptr, false);
    if (json.is_discarded())
        return fail(ErrorKind::InvalidArgument, file + ": not a JSON document");
    return json;
}

Result<nlohmann::json> getJson(Endpoint endpoint, const std::string &path)
{
    BOOST_LEAF_AUTO(text, httpCall(endpoint, "GET", path, {}));
    nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        return fail(ErrorKind::PeerUnavailable,
                    toString(endpoint) + path + ": response is not JSON");
    return json;
}

// A state machine that the HTTP threads and the packet loop access under one mutex.
template <typename Machine>
struct Shared
{
    std::mutex mutex;
    Machine machine;
    PacketSends sends;
};

void addServerRoutes(httplib::Server &http, Shared<BackendServer> &shared)
{
    using Request = httplib::Request;
    using Response = httplib::Response;
    http.Get("/health", [&](const Request &, Response &response) {
        const std::lock_guard lock(shared.mutex);
        setJson(response, shared.machine.health(Clock::now()));
    });
    http.Get("/counters", [&](const Request &, Response &response) {
        const std::lock_guard lock(shared.mutex);
        setJson(response, shared.machine.counters(Clock::now(), wallMilliseconds()));
    });
    using Action = void (BackendServer::*)(TimePoint);
    const std::pair<const char *, Action> actions[] = { { "/drain", &BackendServer::drain },
                                                        { "/chill",
                                                          &BackendServer::turnColdSilently },
                                                        { "/restart", &BackendServer::restart } };
    for (const auto &[path, action] : actions) {
        http.Post(path, [&shared, call = action](const Request &, Response &) {
            const std::lock_guard lock(shared.mutex);
            (shared.machine.*call)(Clock::now());
        });
    }
}

void addFabricRoutes(httplib::Server &http, Shared<Fabric> &shared)
{
    using Request = httplib::Request;
    using Response = httplib::Response;
    http.Get("/counters", [&](const Request &, Response &response) {
        const std::lock_guard lock(shared.mutex);
        setJson(response, shared.machine.counters());
    });
    http.Post("/finish", [&](const Request &, Response &) {
        const std::lock_guard lock(shared.mutex);
        shared.machine.finish(Clock::now());
    });
    for (const bool isOut : { true, false }) {
        http.Post(isOut ? "/zone/out/(.+)" : "/zone/in/(.+)",
                  [&shared, isOut](const Request &request, Response &) {
                      const std::lock_guard lock(shared.mutex);
                      shared.machine.setZoneOut(request.matches[1], isOut, Clock::now());
                  });
    }
}

} // namespace

Result<void> runStore(Endpoint listen)
{
    stopOnSignals();
    ObjectStore store;
    HttpHost host;
    addStoreRoutes(host.server(), store);
    BOOST_LEAF_CHECK(host.start(listen));
    while (!isStopping)
        std::this_thread::sleep_for(retryInterval);
    // Ends the pending watches, so that the HTTP server can stop.
    store.setFaults({ { "down", true } });
    return {};
}

Result<void> runServer(Endpoint data, Endpoint health, const BackendOptions &options)
{
    stopOnSignals();
    BOOST_LEAF_AUTO(port, UdpPort::open(data));
    Shared<BackendServer> shared{ .machine = BackendServer(options, Clock::now()) };
    HttpHost host;
    addServerRoutes(host.server(), shared);
    BOOST_LEAF_CHECK(host.start(health));
    while (!isStopping) {
        port.wait(pollInterval);
        const std::lock_guard lock(shared.mutex);
        port.receiveAll([&](std::span<const std::uint8_t> bytes, Endpoint from) {
            shared.machine.onPacket(bytes, from, Clock::now(), shared.sends);
        });
        shared.machine.onTimer(Clock::now(), shared.sends);
        port.send(shared.sends);
    }
    return {};
}

Result<void> runFabric(Endpoint listen, const std::string &scenarioFile)
{
    stopOnSignals();
    BOOST_LEAF_AUTO(scenario, readJson(scenarioFile));
    BOOST_LEAF_AUTO(port, UdpPort::open(listen));
    Shared<Fabric> shared{ .machine = Fabric(fabricOptionsOf(scenario)) };
    HttpHost host;
    addFabricRoutes(host.server(), shared);
    BOOST_LEAF_CHECK(host.start(listen));
    bool isDone = false;
    while (!isStopping && !isDone) {
        port.wait(pollInterval);
        const std::lock_guard lock(shared.mutex);
        port.receiveAll([&](std::span<const std::uint8_t> bytes, Endpoint) {
            shared.machine.onDatagram(bytes, Clock::now(), shared.sends);
        });
        shared.machine.onTimer(Clock::now(), shared.sends);
        port.send(shared.sends);
        isDone = shared.machine.isDone(Clock::now());
    }
    nlohmann::json counters = nlohmann::json::array();
    int unreachable = 0;
    for (const Endpoint server : shared.machine.servers()) {
        const auto answer = leaf::try_handle_all([&] { return getJson(server, "/counters"); },
                                                 [] { return nlohmann::json(); });
        if (answer.is_null())
            ++unreachable;
        else
            counters.push_back(answer);
    }
    nlohmann::json report = shared.machine.report(counters);
    report["unreachableServers"] = unreachable;
    std::cout << report.dump(2) << std::endl;
    return {};
}

Result<void> runCall(const std::string &method, Endpoint endpoint, const std::string &path,
                     const std::string &body)
{
    BOOST_LEAF_AUTO(answer, httpCall(endpoint, method, path, body));
    std::cout << answer << std::endl;
    return {};
}

Result<void> runWait(const WaitOptions &options)
{
    const TimePoint end = Clock::now() + options.timeout;
    while (Clock::now() < end) {
        const bool isReady = leaf::try_handle_all(
                [&]() -> Result<bool> {
                    BOOST_LEAF_AUTO(json, getJson(options.endpoint, options.path));
                    return options.field.empty()
                           || json.value(options.field, 0.0) >= options.atLeast;
                },
                [] { return false; });
        if (isReady)
            return {};
        std::this_thread::sleep_for(retryInterval);
    }
    return fail(ErrorKind::PeerUnavailable,
                toString(options.endpoint) + options.path + ": not ready in time");
}

Result<void> runLastPacket(const std::vector<Endpoint> &servers, std::int64_t since)
{
    std::int64_t latest = since;
    for (const Endpoint server : servers) {
        BOOST_LEAF_AUTO(json, getJson(server, "/counters"));
        latest = std::max(latest, json.at("lastPacketAt").get<std::int64_t>());
    }
    std::cout << latest - since << std::endl;
    return {};
}

Result<bool> runVerdict(const VerdictOptions &options)
{
    BOOST_LEAF_AUTO(report, readJson(options.reportFile));
    const auto count = [&](const char *name) { return report.at(name).get<std::uint64_t>(); };
    std::cout << "callers: " << count("attempts") << " attempts, " << count("flows")
              << " established, " << count("finished") << " finished, " << count("refused")
              << " refused, " << count("unanswered") << " unanswered, " << count("unfinished")
              << " unfinished\n"
              << "requests: " << count("answers") << " answered, " << count("executed")
              << " executed, slowest answer " << count("slowestAnswerMilliseconds") << " ms\n"
              << "broken flows: " << count("reset") << " reset, " << count("silent") << " silent, "
              << count("wrongAnswers") << " with a wrong answer; " << count("zoneOut")
              << " more ended with their failure domain; " << count("uncleanCloses")
              << " cut off while closing\n"
              << "servers: " << count("overloads") << " cold overloads, "
              << count("unwarnedOverloads") << " more within 1 s of turning cold silently, "
              << count("shed") << " shed, " << count("acceptedAfterDrain")
              << " accepted later than 2 s after drain, " << count("unreachableServers")
              << " without counters\n";
    for (const auto &flow : report.at("brokenFlows"))
        std::cout << "  broken: " << flow.get<std::string>() << '\n';
    const bool isFaultless = count("broken") + count("unfinished") + count("misdelivered")
                                             + count("duplicated") + count("untrueRefusals")
                                             + count("overloads") + count("unreachableServers")
                                     == 0
                             && options.afterZoneOut <= zoneOutLimitMilliseconds
                             && count("flows") >= options.minFlows;
    std::cout << "flows=" << count("flows") << " broken=" << count("broken")
              << " misdelivered=" << count("misdelivered") << " duplicated=" << count("duplicated")
              << " untrue_refusals=" << count("untrueRefusals")
              << " after_domain_out_ms=" << options.afterZoneOut
              << " result=" << (isFaultless ? "ok" : "failed") << std::endl;
    return isFaultless;
}

} // namespace cactusdeck

#include <boost/test/unit_test.hpp>

#include <array>
#include <fstream>
#include <sstream>

#include <boost/asio/steady_timer.hpp>
#include <unistd.h>

#include "meshd/configurationcommand.h"
#include "meshd/http.h"
#include "meshd/logwriter.h"
#include "meshd/metricstext.h"
#include "meshd/reload.h"
#include "meshd/settings.h"
#include "node/outcome.h"
#include "platform/segmentcodec.h"

using namespace cactusdeck;
using namespace cactusdeck::meshd;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json balancerDocument()
{
    return { { "id", "b1" },
             { "zone", "amman-a" },
             { "address", "127.0.0.1" },
             { "meshPort", 7720 },
             { "packets", "127.0.0.1:8172" },
             { "readiness", "127.0.0.1:8167" },
             { "control", "127.0.0.1:8166" },
             { "store", "127.0.0.1:8169" },
             { "seeds", { "127.0.0.1:8166", "127.0.0.2:8166" } },
             { "costPerKilobyteMicroseconds", 5000 } };
}

json agentDocument()
{
    json document = balancerDocument();
    document.erase("readiness");
    document.erase("costPerKilobyteMicroseconds");
    document["service"] = "booking";
    document["server"] = "127.0.0.1:8165";
    document["outbound"] = "127.0.0.1:8162";
    return document;
}

Outcome<Settings> parse(NodeRole role, const json &document)
{
    return outcomeOf([&] { return parseSettings(role, document.dump(), "node.json"); });
}

class LogSink : public mesh::Sink
{
public:
    void toServer(std::span<const std::uint8_t>) override { }
    void toCaller(Endpoint, std::span<const std::uint8_t>) override { }
    void toNode(Endpoint, std::span<const std::uint8_t>, std::span<const std::uint8_t>) override { }
    void log(Level, const char *name, mesh::EventFields) override
    {
        this->names.emplace_back(name);
    }

    std::vector<std::string> names;
};

// A pipe that stores what the LogWriter under test writes.
struct Pipe
{
    Pipe() { BOOST_REQUIRE(pipe(this->ends.data()) == 0); }
    ~Pipe()
    {
        close(this->ends[0]);
        close(this->ends[1]);
    }
    std::string read()
    {
        std::string text(1 << 16, '\0');
        const ssize_t size = ::read(this->ends[0], text.data(), text.size());
        text.resize(size > 0 ? std::size_t(size) : 0);
        return text;
    }

    std::array<int, 2> ends{};
};

std::size_t countLines(const std::string &text, const std::string &part)
{
    std::istringstream stream(text);
    std::size_t count = 0;
    for (std::string line; std::getline(stream, line);)
        count += line.find(part) != std::string::npos ? 1 : 0;
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(meshSettings)

BOOST_AUTO_TEST_CASE(parsesBalancerAndAgentSettings)
{
    const auto balancer = parse(NodeRole::Balancer, balancerDocument());
    BOOST_REQUIRE(bool(balancer));
    BOOST_TEST(toString(balancer.value->mesh) == "127.0.0.1:7720");
    BOOST_TEST(balancer.value->metrics.port == defaultMetricsPort);
    // A seed has the address from the settings and the mesh port.
    BOOST_TEST(toString(balancer.value->seeds.at(1)) == "127.0.0.2:7720");
    BOOST_TEST((balancer.value->costPerKilobyte == 5ms));
    const auto agent = parse(NodeRole::Agent, agentDocument());
    BOOST_REQUIRE(bool(agent));
    BOOST_TEST(agent.value->service.value == "booking");
    BOOST_TEST(toString(agent.value->server) == "127.0.0.1:8165");
}

BOOST_AUTO_TEST_CASE(rejectsInvalidSettingsAndNamesTheKey)
{
    for (const char *key : { "id", "zone", "address", "meshPort", "packets", "store", "seeds" }) {
        json document = balancerDocument();
        document.erase(key);
        const auto result = parse(NodeRole::Balancer, document);
        BOOST_TEST(!bool(result), key);
        BOOST_TEST(result.error.message.find("node.json") != std::string::npos);
        BOOST_TEST(result.error.message.find(key) != std::string::npos, result.error.message);
    }
    json document = balancerDocument();
    document["store"] = "127.0.0.1:99999";
    BOOST_TEST(!bool(parse(NodeRole::Balancer, document)));
    document = balancerDocument();
    document["meshPort"] = 0;
    BOOST_TEST(!bool(parse(NodeRole::Balancer, document)));
    document = balancerDocument();
    document["unknown"] = 1;
    BOOST_TEST(!bool(parse(NodeRole::Balancer, document)));
    BOOST_TEST(!bool(parse(NodeRole::Agent, balancerDocument())));
}

BOOST_AUTO_TEST_CASE(reloadReturnsSeedsOrNothing)
{
    const std::string file = "meshd_test_settings.json";
    const auto running = parse(NodeRole::Balancer, balancerDocument());
    BOOST_REQUIRE(bool(running));
    json document = balancerDocument();
    document["seeds"] = { "127.0.0.3:8166" };
    std::ofstream(file) << document;
    LogSink sink;
    BOOST_TEST(reloadSeeds(NodeRole::Balancer, file, *running.value, sink).size() == 1u);
    BOOST_TEST(sink.names.back() == "reloaded");
    document["id"] = "another";
    std::ofstream(file) << document;
    BOOST_TEST(reloadSeeds(NodeRole::Balancer, file, *running.value, sink).empty());
    BOOST_TEST(sink.names.back() == "reload_refused");
    std::ofstream(file) << "{";
    BOOST_TEST(reloadSeeds(NodeRole::Balancer, file, *running.value, sink).empty());
    unlink(file.c_str());
    BOOST_TEST(reloadSeeds(NodeRole::Balancer, file, *running.value, sink).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(configurationCommand)

BOOST_AUTO_TEST_CASE(exitStatusAndOutput)
{
    const std::string file = "meshd_test_configuration.json";
    const std::string old = "meshd_test_configuration_old.json";
    const std::string empty = R"({"version":1,"routes":[],"services":[]})";
    std::ofstream(old) << empty;
    struct Case
    {
        std::string text;
        std::string against;
        int exit;
        std::vector<std::string> lines;
    };
    const Case cases[] = {
        { empty, "", exitValid, { ": valid" } },
        { R"({"version":2,"routes":[],"services":[],"limits":{}})",
          old,
          exitValid,
          { ": valid", ": no differences from " + old } },
        { R"({"version":1,"routes":[],"services":[{"name":"s"}]})",
          old,
          exitFindings,
          { ": /version: got 1, expected", ": /services/0: got s, expected", ": got 0 or none",
            ": /services/0: s added" } },
        { "{", old, exitFindings, { ": /: not JSON", ": not checked further" } },
        { empty, "missing.json", exitUnusable, {} },
    };
    for (const Case &example : cases) {
        std::ofstream(file) << example.text;
        std::ostringstream out;
        std::ostringstream err;
        BOOST_TEST(checkConfigurationFile({ .file = file, .against = example.against }, out, err)
                   == example.exit);
        for (const std::string &line : example.lines)
            BOOST_TEST(countLines(out.str(), line) == 1u, out.str());
        BOOST_TEST(countLines(out.str(), file) == example.lines.size(), out.str());
        BOOST_TEST(err.str().empty() == (example.exit != exitUnusable));
    }
    unlink(file.c_str());
    unlink(old.c_str());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(logWriter)

BOOST_AUTO_TEST_CASE(limitsLinesPerEventName)
{
    Pipe pipe;
    LogWriter log({ .descriptor = pipe.ends[1] });
    const TimePoint start{ 1h };
    for (int i = 0; i < 500; ++i)
        log.add({ Level::Info, "often", { { "i", std::to_string(i) } } }, start);
    log.add({ Level::Info, "rare", {} }, start);
    log.add({ Level::Debug, "hidden", {} }, start);
    log.add({ Level::Info, "often", {} }, start + 2s);
    log.flush();
    const std::string text = pipe.read();
    BOOST_TEST(countLines(text, "event=often") == LogWriter::maxLinesPerSecond + 1);
    BOOST_TEST(countLines(text, "event=rare") == 1u);
    BOOST_TEST(countLines(text, "event=hidden") == 0u);
    BOOST_TEST(countLines(text, "event=lines_left_out of=often count=460") == 1u);
}

// If nothing reads the output, the pipe fills up. The daemon must then drop lines, not block.
BOOST_AUTO_TEST_CASE(doesNotBlockOnAFullPipe)
{
    Pipe pipe;
    LogWriter log({ .descriptor = pipe.ends[1] });
    TimePoint now{ 1h };
    for (int i = 0; i < 20000; ++i) {
        now += 30ms;
        log.add({ Level::Info, "line", { { "text", std::string(100, 'x') } } }, now);
        log.flush();
    }
    BOOST_TEST(log.dropped() > 0u);
    BOOST_TEST(log.lines() + log.dropped() == 20000u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(http)

namespace {

struct HttpFixture
{
    HttpFixture()
    {
        constexpr std::uint16_t firstPort = 21700;
        for (std::uint16_t port = firstPort; port < firstPort + 50; ++port) {
            this->endpoint = { 0x7F000001u, port };
            if (outcomeOf([&] { return this->server.listen(this->endpoint); }))
                return;
        }
        BOOST_FAIL("no free port");
    }

    HttpAnswer call(HttpCall request)
    {
        HttpAnswer answer{ .status = 999 };
        request.to = this->endpoint;
        callHttp(this->io, std::move(request), [&](HttpAnswer received) {
            answer = std::move(received);
            this->io.stop();
        });
        this->io.restart();
        this->io.run_for(5s);
        return answer;
    }

    boost::asio::io_context io;
    HttpServer server{ io, [](const HttpRequest &request) {
                          return HttpResponse{ .status = request.target == "/missing" ? 404u : 200u,
                                               .body = request.method + " " + request.body };
                      } };
    Endpoint endpoint;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(returnsTheHandlersResponse, HttpFixture)
{
    const HttpAnswer answer =
            this->call({ .method = "POST", .target = "/x", .body = "text", .timeout = 2s });
    BOOST_TEST(answer.status == 200u);
    BOOST_TEST(answer.body == "POST text");
    BOOST_TEST(answer.header("content-TYPE") == "application/json");
    BOOST_TEST(answer.header("Content").empty());
    BOOST_TEST(this->call({ .target = "/missing", .timeout = 2s }).status == 404u);
}

BOOST_FIXTURE_TEST_CASE(rejectsOversizedRequestBody, HttpFixture)
{
    const HttpAnswer answer = this->call(
            { .method = "POST", .target = "/x", .body = std::string(1 << 20, 'x'), .timeout = 2s });
    BOOST_TEST(answer.status == 0u);
}

BOOST_AUTO_TEST_CASE(callToAClosedPortReportsStatusZero)
{
    boost::asio::io_context io;
    unsigned status = 999;
    // Nothing listens on port 9 (discard), so the connection is refused.
    callHttp(io, { .to = { 0x7F000001u, 9 }, .target = "/", .timeout = 200ms },
             [&](const HttpAnswer &answer) { status = answer.status; });
    io.run_for(3s);
    BOOST_TEST(status == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(metricsFormat)

BOOST_AUTO_TEST_CASE(writesCumulativeHistograms)
{
    const mesh::Agent agent({ .name = NodeId{ "a1" }, .codec = &platform::segmentCodec });
    const LogWriter log({});
    const std::string text = metricsText(agent, log, TimePoint{ 1h });
    BOOST_TEST(countLines(text, "cactusdeck_answer_seconds_bucket{le=\"+Inf\"} 0") == 1u);
    BOOST_TEST(countLines(text, "cactusdeck_opening_seconds_bucket") == 28u);
}

BOOST_AUTO_TEST_CASE(writesCountersByName)
{
    const mesh::Balancer balancer({ .name = NodeId{ "b1" },
                                    .zone = ZoneName{ "z" },
                                    .mesh = { 1, 1 },
                                    .codec = &platform::segmentCodec });
    const LogWriter log({});
    const std::string text = metricsText(balancer, log, TimePoint{ 1h });
    for (const char *name : { "packets_total 0", "configuration_version 0", "ready 0",
                              "balancers_live 1", "log_lines_total 0" })
        BOOST_TEST(text.find(std::string("cactusdeck_") + name) != std::string::npos, name);
}

BOOST_AUTO_TEST_SUITE_END()

#include "node/operator.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>

#include <httplib.h>
#include <unistd.h>

#include "core/head.h"
#include "node/fleet.h"
#include "node/operatorchange.h"
#include "node/outcome.h"
#include "node/rpcserver.h"

using namespace cactusdeck;
using nlohmann::json;

namespace {

std::string noEnvironment(const char *)
{
    return {};
}

Outcome<OperatorCommand> parse(const std::vector<std::string> &arguments,
                               const Environment &environment = noEnvironment)
{
    return outcomeOf([&] { return parseOperatorCommand(arguments, environment); });
}

// An object store in memory, with a hook that runs before each write of the configuration head.
class InMemoryStore
{
public:
    InMemoryStore()
    {
        this->server.Get("/objects/(.*)", [this](const auto &request, auto &answer) {
            const std::lock_guard lock(this->mutex);
            const auto found = this->objects.find(request.matches[1]);
            answer.status = found == this->objects.end() ? 404 : 200;
            if (answer.status == 404)
                return;
            answer.set_header("ETag", '"' + std::to_string(found->second.first) + '"');
            answer.set_content(found->second.second, "application/json");
        });
        this->server.Put("/objects/(.*)", [this](const auto &request, auto &answer) {
            this->onPut(request, answer);
        });
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
        while (!this->server.is_running())
            std::this_thread::yield();
    }
    ~InMemoryStore()
    {
        this->server.stop();
        this->thread.join();
    }

    std::string endpoint() const { return "127.0.0.1:" + std::to_string(this->port); }
    void put(const std::string &key, const std::string &value)
    {
        auto &object = this->objects[key];
        object = { object.first + 1, value };
    }

    std::function<void()> beforeHeadWrite = [] {};

private:
    void onPut(const httplib::Request &request, httplib::Response &answer)
    {
        const std::lock_guard lock(this->mutex);
        const std::string key = request.matches[1];
        if (key == headKey)
            this->beforeHeadWrite();
        const std::uint64_t version = this->objects.contains(key) ? this->objects[key].first : 0;
        const std::string expected = version == 0 ? "" : '"' + std::to_string(version) + '"';
        const bool matches = request.get_header_value("If-Match") == expected;
        if (matches)
            this->put(key, request.body);
        answer.status = matches ? 200 : 412;
        answer.set_header("ETag", '"' + std::to_string(version + (matches ? 1 : 0)) + '"');
    }

    httplib::Server server;
    std::thread thread;
    int port = 0;
    std::mutex mutex;
    std::map<std::string, std::pair<std::uint64_t, std::string>> objects;
};

// A node that answers "status" with the JSON set by the test, and "metrics" with one counter.
class FakeNode
{
public:
    explicit FakeNode(json answer)
        : status(std::move(answer))
    {
        this->server.add({ .name = "status", .handler = [this](const json &) -> Result<json> {
                              return this->status;
                          } });
        this->server.add({ .name = "metrics", .handler = [](const json &) -> Result<json> {
                              return json{ { "counters",
                                             { { "packets_sent",
                                                 { { "unit", "packets" }, { "value", 5 } } } } } };
                          } });
        this->control = outcomeOf([&] {
                            return this->server.listen({ 0x7F000001, 0 });
                        }).value.value();
    }

    // The entry for this node in the member list of a balancer's status.
    json memberEntry(const std::string &liveness = "alive") const
    {
        json member = this->status;
        member["control"] = this->control;
        member["liveness"] = liveness;
        return member;
    }

    json status;
    Endpoint control;

private:
    RpcServer server;
};

json nodeStatus(const std::string &id, const std::string &role, int version)
{
    return { { "id", id },
             { "role", role },
             { "zone", "amman-a" },
             { "phase", "serving" },
             { "configuration", version } };
}

struct Fixture
{
    Fixture()
    {
        std::filesystem::create_directories(this->directory);
        std::filesystem::copy_file(std::string(CACTUSDECK_SOURCE_DIR) + "/examples/contract.json",
                                   this->directory + "/service.json",
                                   std::filesystem::copy_options::overwrite_existing);
        this->balancer.status["members"] = { this->balancer.memberEntry(),
                                             this->agent.memberEntry(),
                                             this->dead.memberEntry("dead") };
    }
    ~Fixture() { std::filesystem::remove_all(this->directory); }

    int run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), { "--store", this->store.endpoint(), "--author", "amal",
                                              "--seeds", toString(this->balancer.control) });
        this->out.str("");
        this->err.str("");
        return runOperator(arguments, noEnvironment, this->out, this->err);
    }

    std::string directory = "/tmp/cactusdeck_operator_test_" + std::to_string(getpid());
    InMemoryStore store;
    FakeNode balancer{ nodeStatus("b1", "balancer", 0) };
    FakeNode agent{ nodeStatus("a1", "agent", 0) };
    FakeNode dead{ nodeStatus("a2", "agent", 0) };
    std::ostringstream out;
    std::ostringstream err;
};

bool contains(const std::string &text, const std::string &part)
{
    BOOST_TEST_INFO("text: " << text << "\nexpected in it: " << part);
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(operatorCommand)

BOOST_AUTO_TEST_CASE(optionsAndEnvironment)
{
    const auto environment = [](const char *name) {
        return std::string(name == std::string("CACTUSDECK_STORE") ? "127.0.0.1:1" : "127.0.0.1:2");
    };
    const auto fromEnvironment = parse({ "status" }, environment);
    BOOST_REQUIRE_MESSAGE(fromEnvironment, fromEnvironment.error.message);
    BOOST_TEST(fromEnvironment.value->store->port == 1);
    BOOST_TEST(fromEnvironment.value->seeds.front().port == 2);
    const auto given = parse({ "--seeds", "127.0.0.1:7,127.0.0.1:8", "status" }, environment);
    BOOST_TEST(given.value->seeds.size() == 2u);
    BOOST_TEST(given.value->seeds.back().port == 8);
}

// Guards against --wait that takes the next argument for its number, and against --wait without a
// number that does not get its default.
BOOST_AUTO_TEST_CASE(waitWithAndWithoutSeconds)
{
    using std::chrono::seconds;
    const auto waitOf = [](const std::vector<std::string> &arguments) {
        const auto command = parse(arguments);
        BOOST_REQUIRE_MESSAGE(command, command.error.message);
        return command.value->wait;
    };
    BOOST_TEST((waitOf({ "publish", "dir" }) == std::nullopt));
    BOOST_TEST((waitOf({ "publish", "--wait", "dir" }) == defaultWait));
    BOOST_TEST((waitOf({ "publish", "dir", "--wait=7" }) == seconds(7)));
    BOOST_TEST((waitOf({ "domain", "out", "amman-a", "--wait", "9" }) == seconds(9)));
    BOOST_TEST(
            (parse({ "publish", "dir", "--wait=soon" }).error.kind == ErrorKind::InvalidArgument));
}

BOOST_AUTO_TEST_CASE(commandsAreParsed)
{
    BOOST_TEST((parse({ "domain", "list" }).value->action == OperatorAction::ListZones));
    const auto out = parse({ "domain", "out", "amman-a" });
    BOOST_TEST((out.value->action == OperatorAction::SetZone));
    BOOST_TEST((out.value->zoneState == ZoneState::Out));
    BOOST_TEST((parse({ "domain", "in", "x" }).value->zoneState == ZoneState::In));
    BOOST_TEST(parse({ "check", "a", "b" }).value->files.size() == 2u);
    BOOST_TEST(
            (parse({ "status", "--change", "c" }).value->action == OperatorAction::LookUpChange));
    BOOST_TEST((parse({ "--help" }).value->action == OperatorAction::Help));
    for (const std::vector<std::string> &wrong :
         std::vector<std::vector<std::string>>{ {},
                                                { "domain" },
                                                { "publish" },
                                                { "frobnicate" },
                                                { "--seeds", "host", "status" } })
        BOOST_TEST((parse(wrong).error.kind == ErrorKind::InvalidArgument));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(operatorRun, Fixture)

BOOST_AUTO_TEST_CASE(checkReportsAllFaults)
{
    BOOST_TEST(this->run({ "check", this->directory + "/service.json" }) == 0);
    const std::string bad = this->directory + "/bad.json";
    std::ofstream(bad) << "{}";
    BOOST_TEST(this->run({ "check", bad, this->directory + "/service.json" }) == 4);
    BOOST_TEST(contains(this->err.str(), bad + ": /service"));
}

// Guards against a dry run that writes to the store, and against a diff that does not match what
// publish changes.
BOOST_AUTO_TEST_CASE(publishShowsDiffAndVersion)
{
    BOOST_TEST(this->run({ "publish", this->directory, "--dry-run" }) == 0);
    BOOST_TEST(contains(this->out.str(), "+ "));
    BOOST_TEST(this->run({ "history" }) == 0);
    BOOST_TEST(contains(this->out.str(), "nothing was ever published"));
    BOOST_REQUIRE(this->run({ "publish", this->directory, "--reason", "first" }) == 0);
    BOOST_TEST(contains(this->out.str(), "+ "));
    BOOST_TEST(contains(this->out.str(), "version 1"));
    BOOST_TEST(this->run({ "--json", "history" }) == 0);
    const json history = json::parse(this->out.str());
    BOOST_TEST(history["changes"][0]["author"] == "amal");
    BOOST_TEST(contains(history["changes"][0]["summary"].get<std::string>(), "first"));
}

// Guards against a lost race that is reported as success, and against output without the change
// that was accepted instead. The other change is written just before this one.
BOOST_AUTO_TEST_CASE(conflictNamesTheWinner)
{
    BOOST_REQUIRE(this->run({ "publish", this->directory }) == 0);
    this->store.beforeHeadWrite = [this] {
        ConfigurationHead head{ .version = 8, .changeId = "winner-id" };
        head.changes = { { .version = 8, .changeId = "winner-id", .author = "rival" } };
        this->store.put(std::string(headKey), headText(head));
    };
    std::filesystem::remove(this->directory + "/service.json");
    BOOST_TEST(this->run({ "publish", "--force", this->directory }) == 9);
    BOOST_TEST(contains(this->err.str(), "8"));
    BOOST_TEST(contains(this->out.str(), "winner-id"));
}

// Guards against --wait that reports success while a node lags, or waits for a node that is dead.
BOOST_AUTO_TEST_CASE(waitNamesNodesThatLag)
{
    BOOST_REQUIRE(this->run({ "publish", this->directory }) == 0);
    BOOST_TEST(this->run({ "domain", "out", "amman-a", "--force", "--wait=0" }) == 13);
    BOOST_TEST(contains(this->err.str(), "a1 (version 0)"));
    BOOST_TEST(!contains(this->err.str(), "a2"));
    BOOST_TEST(contains(this->out.str(), "accepted"));
    // A node with a newer version counts as having this version in force.
    this->agent.status["configuration"] = 4;
    this->balancer.status["configuration"] = 3;
    const std::vector<Endpoint> seeds = { this->balancer.control };
    const auto lagging = [&](ConfigurationVersion version) {
        return outcomeOf([&] { return waitUntilInForce(seeds, { .version = version }); })
                .value.value()
                .size();
    };
    BOOST_TEST(lagging(3) == 0u);
    BOOST_TEST(lagging(4) == 1u);
    this->agent.status["configuration"] = 2;
    this->balancer.status["configuration"] = 2;
    BOOST_TEST(this->run({ "--json", "domain", "list" }) == 0);
    BOOST_TEST(json::parse(this->out.str())["zones"]["amman-a"] == "out");
}

BOOST_AUTO_TEST_CASE(statusShowsVersionsAndLaggingNodes)
{
    this->balancer.status["configuration"] = 2;
    this->balancer.status["zones"] = { { "amman-a", "in" } };
    this->balancer.status["services"] = { { { "service", "booking" },
                                            { "addresses", { "198.51.100.10:443/tcp" } },
                                            { "members",
                                              { { { "id", "a1" },
                                                  { "zone", "amman-a" },
                                                  { "phase", "serving" },
                                                  { "utilisation", 512 } } } },
                                            { "digest", 77 } } };
    BOOST_TEST(this->run({ "status" }) == 0);
    BOOST_TEST(contains(this->out.str(), "booking  198.51.100.10:443/tcp"));
    BOOST_TEST(contains(this->out.str(), "50%"));
    BOOST_TEST(contains(this->out.str(), "0 lags"));
    BOOST_TEST(this->run({ "--json", "status" }) == 0);
    const json status = json::parse(this->out.str());
    BOOST_TEST(status["configuration"] == 2);
    BOOST_TEST(status["lagging"] == json::array({ "a1" }));
    BOOST_TEST(status["nodes"].size() == 2u);
}

BOOST_AUTO_TEST_CASE(metricsCommandFindsNodeById)
{
    BOOST_TEST(this->run({ "metrics", "a1" }) == 0);
    BOOST_TEST(contains(this->out.str(), "packets_sent  5  packets"));
    BOOST_TEST(this->run({ "metrics", "a9" }) == 8);
}

// Guards against exit codes with which a script can't distinguish an outage from wrong usage.
BOOST_AUTO_TEST_CASE(outagesHaveDistinctExitCodes)
{
    const auto runWithoutDefaults = [this](const std::vector<std::string> &arguments) {
        return runOperator(arguments, noEnvironment, this->out, this->err);
    };
    BOOST_TEST(runWithoutDefaults({ "status" }) == 2);
    BOOST_TEST(runWithoutDefaults({ "--seeds", "127.0.0.1:9", "status" }) == 12);
    this->out.str("");
    BOOST_TEST(runWithoutDefaults({ "--store", "127.0.0.1:9", "--json", "history" }) == 10);
    BOOST_TEST(json::parse(this->out.str())["error"]["kind"] == "store_unavailable");
}

BOOST_AUTO_TEST_SUITE_END()

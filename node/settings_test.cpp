#include "node/settings.h"

#include <boost/test/unit_test.hpp>

#include "node/outcome.h"
#include "node/settingsschema.h"

using namespace cactusdeck;

namespace {

const std::string sourceDirectory = CACTUSDECK_SOURCE_DIR;

std::string readSourceFile(const std::string &file)
{
    return outcomeOf([&] { return readFile(sourceDirectory + "/" + file); }).value.value();
}

// Parses examples/agent.json with one member replaced, or removed if the value is null.
Outcome<AgentSettings> parseExampleWith(const std::string &pointer, const nlohmann::json &value)
{
    auto document =
            nlohmann::json::parse(readSourceFile("examples/agent.json"), nullptr, true, true);
    const nlohmann::json::json_pointer path(pointer);
    if (value.is_null())
        document[path.parent_pointer()].erase(path.back());
    else
        document[path] = value;
    return outcomeOf([&] { return parseAgentSettings(document.dump(), "agent.json"); });
}

// Checks that the message names the file, the path, the value found and the value expected.
void checkError(const std::string &pointer, const nlohmann::json &value,
                const std::string &expected, const std::string &got)
{
    const auto outcome = parseExampleWith(pointer, value);
    BOOST_REQUIRE_MESSAGE(!outcome, pointer << " was accepted");
    BOOST_TEST((outcome.error.kind == ErrorKind::InvalidSettings));
    // Further lines of the message may report the enclosing object.
    const std::string &message = outcome.error.message;
    BOOST_TEST(message.substr(0, message.find('\n'))
               == "agent.json: " + pointer + ": " + got + ", expected " + expected);
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

// Guards against a schema that was changed in the file or in the source, but not in both.
BOOST_AUTO_TEST_CASE(embeddedSchemasEqualTheFiles)
{
    BOOST_TEST(balancerSchema == readSourceFile("schema/balancer.schema.json"));
    BOOST_TEST(agentSchema == readSourceFile("schema/agent.schema.json"));
}

// Guards against examples that the daemons reject, and against members that are not passed on.
BOOST_AUTO_TEST_CASE(examplesAreValid)
{
    const auto balancer = outcomeOf(
            [&] { return loadBalancerSettings(sourceDirectory + "/examples/balancer.json"); });
    BOOST_REQUIRE_MESSAGE(balancer, balancer.error.message);
    BOOST_TEST(toString(balancer.value->store) == "127.0.0.1:7001");
    BOOST_TEST(balancer.value->node.seeds.size() == 2u);
    const auto agent =
            outcomeOf([&] { return loadAgentSettings(sourceDirectory + "/examples/agent.json"); });
    BOOST_REQUIRE_MESSAGE(agent, agent.error.message);
    BOOST_TEST(agent.value->group.value == "wadi-rum-booking");
    BOOST_TEST(toString(agent.value->server.health) == "127.0.0.1:8201");
}

BOOST_AUTO_TEST_CASE(errorsNamePathValueAndExpectation)
{
    const std::string endpoint = "an IPv4 endpoint such as 127.0.0.1:";
    checkError("/data", 12, endpoint + "7100", "got 12");
    checkError("/seeds/1", "localhost", endpoint + "7101", "got \"localhost\"");
    checkError("/server/health", "127.0.0.1:0", endpoint + "8201", "got \"127.0.0.1:0\"");
    checkError("/server/data", "300.0.0.1:80", endpoint + "8200", "got \"300.0.0.1:80\"");
    checkError("/log/level", "loud", "debug, info, warning or error", "got \"loud\"");
    checkError("/zone", nullptr, "a zone name of 1 to 64 characters", "missing");
}

// Guards against a misspelt key that is ignored, so that the default applies without notice.
BOOST_AUTO_TEST_CASE(unknownKeysAreErrors)
{
    checkError("/log/levle", "debug", "only keys that the schema defines", "got \"debug\"");
    checkError("/server/port", 1, "only keys that the schema defines", "got 1");
}

// Guards against equal endpoints for data and control that are only noticed when the second UDP
// socket can't be bound, with an error message that does not name the setting.
BOOST_AUTO_TEST_CASE(dataAndControlMustDiffer)
{
    checkError("/control", "127.0.0.1:7200", "an endpoint other than data, since both are UDP",
               "got \"127.0.0.1:7200\"");
}

BOOST_AUTO_TEST_CASE(brokenJsonAndMissingFileAreReported)
{
    const auto broken = outcomeOf([] { return parseAgentSettings("{ \"id\": ", "a.json"); });
    BOOST_TEST((broken.error.kind == ErrorKind::InvalidSettings));
    BOOST_TEST(broken.error.message.starts_with("a.json: "));
    const auto array = outcomeOf([] { return parseAgentSettings("[]", "a.json"); });
    BOOST_TEST((array.error.kind == ErrorKind::InvalidSettings));
    const auto missing = outcomeOf([] { return loadAgentSettings("/nonexistent/a.json"); });
    BOOST_TEST((missing.error.kind == ErrorKind::Io));
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include <httplib.h>

#include "node/outcome.h"
#include "node/rpcclient.h"
#include "node/rpcserver.h"

using namespace cactusdeck;
using nlohmann::json;

namespace {

constexpr Endpoint anyPort{ 0x7F000001, 0 };

Result<json> echo(const json &parameters)
{
    return json{ { "got", parameters.at("text") } };
}

Result<json> failWithConflict(const json &)
{
    return fail(ErrorKind::Conflict, "lost to version 8");
}

Result<json> throwException(const json &)
{
    throw std::runtime_error("handler failed");
}

struct Fixture
{
    Fixture()
    {
        this->server.add({ .name = "echo", .parameters = { "text" }, .handler = echo });
        this->server.add({ .name = "conflict", .handler = failWithConflict });
        this->server.add({ .name = "throw", .handler = throwException });
        this->endpoint = outcomeOf([&] { return this->server.listen(anyPort); }).value.value();
    }

    Outcome<json> call(const std::string &method, const json &parameters = json::object()) const
    {
        return outcomeOf([&] { return RpcClient(this->endpoint).call(method, parameters); });
    }

    RpcServer server;
    Endpoint endpoint;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(rpc, Fixture)

BOOST_AUTO_TEST_CASE(roundTrip)
{
    const auto answer = this->call("echo", { { "text", "Grüße \"x\"" } });
    BOOST_REQUIRE_MESSAGE(answer, answer.error.message);
    BOOST_TEST((*answer.value)["got"] == "Grüße \"x\"");
}

// Guards against errors that arrive with another kind, since it determines the exit code, on which
// scripts depend.
BOOST_AUTO_TEST_CASE(errorKindsAreTransmitted)
{
    const auto lost = this->call("conflict");
    BOOST_TEST((lost.error.kind == ErrorKind::Conflict));
    BOOST_TEST(lost.error.message.find("lost to version 8") != std::string::npos);
    BOOST_TEST((this->call("echo").error.kind == ErrorKind::InvalidArgument));
    BOOST_TEST((this->call("throw").error.kind == ErrorKind::Internal));
    BOOST_TEST((this->call("absent").error.kind == ErrorKind::Internal));
}

// Guards against a server that listens on all addresses, so that no other node on the same instance
// can use its port number.
BOOST_AUTO_TEST_CASE(bindsOnlyTheGivenAddress)
{
    RpcServer other;
    const Endpoint sibling{ 0x7F000002, this->endpoint.port };
    const auto bound = outcomeOf([&] { return other.listen(sibling); });
    BOOST_REQUIRE_MESSAGE(bound, bound.error.message);
    const auto answer = outcomeOf([&] { return RpcClient(sibling).call("echo"); });
    BOOST_TEST((answer.error.kind == ErrorKind::Internal)); // method not found: other answered
}

BOOST_AUTO_TEST_CASE(occupiedPortIsAnError)
{
    RpcServer other;
    const auto bound = outcomeOf([&] { return other.listen(this->endpoint); });
    BOOST_TEST((bound.error.kind == ErrorKind::Io));
    BOOST_TEST(bound.error.message.find(toString(this->endpoint)) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(stoppedServerIsReportedAsUnavailable)
{
    this->server.stop();
    BOOST_TEST((this->call("echo").error.kind == ErrorKind::PeerUnavailable));
}

// Guards against the answer of an HTTP server that is not a node being taken for a result.
BOOST_AUTO_TEST_CASE(answerThatIsNotJsonRpcIsReportedAsUnavailable)
{
    httplib::Server otherServer;
    otherServer.Post("/",
                     [](const auto &, auto &answer) { answer.set_content("<html>", "text/html"); });
    const int port = otherServer.bind_to_any_port("127.0.0.1");
    std::thread thread([&] { otherServer.listen_after_bind(); });
    const auto answer = outcomeOf([&] {
        return RpcClient({ 0x7F000001, std::uint16_t(port) }).call("status");
    });
    otherServer.stop();
    thread.join();
    BOOST_TEST((answer.error.kind == ErrorKind::PeerUnavailable));
}

BOOST_AUTO_TEST_CASE(base64RoundTripAndRejection)
{
    for (std::size_t size = 0; size < 5; ++size) {
        const std::vector<std::uint8_t> bytes(size, 0xFB);
        std::vector<std::uint8_t> decoded = { 1 };
        BOOST_TEST(decodeBase64(encodeBase64(bytes), decoded));
        BOOST_TEST(decoded == bytes, boost::test_tools::per_element());
    }
    std::vector<std::uint8_t> unused;
    for (const char *text : { "abc", "ab!d", "====", "a===", "ab=d", "abcd=" })
        BOOST_TEST(!decodeBase64(text, unused), text);
}

BOOST_AUTO_TEST_SUITE_END()

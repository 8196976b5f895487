#include <iostream>

#include <docopt/docopt.h>

#include "standin/commands.h"

namespace {

constexpr const char *usage =
        R"(Stand-ins for the systems around cactusdeck: store, backend servers, and fabric with callers.

Usage:
  cactusdeck-standin store --listen EP
  cactusdeck-standin server --data EP --health EP [options]
  cactusdeck-standin fabric --listen EP --scenario FILE
  cactusdeck-standin call METHOD EP PATH [BODY]
  cactusdeck-standin wait EP PATH [--field NAME] [--at-least N] [--timeout MS]
  cactusdeck-standin last-packet --since MS EP...
  cactusdeck-standin verdict REPORT --after-zone-out MS --min-flows N
  cactusdeck-standin --help

Options:
  --listen EP           address:port to serve
  --data EP             UDP endpoint for IPv4 packets
  --health EP           HTTP endpoint for health and counters
  --name NAME           name of the server [default: server]
  --zone NAME           failure domain of the server [default: zone]
  --address EPS         service addresses, comma-separated; a packet for another one is
                        misdelivered [default: ]
  --slots N             requests in progress [default: 5]
  --connections N       connections, above the server sheds [default: 2000]
  --latency MS          service time at speed 1 [default: 20]
  --speed F             relative speed [default: 1]
  --cold-completions N  answers until a cold server is warm [default: 10]
  --cold-slots N        requests that a cold server can handle at once [default: 1]
  --cold-factor F       slow-down of a cold server [default: 10]
  --health-lag MS       age of what the health endpoint tells [default: 0]
  --health-lie STATUS   status that the health endpoint always tells [default: ]
  --seed N              seed of random choices [default: 1]
  --scenario FILE       traffic of the callers, JSON
  --field NAME          number in the answer to wait for
  --at-least N          its value [default: 1]
  --timeout MS          longest wait [default: 15000]
  --since MS            milliseconds since the epoch
  --after-zone-out MS   last packet into a failure domain after it was taken out
  --min-flows N         flows that a valid run needs
)";

using namespace cactusdeck;
using Arguments = std::map<std::string, docopt::value>;

Endpoint endpointOf(const std::string &text)
{
    Endpoint endpoint;
    if (!parseEndpoint(text, endpoint))
        throw std::invalid_argument(text + ": expected address:port");
    return endpoint;
}

std::vector<Endpoint> endpointsOf(const std::vector<std::string> &texts)
{
    std::vector<Endpoint> endpoints;
    endpoints.reserve(texts.size());
    for (const std::string &text : texts)
        endpoints.push_back(endpointOf(text));
    return endpoints;
}

std::vector<std::string> splitAtCommas(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

double numberOf(const Arguments &arguments, const char *name)
{
    return std::stod(arguments.at(name).asString());
}

std::chrono::milliseconds millisecondsOf(const Arguments &arguments, const char *name)
{
    return std::chrono::milliseconds(std::stoll(arguments.at(name).asString()));
}

Result<int> runServerCommand(const Arguments &arguments)
{
    const auto data = endpointOf(arguments.at("--data").asString());
    const auto health = endpointOf(arguments.at("--health").asString());
    const auto addresses = endpointsOf(splitAtCommas(arguments.at("--address").asString()));
    const auto count = [&](const char *name) {
        return std::size_t(std::stoull(arguments.at(name).asString()));
    };
    const BackendOptions options{ .name = arguments.at("--name").asString(),
                                  .zone = arguments.at("--zone").asString(),
                                  .addresses = addresses,
                                  .slots = count("--slots"),
                                  .connections = count("--connections"),
                                  .latency = millisecondsOf(arguments, "--latency"),
                                  .speed = numberOf(arguments, "--speed"),
                                  .coldCompletions = count("--cold-completions"),
                                  .coldSlots = count("--cold-slots"),
                                  .coldFactor = numberOf(arguments, "--cold-factor"),
                                  .healthLag = millisecondsOf(arguments, "--health-lag"),
                                  .fixedHealthStatus = arguments.at("--health-lie").asString(),
                                  .startedAt = std::uint64_t(
                                          std::chrono::system_clock::now().time_since_epoch()
                                          / std::chrono::milliseconds(1)),
                                  .seed = count("--seed") };
    BOOST_LEAF_CHECK(runServer(data, health, options));
    return 0;
}

Result<int> runStoreOrFabric(const Arguments &arguments)
{
    const auto endpoint = endpointOf(arguments.at("--listen").asString());
    if (arguments.at("store").asBool())
        BOOST_LEAF_CHECK(runStore(endpoint));
    else
        BOOST_LEAF_CHECK(runFabric(endpoint, arguments.at("--scenario").asString()));
    return 0;
}

Result<int> runClientCommand(const Arguments &arguments)
{
    const auto endpoints = endpointsOf(arguments.at("EP").asStringList());
    if (arguments.at("last-packet").asBool()) {
        BOOST_LEAF_CHECK(runLastPacket(endpoints, millisecondsOf(arguments, "--since").count()));
    } else if (arguments.at("wait").asBool()) {
        const docopt::value &field = arguments.at("--field");
        BOOST_LEAF_CHECK(runWait({ .endpoint = endpoints.front(),
                                   .path = arguments.at("PATH").asString(),
                                   .field = field ? field.asString() : "",
                                   .atLeast = numberOf(arguments, "--at-least"),
                                   .timeout = millisecondsOf(arguments, "--timeout") }));
    } else {
        const docopt::value &body = arguments.at("BODY");
        BOOST_LEAF_CHECK(runCall(arguments.at("METHOD").asString(), endpoints.front(),
                                 arguments.at("PATH").asString(), body ? body.asString() : ""));
    }
    return 0;
}

Result<int> run(const Arguments &arguments)
{
    if (arguments.at("store").asBool() || arguments.at("fabric").asBool())
        return runStoreOrFabric(arguments);
    if (arguments.at("server").asBool())
        return runServerCommand(arguments);
    if (!arguments.at("verdict").asBool())
        return runClientCommand(arguments);
    BOOST_LEAF_AUTO(
            isFaultless,
            runVerdict({ .reportFile = arguments.at("REPORT").asString(),
                         .afterZoneOut = millisecondsOf(arguments, "--after-zone-out").count(),
                         .minFlows = std::uint64_t(numberOf(arguments, "--min-flows")) }));
    return isFaultless ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments =
            docopt::docopt(usage, { argv + 1, argv + argc }, true, CACTUSDECK_VERSION);
    try {
        return leaf::try_handle_all([&] { return run(arguments); },
                                    [](const Error &error) {
                                        std::cerr << "cactusdeck-standin: " << error.message
                                                  << '\n';
                                        return codesOf(error.kind).exitCode;
                                    },
                                    [] {
                                        std::cerr << "cactusdeck-standin: internal error\n";
                                        return codesOf(ErrorKind::Internal).exitCode;
                                    });
    } catch (const std::exception &error) { // numbers and JSON values of the wrong type
        std::cerr << "cactusdeck-standin: " << error.what() << '\n';
        return codesOf(ErrorKind::InvalidArgument).exitCode;
    }
}

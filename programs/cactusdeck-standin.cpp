#include <iostream>

#include <docopt/docopt.h>

#include "standin/commands.h"

namespace {

constexpr const char *usage =
        R"(Simulates the systems around cactusdeck: store, backend servers, fabric and callers.

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
  --data EP             UDP endpoint that receives IPv4 packets
  --health EP           HTTP endpoint for health and counters
  --name NAME           name of the server [default: server]
  --zone NAME           failure domain of the server [default: zone]
  --address EPS         service addresses, comma-separated; a packet for another one is
                        misdelivered [default: ]
  --slots N             requests executed at once, further ones wait [default: 5]
  --connections N       connections, further ones are refused [default: 2000]
  --latency MS          service time at speed 1 [default: 20]
  --speed F             relative speed [default: 1]
  --cold-completions N  answers until a cold server is warm [default: 10]
  --cold-slots N        requests that a cold server can execute at once [default: 1]
  --cold-factor F       factor by which a cold server is slower [default: 10]
  --health-lag MS       delay of the reported health status [default: 0]
  --health-lie STATUS   status that is always reported, whatever the actual one [default: ]
  --seed N              seed of the random number generator [default: 1]
  --scenario FILE       JSON file with the traffic of the callers
  --field NAME          number in the JSON response that must reach the value of --at-least
  --at-least N          value that the field must reach [default: 1]
  --timeout MS          longest time to wait [default: 15000]
  --since MS            start of the measurement, in milliseconds since the epoch
  --after-zone-out MS   time from taking a failure domain out to the last packet into it
  --min-flows N         established flows without which the run is not valid
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
    } catch (const std::exception &error) { // malformed numbers, and JSON values of the wrong type
        std::cerr << "cactusdeck-standin: " << error.what() << '\n';
        return codesOf(ErrorKind::InvalidArgument).exitCode;
    }
}

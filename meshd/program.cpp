#include "meshd/program.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <docopt/docopt.h>

#include "meshd/agentdaemon.h"
#include "meshd/balancerdaemon.h"
#include "meshd/configurationcommand.h"
#include "node/outcome.h"
#include "platform/settingspath.h"

namespace cactusdeck::meshd {

namespace {

constexpr const char *usage =
        R"(cactusdeck-mesh: runs a balancer, or the agent of a backend server; checks configurations.

Usage:
  cactusdeck-mesh (balancer | agent) [--settings FILE]
  cactusdeck-mesh (balancer | agent) --check-settings FILE
  cactusdeck-mesh check FILE [--against OLD]
  cactusdeck-mesh --help
  cactusdeck-mesh --version

Options:
  --settings FILE        Run with these settings; by default the file that the platform names.
  --check-settings FILE  Validate the settings file and exit.
  --against OLD          Show what differs from the configuration in this file.
  --help                 Show this text.
  --version              Show the version.

check reports what is wrong with an operators' configuration before it is sent: what cannot be read,
entries that never match, and limits that contradict each other. Exit codes: 0 nothing, 1 findings,
2 a file cannot be read or wrong usage. Differences are no findings.

SIGTERM and SIGINT stop the daemon gracefully; SIGHUP reloads the seeds from the settings file.
)";

using Arguments = std::map<std::string, docopt::value>;

int reportError(const Error &error)
{
    std::cerr << "cactusdeck-mesh: " << error.message << '\n';
    return codesOf(error.kind).exitCode;
}

std::string textOf(const Arguments &arguments, const char *name)
{
    const docopt::value &value = arguments.at(name);
    return value.isString() ? value.asString() : "";
}

std::string settingsFileOf(const Arguments &arguments)
{
    if (arguments.at("--settings").isString())
        return arguments.at("--settings").asString();
    const char *path = std::getenv(platform::settingsPathVariable);
    return path == nullptr ? "" : path;
}

int runRole(NodeRole role, const std::string &file)
{
    if (file.empty())
        return reportError({ ErrorKind::InvalidArgument, "--settings FILE is missing" });
    std::signal(SIGPIPE, SIG_IGN);
    const auto settings = outcomeOf([&] { return loadSettings(role, file); });
    if (!settings)
        return reportError(settings.error);
    const auto result = outcomeOf([&] {
        return role == NodeRole::Balancer ? runBalancer(*settings.value, file)
                                          : runAgent(*settings.value, file);
    });
    return result ? 0 : reportError(result.error);
}

int checkSettings(NodeRole role, const std::string &file)
{
    const auto settings = outcomeOf([&] { return loadSettings(role, file); });
    if (!settings)
        return reportError(settings.error);
    std::cout << file << ": valid\n";
    return 0;
}

} // namespace

int runProgram(int argc, char **argv)
{
    Arguments arguments;
    try {
        arguments = docopt::docopt_parse(usage, { argv + 1, argv + argc });
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return 0;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << CACTUSDECK_VERSION << '\n';
        return 0;
    } catch (const docopt::DocoptArgumentError &error) {
        return reportError({ ErrorKind::InvalidArgument,
                             std::string(error.what()) + "; see cactusdeck-mesh --help" });
    }
    if (arguments.at("check").asBool())
        return checkConfigurationFile({ .file = arguments.at("FILE").asString(),
                                        .against = textOf(arguments, "--against") },
                                      std::cout, std::cerr);
    const NodeRole role = arguments.at("balancer").asBool() ? NodeRole::Balancer : NodeRole::Agent;
    if (arguments.at("--check-settings").isString())
        return checkSettings(role, arguments.at("--check-settings").asString());
    return runRole(role, settingsFileOf(arguments));
}

} // namespace cactusdeck::meshd

#include "node/operatorcommand.h"

#include <algorithm>
#include <charconv>
#include <map>

#include <docopt/docopt.h>

namespace cactusdeck {

const char *const operatorUsage =
        R"(cactusdeck: command-line tool for operators of the load balancer

Usage:
  cactusdeck [options] check FILE...
  cactusdeck [options] publish DIR
  cactusdeck [options] domain (out|in) NAME
  cactusdeck [options] domain list
  cactusdeck [options] status
  cactusdeck [options] explain FLOW
  cactusdeck [options] history
  cactusdeck [options] metrics [NODE]
  cactusdeck --help
  cactusdeck --version

Commands:
  check       Check service contracts.
  publish     Replace the configuration by the *.json contracts of a directory, atomically.
  domain out  Take a failure domain out of service; its flows are not preserved.
  domain in   Return a failure domain to service.
  domain list Show the failure domains.
  status      Show services, servers, failure domains, and the version in force on each node.
  explain     Show where packets of a flow go, for example 10.0.0.1:4000>198.51.100.10:443/tcp.
  history     Show the accepted changes.
  metrics     Show the metrics of a node, given by id or control endpoint.

Options:
  --store EP        HTTP endpoint of the object store [env: CACTUSDECK_STORE].
  --seeds EP,...    Control endpoints of balancers [env: CACTUSDECK_SEEDS].
  --json            Write JSON.
  --author NAME     Recorded with the change; default: value of USER.
  --reason TEXT     Recorded with the change.
  --change ID       With status: show whether this change was accepted.
  --dry-run         Show what publish would change, and change nothing.
  --force           Allow removing all services or taking out the last failure domain.
  --wait SECONDS    Return when the change is in force on all nodes, or fail after this time;
                    30 seconds if no number is given.
  --help            Show this text.
  --version         Show the version.

Exit codes: 0 success, 2 wrong usage, 4 invalid contract, 7 unknown failure domain, 9 conflict with
another change, 10 and 11 store unavailable, 12 no node reached, 13 change accepted but not yet in
force on all nodes.
)";

namespace {

using Arguments = std::map<std::string, docopt::value>;

bool isNumber(const std::string &text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
}

// Rewrites "--wait" and "--wait N" to "--wait=N", with defaultWait if there is no number, because
// docopt does not support options with an optional argument.
void expandWaitOption(std::vector<std::string> &arguments)
{
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        if (arguments[i] != "--wait")
            continue;
        if (i + 1 < arguments.size() && isNumber(arguments[i + 1])) {
            arguments[i] += "=" + arguments[i + 1];
            arguments.erase(arguments.begin() + std::ptrdiff_t(i) + 1);
        } else {
            arguments[i] += "=" + std::to_string(defaultWait.count());
        }
    }
}

std::string textOf(const Arguments &arguments, const char *name, const std::string &fallback = {})
{
    const docopt::value &value = arguments.at(name);
    return value ? value.asString() : fallback;
}

Result<Endpoint> readEndpoint(const std::string &option, const std::string &text)
{
    Endpoint endpoint;
    if (!parseEndpoint(text, endpoint) || endpoint.port == 0)
        return fail(ErrorKind::InvalidArgument,
                    option + ": expected an IPv4 endpoint such as 127.0.0.1:7101, got " + text);
    return endpoint;
}

Result<void> readEndpoints(const Arguments &arguments, const Environment &environment,
                           OperatorCommand &command)
{
    const std::string store = textOf(arguments, "--store", environment("CACTUSDECK_STORE"));
    if (!store.empty()) {
        BOOST_LEAF_ASSIGN(command.store, readEndpoint("--store", store));
    }
    const std::string seeds = textOf(arguments, "--seeds", environment("CACTUSDECK_SEEDS"));
    for (std::size_t begin = 0; begin < seeds.size();) {
        const std::size_t end = std::min(seeds.find(',', begin), seeds.size());
        BOOST_LEAF_AUTO(seed, readEndpoint("--seeds", seeds.substr(begin, end - begin)));
        command.seeds.push_back(seed);
        begin = end + 1;
    }
    return {};
}

Result<void> readWait(const Arguments &arguments, OperatorCommand &command)
{
    const docopt::value &value = arguments.at("--wait");
    if (!value)
        return {};
    const std::string &text = value.asString();
    // One day. A longer time is taken for a mistake, and an extreme one would overflow the
    // deadline.
    constexpr unsigned maxWait = 86400;
    unsigned seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc() || end != text.data() + text.size() || seconds > maxWait)
        return fail(ErrorKind::InvalidArgument, "--wait: expected 0 to 86400 seconds, got " + text);
    command.wait = std::chrono::seconds(seconds);
    return {};
}

OperatorAction actionOf(const Arguments &arguments)
{
    struct Name
    {
        const char *word;
        OperatorAction action;
    };
    // "list" comes before "domain", since "domain list" sets both.
    constexpr Name names[] = {
        { "check", OperatorAction::Check },     { "publish", OperatorAction::Publish },
        { "list", OperatorAction::ListZones },  { "domain", OperatorAction::SetZone },
        { "status", OperatorAction::Status },   { "explain", OperatorAction::Explain },
        { "history", OperatorAction::History }, { "metrics", OperatorAction::Metrics },
    };
    const auto *found = std::find_if(std::begin(names), std::end(names), [&](const Name &name) {
        return arguments.at(name.word).asBool();
    });
    if (found == std::end(names))
        return OperatorAction::Help;
    const bool isChangeLookUp = found->action == OperatorAction::Status && arguments.at("--change");
    return isChangeLookUp ? OperatorAction::LookUpChange : found->action;
}

Result<OperatorCommand> readCommand(const Arguments &arguments, const Environment &environment)
{
    OperatorCommand command{ .action = actionOf(arguments),
                             .json = arguments.at("--json").asBool(),
                             .files = arguments.at("FILE").asStringList(),
                             .directory = textOf(arguments, "DIR"),
                             .author = textOf(arguments, "--author", environment("USER")),
                             .reason = textOf(arguments, "--reason"),
                             .dryRun = arguments.at("--dry-run").asBool(),
                             .force = arguments.at("--force").asBool(),
                             .zone = { textOf(arguments, "NAME") },
                             .zoneState =
                                     arguments.at("out").asBool() ? ZoneState::Out : ZoneState::In,
                             .change = textOf(arguments, "--change"),
                             .flow = textOf(arguments, "FLOW"),
                             .node = textOf(arguments, "NODE") };
    BOOST_LEAF_CHECK(readEndpoints(arguments, environment, command));
    BOOST_LEAF_CHECK(readWait(arguments, command));
    return command;
}

} // namespace

Result<OperatorCommand> parseOperatorCommand(std::vector<std::string> arguments,
                                             const Environment &environment)
{
    expandWaitOption(arguments);
    try {
        return readCommand(docopt::docopt_parse(operatorUsage, arguments), environment);
    } catch (const docopt::DocoptExitHelp &) {
        return OperatorCommand{ .action = OperatorAction::Help };
    } catch (const docopt::DocoptExitVersion &) {
        return OperatorCommand{ .action = OperatorAction::Version };
    } catch (const docopt::DocoptArgumentError &error) {
        return fail(ErrorKind::InvalidArgument,
                    std::string(error.what()) + "; see cactusdeck --help");
    }
}

} // namespace cactusdeck

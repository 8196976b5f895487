#include "node/operator.h"

#include <algorithm>
#include <ostream>

#include "core/statuswriter.h"
#include "node/operatorchange.h"
#include "node/operatoroutput.h"
#include "node/outcome.h"
#include "node/rpcclient.h"

namespace cactusdeck {

namespace {

using nlohmann::json;

Result<Endpoint> storeOf(const OperatorCommand &command)
{
    if (!command.store)
        return fail(ErrorKind::InvalidArgument, "no store given: use --store or CACTUSDECK_STORE");
    return *command.store;
}

// Without seeds, returns the balancers listed in the fleet status, which the balancer that holds
// the lease writes to the store.
Result<std::vector<Endpoint>> seedsOf(const OperatorCommand &command)
{
    if (!command.seeds.empty())
        return command.seeds;
    if (!command.store)
        return fail(ErrorKind::InvalidArgument,
                    "no node given: use --seeds, CACTUSDECK_SEEDS, --store or CACTUSDECK_STORE");
    StoreClient client({ .store = *command.store });
    const StoreAnswer answer =
            client.call({ .operation = StoreOperation::Get, .key = std::string(fleetStatusKey) });
    if (answer.status != StoreStatus::Ok)
        return fail(ErrorKind::PeerUnavailable,
                    "no seeds given, and the list of balancers can't be read from the store");
    BOOST_LEAF_AUTO(fleet, parseFleetStatus(answer.value));
    return fleet.balancers;
}

Result<Fleet> fleetOf(const OperatorCommand &command)
{
    BOOST_LEAF_AUTO(seeds, seedsOf(command));
    return readFleet(seeds);
}

std::vector<ZoneName> zonesOf(const Fleet &fleet)
{
    std::vector<ZoneName> zones;
    for (const FleetNode &node : fleet.nodes)
        zones.push_back({ node.zone });
    return zones;
}

// A change must be possible while no node answers. In that case the checks that need the known
// failure domains and the newest version are skipped.
PublisherOptions publisherOptions(const OperatorCommand &command)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    PublisherOptions options{
        .changeId = makeChangeId(),
        .author = command.author,
        .reason = command.reason,
        .time = std::chrono::duration_cast<std::chrono::milliseconds>(now),
        .force = command.force,
    };
    const auto fleet = outcomeOf([&] { return fleetOf(command); });
    if (fleet) {
        options.knownZones = zonesOf(*fleet.value);
        options.newestKnown = newestVersion(*fleet.value);
    }
    return options;
}

// Returns the output for the outcome of a change. With --wait, first waits until the change is in
// force.
Result<Output> finishChange(const OperatorCommand &command, const PublishOutcome &outcome)
{
    Output output = showOutcome(outcome);
    if (output.error || !command.wait)
        return output;
    const auto lagging = outcomeOf([&]() -> Result<std::vector<FleetNode>> {
        BOOST_LEAF_AUTO(seeds, seedsOf(command));
        return waitUntilInForce(seeds, { .version = outcome.version, .time = *command.wait });
    });
    // A failed wait is an error besides the output, since the change was accepted all the same.
    if (lagging)
        addWaitResult(output, outcome.version, *lagging.value, *command.wait);
    else
        output.error = Error{ ErrorKind::NotInForce, "version " + std::to_string(outcome.version)
                                                             + " is accepted, but not confirmed: "
                                                             + lagging.error.message };
    return output;
}

Result<Output> runCheck(const OperatorCommand &command)
{
    BOOST_LEAF_AUTO(contracts, loadContracts(command.files));
    Output output;
    json services = json::array();
    for (const ServiceContract &contract : contracts)
        services.push_back(contract.service);
    output.text = std::to_string(contracts.size()) + " valid contracts\n";
    output.json = { { "valid", true }, { "services", services } };
    return output;
}

Result<Output> runPublish(const OperatorCommand &command)
{
    BOOST_LEAF_AUTO(store, storeOf(command));
    BOOST_LEAF_AUTO(contracts, loadDirectory(command.directory));
    if (command.dryRun) {
        BOOST_LEAF_AUTO(head, readHead(store));
        Output output = showDiff(diffAgainst(head, contracts));
        output.text += "dry run against version " + std::to_string(head.version)
                       + "; nothing was changed\n";
        output.json = { { "version", head.version }, { "diff", output.json } };
        return output;
    }
    const PublishOutcome outcome = makeChange(store, publisherOptions(command),
                                              [&](Publisher &p, TimePoint now, Outbox &outbox) {
                                                  p.publish(contracts, now, outbox);
                                              });
    return finishChange(command, outcome);
}

Result<Output> runSetZone(const OperatorCommand &command)
{
    BOOST_LEAF_AUTO(store, storeOf(command));
    const PublishOutcome outcome = makeChange(
            store, publisherOptions(command), [&](Publisher &p, TimePoint now, Outbox &outbox) {
                p.setZone(command.zone, command.zoneState, now, outbox);
            });
    return finishChange(command, outcome);
}

Result<Output> runListZones(const OperatorCommand &command)
{
    BOOST_LEAF_AUTO(store, storeOf(command));
    BOOST_LEAF_AUTO(head, readHead(store));
    const auto fleet = outcomeOf([&] { return fleetOf(command); });
    return showZones(head, fleet ? zonesOf(*fleet.value) : std::vector<ZoneName>());
}

Result<Output> runStatus(const OperatorCommand &command)
{
    BOOST_LEAF_AUTO(fleet, fleetOf(command));
    return showStatus(fleet);
}

// Looks up whether a change was accepted, for use when the command that made it got no answer.
Result<Output> runLookUpChange(const OperatorCommand &command)
{
    BOOST_LEAF_AUTO(store, storeOf(command));
    const PublishOutcome outcome =
            makeChange(store, { .changeId = command.change },
                       [](Publisher &p, TimePoint now, Outbox &outbox) { p.lookUp(now, outbox); });
    return finishChange(command, outcome);
}

Result<Output> runExplain(const OperatorCommand &command)
{
    BOOST_LEAF_AUTO(seeds, seedsOf(command));
    Error error{ ErrorKind::PeerUnavailable, "the list of balancers is empty" };
    for (const Endpoint &seed : seeds) {
        const auto answer = outcomeOf([&] {
            return RpcClient(seed).call("explain", { { "flow", command.flow } });
        });
        if (answer)
            return showExplanation(*answer.value);
        error = answer.error;
        if (error.kind != ErrorKind::PeerUnavailable)
            break;
    }
    return fail(error.kind, error.message);
}

Result<Output> runHistory(const OperatorCommand &command)
{
    BOOST_LEAF_AUTO(store, storeOf(command));
    BOOST_LEAF_AUTO(head, readHead(store));
    return showHistory(head);
}

Result<Output> runMetrics(const OperatorCommand &command)
{
    Endpoint control;
    std::string name = command.node;
    if (!parseEndpoint(command.node, control)) {
        BOOST_LEAF_AUTO(fleet, fleetOf(command));
        const auto node = std::find_if(fleet.nodes.begin(), fleet.nodes.end(), [&](const auto &n) {
            return command.node.empty() || n.id == command.node;
        });
        if (node == fleet.nodes.end())
            return fail(ErrorKind::NotFound, "no node has the id " + command.node);
        control = node->control;
        name = node->id;
    }
    BOOST_LEAF_AUTO(metrics, RpcClient(control).call("metrics"));
    return showMetrics(name, metrics);
}

Result<Output> showHelp(const OperatorCommand &)
{
    return Output{ .text = operatorUsage };
}

Result<Output> showVersion(const OperatorCommand &)
{
    return Output{ .text = "cactusdeck " CACTUSDECK_VERSION "\n",
                   .json = { { "version", CACTUSDECK_VERSION } } };
}

using Handler = Result<Output> (*)(const OperatorCommand &);

// Indexed by OperatorAction.
constexpr Handler handlers[] = { runCheck,   runPublish,      runSetZone, runListZones,
                                 runStatus,  runLookUpChange, runExplain, runHistory,
                                 runMetrics, showHelp,        showVersion };
static_assert(std::size(handlers) == std::size_t(OperatorAction::Version) + 1);

int report(const Error &error, bool asJson, std::ostream &out, std::ostream &err)
{
    const ErrorCodes &answer = codesOf(error.kind);
    if (asJson)
        out << json{ { "error", { { "kind", answer.name }, { "message", error.message } } } }.dump(
                2)
            << '\n';
    err << "cactusdeck: " << error.message << '\n';
    return answer.exitCode;
}

} // namespace

int runOperator(const std::vector<std::string> &arguments, const Environment &environment,
                std::ostream &out, std::ostream &err)
{
    const auto command = outcomeOf([&] { return parseOperatorCommand(arguments, environment); });
    if (!command) {
        const bool asJson =
                std::find(arguments.begin(), arguments.end(), "--json") != arguments.end();
        return report(command.error, asJson, out, err);
    }
    const bool asJson = command.value->json;
    auto output =
            outcomeOf([&] { return handlers[std::size_t(command.value->action)](*command.value); });
    if (!output)
        return report(output.error, asJson, out, err);
    if (output.value->error) {
        const Error &error = *output.value->error;
        output.value->json["error"] = { { "kind", codesOf(error.kind).name },
                                        { "message", error.message } };
    }
    out << (asJson ? output.value->json.dump(2) + "\n" : output.value->text);
    return output.value->error ? report(*output.value->error, false, out, err) : 0;
}

} // namespace cactusdeck

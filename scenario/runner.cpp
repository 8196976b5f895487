#include "scenario/runner.h"

#include <algorithm>
#include <array>

namespace cactusdeck::scenario {

namespace {

constexpr std::uint32_t firstServiceAddress = 0xC633640A; // 198.51.100.10

Traffic trafficOf(const Statement &statement, std::size_t index)
{
    const std::string &name = statement.name(index);
    if (name != "data" && name != "control")
        throw ScenarioError(statement.line, "expected data or control instead of " + name);
    return name == "data" ? Traffic::Data : Traffic::Control;
}

std::chrono::milliseconds millisecondsOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

const std::vector<Runner::Verb> Runner::verbs = {
    { "zone", &Runner::zone },
    { "balancer", &Runner::balancer },
    { "service", &Runner::service },
    { "server", &Runner::server },
    { "sessions", &Runner::sessions },
    { "fetches", &Runner::fetches },
    { "placement", &Runner::placement },
    { "traffic", &Runner::traffic },
    { "loss", &Runner::loss },
    { "duplication", &Runner::duplication },
    { "delay", &Runner::delay },
    { "fail", &Runner::fail },
    { "stop", &Runner::stop },
    { "drain", &Runner::stop },
    { "start", &Runner::start },
    { "replace", &Runner::replace },
    { "restart", &Runner::restart },
    { "pause", &Runner::pause },
    { "chill", &Runner::chill },
    { "publish", &Runner::publish },
    { "race", &Runner::race },
    { "store", &Runner::store },
    { "cut", &Runner::cut },
    { "heal", &Runner::heal },
    { "measure", &Runner::measure },
    { "expect", &Runner::expect },
    { "run", &Runner::runFor },
};

Runner::Runner(std::vector<Statement> scenarioStatements, SiteOptions options)
    : statements(std::move(scenarioStatements))
    , site(options)
{ }

void Runner::run()
{
    for (const Statement &statement : this->statements) {
        if (statement.at)
            this->site.simulation.after(*statement.at,
                                        [this, &statement] { this->execute(statement); });
        else
            this->execute(statement);
    }
    if (this->runDuration == Duration::zero() || this->expected.empty())
        throw ScenarioError(this->statements.empty() ? 0 : this->statements.back().line,
                            "a scenario needs \"run\" and at least one \"expect\"");
    this->site.run(this->runDuration);
    this->site.finish();
    this->results = this->site.measures();
}

void Runner::execute(const Statement &statement)
{
    const auto found = std::find_if(verbs.begin(), verbs.end(), [&](const Verb &verb) {
        return verb.name == statement.verb();
    });
    if (found == verbs.end())
        throw ScenarioError(statement.line, "unknown verb \"" + statement.verb() + '"');
    try {
        (this->*found->action)(statement);
    } catch (const std::out_of_range &error) {
        throw ScenarioError(statement.line, error.what());
    }
}

const std::string &Runner::knownZone(const Statement &statement, const std::string &name) const
{
    if (!this->site.hasZone(name))
        throw ScenarioError(statement.line, "unknown zone \"" + name + '"');
    return name;
}

void Runner::zone(const Statement &statement)
{
    if (statement.words.size() == 2) {
        this->site.addZone(statement.name(1));
        return;
    }
    const std::string &state = statement.name(2);
    if (state != "in" && state != "out")
        throw ScenarioError(statement.line, "expected in or out instead of " + state);
    this->site.setZone(this->knownZone(statement, statement.name(1)),
                       state == "out" ? ZoneState::Out : ZoneState::In);
}

void Runner::balancer(const Statement &statement)
{
    this->site.startBalancer(statement.name(1),
                             this->knownZone(statement, statement.textOption("in", "")));
}

void Runner::service(const Statement &statement)
{
    const std::string &name = statement.name(1);
    const auto address = std::uint32_t(firstServiceAddress + statement.line);
    this->site.addService({ .service = { name },
                            .id = serviceIdOf({ name }),
                            .owner = "team",
                            .description = name,
                            .addresses = { { { address, 443 }, Protocol::Tcp } },
                            .groups = { { name + "-group" } },
                            .drainDeadline = std::chrono::seconds(3600) });
    this->applyContract(statement, 1, statement.words.size());
}

// Applies the words [begin, end) of a statement, "<service> slots 5 cold 1 ...", to the contract of
// the service.
void Runner::applyContract(const Statement &statement, std::size_t begin, std::size_t end)
{
    ServiceContract &contract = this->site.contract(statement.name(begin));
    for (std::size_t i = begin + 1; i < end; i += 2) {
        const std::string &key = statement.name(i);
        if (key == "slots")
            contract.slots = std::uint32_t(statement.number(i + 1));
        else if (key == "connections")
            contract.connections = std::uint32_t(statement.number(i + 1));
        else if (key == "cold")
            contract.coldSlots = std::uint32_t(statement.number(i + 1));
        else if (key == "deadline")
            contract.requestDeadline = millisecondsOf(statement.time(i + 1));
        else if (key == "drain")
            contract.drainDeadline =
                    std::chrono::duration_cast<std::chrono::seconds>(statement.time(i + 1));
        else
            throw ScenarioError(statement.line, "unknown property \"" + key + '"');
    }
}

void Runner::server(const Statement &statement)
{
    BackendOptions options;
    options.speed = statement.option("speed", 1);
    options.latency = statement.timeOption("latency", options.latency);
    options.healthLag = statement.timeOption("lag", {});
    options.fixedHealthStatus = statement.textOption("lie", "");
    this->site.startServer(
            statement.name(1), this->knownZone(statement, statement.textOption("in", "")),
            statement.textOption("for", ""), options, statement.textOption("reusing", ""));
}

void Runner::start(const Statement &statement)
{
    if (statement.has("for"))
        this->server(statement);
    else
        this->balancer(statement);
}

void Runner::addCallers(const Statement &statement, CallerGroup group, const std::string &service)
{
    group.name = service + std::to_string(++this->callerGroups) + '-';
    group.service = this->site.contract(service).addresses.front().endpoint;
    group.startDelay = statement.timeOption("after", {});
    group.maxAnswer = std::size_t(statement.option("answer", double(group.maxAnswer)));
    this->site.addCallers(group);
}

void Runner::sessions(const Statement &statement)
{
    this->addCallers(statement,
                     { .isSession = true,
                       .arrivalsPerSecond = 0,
                       .initial = std::size_t(statement.number(1)),
                       .bookingShare = 1,
                       .pause = millisecondsOf(
                               statement.timeOption("every", std::chrono::milliseconds(500))) },
                     statement.textOption("on", ""));
}

void Runner::fetches(const Statement &statement)
{
    this->addCallers(statement, { .arrivalsPerSecond = statement.number(1) },
                     statement.textOption("on", ""));
}

void Runner::placement(const Statement &statement)
{
    const std::array<const PlacementStrategy *, 2> strategies = { &weightedRendezvous,
                                                                  &consistentHashing };
    for (const PlacementStrategy *strategy : strategies) {
        if (strategy->name == statement.name(1)) {
            this->site.setPlacement(*strategy);
            return;
        }
    }
    throw ScenarioError(statement.line, "unknown placement \"" + statement.name(1) + '"');
}

void Runner::traffic(const Statement &statement)
{
    this->site.setTrafficAfter(statement.timeOption("after", {}));
}

void Runner::loss(const Statement &statement)
{
    this->site.network.link(trafficOf(statement, 1)).loss = statement.number(2);
}

void Runner::duplication(const Statement &statement)
{
    this->site.network.link(trafficOf(statement, 1)).duplication = statement.number(2);
}

void Runner::delay(const Statement &statement)
{
    for (const Traffic traffic : { Traffic::Data, Traffic::Control }) {
        Link &link = this->site.network.link(traffic);
        link.delay = statement.time(1);
        link.jitter = statement.timeOption("jitter", link.jitter);
    }
}

void Runner::fail(const Statement &statement)
{
    this->site.machine(statement.name(1)).fail();
}

void Runner::stop(const Statement &statement)
{
    this->site.machine(statement.name(1)).stop();
}

void Runner::replace(const Statement &statement)
{
    Machine &old = this->site.machine(statement.name(1));
    this->site.startBalancer(statement.textOption("by", ""), old.location().zone);
    old.stop();
}

void Runner::restart(const Statement &statement)
{
    this->site.machine(statement.name(1)).restartAgent(this->site.seeds());
}

void Runner::pause(const Statement &statement)
{
    this->site.machine(statement.name(1)).pause(statement.time(2));
}

void Runner::chill(const Statement &statement)
{
    BackendServer *backend = this->site.machine(statement.name(1)).backend();
    if (backend == nullptr)
        throw ScenarioError(statement.line, statement.name(1) + " is not a server");
    backend->turnColdSilently(this->site.simulation.now());
}

void Runner::publish(const Statement &statement)
{
    this->applyContract(statement, 1, statement.words.size());
    this->site.publish();
}

// Publishes two changes of one service concurrently, both based on the same version:
// "race booking slots 4 against booking slots 3".
void Runner::race(const Statement &statement)
{
    const auto against = std::find_if(statement.words.begin(), statement.words.end(),
                                      [](const Word &word) { return word.text == "against"; });
    const auto middle = std::size_t(against - statement.words.begin());
    const std::string &service = statement.name(1);
    const ServiceContract before = this->site.contract(service);
    this->applyContract(statement, 1, middle);
    this->site.publish();
    this->site.contract(service) = before;
    this->applyContract(statement, middle + 1, statement.words.size());
    this->site.publish();
}

void Runner::store(const Statement &statement)
{
    const std::string &fault = statement.name(1);
    StoreModel &model = this->site.store;
    if (fault == "down" || fault == "up")
        model.isDown = fault == "down";
    else if (fault == "slow")
        model.delay = statement.time(2);
    else if (fault == "lose-answers")
        model.lostAnswersLeft = int(statement.number(2));
    else if (fault == "stale-reads")
        model.staleReadsLeft = int(statement.number(2));
    else
        throw ScenarioError(statement.line, "unknown store fault \"" + fault + '"');
}

void Runner::cut(const Statement &statement)
{
    this->site.network.cut(statement.name(1), trafficOf(statement, 2));
}

void Runner::heal(const Statement &statement)
{
    this->site.heal(statement.name(1), trafficOf(statement, 2));
}

void Runner::measure(const Statement &)
{
    this->site.beginMeasuring();
}

void Runner::expect(const Statement &statement)
{
    this->expected.push_back(expectationOf(statement));
}

void Runner::runFor(const Statement &statement)
{
    this->runDuration = statement.time(1);
}

} // namespace cactusdeck::scenario

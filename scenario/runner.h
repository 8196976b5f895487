#ifndef CACTUSDECK_SCENARIO_RUNNER_H
#define CACTUSDECK_SCENARIO_RUNNER_H

#include <memory>

#include "scenario/site.h"

// Executes the statements of a parsed scenario on a Site.
//
//     Runner runner(parseScenario(text), { .seed = 1 });
//     runner.run();
//     Measures measures = runner.measures();
//     for (const Expectation &expectation : runner.expectations()) ...
//
// Throws ScenarioError for unknown verbs, names and values.

namespace cactusdeck::scenario {

class Runner
{
public:
    Runner(std::vector<Statement> scenarioStatements, SiteOptions options);

    void run();
    const Measures &measures() const { return this->results; }
    const std::vector<Expectation> &expectations() const { return this->expected; }

private:
    using Action = void (Runner::*)(const Statement &);
    struct Verb
    {
        const char *name;
        Action action;
    };
    static const std::vector<Verb> verbs;

    void execute(const Statement &statement);
    void zone(const Statement &statement);
    void balancer(const Statement &statement);
    void service(const Statement &statement);
    void server(const Statement &statement);
    void sessions(const Statement &statement);
    void fetches(const Statement &statement);
    void placement(const Statement &statement);
    void traffic(const Statement &statement);
    void loss(const Statement &statement);
    void duplication(const Statement &statement);
    void delay(const Statement &statement);
    void fail(const Statement &statement);
    void stop(const Statement &statement);
    void start(const Statement &statement);
    void replace(const Statement &statement);
    void restart(const Statement &statement);
    void pause(const Statement &statement);
    void chill(const Statement &statement);
    void publish(const Statement &statement);
    void race(const Statement &statement);
    void store(const Statement &statement);
    void cut(const Statement &statement);
    void heal(const Statement &statement);
    void measure(const Statement &statement);
    void expect(const Statement &statement);
    void runFor(const Statement &statement);
    void applyContract(const Statement &statement, std::size_t begin, std::size_t end);
    void addCallers(const Statement &statement, CallerGroup group, const std::string &service);
    const std::string &knownZone(const Statement &statement, const std::string &name) const;

    std::vector<Statement> statements;
    Site site;
    Duration runDuration{};
    std::vector<Expectation> expected;
    Measures results;
    int callerGroups = 0;
};

} // namespace cactusdeck::scenario

#endif // CACTUSDECK_SCENARIO_RUNNER_H

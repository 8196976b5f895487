#include "scenario/program.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <docopt/docopt.h>

#include "scenario/runner.h"

namespace cactusdeck::scenario {

namespace {

constexpr const char *usage = R"(Runs a scripted scenario on a fake clock.

Usage:
  scenario FILE [--seed=N] [--without=MECHANISM] [--placement=NAME] [--log]
  scenario (-h | --help)

Options:
  --seed=N             Seed of all random choices [default: 1].
  --without=MECHANISM  Disables a mechanism: chain, holdings, notices, replies or gossip.
  --placement=NAME     weighted_rendezvous or consistent_hashing [default: weighted_rendezvous].
  --log                Prints the events of all nodes.
)";

Mechanism mechanismOf(const std::string &name)
{
    constexpr std::array names = { "chain", "holdings", "notices", "replies", "gossip" };
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (name == names[i])
            return Mechanism(i);
    }
    throw std::invalid_argument("unknown mechanism \"" + name + '"');
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw std::invalid_argument(path + " cannot be read");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int runFile(std::map<std::string, docopt::value> &arguments)
{
    const std::string path = arguments["FILE"].asString();
    SiteOptions options{ .seed = std::uint64_t(arguments["--seed"].asLong()) };
    if (arguments["--without"])
        options.without = mechanismOf(arguments["--without"].asString());
    if (arguments["--log"].asBool())
        options.log = &std::cout;
    std::string text = readFile(path);
    if (arguments["--placement"].asString() != weightedRendezvous.name)
        text = "placement " + arguments["--placement"].asString() + "; " + text;
    Runner runner(parseScenario(text), options);
    runner.run();
    const auto &expectations = runner.expectations();
    for (const Expectation &expectation : expectations)
        print(std::cout, expectation, runner.measures());
    const auto passed = std::count_if(
            expectations.begin(), expectations.end(),
            [&](const Expectation &expectation) { return expectation.isMet(runner.measures()); });
    const auto failed = std::ptrdiff_t(expectations.size()) - passed;
    std::cout << "scenario=" << std::filesystem::path(path).stem().string()
              << " seed=" << options.seed << " passed=" << passed << " failed=" << failed << '\n';
    return failed == 0 ? 0 : 1;
}

} // namespace

int runScenarioProgram(int argc, char **argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    try {
        return runFile(arguments);
    } catch (const std::exception &error) {
        std::cerr << "error=\"" << error.what() << "\"\n";
        return 2;
    }
}

} // namespace cactusdeck::scenario

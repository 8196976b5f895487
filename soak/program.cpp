#include "soak/program.h"

#include <iostream>

#include <docopt/docopt.h>

#include "node/outcome.h"
#include "soak/soak.h"

namespace cactusdeck::soak {

namespace {

constexpr const char *usage =
        R"(soak: runs real nodes on loopback and injects faults drawn from a seed.

Usage:
  soak --program FILE --folder FOLDER [--seed N] [--network N] [--seconds N] [--balancers N]
       [--servers N]
  soak (-h | --help)

Options:
  --program FILE   The daemon under test, cactusdeck-mesh.
  --folder FOLDER  Folder for settings and logs of the nodes; created if missing.
  --seed N         Seed of the faults and of the callers [default: 1].
  --network N      Second byte of the loopback addresses, 1 to 254; soaks that run at the same time
                   need different ones [default: 16].
  --seconds N      Duration of the faults; start, recovery and stop take 20 to 45 s more
                   [default: 25].
  --balancers N    Number of balancers [default: 4].
  --servers N      Servers of each of the two services [default: 3].

Exit code: 0 if every guarantee held, 1 if one was broken, 2 if the soak could not run.
)";

constexpr int couldNotRun = 2;

} // namespace

int runSoakProgram(int argc, char **argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true);
    const SoakOptions options{
        .program = arguments["--program"].asString(),
        .folder = arguments["--folder"].asString(),
        .seed = std::uint64_t(arguments["--seed"].asLong()),
        .network = std::uint8_t(arguments["--network"].asLong()),
        .balancers = std::size_t(arguments["--balancers"].asLong()),
        .serversPerService = std::size_t(arguments["--servers"].asLong()),
        .faultTime = std::chrono::seconds(arguments["--seconds"].asLong()),
    };
    const auto isKept = outcomeOf([&] { return Soak(options).run(); });
    if (!isKept) {
        std::cerr << "soak: " << isKept.error.message << '\n';
        return couldNotRun;
    }
    return *isKept.value ? 0 : 1;
}

} // namespace cactusdeck::soak

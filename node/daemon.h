#ifndef CACTUSDECK_NODE_DAEMON_H
#define CACTUSDECK_NODE_DAEMON_H

#include <functional>
#include <memory>
#include <string>

#include "node/runningnode.h"

// Command line, exit codes and signal handling of both daemons.
//
//     return runDaemon({ .name = "cactusdeck-agent",
//                        .description = ...,
//                        .check = ...,
//                        .start = ... },
//                      argc, argv);

namespace cactusdeck {

struct DaemonProgram
{
    const char *name;
    const char *description;
    // Loads the settings file and reports errors in it.
    std::function<Result<void>(const std::string &file)> check;
    // Loads the settings file and starts the node.
    std::function<Result<std::unique_ptr<RunningNode>>(const std::string &file)> start;
};

// Runs a daemon until SIGTERM or SIGINT has stopped it. Returns the exit code.
int runDaemon(const DaemonProgram &program, int argc, char **argv);

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_DAEMON_H

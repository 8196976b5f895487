#include "node/daemon.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <iostream>

#include <docopt/docopt.h>
#include <poll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "node/outcome.h"

namespace cactusdeck {

namespace {

std::string usageOf(const DaemonProgram &program)
{
    const std::string name = program.name;
    return name + ": " + program.description + "\n\nUsage:\n  " + name + " --settings FILE\n  "
           + name + " --check-settings FILE\n  " + name + " --help\n  " + name + R"( --version

Options:
  --settings FILE        Run with the settings in this file.
  --check-settings FILE  Check the settings in this file and exit.
  --help                 Show this text.
  --version              Show the version.

SIGTERM and SIGINT stop the daemon gracefully; a second signal has no effect.
)";
}

int reportError(const DaemonProgram &program, const Error &error)
{
    std::cerr << program.name << ": " << error.message << '\n';
    return codesOf(error.kind).exitCode;
}

// Blocks SIGTERM and SIGINT and returns a descriptor to read them from. Must be called before any
// thread is started, so that all threads inherit the signal mask.
int openSignalDescriptor()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    return signalfd(-1, &set, SFD_CLOEXEC);
}

void runUntilStopped(RunningNode &node, int signalDescriptor)
{
    std::array<pollfd, 2> descriptors = { pollfd{ signalDescriptor, POLLIN, 0 },
                                          pollfd{ node.endedDescriptor(), POLLIN, 0 } };
    while (descriptors[1].revents == 0) {
        if (poll(descriptors.data(), descriptors.size(), -1) < 0 && errno != EINTR)
            break;
        signalfd_siginfo info{};
        if ((descriptors[0].revents & POLLIN) != 0
            && read(signalDescriptor, &info, sizeof info) > 0)
            node.requestStop();
    }
    node.waitUntilStopped();
}

int runWithSettings(const DaemonProgram &program, const std::string &file)
{
    const int signalDescriptor = openSignalDescriptor();
    auto node = outcomeOf([&] { return program.start(file); });
    if (!node)
        return reportError(program, node.error);
    runUntilStopped(**node.value, signalDescriptor);
    node.value.reset();
    close(signalDescriptor);
    return 0;
}

int checkSettings(const DaemonProgram &program, const std::string &file)
{
    const auto outcome = outcomeOf([&] { return program.check(file); });
    if (!outcome)
        return reportError(program, outcome.error);
    std::cout << file << ": valid\n";
    return 0;
}

} // namespace

int runDaemon(const DaemonProgram &program, int argc, char **argv)
{
    const std::string usage = usageOf(program);
    try {
        const auto arguments = docopt::docopt_parse(usage, { argv + 1, argv + argc });
        const docopt::value &check = arguments.at("--check-settings");
        if (check)
            return checkSettings(program, check.asString());
        return runWithSettings(program, arguments.at("--settings").asString());
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return 0;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << program.name << ' ' << CACTUSDECK_VERSION << '\n';
        return 0;
    } catch (const docopt::DocoptArgumentError &error) {
        std::cerr << usage;
        return reportError(program, { ErrorKind::InvalidArgument, error.what() });
    } catch (const std::exception &error) {
        return reportError(program, { ErrorKind::Internal, error.what() });
    }
}

} // namespace cactusdeck

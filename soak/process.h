#ifndef CACTUSDECK_SOAK_PROCESS_H
#define CACTUSDECK_SOAK_PROCESS_H

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "core/error.h"

// A child process. Signals are sent only to a child that has not been waited for, so that a process
// id reused by the system is never signalled.
//
//     BOOST_LEAF_AUTO(process, Process::start({ "build/release/cactusdeck-mesh", "agent" }, log));
//     process.signal(SIGSTOP);
//     if (auto status = process.poll()) ...

namespace cactusdeck::soak {

class Process
{
public:
    // Standard output and error are appended to the log file.
    static Result<Process> start(const std::vector<std::string> &command,
                                 const std::string &logFile);
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    // Kills the process if it is still running, and waits for it.
    ~Process();

    void signal(int number) const;
    // Returns the waitpid() status once, when the process has ended.
    std::optional<int> poll();
    void killAndWait();

private:
    explicit Process(pid_t process)
        : id(process)
    { }

    pid_t id = 0; // 0 once the process has ended and been waited for
};

} // namespace cactusdeck::soak

#endif // CACTUSDECK_SOAK_PROCESS_H

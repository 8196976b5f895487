#ifndef CACTUSDECK_SOAK_PROCESS_H
#define CACTUSDECK_SOAK_PROCESS_H

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "core/error.h"

// A child process. Signals go only to processes that were started here and have not been waited
// for, so that a number that the system has used again is never hit.
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
    // Kills the process if it still runs.
    ~Process();

    void signal(int number) const;
    // The status of waitpid(), once the process has ended.
    std::optional<int> poll();
    void killAndWait();

private:
    explicit Process(pid_t process)
        : id(process)
    { }

    pid_t id = 0; // 0: ended and waited for
};

} // namespace cactusdeck::soak

#endif // CACTUSDECK_SOAK_PROCESS_H

#include "soak/process.h"

#include <csignal>
#include <cstring>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

extern char **environ; // NOLINT(readability-redundant-declaration): POSIX declares it nowhere

namespace cactusdeck::soak {

Result<Process> Process::start(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &word : command)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    pid_t id = 0;
    const int error = posix_spawn(&id, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        return fail(ErrorKind::Io, "cannot start " + command[0] + ": " + std::strerror(error));
    return Process(id);
}

Process::Process(Process &&other) noexcept
    : id(std::exchange(other.id, 0))
{ }

Process &Process::operator=(Process &&other) noexcept
{
    std::swap(this->id, other.id);
    return *this;
}

Process::~Process()
{
    this->killAndWait();
}

void Process::signal(int number) const
{
    if (this->id != 0)
        kill(this->id, number);
}

std::optional<int> Process::poll()
{
    int status = 0;
    if (this->id == 0 || waitpid(this->id, &status, WNOHANG) != this->id)
        return std::nullopt;
    this->id = 0;
    return status;
}

void Process::killAndWait()
{
    if (this->id == 0)
        return;
    kill(this->id, SIGKILL);
    waitpid(this->id, nullptr, 0);
    this->id = 0;
}

} // namespace cactusdeck::soak

#pragma once

#include <plumsill/ini.h>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <string>
#include <vector>

extern char **environ; // NOLINT(readability-redundant-declaration)

namespace plumsill
{
/// Child process that runs a program of the build folder ($PLUMSILL_BIN); the destructor kills it if it still runs.
class ChildProcess
{
public:
    /// Starts @p program; throws when it can't be started. With a @p logFile, standard output and standard error are
    /// appended to that file, so that the process never blocks on a full pipe; without one, `line` reads standard output.
    ChildProcess(const std::string &program, std::vector<std::string> arguments, const std::string &logFile = {})
    {
        int pipeEnds[2] = {-1, -1};
        if (!logFile.empty()) {
            pipeEnds[1] = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        } else if (::pipe2(pipeEnds, O_CLOEXEC) == 0) {
            m_output = pipeEnds[0];
        }
        if (pipeEnds[1] < 0) {
            throw std::runtime_error("can't open the output of " + program);
        }
        const char *folder = std::getenv("PLUMSILL_BIN");
        const std::string path = std::string(folder == nullptr ? "." : folder) + "/" + program;
        arguments.insert(arguments.begin(), path);
        std::vector<char *> argv;
        argv.reserve(arguments.size() + 1);
        for (auto &argument : arguments) {
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
        if (!logFile.empty()) {
            posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDERR_FILENO);
        }
        // A connection that this process closes stays open as long as a child holds it.
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        const int spawnError = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        ::close(pipeEnds[1]);
        if (spawnError != 0) {
            closeOutput();
            throw std::runtime_error("can't start " + path);
        }
    }

    ~ChildProcess()
    {
        if (m_pid > 0) {
            signal(SIGCONT);
            signal(SIGKILL);
            wait();
        }
        closeOutput();
    }

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const { return m_pid; }
    void signal(int number) const { ::kill(m_pid, number); }

    /// Waits for the process to end; returns its exit status, or 128 plus the number of the signal that ended it.
    int wait()
    {
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        m_pid = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }

    /// Returns the same exit status as `wait`, but without waiting: -1 while the process still runs.
    int exitStatus()
    {
        int status = 0;
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            m_status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
        return m_status;
    }

    /// Returns the next line of standard output; throws when none arrives within @p timeoutMilliseconds or the
    /// output ends.
    std::string line(int timeoutMilliseconds = 30'000)
    {
        for (auto end = m_pending.find('\n'); end == std::string::npos; end = m_pending.find('\n')) {
            fill(timeoutMilliseconds);
        }
        const auto end = m_pending.find('\n');
        std::string first = m_pending.substr(0, end);
        m_pending.erase(0, end + 1);
        return first;
    }

private:
    void closeOutput()
    {
        if (m_output >= 0) {
            ::close(m_output);
        }
    }

    void fill(int timeoutMilliseconds)
    {
        pollfd ready {m_output, POLLIN, 0};
        char buffer[4096];
        const auto count = ::poll(&ready, 1, timeoutMilliseconds) == 1 ? ::read(m_output, buffer, sizeof buffer) : 0;
        if (count <= 0) {
            throw std::runtime_error("the child process printed no line in time or closed its output");
        }
        m_pending.append(buffer, static_cast<std::size_t>(count));
    }

    pid_t m_pid = -1;
    int m_status = -1;
    int m_output = -1;
    std::string m_pending;
};

/// Parses the endpoint that follows "NAME=" in a program's ready line; throws when the line has no such field.
inline Endpoint readyEndpoint(const std::string &line, const std::string &name)
{
    const auto position = line.find(" " + name + "=");
    if (position == std::string::npos) {
        throw std::runtime_error("ready line without the requested endpoint: " + line);
    }
    const auto begin = position + name.size() + 2;
    return parseEndpoint(line.substr(begin, line.find(' ', begin) - begin)).value();
}
}

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
/// A program of the build folder ($PLUMSILL_BIN) that runs until it ends or this object goes away.
class ChildProcess
{
public:
    /// @p logFile: its output is appended to that file, so that it never waits for a reader; empty: `line` reads it.
    ChildProcess(const std::string &program, std::vector<std::string> arguments, const std::string &logFile = {})
    {
        int ends[2] = {-1, -1};
        if (!logFile.empty()) {
            ends[1] = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        } else if (::pipe2(ends, O_CLOEXEC) == 0) {
            m_output = ends[0];
        }
        if (ends[1] < 0) {
            throw std::runtime_error("no place for the output of " + program);
        }
        const char *folder = std::getenv("PLUMSILL_BIN");
        const std::string path = std::string(folder == nullptr ? "." : folder) + "/" + program;
        arguments.insert(arguments.begin(), path);
        std::vector<char *> raw;
        raw.reserve(arguments.size() + 1);
        for (auto &argument : arguments) {
            raw.push_back(argument.data());
        }
        raw.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
        if (!logFile.empty()) {
            posix_spawn_file_actions_adddup2(&actions, ends[1], STDERR_FILENO);
        }
        const int failed = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, raw.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        ::close(ends[1]);
        if (failed != 0) {
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

    /// Exit status, or 128 and the signal that ended it.
    int wait()
    {
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        m_pid = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }

    /// Exit status as `wait` gives it if it has ended; -1 while it runs.
    int ended()
    {
        int status = 0;
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            m_status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
        return m_status;
    }

    /// Next line of its output; throws when none comes in time.
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
            throw std::runtime_error("no line from the child process");
        }
        m_pending.append(buffer, static_cast<std::size_t>(count));
    }

    pid_t m_pid = -1;
    int m_status = -1;
    int m_output = -1;
    std::string m_pending;
};

/// Address behind "NAME=" in a program's ready line.
inline Endpoint readyEndpoint(const std::string &line, const std::string &name)
{
    const auto place = line.find(" " + name + "=");
    if (place == std::string::npos) {
        throw std::runtime_error("not a ready line: " + line);
    }
    const auto begin = place + name.size() + 2;
    return parseEndpoint(line.substr(begin, line.find(' ', begin) - begin)).value();
}
}

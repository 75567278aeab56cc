#include "support/ScenarioProcesses.h"

#include <fmt/format.h>

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace oleanderport {

namespace {

    constexpr int execFailed = 127;

    [[noreturn]] void execProgram(const std::string& log, std::vector<char*>& arguments)
    {
        // The kernel kills the child when the runner itself is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        // A connection of the runner that a child holds open would not be seen to close.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execv(arguments[0], arguments.data());
        _exit(execFailed);
    }

    int codeOf(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status); }

} // namespace

std::string roleOf(const std::string& processName) { return processName.substr(0, processName.rfind('-')); }

ScenarioProcesses::ScenarioProcesses(std::filesystem::path folder)
    : m_folder(std::move(folder))
{
}

ScenarioProcesses::~ScenarioProcesses()
{
    reap();
    for (const auto& [name, process] : m_processes) {
        if (process.exitCode)
            continue;
        kill(process.pid, SIGKILL);
        waitpid(process.pid, nullptr, 0);
    }
}

void ScenarioProcesses::start(const std::string& name, const std::vector<std::string>& command)
{
    reap();
    if (isRunning(name))
        throw std::runtime_error(fmt::format("process {} is still running", name));
    std::vector<std::string> copy = command;
    std::vector<char*> arguments;
    arguments.reserve(copy.size() + 1);
    for (auto& argument : copy)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    const std::string log = m_folder / (name + ".log");
    const pid_t pid = fork();
    if (pid < 0)
        throw std::runtime_error("fork failed");
    if (pid == 0)
        execProgram(log, arguments);
    m_processes[name] = Process { .pid = pid, .frozen = false, .exitCode = std::nullopt };
}

void ScenarioProcesses::signal(const std::string& name, int signalNumber)
{
    reap();
    const auto process = m_processes.find(name);
    if (process == m_processes.end())
        throw std::runtime_error(fmt::format("no process is named {}", name));
    if (process->second.exitCode)
        return;
    kill(process->second.pid, signalNumber);
    if (signalNumber == SIGSTOP)
        process->second.frozen = true;
    if (signalNumber == SIGCONT)
        process->second.frozen = false;
}

void ScenarioProcesses::reap()
{
    for (auto& [name, process] : m_processes) {
        int status = 0;
        if (!process.exitCode && waitpid(process.pid, &status, WNOHANG) == process.pid)
            process.exitCode = codeOf(status);
    }
}

bool ScenarioProcesses::isRunning(const std::string& name) const
{
    const auto process = m_processes.find(name);
    return process != m_processes.end() && !process->second.exitCode;
}

bool ScenarioProcesses::isFrozen(const std::string& name) const
{
    const auto process = m_processes.find(name);
    return process != m_processes.end() && process->second.frozen;
}

std::optional<int> ScenarioProcesses::exitCode(const std::string& name) const
{
    const auto process = m_processes.find(name);
    return process == m_processes.end() ? std::nullopt : process->second.exitCode;
}

pid_t ScenarioProcesses::pid(const std::string& name) const
{
    const auto process = m_processes.find(name);
    return process == m_processes.end() ? 0 : process->second.pid;
}

} // namespace oleanderport

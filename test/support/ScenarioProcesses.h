#pragma once

#include "oleanderport/Clock.h"

#include <sys/types.h>

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleanderport {

// Role in a process's name, which has the form ROLE-N.
std::string roleOf(const std::string& processName);

// The real processes that a scenario has started. The destructor kills
// each one that still runs, by its pid.
class ScenarioProcesses {
public:
    explicit ScenarioProcesses(std::filesystem::path folder);
    ~ScenarioProcesses();
    ScenarioProcesses(const ScenarioProcesses&) = delete;
    ScenarioProcesses& operator=(const ScenarioProcesses&) = delete;

    // Starts a program whose output goes to NAME.log in the folder. Fails by throwing std::runtime_error, also when
    // a process of that name is still running.
    void start(const std::string& name, const std::vector<std::string>& command);

    // Sends a signal. Does nothing when the process has ended.
    void signal(const std::string& name, int signalNumber);

    // Collects the exit codes of processes that have ended.
    void reap();

    bool isRunning(const std::string& name) const;
    bool isFrozen(const std::string& name) const;

    // Exit code of the last process of that name, or the negated number of the signal that ended it. Nothing while it
    // runs.
    std::optional<int> exitCode(const std::string& name) const;

    // Pid of the last process started under that name, or zero.
    pid_t pid(const std::string& name) const;

private:
    struct Process {
        pid_t pid { 0 };
        bool frozen { false };
        std::optional<int> exitCode;
    };

    std::filesystem::path m_folder;
    std::map<std::string, Process> m_processes;
};

} // namespace oleanderport

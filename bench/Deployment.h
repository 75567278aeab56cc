#pragma once

#include "oleanderport/Error.h"

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace oleanderport::bench {

struct DeploymentOptions {
    // Folder with the built programs.
    std::string programs;
    // Folder for settings, data and logs; recreated at the start and removed at the end.
    std::string folder;
    int basePort { 26'000 };
    int entries { 3 };
    int minions { 11 };
    int slots { 8 };
    int connections { 64 };
    int dataCentres { 3 };
    int prefetch { 2 };
};

enum class ProcessKind {
    Control,
    Entry,
    Sidecar,
    Minion,
};

struct ChildProcess {
    ProcessKind kind { ProcessKind::Control };
    pid_t pid { 0 };
    // "IP:port".
    std::string address;
};

// The processes of a complete system on this machine, started by fork and exec and stopped by pid.
class Deployment {
public:
    explicit Deployment(const DeploymentOptions&);
    // Stops every process that start() started: SIGTERM first, then SIGKILL if it does not exit within the poll limit.
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    // Starts the processes and applies the environment. Fails with Unavailable when the control instance does not accept it in
    // time.
    Result<void> start();

    std::vector<std::string> entries() const { return addressesOf(ProcessKind::Entry); }
    std::vector<std::string> addressesOf(ProcessKind) const;

    // CPU time in microseconds that all processes of a kind have used since they started.
    double cpuMicroseconds(ProcessKind) const;

private:
    pid_t launch(const std::vector<std::string>& command) const;
    void startDaemon(ProcessKind, const std::string& role, int number);
    void startMinion(int number);
    std::string address(int offset) const;

    DeploymentOptions m_options;
    std::vector<ChildProcess> m_processes;
};

} // namespace oleanderport::bench

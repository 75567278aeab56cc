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
    // Folder for settings, data and logs; made anew and removed at the end.
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

// The processes of one whole system on this machine, started by fork and exec and stopped by their ids.
class Deployment {
public:
    explicit Deployment(const DeploymentOptions&);
    // Ends every process that start() started: first SIGTERM, and SIGKILL after a bounded time.
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    // Starts the processes and applies the environment. Fails with Unavailable when control does not take it in time.
    Result<void> start();

    std::vector<std::string> entries() const { return addressesOf(ProcessKind::Entry); }
    std::vector<std::string> addressesOf(ProcessKind) const;

    // Processor time that all processes of a kind have used since they started, in microseconds.
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

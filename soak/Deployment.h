#pragma once

#include "Plan.h"
#include "Records.h"

#include "support/FaultRelay.h"
#include "support/ScenarioProcesses.h"
#include "wire/EventLoop.h"

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oleanderport::soak {

struct DeploymentOptions {
    // Folder with the built programs.
    std::filesystem::path build;
    // Scratch folder of this run.
    std::filesystem::path folder;
    // First of the ports that this run uses, one after the other.
    std::uint16_t basePort { 0 };
    std::uint64_t seed { 0 };
    Shape shape;
};

// The real processes of one run with a relay in front of each address that others are told. Starts them, carries out
// faults, brings back what has gone. Names: control-N, entry-N, sidecar-N, minion-N.
class Deployment {
public:
    // Fails by throwing std::runtime_error.
    Deployment(EventLoop&, DeploymentOptions);

    void startAll();
    void injectFault(const PlannedFault&);
    // Looks after the processes: notes what has ended, starts what is due. Called a few times a tenth of a second.
    void supervise();
    // Ends every fault that is left and stops each process by its pid.
    void stopAll();

    std::vector<std::string> names(const std::string& role) const;
    // Where callers reach an entry, and operators a control instance, through its relay.
    std::string address(const std::string& name);
    // Whether the entry takes new channels, by its own address for readiness checks.
    std::string readyAddress(const std::string& entry) { return localAddress(entry + "/ready"); }
    std::string dataCentre(const std::string& name) const;

    const std::vector<FaultRecord>& faults() const { return m_faults; }
    const std::vector<std::string>& unexpectedExits() const { return m_unexpectedExits; }
    // Every run of every minion's incarnation so far.
    std::vector<RunRecord> runs() const;

private:
    struct ProcessState {
        bool shouldRun { false };
        // When it starts again; set once it has been killed or has ended.
        std::optional<Milliseconds> restartAt;
        // Position in m_faults of the stop that is under way.
        std::optional<std::size_t> stopFault;
        int incarnation { 0 };

        // Brought down, and not started again yet.
        bool isDown() const { return restartAt || stopFault; }
    };

    std::uint16_t port(const std::string& key);
    std::string localAddress(const std::string& key);
    // Address of the relay in front of the listener of that key.
    std::string relayAddress(const std::string& key);
    std::string settingsText(const std::string& name);
    void writeSettings(const std::string& name);
    void start(const std::string& name);
    void kill(const std::string& name, Milliseconds restartAfter);
    void stop(const std::string& name);
    void reload(const std::string& name);
    void disturbConnections(const PlannedFault&, const RelayFault&);
    void setRelayFault(const std::string& name, const RelayFault&);
    void handleExit(const std::string& name, ProcessState&);
    std::filesystem::path dataFolder(const std::string& name) const { return m_options.folder / (name + ".data"); }
    std::string recordFile(const std::string& minion) const { return m_options.folder / (minion + ".runs"); }

    EventLoop& m_loop;
    DeploymentOptions m_options;
    ScenarioProcesses m_processes;
    std::map<std::string, std::uint16_t> m_ports;
    std::map<std::string, std::unique_ptr<FaultRelay>> m_relays;
    std::map<std::string, ProcessState> m_states;
    std::vector<FaultRecord> m_faults;
    std::vector<std::string> m_unexpectedExits;
    // When each incarnation of a minion was killed or had gone.
    std::map<std::pair<std::string, int>, Milliseconds> m_incarnationEnds;
    std::vector<std::unique_ptr<EventLoop::Timer>> m_timers;
    int m_reloads { 0 };
};

} // namespace oleanderport::soak

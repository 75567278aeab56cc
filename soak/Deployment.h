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
    // First port of the run; the ports are assigned consecutively from it.
    std::uint16_t basePort { 0 };
    std::uint64_t seed { 0 };
    Shape shape;
};

// The real processes of one run, with a relay in front of each advertised address. Starts them, injects faults and
// restarts processes that have exited. Names: control-N, entry-N, sidecar-N, minion-N.
class Deployment {
public:
    // Throws std::runtime_error on failure.
    Deployment(EventLoop&, DeploymentOptions);

    void startAll();
    void injectFault(const PlannedFault&);
    // Records processes that have exited and restarts those that are due. Call it several times per 100 ms.
    void supervise();
    // Cancels the remaining faults and kills each process by its pid.
    void stopAll();

    std::vector<std::string> names(const std::string& role) const;
    // Address of the relay through which callers reach an entry, and operators a control instance.
    std::string address(const std::string& name);
    // The entry's own address for readiness checks, without a relay: whether it accepts new connections.
    std::string readyAddress(const std::string& entry) { return localAddress(entry + "/ready"); }
    std::string dataCentre(const std::string& name) const;
    // Every address at which a process of the system listens, without a relay.
    std::vector<std::string> listenAddresses();
    // Largest resident set of each process that runs, in bytes.
    std::map<std::string, std::size_t> peakResidentBytes() const;

    const std::vector<FaultRecord>& faults() const { return m_faults; }
    const std::vector<std::string>& unexpectedExits() const { return m_unexpectedExits; }
    // All runs so far, of every minion and incarnation.
    std::vector<RunRecord> runs() const;

private:
    struct ProcessState {
        bool shouldRun { false };
        // When to restart the process; set once it has been killed or has exited.
        std::optional<Milliseconds> restartAt;
        // Index in m_faults of the planned stop in progress.
        std::optional<std::size_t> stopFault;
        int incarnation { 0 };
        Milliseconds startedAt {};
        // How often the instance was replaced by one at another address.
        int replacements { 0 };

        // Killed, exited or stopping, and not restarted yet.
        bool isDown() const { return restartAt || stopFault; }
    };

    // Key of the current listener of a control instance, entry or sidecar; a successor has another one.
    std::string listenerKey(const std::string& name) const;
    std::uint16_t port(const std::string& key);
    std::string localAddress(const std::string& key);
    // Address of the relay in front of the listener with that key; starts the relay on first use.
    std::string relayAddress(const std::string& key);
    std::string settingsText(const std::string& name);
    void writeSettings(const std::string& name);
    void start(const std::string& name);
    void kill(const std::string& name, Milliseconds restartAfter);
    // Kills the instance for good and starts a successor at another address, with an empty data folder.
    void replace(const std::string& name, Milliseconds successorAfter);
    void stop(const std::string& name);
    void reload(const std::string& name);
    void disturbConnections(const PlannedFault&, const RelayFault&);
    void setRelayFault(const std::string& name, const RelayFault&);
    void disturbPath(const PlannedFault&, const RelayFault&);
    // The minion's own sidecar reaches it at one address and is told at another.
    void setMinionCut(const std::string& minion, bool isCut);
    void slowDown(const std::string& name, Milliseconds until);
    void delayOrders(const PlannedFault&);
    void crashBehindCut(const PlannedFault&);
    // Sends the signal after a delay, unless another process runs under that name then.
    void signalLater(const std::string& name, Milliseconds delay, int signalNumber);
    // Whether a planned operation would come too early, after processes that were killed together were started beside the plan's order.
    bool hasJustStarted(const std::string& name) const;
    // Whether the stand-in has had time to take over signals, and isn't about to leave.
    bool takesSignals(const std::string& minion) const;
    std::string reportsAddress(const std::string& number);
    void recordFault(const PlannedFault&);
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
    // When each incarnation of a process was killed or had exited, by name and incarnation.
    std::map<std::pair<std::string, int>, Milliseconds> m_incarnationEnds;
    std::vector<std::unique_ptr<EventLoop::Timer>> m_timers;
    int m_reloads { 0 };
};

} // namespace oleanderport::soak

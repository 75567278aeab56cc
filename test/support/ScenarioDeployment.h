#pragma once

#include "oleanderport/Messages.h"
#include "support/FaultRelay.h"
#include "support/ScenarioProcesses.h"
#include "wire/EventLoop.h"

#include <jsoncpp/json/json.h>
#include <toml++/toml.h>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace oleanderport {

// Thrown when a scenario fails or cannot be run. The text gives the expected and the actual outcome.
struct ScenarioFailure : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct DeploymentOptions {
    // Folder with the built programs.
    std::filesystem::path build;
    // Scratch folder of this run.
    std::filesystem::path folder;
    // First of the hundred ports that this run may use.
    std::uint16_t basePort { 0 };
    // Timeout of the wait for one condition. Long enough for a machine under heavy load; otherwise no verdict depends
    // on it.
    Milliseconds conditionTimeout { 60'000 };
};

// The processes, settings, relays and addresses of one scenario. Names: control-N, entry-N, sidecar-N, minion-N.
class ScenarioDeployment {
public:
    // Reads the tables "deployment" and "relay" of a scenario.
    ScenarioDeployment(EventLoop&, const toml::table& scenario, DeploymentOptions);

    // Starts every process and waits until control and every entry list all entries and sidecars as members.
    void startAll();

    // Starts the named process, or a new incarnation of it when it has run before.
    void start(const std::string& name);

    // Starts a daemon with a settings text that the scenario supplies.
    void startWith(const std::string& name, const std::string& settings);

    // Asks each process to stop in the order entries, sidecars, minions, control, and waits for each.
    void stopAll();

    // Runs the loop until the condition holds. Throws ScenarioFailure with the failure text on timeout.
    void until(const std::function<bool()>& condition, const std::function<std::string()>& failureText);

    // Value of one of the process's metrics; nothing when it does not answer or has no such series.
    std::optional<double> metric(const std::string& address, const std::string& name);

    // Makes one RPC and waits for its answer with a short timeout.
    Result<Json::Value> call(const std::string& address, const std::string& method, const Json::Value& params);

    // Runs the operators' tool with the addresses of control added and returns its exit code.
    int runTool(const std::vector<std::string>& arguments);

    // Address at which callers and operators reach the process.
    std::string address(const std::string& name) const;
    std::string dataFolder(const std::string& name) const { return m_options.folder / (name + ".data"); }
    std::string dataCentre(const std::string& name) const;
    std::vector<std::string> names() const;
    std::string startsFile(const std::string& minion) const { return m_options.folder / (minion + ".starts"); }
    std::filesystem::path folder() const { return m_options.folder; }
    Milliseconds lease() const;

    ScenarioProcesses& processes() { return m_processes; }
    FaultRelay& relay(const std::string& name);
    EventLoop& loop() { return m_loop; }

private:
    struct RelayPlace {
        std::string to;
        bool advertised { false };
        std::vector<std::string> usedBy;
        std::uint16_t port { 0 };
        std::unique_ptr<FaultRelay> relay;
    };

    std::uint16_t port(const std::string& name) const;
    std::string advertised(const std::string& name) const;
    std::string settingsText(const std::string& name) const;
    std::vector<std::string> controlPeers(const std::string& name) const;
    void startMinion(const std::string& name);
    void startRelays(const toml::table& scenario);
    void applyDocument();
    void awaitMembers();
    // Throws when a daemon has exited. One that finds its port taken exits at once, and the process that holds the port
    // would answer in its place.
    void failIfStopped();

    EventLoop& m_loop;
    DeploymentOptions m_options;
    ScenarioProcesses m_processes;
    toml::table m_settings;
    std::string m_document;
    std::vector<std::string> m_dataCentres;
    std::int64_t m_controls;
    std::int64_t m_entries;
    std::int64_t m_sidecars;
    std::int64_t m_slots;
    std::map<std::string, RelayPlace> m_relays;
    std::map<std::string, int> m_minionIncarnations;
    int m_toolRuns { 0 };
};

} // namespace oleanderport

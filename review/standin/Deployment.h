#pragma once

#include "Minion.h"
#include "Record.h"
#include "support/ScenarioProcesses.h"
#include "wire/EventLoop.h"
#include "wire/HttpClient.h"

#include <filesystem>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace oleanderport::review {

// Ends of a case; see issue 31.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

// The case could not run.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct DeploymentOptions {
    int controls { 3 };
    int entries { 2 };
    int sidecars { 3 };
};

// One request of a client or the operator, on a channel of its own.
struct Request {
    std::string name;
    Milliseconds sentAt {};
    // Zero until the request has ended.
    Milliseconds endedAt {};
    // Zero when no complete answer came.
    int status { 0 };
    // Body of the answer, or why none came.
    std::string text;
    std::unique_ptr<HttpConnection> connection;

    bool hasEnded() const { return endedAt.count > 0; }
    bool isAnswered() const { return status > 0; }
};

// The project's programs as separate processes, with the commands of deploy/system.toml and the settings of
// deploy/*.template, on loopback addresses; with clients, an operator and the platform's part in this process.
class Deployment {
public:
    // `folder` is the folder of the case, where record.txt is written.
    Deployment(const std::filesystem::path& folder, DeploymentOptions);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    EventLoop loop;
    Record record;
    // Whether the disruption takes place; TROUBLE=0 leaves it out.
    bool hasTrouble;

    // Starts all processes, publishes the config and waits until all entries are ready. Minions are the caller's.
    void start(const std::string& config);
    // Waits until each entry reports itself ready.
    void waitUntilReady();

    void runFor(Milliseconds);
    // False when the condition did not come true in time.
    bool runUntil(const std::function<bool()>&, Milliseconds timeout);

    // Entries and sidecars are numbered from 1.
    std::shared_ptr<Request> send(int entry, HttpMethod, const std::string& path, const std::string& body, Milliseconds timeBudget);
    // The same through a relay in front of that entry.
    std::shared_ptr<Request> sendThrough(
        const std::string& relay, int entry, HttpMethod, const std::string& path, const std::string& body, Milliseconds timeBudget);
    std::string clientAddress(int entry) const { return m_entries.at(static_cast<std::size_t>(entry - 1)).front; }
    // Address at which the minion of a sidecar sends its reports.
    std::string reportAddress(int sidecar) const { return m_sidecars.at(static_cast<std::size_t>(sidecar - 1)).reports; }
    static std::string zone(int number) { return "zone-" + std::to_string(1 + (number - 1) % 3); }
    void signal(const std::string& process, int number, const std::string& why);
    // Kills entries or sidecars at the same moment. The platform starts each of them again after a short delay.
    void kill(const std::vector<std::string>& processes);
    // Starts control processes that have ended by themselves again after a short delay, as the platform does.
    void restartEndedControls();
    // How often control processes have ended by themselves.
    int controlEnds() const { return m_controlEnds; }
    int controls() const { return static_cast<int>(m_controls.size()); }
    // Sends a config to a control process, or reads it there. Follows a 307 twice.
    std::shared_ptr<Request> putConfig(int control, const std::string& config);
    std::shared_ptr<Request> readConfig(int control);
    std::optional<int> exitCode(const std::string& process);

private:
    struct ControlProcess {
        std::string listen;
        std::vector<std::string> command;
        // When it is started again; zero while it runs.
        Milliseconds restartAt {};
    };
    struct EntryProcess {
        std::string front;
        std::string ready;
        std::string listen;
    };
    struct SidecarProcess {
        std::string reports;
        std::string listen;
        std::string streams;
    };

    std::shared_ptr<Request> call(const std::string& name, const std::string& address, const HttpCall&);
    std::shared_ptr<Request> callControl(int control, const std::string& name, HttpCall);
    void publish(const std::string& config);
    std::string settings(const std::string& role, const std::string& name, const std::string& zone, const std::string& listen) const;
    std::string write(const std::string& name, const std::string& text) const;

    std::filesystem::path m_folder;
    std::string m_program;
    DeploymentOptions m_options;
    std::vector<ControlProcess> m_controls;
    std::vector<EntryProcess> m_entries;
    std::vector<SidecarProcess> m_sidecars;
    std::list<std::shared_ptr<Request>> m_requests;
    int m_controlEnds { 0 };
    std::unique_ptr<ScenarioProcesses> m_processes;
    // Of entries and sidecars.
    std::map<std::string, std::vector<std::string>> m_commands;
    std::list<std::unique_ptr<EventLoop::Timer>> m_restarts;
};

// Runs a case: `body` returns whether the rule held, and throws CannotRun when that can't be said.
int runCase(const std::function<int()>& body);

} // namespace oleanderport::review

#pragma once

// Stand-ins of the users' platform for the review cases: minions, clients and an operator, and the project's own processes on
// loopback addresses. Blocking sockets, one thread for each connection.

#include <json/json.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace standin {

// Milliseconds on the steady clock since the start of the case.
std::int64_t now();
void sleepUntil(std::int64_t time);
void sleepFor(std::int64_t time);

// Lines of record.txt, each with the time.
class Record {
public:
    explicit Record(const std::string& path);
    void add(const std::string& line);

private:
    std::mutex m_mutex;
    FILE* m_file;
};

struct Address {
    std::string ip { "127.0.0.1" };
    int port { 0 };
    std::string text() const { return ip + ":" + std::to_string(port); }
};

Address freeAddress();

struct Answer {
    // 0: no answer, as the channel broke or the time was over.
    int status { 0 };
    std::string body;
};

// One request on a channel of its own, which is closed after the answer or when `timeout` is over.
struct Request {
    std::string method;
    Address to;
    std::string path;
    std::string host;
    std::string body;
    std::vector<std::string> headers;
    std::int64_t timeout { 1'000 };
};

Answer call(const Request&);

std::string text(const Json::Value&);
std::optional<Json::Value> parse(const std::string&);

// What is told by a client or a minion to the check of a case.
struct Run {
    std::string task;
    std::int64_t run { 0 };
    std::string spec;
    std::int64_t began { 0 };
    // -1 while it goes on.
    std::int64_t ended { -1 };
    std::string how;
    std::string minion;
    // Label of the minion's kind in the life that began the run.
    std::string kind;
};

// A worker as PROTOCOL.md describes it: push orders, leases on its own clock, fence numbers, one life after the other.
class Minion {
public:
    struct Options {
        std::string name;
        Address address;
        // The `control` address of its side machine.
        Address sidecar;
        std::string service;
        std::string zone;
        std::string rack;
        std::string kind { "a" };
        std::int64_t cpu { 64'000 };
        std::int64_t memMb { 131'072 };
        std::int64_t heartbeatMs { 1'500 };
        std::int64_t holdMaxMs { 1'000 };
        // How long a task with this spec works.
        std::function<std::int64_t(const std::string& spec)> workMs;
        // How much later the start of this task is carried out, by the life that is there then. It gets no answer. 0: at once.
        std::function<std::int64_t(const std::string& task)> startDelay;
        Record* record { nullptr };
    };

    explicit Minion(Options);
    ~Minion();

    // Begins a life: listens, and reports for the first time `reportAfter` later.
    void start(std::int64_t reportAfter = 0);
    // Ends the life at once; nothing is said to anybody.
    void crash();
    // The kind of the next life.
    void setKind(const std::string& kind) { m_options.kind = kind; }

    std::vector<Run> runs() const;
    std::size_t running() const;

private:
    struct Work {
        Run run;
        std::int64_t needsUntil { 0 };
        std::int64_t cpu { 0 };
    };
    struct End {
        std::int64_t number { 0 };
        Run run;
    };

    void acceptLoop(int listener, std::int64_t life);
    void serve(int socket, std::int64_t life);
    Answer handle(const std::string& path, const std::map<std::string, std::string>& headers, const std::string& body, std::int64_t life);
    void carryOutLater(const std::string& path, const std::map<std::string, std::string>& headers, const std::string& body, std::int64_t delay);
    Answer startRun(const Json::Value& order);
    Answer stopRun(const Json::Value& order);
    Answer hold(const Json::Value& order, std::unique_lock<std::mutex>& lock, std::int64_t life);
    Json::Value lists() const;
    std::int64_t clock() const;
    void extendLease(const Json::Value& order);
    void timerLoop(std::int64_t life);
    void reportLoop(std::int64_t life, std::int64_t after);
    void end(const std::string& task, const char* how);
    std::vector<std::thread> takeThreads();
    Answer answer(int status, Json::Value body) const;

    Options m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isEnding { false };
    // 0 while it is down.
    std::int64_t m_life { 0 };
    std::int64_t m_lives { 0 };
    int m_listener { -1 };
    std::set<int> m_sockets;
    std::int64_t m_clockOrigin { 0 };
    std::int64_t m_born { 0 };
    std::int64_t m_leaseEnd { 0 };
    std::int64_t m_fence { 0 };
    std::int64_t m_lastEnd { 0 };
    std::int64_t m_sequence { 0 };
    std::map<std::string, Work> m_running;
    std::map<std::string, std::int64_t> m_lastRun;
    std::vector<End> m_ended;
    std::vector<Run> m_all;
    std::vector<std::thread> m_threads;
};

// The project's processes of a small deployment.
class Deployment {
public:
    struct Options {
        int controls { 3 };
        int entries { 3 };
        int sidecars { 8 };
        std::string folder;
        std::string program { "target/oleanderport-platformd" };
        Record* record { nullptr };
    };

    explicit Deployment(Options);
    ~Deployment();

    void startAll();
    pid_t start(const std::string& name);
    void signal(const std::string& name, int number);
    // Waits for the end of a process that was told to end.
    void reap(const std::string& name);
    bool isRunning(const std::string& name);

    Address front(int entry) const { return m_fronts.at(entry); }
    Address ready(int entry) const { return m_readies.at(entry); }
    Address control(int instance) const { return m_controls.at(instance); }
    // Where the minion beside this sidecar reports.
    Address reports(int sidecar) const { return m_reports.at(sidecar); }
    static std::string zone(int number) { return "zone-" + std::to_string(number % 3 + 1); }

    // Sends an operator's order to one instance after the other until it is accepted. False after `timeout`.
    bool order(const std::string& path, const std::string& body, std::int64_t timeout = 15'000);
    // Waits until each entry reports itself ready.
    bool waitUntilReady(std::int64_t timeout = 20'000);

private:
    std::string settings(const std::string& name) const;

    Options m_options;
    std::vector<Address> m_controls;
    std::vector<Address> m_controlMetrics;
    std::vector<Address> m_fronts;
    std::vector<Address> m_readies;
    std::vector<Address> m_entryListens;
    std::vector<Address> m_reports;
    std::vector<Address> m_sidecarListens;
    std::vector<Address> m_streams;
    std::map<std::string, pid_t> m_pids;
};

struct Route {
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    std::int64_t timeoutMs { 1'500 };
};

std::string config(std::int64_t version, const std::vector<Route>&, const std::vector<std::string>& services);

// The text of a best-effort job.
std::string job(const std::string& spec, const std::vector<Json::Value>& steps);
Json::Value step(int count, std::int64_t estimatedMs, const std::vector<int>& after = {});

// Whether the disruption of the case takes place: not with TROUBLE=0.
bool hasTrouble();

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

// Names of the example messages on the users' pages.
constexpr const char* serviceName = "huvo11a";
constexpr const char* hostName = "nony24.example";
constexpr const char* prefix = "/lohu930/";
constexpr std::int64_t resendMs = 1'300;
constexpr std::int64_t cancelMs = 3'000;
constexpr std::int64_t stopGraceMs = 50;

// Sidecars, each with a minion: one of them is an eighth, below the share of `srv_crash` in the site file (0.14).
constexpr int minionsInScene = 8;

// A small deployment with one route. A spec is the work time of its tasks in milliseconds.
struct Scene {
    Scene(const std::string& folder, Record&, const std::function<void(int number, Minion::Options&)>& adjust = {});

    // Starts all and waits until jobs are served. False if that takes too long.
    bool start(std::int64_t warmUp = 3'000);
    // Sends a job to an entry, as a client that waits for `timeBudget`.
    Answer post(int entry, const std::string& id, const std::string& body, std::int64_t timeBudget);
    // Cancels the job at an address.
    Answer cancel(const Address& front, const std::string& who, const std::string& id);
    // The runs of the job's tasks, in the order of their begin.
    std::vector<Run> runsOf(const std::string& id) const;

    Record& record;
    Deployment deployment;
    std::vector<std::unique_ptr<Minion>> minions;
};

// Records what of the job breaks the rule on cancelled jobs (UNASKED) after a cancel that was acknowledged then: a start later than
// cancelMs, or a task that runs on stopGraceMs after that. Returns how much.
int countUnasked(const Scene&, const std::string& id, std::int64_t acknowledgedAt);

// Runs a case in a temporary folder; the first argument is the file of the record.
int runCase(char** arguments, const std::function<int(const std::string& folder, Record&)>& play);

} // namespace standin

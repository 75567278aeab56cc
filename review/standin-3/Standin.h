#pragma once

#include <json/json.h>

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Stand-ins for the cases of the third review: clients, minions, the operator, and the platform that starts the processes of a small
// deployment on loopback addresses. They follow the users' pages; see SYSTEM, PROTOCOL and DEPLOY.
namespace standin {

// Milliseconds of the steady clock since the case began.
std::int64_t nowMs();
void sleepMs(std::int64_t milliseconds);
void sleepUntil(std::int64_t timeMs);
int freePort();
std::string toText(const Json::Value&);
std::optional<Json::Value> toJson(const std::string&);

// The record of what was sent, answered and run. One line each, with the time.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct Reply {
    // 0 when no complete answer came.
    int status { 0 };
    std::string body;
    std::string location;
    // Why there is no answer: "refused", "broken" or "timeout".
    std::string error;
};

// One channel of a client to an address. Closed with the object.
class Channel {
public:
    explicit Channel(const std::string& address);
    ~Channel();
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    bool isOpen() const { return m_descriptor >= 0; }
    bool send(const std::string& method, const std::string& path, const std::string& host, const std::string& body,
        const std::map<std::string, std::string>& headers = {});
    Reply receive(std::int64_t timeoutMs);

private:
    int m_descriptor { -1 };
};

// One request on a channel of its own.
Reply request(const std::string& address, const std::string& method, const std::string& path, const std::string& host,
    const std::string& body, std::int64_t timeoutMs, const std::map<std::string, std::string>& headers = {});

struct Request {
    std::string method;
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers;
};

// An HTTP server with a thread for each channel. The handler returns nothing to leave the request without an answer.
class HttpService {
public:
    using Handler = std::function<std::optional<Reply>(const Request&)>;
    HttpService(int port, Handler);
    ~HttpService();
    void stop();

private:
    void serve(int descriptor);

    int m_listener { -1 };
    Handler m_handler;
    std::atomic<bool> m_stopped { false };
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
    std::vector<int> m_open;
};

struct RunRecord {
    std::string task;
    std::uint64_t run { 0 };
    std::string minion;
    std::int64_t startedAt { 0 };
    std::int64_t endedAt { -1 };
    std::string how;
    std::string spec;
};

struct MinionOptions {
    std::string id;
    std::string service;
    std::string zone;
    std::string rack;
    // The first of its labels.
    std::string kind { "a" };
    std::int64_t cpu { 16'000 };
    std::int64_t memMb { 32'768 };
    std::int64_t heartbeatMs { 1'500 };
    std::int64_t firstReportAfterMs { 0 };
    std::int64_t holdMaxMs { 1'000 };
    std::int64_t stopMs { 20 };
    // The address on its side machine.
    std::string sidecar;
};

// A minion as PROTOCOL describes it: runs tasks under a lease, keeps the highest fencing token, lists what runs and what has ended. Each
// task works for as long as its spec says: "work=MS ...".
class Minion {
public:
    Minion(const MinionOptions&, Record&);
    ~Minion();
    std::string address() const { return m_address; }
    const std::string& id() const { return m_options.id; }
    const std::string& kind() const { return m_options.kind; }
    // Unix milliseconds.
    std::int64_t born() const { return m_born; }
    std::int64_t clockMs() const { return nowMs() - m_bornAt + 1'000; }
    std::vector<RunRecord> runs() const;
    void setState(const std::string& state);

private:
    struct Running {
        std::string task;
        std::uint64_t run { 0 };
        std::int64_t startedAt { 0 };
        std::int64_t endsAt { 0 };
        std::int64_t cpu { 0 };
        bool isStopping { false };
        std::size_t record { 0 };
    };
    struct Ended {
        std::uint64_t number { 0 };
        std::string task;
        std::uint64_t run { 0 };
        std::string how;
    };

    std::optional<Reply> serve(const Request&);
    Reply start(const Json::Value&);
    Reply stop(const Json::Value&);
    Reply hold(const Json::Value&, std::unique_lock<std::mutex>&);
    Reply answer(int status, Json::Value body) const;
    void end(std::size_t index, const std::string& how, std::int64_t at);
    void work();
    void beat();

    MinionOptions m_options;
    Record& m_record;
    std::int64_t m_bornAt { 0 };
    std::int64_t m_born { 0 };
    std::string m_address;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_state { "ready" };
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_fence { 0 };
    std::int64_t m_leaseEnd { 0 };
    std::uint64_t m_lastEnd { 0 };
    std::vector<Running> m_running;
    std::vector<Ended> m_ended;
    std::map<std::string, std::uint64_t> m_highest;
    std::vector<RunRecord> m_runs;
    bool m_stopped { false };
    std::unique_ptr<HttpService> m_server;
    std::thread m_worker;
    std::thread m_heart;
};

struct Node {
    std::string name;
    std::string role;
    std::string zone;
    std::string front;
    std::string ready;
    std::string control;
    std::string settings;
    std::vector<std::string> command;
    pid_t pid { -1 };
    std::optional<int> exitStatus;
};

struct Route {
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    std::int64_t timeoutMs { 1'500 };
    std::int64_t targetLatencyMs { 60 };
    double stretch { 1.6 };
    int priority { 0 };
    int maxAttempts { 4 };
};

// Processes of a small deployment, started with the commands and templates of the deploy file.
class Deployment {
public:
    Deployment(Record&, int control, const std::vector<std::string>& entryZones, const std::vector<std::string>& sideZones);
    ~Deployment();

    // Starts everything and puts the first configuration. False if it is not ready in time.
    bool start(const std::vector<Route>&, const std::string& service);
    // Starts the minion beside a sidecar. `change` may set what is to differ from the others.
    Minion& addMinion(std::size_t sidecar, const std::string& service, const std::function<void(MinionOptions&)>& change = {});
    Reply putConfig(std::int64_t version, const std::vector<Route>&, const std::string& service);
    void signal(Node&, int number);
    // Waits for the process to end.
    bool waitForEnd(Node&, std::int64_t timeoutMs);
    void launch(Node&);
    // The control instance that acts as leader; null when none does.
    Node* leader();

    std::vector<Node> controls;
    std::vector<Node> entries;
    std::vector<Node> sidecars;
    std::vector<std::unique_ptr<Minion>> minions;
    // Of the last sidecars, how many have no minion at first.
    std::size_t emptySidecars { 0 };

private:
    std::string render(const std::string& path, const std::map<std::string, std::string>& values) const;

    Record& m_record;
    std::string m_folder;
    std::string m_zoneList;
    std::string m_seedList;
};

// Options of a case: TROUBLE=0 leaves the disruption out.
bool hasTrouble();
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

} // namespace standin

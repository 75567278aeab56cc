#pragma once

#include "wire/EventLoop.h"
#include "wire/HttpClient.h"
#include "wire/HttpServer.h"
#include "wire/MessageCodec.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oleanderport {

// Stands in for a minion of the users' platform, as its pages describe it: reports itself to the sidecar beside it, runs
// what it is told to under a lease, lists what runs and what has ended.
class PlatformMinion {
public:
    // One run of a task, from what the minion itself does.
    struct Run {
        std::string task;
        std::uint64_t number { 0 };
        std::string spec;
    };

    enum class Call {
        Start,
        Stop,
        List,
    };

    // How late one call is served. Calls that wait are overtaken by newer ones.
    struct CallDelay {
        // Until it is carried out.
        Milliseconds carryOut {};
        // From then until the answer, as it was then, leaves.
        Milliseconds answer {};
    };

    struct Options {
        std::string id { "i-1" };
        std::string service { "s1" };
        std::string zone { "dc-a" };
        std::string rack { "r1" };
        std::string listen { "127.0.0.1:0" };
        // Address in its reports; the listening address when empty.
        std::string advertise;
        Milliseconds born { 1'700 };
        // How long a task with this text works.
        std::function<Milliseconds(const std::string& spec)> runTime { [](const std::string&) { return Milliseconds { 50 }; } };
        // Whether a task with this text fails.
        std::function<bool(const std::string& spec)> isFailing { [](const std::string&) { return false; } };
        // Tasks that it runs at the same time; it refuses more.
        std::size_t room { 1'000 };
        Milliseconds longestLease { 1'000 };
        std::function<CallDelay(Call)> delayOf { [](Call) { return CallDelay {}; } };
        // Tell what runs here, as it begins and as it has ended. The times are on Clock::now().
        std::function<void(Milliseconds, const Run&)> onStart { [](Milliseconds, const Run&) {} };
        std::function<void(Milliseconds, const Run&, const char* how)> onEnd { [](Milliseconds, const Run&, const char*) {} };
    };

    PlatformMinion(EventLoop&, Options);

    std::string address() const;

    // Sends one report to the sidecar's address.
    void report(const std::string& sidecar, const char* state = "ready");
    // Says that it leaves for good, then calls back, also when nobody answers.
    void deregister(const std::string& sidecar, std::function<void()> done);

    // Names of the tasks that were started and stopped, in order.
    std::vector<std::string> started;
    std::vector<std::string> stopped;
    int acknowledged { 0 };
    // Runs end as failed while set.
    bool failing { false };

    // Ends every run.
    void endAll(const char* how, Milliseconds at = Clock::now());

    std::size_t running() const { return m_running.size(); }

private:
    struct Work {
        Run run;
        Milliseconds start {};
        Milliseconds length {};
        std::unique_ptr<EventLoop::Timer> end;

        // Done part of the work, 0 to 99.
        int percent(Milliseconds now) const;
    };
    struct Caller {
        std::shared_ptr<HttpResponder> responder;
        Milliseconds answerDelay {};
    };
    struct Waiting {
        Caller caller;
        std::unique_ptr<EventLoop::Timer> timer;
    };

    void serve(const HttpRequest&, const std::shared_ptr<HttpResponder>&);
    void carryOut(const HttpRequest&, const Caller&);
    void answer(const Caller&, int status, Json::Value body);
    // At once when the delay is zero.
    void later(Milliseconds delay, std::function<void()>);
    // The reason of a refusal, or null after a start.
    const char* start(const Json::Value& order);
    void stop(const Json::Value& order);
    void list(const Json::Value& order, const Caller&);
    Json::Value lists() const;
    void takeLease(const Json::Value& order);
    // Ends everything once the lease has run out, whenever this process gets to it.
    void expire();
    void end(const std::string& task, const char* how, Milliseconds at);
    void answerWaiting();
    HttpConnection& reports(const std::string& sidecar);

    EventLoop& m_loop;
    Options m_options;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpConnection> m_reports;
    std::map<std::string, Work> m_running;
    // The highest run of each task that was stopped or has ended; no lower one starts any more.
    std::map<std::string, std::uint64_t> m_lastRun;
    std::vector<Json::Value> m_ended;
    std::list<Waiting> m_waiting;
    std::list<std::unique_ptr<EventLoop::Timer>> m_late;
    Milliseconds m_leaseEnd {};
    std::unique_ptr<EventLoop::Timer> m_leaseTimer;
    std::uint64_t m_fencingToken { 0 };
    std::uint64_t m_lastEnd { 0 };
    int m_sequence { 0 };
};

} // namespace oleanderport

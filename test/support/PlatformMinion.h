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

// A fake minion that follows the documentation of the users' platform: it reports to its sidecar, runs tasks under a lease,
// and lists running and ended runs.
class PlatformMinion {
public:
    // One run of a task as the minion records it.
    struct Run {
        std::string task;
        std::uint64_t number { 0 };
        std::string spec;
        // The start was sent to a former incarnation.
        bool isOfFormer { false };
        // Arrival of the start request that was carried out.
        Milliseconds ordered {};
        // End of the minion's lease when the run ended.
        Milliseconds leaseEnd {};
    };

    enum class Call {
        Start,
        Stop,
        List,
    };

    // Delays of one call. Newer calls overtake calls that wait.
    struct CallDelay {
        // From arrival until the call is carried out.
        Milliseconds carryOut {};
        // From then until the answer is sent; its content is fixed when the call is carried out.
        Milliseconds answer {};
    };

    // What a minion tells of itself that the next one at its address may tell otherwise.
    struct Kind {
        std::string id { "i-1" };
        std::string service { "s1" };
        std::string machineType { "a" };
        std::int64_t cpuMillis { 16'000 };
        // Maximum number of concurrent tasks; further starts are refused.
        std::size_t room { 1'000 };
    };

    struct Options {
        Kind kind;
        std::string zone { "dc-a" };
        std::string rack { "r1" };
        std::string listen { "127.0.0.1:0" };
        // Address in its reports; the listening address when empty.
        std::string advertise;
        Milliseconds born { 1'700 };
        // Run time of a task with this spec.
        std::function<Milliseconds(const std::string& spec)> runTime { [](const std::string&) { return Milliseconds { 50 }; } };
        // Whether a task with this spec fails.
        std::function<bool(const std::string& spec)> isFailing { [](const std::string&) { return false; } };
        // Whether something else takes the room when a start arrives.
        std::function<bool()> isFull { [] { return false; } };
        Milliseconds longestLease { 1'000 };
        // Of the ended runs that are not acknowledged, the first ones are listed, at most this many.
        std::size_t maxEndsPerList { 500 };
        // Its clock runs slow by this many thousandths.
        std::int64_t slowPerMille { 0 };
        // Its clock shows zero when an incarnation starts.
        bool hasClockOfIncarnation { false };
        // How long a stop takes; until then its run goes on and is listed.
        std::function<Milliseconds()> stopTime { [] { return Milliseconds {}; } };
        // Status with which an unhealthy minion refuses a start, without doing anything; zero when it is healthy.
        std::function<int()> startRefusal { [] { return 0; } };
        std::function<CallDelay(Call)> delayOf { [](Call) { return CallDelay {}; } };
        // Called when a run starts and when it has ended, with the time on Clock::now().
        std::function<void(Milliseconds, const Run&)> onStart { [](Milliseconds, const Run&) {} };
        std::function<void(Milliseconds, const Run&, const char* how)> onEnd { [](Milliseconds, const Run&, const char*) {} };
        // Called when a report that the minion is draining was acknowledged.
        std::function<void(Milliseconds)> onDrainAcknowledged { [](Milliseconds) {} };
        // Called when a call with a higher fencing token than this incarnation has seen is carried out.
        std::function<void(Milliseconds, std::uint64_t token)> onHigherToken { [](Milliseconds, std::uint64_t) {} };
    };

    PlatformMinion(EventLoop&, Options);

    std::string address() const;

    // Sends one report to the sidecar's address.
    void report(const std::string& sidecar, const char* state = "ready");
    // Deregisters, then calls back, also when the call fails.
    void deregister(const std::string& sidecar, std::function<void()> done);

    // Names of the tasks of start requests carried out and of stop requests, in order.
    std::vector<std::string> started;
    std::vector<std::string> stopped;
    int acknowledged { 0 };
    // Maximum number of ended runs that were not acknowledged.
    std::size_t mostEndsUnseen { 0 };
    // Runs end as failed while set.
    bool failing { false };

    // A crash in which calls that wait to be carried out stay on the way: it closes its address and forgets everything.
    void crash();
    // Starts again at the same address, under the same id unless the kind has another. Calls of before that are due from then on reach
    // this incarnation.
    void startAgain(Milliseconds born) { startAgain(born, m_options.kind); }
    void startAgain(Milliseconds born, const Kind&);

    // A report or a deregistration as it would be sent now.
    HttpCall makeReport(const char* state);
    HttpCall makeDeregistration() const;
    Milliseconds born() const { return m_options.born; }

    // Ends every run.
    void endAll(const char* how, Milliseconds at = Clock::now());

    std::size_t running() const { return m_running.size(); }

private:
    struct Work {
        Run run;
        Milliseconds start {};
        Milliseconds length {};
        std::unique_ptr<EventLoop::Timer> end;
        // Set once the run is being stopped.
        std::unique_ptr<EventLoop::Timer> stop;

        // Progress in percent, 0 to 99.
        int percent(Milliseconds now) const;
    };
    struct Caller {
        std::shared_ptr<HttpResponder> responder;
        Milliseconds answerDelay {};
        Milliseconds arrival {};
    };
    struct Waiting {
        Caller caller;
        std::unique_ptr<EventLoop::Timer> timer;
    };

    void listen(const std::string& address);
    // The minion's clock at a time on Clock::now(), and the other way round.
    std::int64_t clockAt(Milliseconds) const;
    Milliseconds timeOf(std::int64_t clock) const;
    void serve(const HttpRequest&, const std::shared_ptr<HttpResponder>&);
    void carryOut(const HttpRequest&, const Caller&, int incarnation);
    void answer(const Caller&, int status, Json::Value body);
    // Calls back immediately when the delay is zero.
    void later(Milliseconds delay, std::function<void()>);
    // Calls back at the time on Clock::now(), not before it as libevent's coarse clock may.
    void callAt(Milliseconds time, std::unique_ptr<EventLoop::Timer>&, std::function<void()>);
    // The reason of the refusal, or null when the run was started or is running already.
    const char* start(const Json::Value& parameters, Milliseconds ordered, bool isOfFormer);
    void stop(const Json::Value& parameters);
    void list(const Json::Value& parameters, const Caller&);
    Json::Value lists() const;
    void extendLease(const Json::Value& parameters);
    // Ends all runs when the lease has expired. The recorded time is the end of the lease, also when this runs later.
    void expire();
    void end(const std::string& task, const char* how, Milliseconds at);
    void answerWaiting();
    HttpConnection& reports(const std::string& sidecar);

    EventLoop& m_loop;
    Options m_options;
    // Null while the minion is down.
    std::unique_ptr<HttpServer> m_server;
    // Time on Clock::now() at which the minion's clock shows zero.
    Milliseconds m_clockOrigin;
    std::unique_ptr<HttpConnection> m_reports;
    std::map<std::string, Work> m_running;
    // Highest run number of each task that was stopped or has ended; that run and lower ones are not started any more.
    std::map<std::string, std::uint64_t> m_lastRun;
    std::vector<Json::Value> m_ended;
    std::list<Waiting> m_waiting;
    std::list<std::unique_ptr<EventLoop::Timer>> m_delayed;
    Milliseconds m_leaseEnd {};
    std::unique_ptr<EventLoop::Timer> m_leaseTimer;
    std::uint64_t m_fencingToken { 0 };
    std::uint64_t m_lastEnd { 0 };
    int m_sequence { 0 };
    // Counts this object's incarnations.
    int m_incarnation { 1 };
};

} // namespace oleanderport

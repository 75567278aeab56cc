#pragma once

#include "Record.h"
#include "wire/EventLoop.h"
#include "wire/HttpClient.h"
#include "wire/HttpServer.h"
#include "wire/MessageCodec.h"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oleanderport::review {

struct MinionOptions {
    std::string id;
    std::string service;
    std::string zone;
    std::string kind { "a" };
    std::string rack;
    std::string listen;
    // Address in its reports; the listening address when empty.
    std::string advertise;
    // Where its sidecar takes its reports.
    std::string sidecar;
    std::int64_t cpuMillis { 16'000 };
    // Unix time of the start, as its machine's clock shows it.
    Milliseconds born {};
    // Speed of its steady clock in thousandths. The pages allow a clock that is 2% slow.
    std::int64_t clockSpeed { 1'000 };
    Milliseconds reportPeriod { 1'500 };
};

// A minion as PROTOCOL.md describes it: reports, leases, fencing tokens, room, run numbers, and ends that are listed
// until they are acknowledged. The spec of a task is its run time in milliseconds.
class Minion {
public:
    Minion(EventLoop&, Record&, MinionOptions);

    // Reports are not sent while it is cut off.
    void setCutOff(bool isCutOff) { m_isCutOff = isCutOff; }
    // Reports from now on that it is draining, beginning with a report at once.
    void drain();
    // Time of the first 2xx answer to a report that it is draining; zero before.
    Milliseconds drainAcknowledgedAt() const { return m_drainAcknowledgedAt; }
    std::size_t running() const { return m_running.size(); }
    // Ends every run, as a crash does.
    void crash();

private:
    struct Run {
        std::uint64_t number { 0 };
        Milliseconds startedAt {};
        Milliseconds length {};
        std::unique_ptr<EventLoop::Timer> end;
    };
    struct HeldList {
        std::shared_ptr<HttpResponder> responder;
        std::unique_ptr<EventLoop::Timer> timer;
    };

    std::int64_t clock() const;
    void report();
    void serve(const HttpRequest&, const std::shared_ptr<HttpResponder>&);
    const char* start(const Json::Value&);
    void stop(const Json::Value&);
    void list(const Json::Value&, const std::shared_ptr<HttpResponder>&);
    void extendLease(const Json::Value&);
    void checkLease();
    void end(const std::string& task, const char* how);
    void answerHeldLists();
    Json::Value lists() const;
    void answer(HttpResponder&, int status, Json::Value) const;

    EventLoop& m_loop;
    Record& m_record;
    MinionOptions m_options;
    Milliseconds m_startedAt;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpConnection> m_reports;
    std::unique_ptr<EventLoop::Timer> m_reportTimer;
    std::unique_ptr<EventLoop::Timer> m_leaseTimer;
    bool m_isCutOff { false };
    bool m_isDraining { false };
    Milliseconds m_drainAcknowledgedAt {};
    std::int64_t m_sequence { 0 };
    std::uint64_t m_fencingToken { 0 };
    std::uint64_t m_lastEnd { 0 };
    // End of the lease on this minion's clock.
    std::int64_t m_leaseEnd { 0 };
    std::map<std::string, Run> m_running;
    // Highest run number of each task that was stopped or has ended.
    std::map<std::string, std::uint64_t> m_lastRuns;
    std::vector<Json::Value> m_ended;
    std::list<HeldList> m_held;
};

} // namespace oleanderport::review

#pragma once

#include "Records.h"

#include "support/RandomDraw.h"
#include "wire/EventLoop.h"
#include "wire/HttpClient.h"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oleanderport::soak {

// An entry as callers know it.
struct EntryAddress {
    std::string name;
    std::string address;
};

// Callers that send one job after the other and keep their channels open for as long as an entry does. A job whose
// channel broke, that was answered with 502 or 504 or got no answer in time is sent again, to any entry.
class Callers {
public:
    Callers(EventLoop&, std::uint64_t seed, std::vector<EntryAddress>, int callers);

    void start();
    // Begins no further job; those under way go on.
    void drain() { m_draining = true; }
    // Jobs that have no end yet.
    std::size_t inFlight() const { return m_inFlight; }
    // Sends nothing further and closes every channel.
    void stop();

    const std::list<JobRecord>& jobs() const { return m_jobs; }

private:
    struct Caller {
        // One channel for each entry, by its position.
        std::vector<std::unique_ptr<HttpConnection>> channels;
        std::unique_ptr<EventLoop::Timer> timer;
    };

    void sendNext(Caller&);
    void send(Caller&, JobRecord&, std::size_t entry);
    void answered(Caller&, JobRecord&, const Result<HttpAnswer>&);
    JobRecord makeJob();

    EventLoop& m_loop;
    RandomDraw m_random;
    std::vector<EntryAddress> m_entries;
    std::list<JobRecord> m_jobs;
    std::vector<Caller> m_callers;
    std::int64_t m_estimatePercent;
    std::size_t m_inFlight { 0 };
    bool m_draining { false };
    bool m_stopped { false };
};

} // namespace oleanderport::soak

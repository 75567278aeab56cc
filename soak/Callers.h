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

// An entry and the address at which callers reach it.
struct EntryAddress {
    std::string name;
    std::string address;
};

struct JobKind {
    int tasks;
    int runTimeMs;
    // How long a caller waits for an answer.
    Milliseconds timeout;
};

// The users' kinds of request: many short tasks, few long ones and pairs; and tasks that run longer than the time after
// which a job is resent.
std::vector<JobKind> usualJobKinds();
// More of those that outlast a resend.
std::vector<JobKind> longJobKinds();

// How long callers wait before they send a job again.
enum class Patience {
    // As long as the users' clients.
    Full,
    // A drawn part of that, from nothing at all.
    Drawn,
};

// Whether callers send some requests twice at the same moment, to one entry or to two.
enum class Twins {
    None,
    Drawn,
};

// Callers that send one job after the other over keep-alive connections. A job whose connection broke, that was answered
// with 502 or 504 or that timed out is resent to an entry drawn at random. Of two requests at once both are waited for.
class Callers {
public:
    Callers(EventLoop&, std::uint64_t seed, std::vector<EntryAddress>, int callers, const std::vector<JobKind>& = usualJobKinds(), Patience = Patience::Full, Twins = Twins::None);

    void start();
    // Sends no new jobs; those in flight continue, with their resends.
    void drain() { m_draining = true; }
    // Jobs without a final answer yet.
    std::size_t inFlight() const { return m_inFlight; }
    // Cancels all sends and closes every connection.
    void stop();

    const std::list<JobRecord>& jobs() const { return m_jobs; }

private:
    struct Caller {
        // One connection to each entry, in the order of m_entries; of two requests at once the second has connections of its own.
        std::vector<std::unique_ptr<HttpConnection>> connections;
        std::vector<std::unique_ptr<HttpConnection>> twinConnections;
        // Requests without an answer, and whether one of those sent with them was answered for good.
        int pending { 0 };
        bool hasFinalAnswer { false };
        // How often the job was sent; two requests at once count as one.
        std::size_t sends { 0 };
        std::unique_ptr<EventLoop::Timer> timer;
    };

    void sendNext(Caller&);
    void send(Caller&, JobRecord&, std::size_t entry);
    void request(Caller&, HttpConnection&, JobRecord&, std::size_t entry);
    void answered(Caller&, JobRecord&, std::size_t attempt, const Result<HttpAnswer>&);
    JobRecord makeJob();
    Milliseconds drawResendDelay();

    EventLoop& m_loop;
    RandomDraw m_random;
    // Draws of its own, so that the jobs stay the same.
    RandomDraw m_resendDelays;
    RandomDraw m_twinDraws;
    Patience m_patience;
    Twins m_twins;
    std::vector<EntryAddress> m_entries;
    std::list<JobRecord> m_jobs;
    std::vector<Caller> m_callers;
    std::vector<JobKind> m_jobKinds;
    std::int64_t m_estimatePercent;
    std::size_t m_inFlight { 0 };
    bool m_draining { false };
    bool m_stopped { false };
};

} // namespace oleanderport::soak

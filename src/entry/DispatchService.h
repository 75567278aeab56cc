#pragma once

#include "policy/JobDispatcher.h"
#include "wire/MessageStream.h"
#include "wire/Process.h"
#include "wire/RepeatedRound.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace oleanderport {

// Runs the best-effort jobs of one entry: keeps a stream to every sidecar of the view and performs the actions of the
// dispatcher.
class DispatchService {
public:
    using Reply = std::function<void(const DispatchEnd&)>;

    explicit DispatchService(Process&);

    void viewChanged(const ClusterView&);

    // Replies exactly once, after this call has returned. Returns the id of the submission.
    std::uint64_t submit(const DispatchJob&, Reply);
    // The caller has disconnected; no reply follows.
    void abandon(std::uint64_t submission);
    // False when this entry does not hold the job.
    bool cancel(const std::string& queue, const std::string& job);
    // See JobDispatcher::explain().
    PlacementExplanation explain(const DispatchJob& job) { return m_dispatcher.explain(job, Clock::now()); }
    const JobDispatcher& dispatcher() const { return m_dispatcher; }
    // The entry is stopping: every job is answered by this time.
    void finishBy(Milliseconds by);

    // Jobs of the queue for which no task has started.
    std::size_t pending(const std::string& queue) const { return m_dispatcher.pending(queue); }
    // Unfinished jobs.
    std::size_t jobs() const { return m_dispatcher.jobs(); }
    // Sidecars with an open stream that have answered the handshake.
    std::size_t sidecars() const;

private:
    struct Link {
        std::unique_ptr<MessageStream> stream;
        std::unique_ptr<EventLoop::Timer> reconnectTimer;
        bool handshakeDone { false };
        Milliseconds handshakeAt {};
        // Consecutive attempts without a handshake.
        int failedAttempts { 0 };
    };

    void connect(const std::string& address);
    void disconnect(const std::string& address, const char* reason);
    void received(const std::string& address, std::string_view message);
    // Performs the actions that are due and arms the timer. `fromTimer` is set when the timer calls: the event loop delivers
    // all received messages before it calls timers.
    void run(bool fromTimer = false);
    // Calls run() after the messages received in this iteration of the event loop were processed, so that a busy entry
    // decides about all of them at once.
    void scheduleRun();
    void perform(const DispatchActions&);
    void reportHold(const std::vector<std::string>& unheard) const;
    void armTimer();

    Process& m_process;
    std::mt19937_64 m_random;
    JobDispatcher m_dispatcher;
    std::map<std::string, Link> m_links;
    std::set<std::string> m_sidecarAddresses;
    std::map<std::uint64_t, Reply> m_replies;
    // Submissions whose callers may have left before they were read, by the round of the event loop that read them: the last one of
    // each round. A close is read in a later round than the request before it.
    std::map<std::uint64_t, std::uint64_t> m_unconfirmed;
    std::uint64_t m_lastConfirmed { 0 };
    std::unique_ptr<EventLoop::Timer> m_timer;
    std::unique_ptr<EventLoop::Timer> m_scheduledRun;
    std::optional<Milliseconds> m_timerDue;
    RepeatedRound m_round;
};

} // namespace oleanderport

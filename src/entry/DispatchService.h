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

// The best-effort jobs of one entry: keeps a stream to every sidecar of the view and carries out what the dispatcher
// decides.
class DispatchService {
public:
    using Reply = std::function<void(const DispatchEnd&)>;

    explicit DispatchService(Process&);

    void viewChanged(const ClusterView&);

    // Replies once, never within this call. The number returned names the submission.
    std::uint64_t submit(const DispatchJob&, Reply);
    // The caller has gone; no reply follows.
    void abandon(std::uint64_t submission);
    // False when the job is not here.
    bool cancel(const std::string& queue, const std::string& job);

    // Jobs of the queue for which nothing has started.
    std::size_t pending(const std::string& queue) const { return m_dispatcher.pending(queue); }
    // Jobs whose callers wait.
    std::size_t jobs() const { return m_dispatcher.jobs(); }
    // Sidecars with an open stream that have answered the handshake.
    std::size_t sidecars() const;

private:
    struct Link {
        std::unique_ptr<MessageStream> stream;
        std::unique_ptr<EventLoop::Timer> reconnectTimer;
        bool handshakeDone { false };
        // Consecutive attempts without a handshake.
        int failedAttempts { 0 };
    };

    void connect(const std::string& address);
    void disconnect(const std::string& address, const char* reason);
    void received(const std::string& address, std::string_view message);
    // Carries out what is due, then waits for the next time. The loop hands over what has arrived before it calls timers.
    void run(bool fromTimer = false);
    // Runs once what has arrived in this round of the loop is taken in, so that a busy entry decides for all of it at once.
    void scheduleRun();
    void perform(const DispatchActions&);
    void armTimer();

    Process& m_process;
    std::mt19937_64 m_random;
    JobDispatcher m_dispatcher;
    std::map<std::string, Link> m_links;
    std::set<std::string> m_sidecarAddresses;
    std::map<std::uint64_t, Reply> m_replies;
    std::unique_ptr<EventLoop::Timer> m_timer;
    std::unique_ptr<EventLoop::Timer> m_scheduledRun;
    std::optional<Milliseconds> m_timerDue;
    RepeatedRound m_round;
};

} // namespace oleanderport

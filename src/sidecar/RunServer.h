#pragma once

#include "policy/FenceRaises.h"
#include "policy/RunTable.h"
#include "sidecar/MinionPort.h"
#include "wire/ControlSession.h"
#include "wire/MessageStream.h"
#include "wire/Process.h"
#include "wire/RepeatedRound.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleanderport {

// The sidecar process for best-effort jobs. Accepts streams from entries, holds a session with control, and performs the
// decisions of its RunTable at the minion beside it.
class RunServer final : public RoleProcess {
public:
    RunServer(EventLoop&, const Settings&);

    Result<void> start() override;
    void shutDown(std::function<void()> done) override;
    void reconfigure(const Settings&) override;

    // Sets the calls to the minion. Required before the first report.
    void setMinion(MinionPort port) { m_minion = std::move(port); }
    // Processes a report of the minion. Calls back, at once or within a second, whether it may be acknowledged: false when the
    // minion that it names is not known to be there, or when it contradicts recent reports.
    void reported(const MinionReport&, const std::function<void(bool taken)>&);
    // The minion with this start time, or one that names none, is shutting down. Calls back once it may exit: no run may continue
    // after it was reported as ended. Such news may be that of a former incarnation and late, so the present one is taken to leave
    // only if it is named, or has reported that it drains. Else nothing is stopped.
    void minionLeaves(std::optional<Milliseconds> born, std::function<void()> confirm);

    // The minion has refused or broken a connection, which it does when it has gone. Call before the callback of the call that failed.
    void connectionFailed() { m_hasConnectionFailed = true; }

    // Whether the run may still be started now, when its start request is sent.
    bool mayStillStart(const RunName& run) const { return m_runs.mayStillStart(run, Clock::now()); }

    // Higher for each incarnation of this sidecar, and raised when the minion may be another incarnation, so that one that has
    // answered a call with it carries out none of before. Empty until control has opened a session for this sidecar.
    std::optional<std::uint64_t> fencingToken() const;
    Process& process() { return m_process; }

private:
    struct Stream {
        std::unique_ptr<MessageStream> stream;
        // Empty until its first frame.
        std::string entry;
    };

    // Asks whether the minion of a report is there, and takes the report if so.
    void confirm(const MinionReport&, int attempt, const std::function<void(bool taken)>&);
    // Raises the fencing token after a connection has failed if the minion's next incarnation might carry out start requests with the
    // present one.
    void raiseFenceForFailure();
    // Raises the fencing token when a list comes from another incarnation than the one taken.
    void raiseFenceFor(Milliseconds born);
    void take(const MinionReport&);
    void accepted(int descriptor);
    void received(std::uint64_t id, std::string_view message);
    void closed(std::uint64_t id);
    void openSession(const MinionReport&);
    void updatePermit();
    void run();
    void perform(RunActions);
    void report(const RunDiagnostics&);
    void armTimer();
    void finishShutDown();
    // True when the minion was allowed to exit by this call.
    bool finishLeaving();

    Process m_process;
    ControlClient m_control;
    ControlSession m_session;
    RunTable m_runs;
    MinionPort m_minion;
    // Incarnation of the first session.
    std::optional<std::uint64_t> m_sessionIncarnation;
    FenceRaises m_fenceRaises;
    bool m_hasConnectionFailed { false };
    // Start time in the latest list, if it is not that of the incarnation taken.
    std::optional<Milliseconds> m_otherBorn;
    // The newest report while there is no session yet.
    std::optional<MinionReport> m_pendingReport;
    std::string m_service;
    // Reports that are being confirmed, and how many incarnations of the minion have been taken.
    int m_confirmations { 0 };
    std::uint64_t m_incarnations { 0 };
    // From the newest report.
    bool m_draining { false };
    std::unique_ptr<StreamListener> m_listener;
    std::map<std::uint64_t, Stream> m_streams;
    std::uint64_t m_lastStream { 0 };
    std::unique_ptr<EventLoop::Timer> m_timer;
    std::unique_ptr<EventLoop::Timer> m_shutDownTimer;
    std::vector<std::function<void()>> m_leaveConfirmations;
    Milliseconds m_leaveDeadline {};
    std::unique_ptr<EventLoop::Timer> m_leaveTimer;
    std::function<void()> m_shutDownDone;
    Milliseconds m_shutDownDeadline {};
    RepeatedRound m_round;
};

} // namespace oleanderport

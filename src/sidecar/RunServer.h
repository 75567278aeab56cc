#pragma once

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

// The sidecar of best-effort jobs: accepts the streams of entries, holds a session with control and has its table of
// runs decide what the minion beside it runs.
class RunServer final : public RoleProcess {
public:
    RunServer(EventLoop&, const Settings&);

    Result<void> start() override;
    void shutDown(std::function<void()> done) override;
    void reconfigure(const Settings&) override;

    // Where orders go. Has to be set before the first report.
    void setMinion(MinionPort port) { m_minion = std::move(port); }
    // What the minion says of itself. False when the report is older than one taken in before.
    bool reported(const MinionReport&);
    // The minion wants to leave for good. Calls back once it may: nothing that it runs may go on after its runs were told
    // as ended.
    void minionLeaves(std::function<void()> confirm);

    // Whether what permitted the order to start this run still holds, at the moment at which the order is sent.
    bool mayStillStart(const RunName& run) const { return m_runs.mayStillStart(run, Clock::now()); }

    // Rises with each life of this sidecar; nothing before control has given it a session.
    std::optional<std::uint64_t> fencingToken() const { return m_fencingToken; }
    Process& process() { return m_process; }

private:
    struct Stream {
        std::unique_ptr<MessageStream> stream;
        // Empty until its first frame.
        std::string entry;
    };

    void accepted(int descriptor);
    void received(std::uint64_t id, std::string_view message);
    void closed(std::uint64_t id);
    void openSession(const MinionReport&);
    void updatePermit();
    void run();
    void perform(RunActions);
    void armTimer();
    void finishShutDown();
    // True when the minion has been let go.
    bool finishLeaving();

    Process m_process;
    ControlClient m_control;
    ControlSession m_session;
    RunTable m_runs;
    MinionPort m_minion;
    std::optional<std::uint64_t> m_fencingToken;
    // The newest report, until there is a session.
    std::optional<MinionReport> m_pendingReport;
    std::string m_service;
    // By the newest report.
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

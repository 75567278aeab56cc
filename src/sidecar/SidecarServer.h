#pragma once

#include "policy/SidecarLedger.h"
#include "policy/UsageGuard.h"
#include "sidecar/EntryLink.h"
#include "sidecar/MinionClient.h"
#include "wire/ControlSession.h"
#include "wire/Process.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace oleanderport {

// The sidecar process beside one minion. Accepts the minion's announcement, holds a session and an execution lease from control,
// pulls tasks from the entries and lets its ledger decide each start.
class SidecarServer final : public RoleProcess {
public:
    SidecarServer(EventLoop&, const Settings&);

    Result<void> start() override;
    void shutDown(std::function<void()> done) override;
    void reconfigure(const Settings&) override;

private:
    // State of one incarnation of the minion within one session.
    struct MinionIncarnation {
        MinionAnnouncement announcement;
        Milliseconds lastSeenAt {};
        std::unique_ptr<SidecarLedger> ledger;
        std::unique_ptr<MinionClient> client;
        std::unique_ptr<UsageGuard> usage;
        std::map<SessionId, std::unique_ptr<EntryLink>> links;
        // No further tasks are accepted. This state is dropped once everything is settled, or at `leaveDeadline`.
        bool leaving { false };
        Milliseconds leaveDeadline {};
        // Open leave calls of the minion; answered when leaving has finished.
        std::vector<std::shared_ptr<HttpResponder>> leaveCalls;
    };

    void serveHttp(const HttpRequest&, const std::shared_ptr<HttpResponder>&);
    void usageReported(const MinionUsage&);
    void announce(const MinionAnnouncement&);
    void beginLeaving(const char* reason);
    void finishLeaving();
    bool isSettled() const;
    void endRunningAsUnknown();
    NodeInfo nodeInfo(const MinionAnnouncement&) const;

    void viewChanged(const ClusterView&);
    void openLinks();
    void received(const SessionId& entry, const ExchangeResponse&);
    std::uint64_t room() const;
    void startTasks();
    void runEnded(const MinionRunEnd&);
    void report(const TaskResult&);
    void returnQueued();
    void tick();

    Process m_process;
    ControlClient m_control;
    ControlSession m_session;
    std::unique_ptr<MinionIncarnation> m_minion;
    std::unique_ptr<EventLoop::Timer> m_timer;
    std::function<void()> m_shutDownDone;
    Milliseconds m_lastExpiryAt {};
};

} // namespace oleanderport

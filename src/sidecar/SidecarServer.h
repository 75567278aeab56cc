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

// The process beside one minion. It takes the minion's announcement, holds a session and an execution lease from
// control, pulls tasks from the entries and decides each start through its ledger.
class SidecarServer final : public RoleProcess {
public:
    SidecarServer(EventLoop&, const Settings&);

    Result<void> start() override;
    void shutDown(std::function<void()> done) override;
    void reconfigure(const Settings&) override;

private:
    // Everything that belongs to one life of the minion.
    struct MinionIncarnation {
        MinionAnnouncement announcement;
        Milliseconds lastSeenAt {};
        std::unique_ptr<SidecarLedger> ledger;
        std::unique_ptr<MinionClient> client;
        std::unique_ptr<UsageGuard> usage;
        std::map<SessionId, std::unique_ptr<EntryLink>> links;
        // Nothing further is taken; the life ends once everything is settled, at the latest then.
        bool leaving { false };
        Milliseconds leaveDeadline {};
        // The minion waits here for the end of its leave call.
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

#pragma once

#include "entry/DispatchService.h"
#include "entry/JobService.h"
#include "wire/ControlSession.h"
#include "wire/Process.h"

#include <functional>
#include <memory>
#include <random>

namespace oleanderport {

// The entry process: serves the HTTP interface of docs/API.md on top of a JobService.
class EntryServer final : public RoleProcess {
public:
    EntryServer(EventLoop&, const Settings&);

    Result<void> start() override;
    void shutDown(std::function<void()> done) override;
    // Like shutDown(), for a grace period that has already begun and ends at `by`.
    void shutDownBy(Milliseconds by, std::function<void()> done);
    void reconfigure(const Settings&) override;

    Process& process() { return m_process; }
    DispatchService& dispatch() { return m_dispatch; }
    const ClusterView& view() const { return m_session.view(); }
    const ControlSession& session() const { return m_session; }

private:
    void addRpcMethods();
    void serveHttp(const HttpRequest&, const std::shared_ptr<HttpResponder>&);
    void serveJobs(const HttpRequest&, const JobReply&);
    void serveRequests(const HttpRequest&, const JobReply&);
    Milliseconds waitTime(const HttpRequest&) const;
    std::string makeRequestId();
    void finishShutDown();

    Process m_process;
    ControlClient m_control;
    ControlSession m_session;
    JobService m_jobs;
    DispatchService m_dispatch;
    std::mt19937_64 m_random;
    std::unique_ptr<EventLoop::Timer> m_timer;
    std::function<void()> m_shutDownDone;
    Milliseconds m_shutDownBy {};
};

} // namespace oleanderport

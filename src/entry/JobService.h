#pragma once

#include "entry/ExchangeServer.h"
#include "entry/Submission.h"
#include "policy/JobTable.h"
#include "wire/ControlSession.h"
#include "wire/EntryMessages.h"
#include "wire/Process.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oleanderport {

// Answers a caller with the state of a job, or with an error.
using JobReply = std::function<void(const Result<JobAnswer>&)>;

// Maps submissions to jobs: claims a job at control before any of its tasks may start, joins a resubmission to its job here or
// at the entry that owns it, takes a job over from a lost owner, and answers the waiting callers.
class JobService {
public:
    JobService(Process&, ControlClient&, ControlSession&);

    // Submits a job, or joins it when it exists. Answers with the final state, or with Running after `wait`.
    void submit(const JobSpec&, Milliseconds wait, const JobReply&);

    // Runs a job without a claim. Its id was generated here, so nobody can resubmit it.
    void submitUnclaimed(const JobSpec&, Milliseconds wait, const JobReply&);

    // Answers with the state of a job that any entry may own.
    void find(const JobKey&, Milliseconds wait, const JobReply&);
    void cancel(const JobKey&, const JobReply&);

    // The same for jobs of this entry only; called by other entries.
    void findHere(const JobKey&, const std::string& digest, Milliseconds wait, const JobReply&);
    void cancelHere(const JobKey&, const JobReply&);

    void exchange(const ExchangeRequest&, const ExchangeServer::Reply&);

    // Session events; see ControlSession::Callbacks.
    void sessionOpened(const SessionId&);
    void sessionEnded();
    void viewChanged(const ClusterView&);

    void beginShutDown() { m_shuttingDown = true; }
    bool isIdle() const { return m_jobs->runningJobs() == 0 && m_waiters.empty() && m_pendingSubmissions == 0; }

    void tick();

private:
    struct Waiter {
        JobReply reply;
        Milliseconds waitUntil {};
    };
    struct PendingSubmission;

    // Request for a job in the environment of this process.
    FindJobRequest findRequest(const JobKey& key) const
    {
        return { .environment = m_process.settings.environment, .key = key };
    }
    void claim(const std::shared_ptr<PendingSubmission>&);
    void claimed(const std::shared_ptr<PendingSubmission>&, const ClaimResponse&);
    void claimFailed(const std::shared_ptr<PendingSubmission>&, const Error&);
    void takeOver(const std::shared_ptr<PendingSubmission>&, const ClaimResponse&);
    void collectFrom(const Member&, const CollectRequest&);
    void retryCollect(const Member&, const CollectRequest&);
    void joinAtOwner(const std::shared_ptr<PendingSubmission>&, const std::string& address);
    void ownerAnswered(const std::shared_ptr<PendingSubmission>&, const Result<JobAnswer>&);
    // Calls the entry that owns a job, over a connection for this call alone.
    template <typename Request>
    void callOwner(const std::string& address, const std::string& method, const Request&, const JobReply&);
    void retryClaim(const std::shared_ptr<PendingSubmission>&);
    void finish(const std::shared_ptr<PendingSubmission>&, const Result<JobAnswer>&);
    // Refuses the submission if no entry has claimed the job: only then is it certain that the job did not run.
    void refuseUnlessClaimed(const std::shared_ptr<PendingSubmission>&, const Error&);

    void awaitAnswer(const JobKey&, Milliseconds wait, const JobReply&);
    void answerWaiters(const JobKey&);
    void tableChanged();
    // Records the failure at control. Waiting callers are answered only after that.
    void recordFailure(const JobKey&);
    Submission submission(const JobSpec&) const;
    RpcClient& peer(const std::string& address);

    Process& m_process;
    ControlClient& m_control;
    ControlSession& m_session;
    std::unique_ptr<JobTable> m_jobs;
    std::unique_ptr<ExchangeServer> m_exchange;
    std::map<JobKey, std::vector<Waiter>> m_waiters;
    std::vector<JobKey> m_endedWithoutLease;
    // Failed jobs whose failure control has not acknowledged yet.
    std::set<JobKey> m_recordingFailures;
    std::map<std::pair<JobKey, SessionId>, std::unique_ptr<EventLoop::Timer>> m_collectRetries;
    std::map<std::string, std::unique_ptr<RpcClient>> m_peers;
    // Clients whose call has ended. They are freed in tick(), because a client must not be freed within its own callback.
    std::vector<std::shared_ptr<RpcClient>> m_finishedClients;
    std::size_t m_pendingSubmissions { 0 };
    bool m_shuttingDown { false };
    mutable std::mt19937_64 m_random;
};

} // namespace oleanderport

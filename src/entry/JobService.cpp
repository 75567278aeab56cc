#include "entry/JobService.h"

#include "base/Digest.h"
#include "wire/EntryMessages.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace oleanderport {

namespace {

    constexpr Milliseconds claimTimeout { 2'000 };
    // Time for control to decide a claim. Long enough to elect a leader.
    constexpr Milliseconds claimDecisionTimeout { 6'000 };
    constexpr Milliseconds collectTimeout { 2'000 };
    constexpr Milliseconds peerTimeout { 2'000 };
    // Maximum wait of one call to the entry that owns a job. The claim is checked again afterwards.
    constexpr Milliseconds maxPeerWait { 1'000 };
    constexpr Milliseconds retryDelay { 100 };
    constexpr Milliseconds unavailableRetryAfter { 1'000 };

    Error unavailable(std::string message)
    {
        return Error { .code = ErrorCode::Unavailable,
            .ran = Ran::Unknown,
            .step = "entry.job",
            .peer = {},
            .message = std::move(message),
            .retryAfter = unavailableRetryAfter };
    }

    Error notFoundHere()
    {
        return Error { .code = ErrorCode::NotFound,
            .ran = Ran::Unknown,
            .step = "entry.join",
            .peer = {},
            .message = "this entry does not hold the job" };
    }

    std::string contentDigest(const JobSpec& spec) { return digestOf(writeJson(toJson(spec))); }

} // namespace

// One caller's submission until it is answered.
struct JobService::PendingSubmission {
    JobSpec spec;
    std::string digest;
    Milliseconds waitUntil {};
    // When the submission is given up if control has not decided the claim.
    Milliseconds claimDeadline {};
    JobReply reply;
    std::unique_ptr<EventLoop::Timer> retryTimer;
};

JobService::JobService(Process& process, ControlClient& control, ControlSession& session)
    : m_process(process)
    , m_control(control)
    , m_session(session)
    , m_random(std::random_device {}())
{
    sessionEnded();
}

Submission JobService::submission(const JobSpec& spec) const
{
    const auto demand = m_jobs->demand(spec.service);
    const auto team = std::find_if(
        demand.begin(), demand.end(), [&spec](const TeamDemand& each) { return each.team == spec.team; });
    std::int64_t weights = 0;
    for (const auto& each : demand)
        weights += weightOf(m_session.view(), each.team);
    if (team == demand.end())
        weights += weightOf(m_session.view(), spec.team);
    return Submission { .spec = spec,
        .settings = m_process.settings,
        .view = m_session.view(),
        .unixNow = Clock::unixNow(),
        .queuedTasks = m_jobs->queued(spec.service),
        .teamQueuedTasks = team == demand.end() ? 0 : team->queued,
        .totalTeamWeight = weights,
        .meanRunTime = m_exchange->meanRunTime(spec.service),
        .jitter = std::uniform_real_distribution<double>(0, 1)(m_random),
        .shuttingDown = m_shuttingDown };
}

void JobService::submit(const JobSpec& spec, Milliseconds wait, const JobReply& reply)
{
    if (const auto refusal = runStaticFilters(submission(spec)))
        return reply(*refusal);
    auto pending = std::make_shared<PendingSubmission>();
    pending->spec = spec;
    pending->digest = contentDigest(spec);
    pending->waitUntil = Clock::now() + wait;
    pending->claimDeadline = Clock::now() + claimDecisionTimeout;
    pending->reply = reply;
    const Match match = m_jobs->match(spec.key, pending->digest);
    if (match != Match::None)
        return findHere(spec.key, pending->digest, wait, reply);
    ++m_pendingSubmissions;
    if (const auto refusal = runDynamicFilters(submission(spec)))
        return refuseUnlessClaimed(pending, *refusal);
    claim(pending);
}

void JobService::submitUnclaimed(const JobSpec& spec, Milliseconds wait, const JobReply& reply)
{
    if (const auto refusal = runStaticFilters(submission(spec)))
        return reply(*refusal);
    if (const auto refusal = runDynamicFilters(submission(spec)))
        return reply(*refusal);
    m_jobs->add(spec, contentDigest(spec), unclaimedEpoch, weightOf(m_session.view(), spec.team));
    m_exchange->dispatch();
    awaitAnswer(spec.key, wait, reply);
}

void JobService::finish(const std::shared_ptr<PendingSubmission>& pending, const Result<JobAnswer>& answer)
{
    --m_pendingSubmissions;
    pending->reply(answer);
}

void JobService::refuseUnlessClaimed(const std::shared_ptr<PendingSubmission>& pending, const Error& refusal)
{
    m_control.callTyped<FindJobResponse>(ControlClient::Channel::Batched, "findJob", findRequest(pending->spec.key), claimTimeout,
        [this, pending, refusal](const Result<FindJobResponse>& found) {
            if (!found.has_value()) {
                Error uncertain = refusal;
                uncertain.ran = Ran::Unknown;
                return finish(pending, uncertain);
            }
            if (found.assume_value().owner.instance.empty())
                return finish(pending, refusal);
            claim(pending);
        });
}

void JobService::claim(const std::shared_ptr<PendingSubmission>& pending)
{
    if (!m_session.id())
        return finish(pending, unavailable("this entry has no session with control"));
    const ClaimRequest request { .entry = *m_session.id(),
        .key = pending->spec.key,
        .digest = pending->digest,
        .service = pending->spec.service,
        .deadlineUnix = pending->spec.deadlineUnix };
    m_control.callTyped<ClaimResponse>(ControlClient::Channel::Batched, "claim", request, claimTimeout,
        [this, pending](const Result<ClaimResponse>& response) {
            if (response.has_value())
                return claimed(pending, response.assume_value());
            claimFailed(pending, response.assume_error());
        });
}

void JobService::claimFailed(const std::shared_ptr<PendingSubmission>& pending, const Error& error)
{
    if (!isUndecided(error.code))
        return finish(pending, error);
    // Control elects a new leader within seconds, and requesting a claim again is harmless.
    const Milliseconds now = Clock::now();
    if (now + retryDelay < std::min(pending->waitUntil, pending->claimDeadline))
        return retryClaim(pending);
    // No task of this submission has run, but an earlier submission of the same job may have.
    Error uncertain = unavailable("control did not decide the claim of the job in time");
    uncertain.peer = error.peer;
    finish(pending, uncertain);
}

void JobService::claimed(const std::shared_ptr<PendingSubmission>& pending, const ClaimResponse& response)
{
    if (!m_session.id() || response.owner != *m_session.id())
        return joinAtOwner(pending, response.ownerAddress);
    // Concurrent submissions of the same job may both have requested the claim.
    if (m_jobs->match(pending->spec.key, pending->digest) == Match::None) {
        if (response.takenOver) {
            takeOver(pending, response);
        } else {
            m_process.events.record(EventKind::JobClaimed, { .job = &pending->spec.key });
            m_jobs->add(pending->spec, pending->digest, response.epoch,
                weightOf(m_session.view(), pending->spec.team));
        }
        m_exchange->dispatch();
    }
    const Milliseconds left { std::max<std::int64_t>((pending->waitUntil - Clock::now()).count, 0) };
    --m_pendingSubmissions;
    awaitAnswer(pending->spec.key, left, pending->reply);
}

void JobService::takeOver(const std::shared_ptr<PendingSubmission>& pending, const ClaimResponse& response)
{
    m_process.events.record(EventKind::JobTakenOver,
        { .job = &pending->spec.key, .detail = fmt::format("epoch {}", response.epoch) });
    std::vector<SessionId> sidecars;
    for (const auto& member : response.sidecars)
        sidecars.push_back(member.id);
    m_jobs->adopt(pending->spec, pending->digest, response.epoch, weightOf(m_session.view(), pending->spec.team),
        sidecars);
    const CollectRequest request { .key = pending->spec.key,
        .epoch = response.epoch,
        .owner = *m_session.id(),
        .deadlineUnix = pending->spec.deadlineUnix };
    for (const auto& member : response.sidecars)
        collectFrom(member, request);
}

void JobService::collectFrom(const Member& member, const CollectRequest& request)
{
    const auto& live = m_session.view().members;
    const bool isLive = std::any_of(
        live.begin(), live.end(), [&member](const Member& each) { return each.id == member.id; });
    if (!isLive) {
        m_jobs->collectFailed(request.key, member.id);
        tableChanged();
        return;
    }
    CollectRequest addressed = request;
    addressed.sidecar = member.id;
    peer(member.node.address)
        .callTyped<CollectResponse>("collect", addressed, collectTimeout,
            [this, member, request](const Result<CollectResponse>& response) {
                if (response.has_value()) {
                    m_jobs->collected(request.key, member.id, response.assume_value().tasks);
                    tableChanged();
                    return;
                }
                if (response.assume_error().code == ErrorCode::StaleIncarnation
                    || response.assume_error().code == ErrorCode::StaleEpoch) {
                    m_jobs->collectFailed(request.key, member.id);
                    tableChanged();
                    return;
                }
                // The sidecar may only be slow. Retries end when control ends its session.
                retryCollect(member, request);
            });
}

void JobService::retryCollect(const Member& member, const CollectRequest& request)
{
    auto& timer = m_collectRetries[{ request.key, member.id }];
    timer = m_process.loop.once(retryDelay, [this, member, request] {
        m_collectRetries.erase({ request.key, member.id });
        if (m_session.id() && *m_session.id() == request.owner)
            collectFrom(member, request);
    });
}

void JobService::joinAtOwner(const std::shared_ptr<PendingSubmission>& pending, const std::string& address)
{
    const Milliseconds left = pending->waitUntil - Clock::now();
    const Milliseconds wait { std::clamp<std::int64_t>(left.count, 0, maxPeerWait.count) };
    const FindJobAtOwner request { .key = pending->spec.key, .digest = pending->digest, .wait = wait };
    callOwner(address, "findJobHere", request, [this, pending, address, wait](const Result<JobAnswer>& answer) {
        const bool isMissing = !answer.has_value() && answer.assume_error().code == ErrorCode::NotFound;
        if (!isMissing)
            return ownerAnswered(pending, answer);
        // The owner has the claim, but never received the answer to it. Given the submission, it requests the claim again.
        callOwner(address, "submitHere", SubmitAtOwner { .spec = pending->spec, .wait = wait },
            [this, pending](const Result<JobAnswer>& resubmitted) { ownerAnswered(pending, resubmitted); });
    });
}

void JobService::ownerAnswered(const std::shared_ptr<PendingSubmission>& pending, const Result<JobAnswer>& answer)
{
    const bool inTime = Clock::now() < pending->waitUntil;
    if (!answer.has_value()) {
        if (answer.assume_error().code == ErrorCode::Conflict)
            return finish(pending, answer);
        if (inTime)
            return retryClaim(pending);
        return finish(pending, unavailable("the entry that owns the job did not answer"));
    }
    if (answer.assume_value().state == JobState::Running && inTime)
        return retryClaim(pending);
    finish(pending, answer);
}

template <typename Request>
void JobService::callOwner(
    const std::string& address, const std::string& method, const Request& request, const JobReply& reply)
{
    // The owner holds the call until the job ends. On a shared connection it would block all other calls.
    const auto client = std::make_shared<RpcClient>(m_process.loop, address);
    client->callTyped<JobAnswer>(method, request, request.wait + peerTimeout,
        [this, client, reply](const Result<JobAnswer>& answer) {
            m_finishedClients.push_back(client);
            reply(answer);
        });
}

void JobService::retryClaim(const std::shared_ptr<PendingSubmission>& pending)
{
    pending->retryTimer = m_process.loop.once(retryDelay, [this, pending] { claim(pending); });
}

void JobService::find(const JobKey& key, Milliseconds wait, const JobReply& reply)
{
    if (m_jobs->answer(key))
        return awaitAnswer(key, wait, reply);
    m_control.callTyped<FindJobResponse>(ControlClient::Channel::Batched, "findJob", findRequest(key), claimTimeout,
        [this, key, wait, reply](const Result<FindJobResponse>& found) {
            if (!found.has_value())
                return reply(found.assume_error());
            const FindJobResponse& location = found.assume_value();
            if (location.owner.instance.empty()) {
                return reply(Error { .code = ErrorCode::NotFound,
                    .ran = Ran::Unknown,
                    .step = "entry.find",
                    .peer = {},
                    .message = "no such job, or it is no longer known" });
            }
            if (location.ownerAddress.empty())
                return reply(unavailable("the entry that owned the job is lost; resubmit the job"));
            const Milliseconds bounded = std::min(wait, maxPeerWait);
            callOwner(location.ownerAddress, "findJobHere", FindJobAtOwner { .key = key, .digest = {}, .wait = bounded }, reply);
        });
}

void JobService::cancel(const JobKey& key, const JobReply& reply)
{
    if (m_jobs->answer(key))
        return cancelHere(key, reply);
    m_control.callTyped<FindJobResponse>(ControlClient::Channel::Batched, "findJob", findRequest(key), claimTimeout,
        [this, key, reply](const Result<FindJobResponse>& found) {
            if (!found.has_value())
                return reply(found.assume_error());
            if (found.assume_value().ownerAddress.empty()) {
                return reply(Error { .code = ErrorCode::NotFound,
                    .ran = Ran::Unknown,
                    .step = "entry.cancel",
                    .peer = {},
                    .message = "no entry owns this job" });
            }
            peer(found.assume_value().ownerAddress)
                .callTyped<JobAnswer>("cancelHere", FindJobAtOwner { .key = key }, peerTimeout, reply);
        });
}

void JobService::findHere(const JobKey& key, const std::string& digest, Milliseconds wait, const JobReply& reply)
{
    const Match match = m_jobs->match(key, digest);
    if (match == Match::Conflict && !digest.empty()) {
        return reply(Error { .code = ErrorCode::Conflict,
            .ran = Ran::No,
            .step = "entry.join",
            .peer = m_process.settings.instance,
            .message = "the job id is in use with other content" });
    }
    if (match == Match::None)
        return reply(notFoundHere());
    awaitAnswer(key, wait, reply);
}

void JobService::cancelHere(const JobKey& key, const JobReply& reply)
{
    if (!m_jobs->answer(key))
        return reply(unavailable("this entry does not hold the job"));
    m_jobs->cancel(key);
    tableChanged();
    awaitAnswer(key, maxPeerWait, reply);
}

void JobService::awaitAnswer(const JobKey& key, Milliseconds wait, const JobReply& reply)
{
    const auto answer = m_jobs->answer(key);
    if (!answer)
        return reply(unavailable("this entry does not hold the job"));
    const bool final = answer->state != JobState::Running;
    const bool isRecording = m_recordingFailures.contains(key);
    if (final && !isRecording && m_session.hasLease())
        return reply(*answer);
    if (final && !isRecording)
        m_endedWithoutLease.push_back(key);
    if (!final && wait.count == 0)
        return reply(*answer);
    m_waiters[key].push_back({ .reply = reply, .waitUntil = Clock::now() + wait });
}

void JobService::answerWaiters(const JobKey& key)
{
    const auto found = m_waiters.find(key);
    if (found == m_waiters.end())
        return;
    const auto waiters = std::move(found->second);
    m_waiters.erase(found);
    const auto answer = m_jobs->answer(key);
    for (const auto& waiter : waiters) {
        if (answer)
            waiter.reply(*answer);
        else
            waiter.reply(unavailable("this entry does not hold the job"));
    }
}

void JobService::tableChanged()
{
    auto ended = std::exchange(m_endedWithoutLease, {});
    for (auto& key : m_jobs->drainEnded()) {
        const auto answer = m_jobs->answer(key);
        const bool complete = answer && answer->state == JobState::Complete;
        m_process.events.record(complete ? EventKind::JobComplete : EventKind::JobFailed, { .job = &key });
        m_process.metrics.add(complete ? "jobs_complete_total" : "jobs_failed_total");
        if (complete || m_jobs->epochOf(key) == unclaimedEpoch)
            ended.push_back(std::move(key));
        else
            recordFailure(key);
    }
    // Without a lease, another entry may have taken over the jobs. Callers are answered once control has renewed the lease.
    if (!m_session.hasLease()) {
        m_endedWithoutLease = std::move(ended);
        return;
    }
    for (const auto& key : ended)
        answerWaiters(key);
    m_exchange->dispatch();
}

void JobService::recordFailure(const JobKey& key)
{
    if (!m_session.id())
        return;
    m_recordingFailures.insert(key);
    const EndJobRequest request { .entry = *m_session.id(), .key = key, .epoch = m_jobs->epochOf(key) };
    m_control.callTyped<Nothing>(ControlClient::Channel::Batched, "endJob", request, claimTimeout,
        [this, request](const Result<Nothing>& recorded) {
            const bool isSameSession = m_session.id() && *m_session.id() == request.entry;
            if (!isSameSession || !m_recordingFailures.contains(request.key))
                return;
            const bool isStale = !recorded.has_value()
                && (recorded.assume_error().code == ErrorCode::StaleEpoch
                    || recorded.assume_error().code == ErrorCode::StaleIncarnation);
            // A stale owner must not answer. Its callers are answered when control ends its session.
            if (isStale)
                return;
            if (!recorded.has_value())
                return recordFailure(request.key);
            m_recordingFailures.erase(request.key);
            m_endedWithoutLease.push_back(request.key);
            tableChanged();
        });
}

void JobService::exchange(const ExchangeRequest& request, const ExchangeServer::Reply& reply)
{
    m_exchange->handle(request, reply);
}

void JobService::sessionOpened(const SessionId& id) { m_exchange->setSession(id); }

void JobService::sessionEnded()
{
    // Another entry may own the jobs from now on. Waiting callers are asked to resubmit, which joins their job there.
    const auto waiters = std::exchange(m_waiters, {});
    m_endedWithoutLease.clear();
    m_recordingFailures.clear();
    m_exchange.reset();
    m_jobs = std::make_unique<JobTable>(
        JobTableOptions { .answerRetention = m_process.settings.answerRetention });
    m_exchange = std::make_unique<ExchangeServer>(m_process, *m_jobs,
        ExchangeServer::Callbacks {
            .changed = [this] { tableChanged(); }, .unknownSidecar = [this] { m_session.refresh(); } });
    for (const auto& [key, waiting] : waiters) {
        for (const auto& waiter : waiting)
            waiter.reply(unavailable("this entry has lost its session with control; resubmit the job"));
    }
}

void JobService::viewChanged(const ClusterView& view)
{
    m_exchange->viewChanged(view);
    tableChanged();
}

RpcClient& JobService::peer(const std::string& address)
{
    auto& client = m_peers[address];
    if (!client)
        client = std::make_unique<RpcClient>(m_process.loop, address);
    return *client;
}

void JobService::tick()
{
    const Milliseconds now = Clock::now();
    m_finishedClients.clear();
    m_jobs->tick(Clock::unixNow());
    m_exchange->tick(now);
    tableChanged();
    std::vector<std::pair<JobKey, JobReply>> expired;
    for (auto& [key, waiters] : m_waiters) {
        const auto firstExpired = std::partition(
            waiters.begin(), waiters.end(), [now](const Waiter& waiter) { return now < waiter.waitUntil; });
        for (auto waiter = firstExpired; waiter != waiters.end(); ++waiter)
            expired.emplace_back(key, waiter->reply);
        waiters.erase(firstExpired, waiters.end());
    }
    std::erase_if(m_waiters, [](const auto& item) { return item.second.empty(); });
    for (const auto& [key, reply] : expired) {
        JobAnswer running { .key = key, .state = JobState::Running };
        reply(running);
    }
}

} // namespace oleanderport

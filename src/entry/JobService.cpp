#include "entry/JobService.h"

#include "base/Digest.h"
#include "wire/EntryMessages.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace oleanderport {

namespace {

    constexpr Milliseconds claimTimeout { 2'000 };
    // Long enough for control to elect a leader.
    constexpr Milliseconds claimPatience { 6'000 };
    constexpr Milliseconds collectTimeout { 2'000 };
    constexpr Milliseconds peerTimeout { 2'000 };
    // One question to another entry lasts at most this long; the asker then checks the claim again.
    constexpr Milliseconds peerWait { 1'000 };
    constexpr Milliseconds retryPause { 100 };
    constexpr Milliseconds comeBackAfterLoss { 1'000 };

    Error unavailable(std::string message)
    {
        return Error { .code = ErrorCode::Unavailable,
            .ran = Ran::Unknown,
            .step = "entry.job",
            .peer = {},
            .message = std::move(message),
            .retryAfter = comeBackAfterLoss };
    }

    Error notHere()
    {
        return Error { .code = ErrorCode::NotFound,
            .ran = Ran::Unknown,
            .step = "entry.join",
            .peer = {},
            .message = "the job is not here" };
    }

    std::string contentDigest(const JobSpec& spec) { return digestOf(writeJson(toJson(spec))); }

} // namespace

// One caller's submission until it is answered.
struct JobService::Attempt {
    JobSpec spec;
    std::string digest;
    Milliseconds until {};
    // Given up then when control has not decided the claim.
    Milliseconds claimBy {};
    JobReply reply;
    std::unique_ptr<EventLoop::Timer> pause;
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
    auto attempt = std::make_shared<Attempt>();
    attempt->spec = spec;
    attempt->digest = contentDigest(spec);
    attempt->until = Clock::now() + wait;
    attempt->claimBy = Clock::now() + claimPatience;
    attempt->reply = reply;
    const Match match = m_jobs->match(spec.key, attempt->digest);
    if (match != Match::None)
        return findHere(spec.key, attempt->digest, wait, reply);
    ++m_pending;
    if (const auto refusal = runDynamicFilters(submission(spec)))
        return refuse(attempt, *refusal);
    claim(attempt);
}

void JobService::submitUnclaimed(const JobSpec& spec, Milliseconds wait, const JobReply& reply)
{
    if (const auto refusal = runStaticFilters(submission(spec)))
        return reply(*refusal);
    if (const auto refusal = runDynamicFilters(submission(spec)))
        return reply(*refusal);
    m_jobs->add(spec, contentDigest(spec), unclaimedEpoch, weightOf(m_session.view(), spec.team));
    m_exchange->dispatch();
    this->wait(spec.key, wait, reply);
}

void JobService::finish(const std::shared_ptr<Attempt>& attempt, const Result<JobAnswer>& answer)
{
    --m_pending;
    attempt->reply(answer);
}

void JobService::refuse(const std::shared_ptr<Attempt>& attempt, const Error& refusal)
{
    m_control.callTyped<FindJobResponse>(ControlClient::Lane::Work, "findJob", findRequest(attempt->spec.key), claimTimeout,
        [this, attempt, refusal](const Result<FindJobResponse>& found) {
            if (!found.has_value()) {
                Error doubtful = refusal;
                doubtful.ran = Ran::Unknown;
                return finish(attempt, doubtful);
            }
            if (found.assume_value().owner.instance.empty())
                return finish(attempt, refusal);
            claim(attempt);
        });
}

void JobService::claim(const std::shared_ptr<Attempt>& attempt)
{
    if (!m_session.id())
        return finish(attempt, unavailable("this entry has no session with control"));
    const ClaimRequest request { .entry = *m_session.id(),
        .key = attempt->spec.key,
        .digest = attempt->digest,
        .service = attempt->spec.service,
        .deadlineUnix = attempt->spec.deadlineUnix };
    m_control.callTyped<ClaimResponse>(ControlClient::Lane::Work, "claim", request, claimTimeout,
        [this, attempt](const Result<ClaimResponse>& response) {
            if (response.has_value())
                return claimed(attempt, response.assume_value());
            claimFailed(attempt, response.assume_error());
        });
}

void JobService::claimFailed(const std::shared_ptr<Attempt>& attempt, const Error& error)
{
    if (!isUndecided(error.code))
        return finish(attempt, error);
    // A new leader is there within seconds, and asking again for a claim is harmless.
    const Milliseconds now = Clock::now();
    if (now + retryPause < std::min(attempt->until, attempt->claimBy))
        return retryLater(attempt);
    // Nothing of this submission has run, but an earlier one of the same job may have.
    Error doubtful = unavailable("control does not answer");
    doubtful.peer = error.peer;
    finish(attempt, doubtful);
}

void JobService::claimed(const std::shared_ptr<Attempt>& attempt, const ClaimResponse& response)
{
    if (!m_session.id() || response.owner != *m_session.id())
        return joinElsewhere(attempt, response.ownerAddress);
    // Two submissions of one job may have asked side by side.
    if (m_jobs->match(attempt->spec.key, attempt->digest) == Match::None) {
        if (response.takenOver) {
            takeOver(attempt, response);
        } else {
            m_process.events.record(EventKind::JobClaimed, { .job = &attempt->spec.key });
            m_jobs->add(attempt->spec, attempt->digest, response.epoch,
                weightOf(m_session.view(), attempt->spec.team));
        }
        m_exchange->dispatch();
    }
    const Milliseconds left { std::max<std::int64_t>((attempt->until - Clock::now()).count, 0) };
    --m_pending;
    wait(attempt->spec.key, left, attempt->reply);
}

void JobService::takeOver(const std::shared_ptr<Attempt>& attempt, const ClaimResponse& response)
{
    m_process.events.record(EventKind::JobTakenOver,
        { .job = &attempt->spec.key, .detail = fmt::format("epoch {}", response.epoch) });
    std::vector<SessionId> sidecars;
    for (const auto& member : response.sidecars)
        sidecars.push_back(member.id);
    m_jobs->adopt(attempt->spec, attempt->digest, response.epoch, weightOf(m_session.view(), attempt->spec.team),
        sidecars);
    const CollectRequest request { .key = attempt->spec.key,
        .epoch = response.epoch,
        .owner = *m_session.id(),
        .deadlineUnix = attempt->spec.deadlineUnix };
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
                // the sidecar may only be slow; the wait ends when control ends its session.
                collectLater(member, request);
            });
}

void JobService::collectLater(const Member& member, const CollectRequest& request)
{
    auto& timer = m_collectRetries[{ request.key, member.id }];
    timer = m_process.loop.once(retryPause, [this, member, request] {
        m_collectRetries.erase({ request.key, member.id });
        if (m_session.id() && *m_session.id() == request.owner)
            collectFrom(member, request);
    });
}

void JobService::joinElsewhere(const std::shared_ptr<Attempt>& attempt, const std::string& address)
{
    const Milliseconds left = attempt->until - Clock::now();
    const Milliseconds wait { std::clamp<std::int64_t>(left.count, 0, peerWait.count) };
    const FindJobHere request { .key = attempt->spec.key, .digest = attempt->digest, .wait = wait };
    ask(address, "findJobHere", request, [this, attempt, address, wait](const Result<JobAnswer>& answer) {
        const bool isMissing = !answer.has_value() && answer.assume_error().code == ErrorCode::NotFound;
        if (!isMissing)
            return joined(attempt, answer);
        // The owner has a claim whose answer it never got. With the submission in hand it asks for it again.
        ask(address, "submitHere", SubmitHere { .spec = attempt->spec, .wait = wait },
            [this, attempt](const Result<JobAnswer>& again) { joined(attempt, again); });
    });
}

void JobService::joined(const std::shared_ptr<Attempt>& attempt, const Result<JobAnswer>& answer)
{
    const bool inTime = Clock::now() < attempt->until;
    if (!answer.has_value()) {
        if (answer.assume_error().code == ErrorCode::Conflict)
            return finish(attempt, answer);
        if (inTime)
            return retryLater(attempt);
        return finish(attempt, unavailable("the entry that owns the job does not answer"));
    }
    if (answer.assume_value().state == JobState::Running && inTime)
        return retryLater(attempt);
    finish(attempt, answer);
}

template <typename Request>
void JobService::ask(
    const std::string& address, const std::string& method, const Request& request, const JobReply& reply)
{
    // The owner holds the call until the job ends. On a shared connection it would hold up everyone else's.
    const auto client = std::make_shared<RpcClient>(m_process.loop, address);
    client->callTyped<JobAnswer>(method, request, request.wait + peerTimeout,
        [this, client, reply](const Result<JobAnswer>& answer) {
            m_askedPeers.push_back(client);
            reply(answer);
        });
}

void JobService::retryLater(const std::shared_ptr<Attempt>& attempt)
{
    attempt->pause = m_process.loop.once(retryPause, [this, attempt] { claim(attempt); });
}

void JobService::find(const JobKey& key, Milliseconds wait, const JobReply& reply)
{
    if (m_jobs->answer(key))
        return this->wait(key, wait, reply);
    m_control.callTyped<FindJobResponse>(ControlClient::Lane::Work, "findJob", findRequest(key), claimTimeout,
        [this, key, wait, reply](const Result<FindJobResponse>& found) {
            if (!found.has_value())
                return reply(found.assume_error());
            const FindJobResponse& place = found.assume_value();
            if (place.owner.instance.empty()) {
                return reply(Error { .code = ErrorCode::NotFound,
                    .ran = Ran::Unknown,
                    .step = "entry.find",
                    .peer = {},
                    .message = "no such job, or it is forgotten" });
            }
            if (place.ownerAddress.empty())
                return reply(unavailable("the entry that owned the job is lost; submit the same job again"));
            const Milliseconds bounded = std::min(wait, peerWait);
            ask(place.ownerAddress, "findJobHere", FindJobHere { .key = key, .digest = {}, .wait = bounded }, reply);
        });
}

void JobService::cancel(const JobKey& key, const JobReply& reply)
{
    if (m_jobs->answer(key))
        return cancelHere(key, reply);
    m_control.callTyped<FindJobResponse>(ControlClient::Lane::Work, "findJob", findRequest(key), claimTimeout,
        [this, key, reply](const Result<FindJobResponse>& found) {
            if (!found.has_value())
                return reply(found.assume_error());
            if (found.assume_value().ownerAddress.empty()) {
                return reply(Error { .code = ErrorCode::NotFound,
                    .ran = Ran::Unknown,
                    .step = "entry.cancel",
                    .peer = {},
                    .message = "no entry holds this job" });
            }
            peer(found.assume_value().ownerAddress)
                .callTyped<JobAnswer>("cancelHere", FindJobHere { .key = key }, peerTimeout, reply);
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
        return reply(notHere());
    this->wait(key, wait, reply);
}

void JobService::cancelHere(const JobKey& key, const JobReply& reply)
{
    if (!m_jobs->answer(key))
        return reply(unavailable("the job is not here"));
    m_jobs->cancel(key);
    tableChanged();
    wait(key, peerWait, reply);
}

void JobService::wait(const JobKey& key, Milliseconds wait, const JobReply& reply)
{
    const auto answer = m_jobs->answer(key);
    if (!answer)
        return reply(unavailable("the job is not here"));
    const bool final = answer->state != JobState::Running;
    const bool isRecording = m_recording.contains(key);
    if (final && !isRecording && m_session.hasLease())
        return reply(*answer);
    if (final && !isRecording)
        m_endedWithoutLease.push_back(key);
    if (!final && wait.count == 0)
        return reply(*answer);
    m_waiters[key].push_back({ .reply = reply, .until = Clock::now() + wait });
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
            waiter.reply(unavailable("the job is not here"));
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
    // Without its lease this entry may have been replaced as owner; it answers once control has renewed it.
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
    m_recording.insert(key);
    const EndJobRequest request { .entry = *m_session.id(), .key = key, .epoch = m_jobs->epochOf(key) };
    m_control.callTyped<Nothing>(ControlClient::Lane::Work, "endJob", request, claimTimeout,
        [this, request](const Result<Nothing>& recorded) {
            const bool isSameLife = m_session.id() && *m_session.id() == request.entry;
            if (!isSameLife || !m_recording.contains(request.key))
                return;
            const bool isStale = !recorded.has_value()
                && (recorded.assume_error().code == ErrorCode::StaleEpoch
                    || recorded.assume_error().code == ErrorCode::StaleIncarnation);
            // A stale owner answers nothing; the wait ends when control ends its session.
            if (isStale)
                return;
            if (!recorded.has_value())
                return recordFailure(request.key);
            m_recording.erase(request.key);
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
    // Another entry may own the jobs from now on. Those who wait are told to submit again, which joins them there.
    const auto waiters = std::exchange(m_waiters, {});
    m_endedWithoutLease.clear();
    m_recording.clear();
    m_exchange.reset();
    m_jobs = std::make_unique<JobTable>(
        JobTableOptions { .answerRetention = m_process.settings.answerRetention });
    m_exchange = std::make_unique<ExchangeServer>(m_process, *m_jobs,
        ExchangeServer::Callbacks {
            .changed = [this] { tableChanged(); }, .unknownSidecar = [this] { m_session.refresh(); } });
    for (const auto& [key, waiting] : waiters) {
        for (const auto& waiter : waiting)
            waiter.reply(unavailable("this entry has lost its session; submit the same job again"));
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
    m_askedPeers.clear();
    m_jobs->tick(Clock::unixNow());
    m_exchange->tick(now);
    tableChanged();
    std::vector<std::pair<JobKey, JobReply>> late;
    for (auto& [key, waiters] : m_waiters) {
        const auto firstLate = std::partition(
            waiters.begin(), waiters.end(), [now](const Waiter& waiter) { return now < waiter.until; });
        for (auto waiter = firstLate; waiter != waiters.end(); ++waiter)
            late.emplace_back(key, waiter->reply);
        waiters.erase(firstLate, waiters.end());
    }
    std::erase_if(m_waiters, [](const auto& item) { return item.second.empty(); });
    for (const auto& [key, reply] : late) {
        JobAnswer running { .key = key, .state = JobState::Running };
        reply(running);
    }
}

} // namespace oleanderport

#include "Callers.h"

#include "wire/MessageCodec.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport::soak {

namespace {

    // The timeouts of the users' clients: attemptTimeout for an answer, longer for the longest jobs, and resendDelay before
    // a resend.
    constexpr Milliseconds attemptTimeout { 1'500 };
    constexpr Milliseconds longAttemptTimeout { 4'000 };
    constexpr Milliseconds resendDelay { 1'300 };
    constexpr std::size_t maxSends = 3;
    constexpr Milliseconds maxPause { 80 };
    constexpr int twinsOneIn = 3;
    constexpr int twinsAtOneEntryOneIn = 2;
    // Odd, so that each seed has draws of its own.
    constexpr std::uint64_t twinsFactor = 0xff51afd7ed558ccd;

    bool isRetryable(int status) { return status == 0 || status == 502 || status == 504; }

    // One job in this many uses the optional queue, or always fails.
    constexpr int optionalQueueOneIn = 6;
    constexpr int failingJobOneIn = 20;
    // Estimates are between half and twice the run time; in one run in this many they are scaled to this percentage.
    constexpr int lowEstimatesOneIn = 4;
    constexpr std::int64_t lowEstimatePercent = 11;

} // namespace

std::vector<JobKind> usualJobKinds()
{
    return { { 8, 60, attemptTimeout }, { 4, 900, attemptTimeout }, { 2, 200, attemptTimeout }, { 2, 200, attemptTimeout },
        { 2, 2'500, longAttemptTimeout } };
}

std::vector<JobKind> longJobKinds()
{
    return { { 8, 60, attemptTimeout }, { 4, 900, attemptTimeout }, { 2, 2'500, longAttemptTimeout }, { 1, 2'500, longAttemptTimeout },
        { 1, 3'300, longAttemptTimeout } };
}

Callers::Callers(EventLoop& loop, std::uint64_t seed, std::vector<EntryAddress> entries, int callers, const std::vector<JobKind>& jobKinds, Patience patience, Twins twins)
    : m_loop(loop)
    , m_random(seed)
    , m_resendDelays(~seed)
    , m_twinDraws(seed * twinsFactor)
    , m_patience(patience)
    , m_twins(twins)
    , m_entries(std::move(entries))
    , m_callers(static_cast<std::size_t>(callers))
    , m_jobKinds(jobKinds)
    , m_estimatePercent(m_random.oneIn(lowEstimatesOneIn) ? lowEstimatePercent : 100)
{
    for (auto& caller : m_callers) {
        for (const auto& entry : m_entries) {
            caller.connections.push_back(std::make_unique<HttpConnection>(m_loop, entry.address));
            caller.twinConnections.push_back(std::make_unique<HttpConnection>(m_loop, entry.address));
        }
    }
}

void Callers::start()
{
    for (auto& caller : m_callers)
        sendNext(caller);
}

void Callers::stop()
{
    m_stopped = true;
    for (auto& caller : m_callers)
        caller = {};
}

JobRecord Callers::makeJob()
{
    const JobKind& kind = m_jobKinds[m_random.below(m_jobKinds.size())];
    const bool fails = m_random.oneIn(failingJobOneIn);
    JobRecord job { .id = fmt::format("{:016x}", m_random.number()),
        .queue = m_random.oneIn(optionalQueueOneIn) ? optionalQueue : steadyQueue,
        .tasks = kind.tasks,
        .timeout = kind.timeout,
        .estimate = { std::max<std::int64_t>(kind.runTimeMs * m_estimatePercent * m_random.between({ 50 }, { 200 }).count / (100 * 100), 1) } };
    job.spec = fmt::format("{}={},{:x}", fails ? "fail" : "run", kind.runTimeMs, m_random.number());
    return job;
}

Milliseconds Callers::drawResendDelay()
{
    return m_patience == Patience::Full ? resendDelay : m_resendDelays.between({ 0 }, resendDelay + Milliseconds { 1 });
}

void Callers::sendNext(Caller& caller)
{
    if (m_stopped || m_draining)
        return;
    ++m_inFlight;
    caller.sends = 0;
    m_jobs.push_back(makeJob());
    send(caller, m_jobs.back(), m_random.below(m_entries.size()));
}

void Callers::send(Caller& caller, JobRecord& job, std::size_t entry)
{
    ++caller.sends;
    caller.hasFinalAnswer = false;
    // Counted first, since a call may fail at once.
    const bool isTwice = m_twins == Twins::Drawn && m_twinDraws.oneIn(twinsOneIn);
    caller.pending = isTwice ? 2 : 1;
    request(caller, *caller.connections[entry], job, entry);
    if (!isTwice)
        return;
    const std::size_t other = (entry + 1 + m_twinDraws.below(m_entries.size() - 1)) % m_entries.size();
    const std::size_t second = m_twinDraws.oneIn(twinsAtOneEntryOneIn) ? entry : other;
    request(caller, *caller.twinConnections[second], job, second);
}

void Callers::request(Caller& caller, HttpConnection& connection, JobRecord& job, std::size_t entry)
{
    Json::Value body(Json::objectValue);
    body["spec"] = job.spec;
    body["bestEffort"] = true;
    Json::Value& step = body["steps"].append(Json::Value(Json::objectValue));
    step["count"] = job.tasks;
    step["cpu"] = 1'000;
    step["memMb"] = 10;
    step["estimatedMs"] = static_cast<Json::Int64>(job.estimate.count);
    const HttpCall call { .path = job.queue + job.id,
        .body = writeJson(body),
        .timeout = job.timeout,
        .headers = { { "Oleanderport-Deadline", std::to_string(job.timeout.count) },
            { "Request-Id", fmt::format("{}-{}", job.id, job.attempts.size() + 1) } },
        .host = "soak.example" };
    job.attempts.push_back({ .entry = m_entries[entry].name, .sent = Clock::now() });
    connection.call(call, [this, &caller, &job, attempt = job.attempts.size() - 1](const Result<HttpAnswer>& answer) { answered(caller, job, attempt, answer); });
}

void Callers::answered(Caller& caller, JobRecord& job, std::size_t attemptIndex, const Result<HttpAnswer>& answer)
{
    AttemptRecord& attempt = job.attempts[attemptIndex];
    attempt.ended = Clock::now();
    if (answer.has_value()) {
        attempt.status = answer.assume_value().status;
        attempt.body = answer.assume_value().body;
    } else {
        attempt.timedOut = answer.assume_error().code == ErrorCode::Timeout;
    }
    caller.hasFinalAnswer = caller.hasFinalAnswer || !isRetryable(attempt.status);
    if (--caller.pending > 0)
        return;
    if (!caller.hasFinalAnswer && caller.sends < maxSends) {
        const auto next = m_random.below(m_entries.size());
        caller.timer = m_loop.once(drawResendDelay(), [this, &caller, &job, next] { send(caller, job, next); });
        return;
    }
    --m_inFlight;
    caller.timer = m_loop.once({ m_random.below(maxPause.count) }, [this, &caller] { sendNext(caller); });
}

} // namespace oleanderport::soak

#include "entry/Submission.h"
#include "policy/Admission.h"
#include "policy/FairQueue.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport {

namespace {

    constexpr Milliseconds queueFullRetryAfter { 1'000 };
    constexpr Milliseconds shutdownRetryAfter { 100 };

    std::int64_t slotsOf(const Submission& submission)
    {
        const auto& out = submission.view.dataCentresOut;
        std::int64_t slots = 0;
        for (const auto& member : submission.view.members) {
            const NodeInfo& node = member.node;
            const bool serves = node.role == Role::Sidecar && node.service == submission.spec.service
                && std::find(out.begin(), out.end(), node.dataCentre) == out.end();
            if (serves)
                slots += node.slots;
        }
        return slots;
    }

    AdmissionInput inputOf(const Submission& submission)
    {
        return { .jobTasks = submission.spec.tasks.size(),
            .teamQueuedTasks = submission.teamQueuedTasks,
            .queuedTasks = submission.queuedTasks,
            .teamWeight = weightOf(submission.view, submission.spec.team),
            .totalWeight = submission.totalTeamWeight,
            .slots = slotsOf(submission),
            .meanRunTime = submission.meanRunTime,
            .timeLeft = submission.spec.deadlineUnix - submission.unixNow,
            .jitter = submission.jitter };
    }

    Error refuse(ErrorCode code, std::string message, Milliseconds retryAfter)
    {
        return Error { .code = code,
            .ran = Ran::No,
            .step = "entry.admission",
            .peer = {},
            .message = std::move(message),
            .retryAfter = retryAfter };
    }

} // namespace

std::optional<Error> checkAdmission(const Submission& submission)
{
    if (submission.shuttingDown)
        return refuse(ErrorCode::ShuttingDown, "this entry is shutting down", shutdownRetryAfter);
    const Milliseconds queueFullDelay = withJitter(queueFullRetryAfter, submission.jitter);
    const std::size_t added = submission.spec.tasks.size();
    if (submission.queuedTasks + added > static_cast<std::size_t>(submission.settings.maxQueuedTasks))
        return refuse(ErrorCode::Overloaded, "the queue of this entry is full", queueFullDelay);
    const auto& teams = submission.view.config.teams;
    const auto team = std::find_if(teams.begin(), teams.end(),
        [&submission](const TeamConfig& each) { return each.name == submission.spec.team; });
    if (team != teams.end() && submission.teamQueuedTasks + added > static_cast<std::size_t>(team->maxQueued))
        return refuse(ErrorCode::Overloaded, "the queue of this team is full", queueFullDelay);
    if (const auto lateRefusal = refuseLate(inputOf(submission))) {
        const auto message = fmt::format("the last task would start in about {} ms, after the deadline", lateRefusal->wait.count);
        return refuse(ErrorCode::Overloaded, message, lateRefusal->retryAfter);
    }
    return std::nullopt;
}

} // namespace oleanderport

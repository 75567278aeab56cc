#include "entry/Submission.h"

#include <algorithm>

namespace oleanderport {

namespace {

    constexpr Milliseconds comeBackWithRoom { 1'000 };
    constexpr Milliseconds comeBackElsewhere { 100 };

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
        return refuse(ErrorCode::ShuttingDown, "this entry is shutting down", comeBackElsewhere);
    const std::size_t added = submission.spec.tasks.size();
    if (submission.queuedTasks + added > static_cast<std::size_t>(submission.settings.maxQueuedTasks))
        return refuse(ErrorCode::Overloaded, "the queue of this entry is full", comeBackWithRoom);
    const auto& teams = submission.view.config.teams;
    const auto team = std::find_if(teams.begin(), teams.end(),
        [&submission](const TeamConfig& each) { return each.name == submission.spec.team; });
    if (team != teams.end() && submission.queuedOfTeam + added > static_cast<std::size_t>(team->maxQueued))
        return refuse(ErrorCode::Overloaded, "the queue of this team is full", comeBackWithRoom);
    return std::nullopt;
}

} // namespace oleanderport

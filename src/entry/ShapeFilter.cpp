#include "entry/Submission.h"

#include <fmt/format.h>

namespace oleanderport {

namespace {

    Error badShape(std::string message)
    {
        return Error { .code = ErrorCode::BadRequest,
            .ran = Ran::No,
            .step = "entry.shape",
            .peer = {},
            .message = std::move(message) };
    }

    bool isIdWithin(const std::string& id, std::int64_t most)
    {
        return !id.empty() && id.size() <= static_cast<std::size_t>(most);
    }

} // namespace

std::optional<Error> checkShape(const Submission& submission)
{
    const JobSpec& spec = submission.spec;
    const auto maxId = submission.settings.maxIdBytes;
    if (!isIdWithin(spec.key.caller, maxId))
        return badShape(fmt::format("caller: expected 1 to {} bytes", maxId));
    if (!isIdWithin(spec.key.job, maxId))
        return badShape(fmt::format("job: expected 1 to {} bytes", maxId));
    if (!isIdWithin(spec.team, maxId))
        return badShape(fmt::format("team: expected 1 to {} bytes", maxId));
    if (!isIdWithin(spec.service, maxId))
        return badShape(fmt::format("service: expected 1 to {} bytes", maxId));
    const auto maxTasks = static_cast<std::size_t>(submission.settings.maxTasksPerJob);
    if (spec.tasks.empty() || spec.tasks.size() > maxTasks)
        return badShape(fmt::format("tasks: expected 1 to {}, but there are {}", maxTasks, spec.tasks.size()));
    return std::nullopt;
}

} // namespace oleanderport

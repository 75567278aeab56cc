#include "entry/Submission.h"

#include <fmt/format.h>

namespace oleanderport {

namespace {

    Error badRequest(std::string message)
    {
        return Error { .code = ErrorCode::BadRequest,
            .ran = Ran::No,
            .step = "entry.shape",
            .peer = {},
            .message = std::move(message) };
    }

    bool isValidId(const std::string& id, std::int64_t maxBytes)
    {
        return !id.empty() && id.size() <= static_cast<std::size_t>(maxBytes);
    }

} // namespace

std::optional<Error> checkShape(const Submission& submission)
{
    const JobSpec& spec = submission.spec;
    const auto maxId = submission.settings.maxIdBytes;
    if (!isValidId(spec.key.caller, maxId))
        return badRequest(fmt::format("caller: expected 1 to {} bytes", maxId));
    if (!isValidId(spec.key.job, maxId))
        return badRequest(fmt::format("job: expected 1 to {} bytes", maxId));
    if (!isValidId(spec.team, maxId))
        return badRequest(fmt::format("team: expected 1 to {} bytes", maxId));
    if (!isValidId(spec.service, maxId))
        return badRequest(fmt::format("service: expected 1 to {} bytes", maxId));
    const auto maxTasks = static_cast<std::size_t>(submission.settings.maxTasksPerJob);
    if (spec.tasks.empty() || spec.tasks.size() > maxTasks)
        return badRequest(fmt::format("tasks: expected 1 to {}, got {}", maxTasks, spec.tasks.size()));
    return std::nullopt;
}

} // namespace oleanderport

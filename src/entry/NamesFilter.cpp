#include "entry/Submission.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport {

namespace {

    constexpr Milliseconds noConfigurationRetryAfter { 1'000 };

    Error refuse(ErrorCode code, std::string message)
    {
        return Error {
            .code = code, .ran = Ran::No, .step = "entry.names", .peer = {}, .message = std::move(message)
        };
    }

} // namespace

std::optional<Error> checkNames(const Submission& submission)
{
    const EnvironmentConfig& config = submission.view.config;
    const JobSpec& spec = submission.spec;
    if (config.version == 0) {
        Error missing = refuse(ErrorCode::Unavailable, "this entry has not received a configuration from control yet");
        missing.retryAfter = noConfigurationRetryAfter;
        return missing;
    }
    const auto service = std::find_if(config.services.begin(), config.services.end(),
        [&spec](const ServiceConfig& each) { return each.name == spec.service; });
    if (service == config.services.end())
        return refuse(ErrorCode::UnknownService, fmt::format("unknown service '{}'", spec.service));
    if (spec.tasks.size() > static_cast<std::size_t>(service->maxTasksPerJob)) {
        return refuse(ErrorCode::BadRequest,
            fmt::format("tasks: service '{}' accepts at most {} per job", service->name, service->maxTasksPerJob));
    }
    const auto team = std::find_if(config.teams.begin(), config.teams.end(),
        [&spec](const TeamConfig& each) { return each.name == spec.team; });
    if (team == config.teams.end())
        return refuse(ErrorCode::UnknownTeam, fmt::format("unknown team '{}'", spec.team));
    const auto& callers = team->callers;
    if (!callers.empty() && std::find(callers.begin(), callers.end(), spec.key.caller) == callers.end())
        return refuse(ErrorCode::UnknownTeam, fmt::format("caller '{}' is not in team '{}'", spec.key.caller, spec.team));
    return std::nullopt;
}

} // namespace oleanderport

#include "policy/DocumentHistory.h"

#include "base/UtcText.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport {

namespace {

    constexpr const char* step = "control.apply";

    Error makeRefusal(ErrorCode code, std::string message)
    {
        return Error { .code = code, .ran = Ran::No, .step = step, .peer = {}, .message = std::move(message) };
    }

    // Describes the version that followed the base of a conflicting change, for the error message.
    std::string describeNextVersion(const EnvironmentRecord& environment, std::uint64_t baseVersion)
    {
        const auto next = std::find_if(environment.history.begin(), environment.history.end(),
            [baseVersion](const VersionRecord& record) { return record.summary.version == baseVersion + 1; });
        if (next == environment.history.end())
            return fmt::format("version {} is no longer in the history", baseVersion + 1);
        const VersionSummary& summary = next->summary;
        return fmt::format("{} made version {} at {} with change {}, reason '{}', digest {}", summary.author,
            summary.version, utcText(summary.whenUnix), summary.changeId, summary.reason, summary.digest);
    }

} // namespace

std::optional<Result<DocumentApplied>> recordedResponse(
    const EnvironmentRecord& environment, const std::string& changeId, const std::string& digest)
{
    const auto found = std::find_if(environment.changes.begin(), environment.changes.end(),
        [&changeId](const ChangeRecord& record) { return record.changeId == changeId; });
    if (found == environment.changes.end())
        return std::nullopt;
    if (found->digest != digest)
        return Result<DocumentApplied>(
            makeRefusal(ErrorCode::Conflict, fmt::format("change id {} was used for another change", changeId)));
    if (found->refusal)
        return Result<DocumentApplied>(*found->refusal);
    return Result<DocumentApplied>(found->applied);
}

Error recordRefusal(EnvironmentRecord& environment, const DocumentChange& change, const HistoryLimits& limits,
    const Error& error)
{
    environment.changes.push_back(
        { .changeId = change.changeId, .digest = change.digest, .applied = {}, .refusal = error });
    dropOldestBeyond(environment.changes, limits.changes);
    return error;
}

Result<DocumentApplied> acceptDocument(
    EnvironmentRecord& environment, const DocumentChange& change, const HistoryLimits& limits)
{
    const std::uint64_t current = environment.view.config.version;
    if (change.baseVersion > current) {
        return recordRefusal(environment, change, limits,
            makeRefusal(ErrorCode::Conflict,
                fmt::format("based on version {}, but version {} is the newest", change.baseVersion, current)));
    }
    if (change.baseVersion < current) {
        return recordRefusal(environment, change, limits,
            makeRefusal(ErrorCode::Conflict,
                fmt::format("based on version {}, but version {} is in force: {}", change.baseVersion, current,
                    describeNextVersion(environment, change.baseVersion))));
    }
    EnvironmentConfig& config = environment.view.config;
    config = change.config;
    config.environment = environment.name;
    config.version = current + 1;
    const DocumentApplied applied { .version = config.version, .digest = config.digest };
    environment.history.push_back({ .summary = { .version = applied.version,
                                        .digest = applied.digest,
                                        .changeId = change.changeId,
                                        .author = change.author,
                                        .reason = change.reason,
                                        .whenUnix = change.whenUnix,
                                        .promotedFrom = change.promotedFrom },
        .text = change.text });
    dropOldestBeyond(environment.history, limits.versions);
    environment.changes.push_back(
        { .changeId = change.changeId, .digest = change.digest, .applied = applied, .refusal = std::nullopt });
    dropOldestBeyond(environment.changes, limits.changes);
    return applied;
}

} // namespace oleanderport

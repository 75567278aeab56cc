#include "entry/Submission.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport {

namespace {

    constexpr Milliseconds noMinionRetryAfter { 2'000 };

    bool fits(const TaskNeeds& needs, const NodeInfo& node)
    {
        return needs.cpuMillis <= node.cpuMillis && needs.memoryMb <= node.memoryMb
            && needs.accelerators <= node.accelerators;
    }

} // namespace

std::optional<Error> checkFit(const Submission& submission)
{
    std::vector<const NodeInfo*> minions;
    for (const auto& member : submission.view.members) {
        if (member.node.role == Role::Sidecar && member.node.service == submission.spec.service)
            minions.push_back(&member.node);
    }
    if (minions.empty()) {
        return Error { .code = ErrorCode::Unavailable,
            .ran = Ran::No,
            .step = "entry.fit",
            .peer = {},
            .message = fmt::format("no minion of service '{}' is announced", submission.spec.service),
            .retryAfter = noMinionRetryAfter };
    }
    const auto& tasks = submission.spec.tasks;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const bool fitsAny = std::any_of(
            minions.begin(), minions.end(), [&](const NodeInfo* node) { return fits(tasks[i].needs, *node); });
        if (!fitsAny) {
            return Error { .code = ErrorCode::NeverFits,
                .ran = Ran::No,
                .step = "entry.fit",
                .peer = {},
                .message = fmt::format("task {} needs more resources than any minion of service '{}' has", i, submission.spec.service) };
        }
    }
    return std::nullopt;
}

} // namespace oleanderport

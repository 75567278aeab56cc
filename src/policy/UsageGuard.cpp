#include "policy/UsageGuard.h"

#include <algorithm>

namespace oleanderport {

namespace {

    UsageAction nextAction(UsageAction last)
    {
        switch (last) {
        case UsageAction::None:
            return UsageAction::Throttle;
        case UsageAction::Throttle:
            return UsageAction::Checkpoint;
        default:
            return UsageAction::Stop;
        }
    }

    bool isOver(std::int64_t used, std::int64_t declared, double factor)
    {
        return declared > 0 && static_cast<double>(used) > factor * static_cast<double>(declared);
    }

    double ratioOf(std::int64_t used, std::int64_t declared)
    {
        return static_cast<double>(used) / static_cast<double>(std::max<std::int64_t>(declared, 1));
    }

} // namespace

UsageGuard::UsageGuard(const UsageGuardOptions& options)
    : m_options(options)
{
}

std::int64_t UsageGuard::declaredMemoryMb(const RunUsage& usage) const
{
    // A task that declares no memory is allowed one slot's share of the minion's memory.
    const auto slotShareMb = m_options.memoryMb / std::max<std::int64_t>(m_options.slots, 1);
    return usage.declared.memoryMb > 0 ? usage.declared.memoryMb : slotShareMb;
}

void UsageGuard::countOveruse(const std::vector<RunUsage>& report)
{
    std::map<std::string, Run> known;
    for (const auto& usage : report) {
        Run run = m_runs[usage.run];
        run.cpuOveruseReports = isOver(usage.cpuMillis, usage.declared.cpuMillis, m_options.overuseFactor) ? run.cpuOveruseReports + 1 : 0;
        run.memoryOveruseReports = isOver(usage.memoryMb, declaredMemoryMb(usage), m_options.overuseFactor) ? run.memoryOveruseReports + 1 : 0;
        known[usage.run] = run;
    }
    m_runs = std::move(known);
}

std::vector<UsageRequest> UsageGuard::decide(const std::vector<RunUsage>& report)
{
    countOveruse(report);
    std::int64_t used = 0;
    std::vector<const RunUsage*> over;
    std::vector<UsageRequest> requests;
    for (const auto& usage : report) {
        used += usage.memoryMb;
        Run& run = m_runs.at(usage.run);
        if (run.memoryOveruseReports >= m_options.consecutiveReports)
            over.push_back(&usage);
        if (run.cpuOveruseReports >= m_options.consecutiveReports && run.lastAction == UsageAction::None) {
            run.lastAction = UsageAction::Throttle;
            requests.push_back({ .run = usage.run, .action = run.lastAction });
        }
    }
    const auto highWatermarkMb = static_cast<std::int64_t>(m_options.memoryHighWatermark * static_cast<double>(m_options.memoryMb));
    std::int64_t excessMb = m_options.memoryMb > 0 ? used - highWatermarkMb : 0;
    std::sort(over.begin(), over.end(), [this](const RunUsage* a, const RunUsage* b) {
        return ratioOf(a->memoryMb, declaredMemoryMb(*a)) > ratioOf(b->memoryMb, declaredMemoryMb(*b));
    });
    for (const auto* usage : over) {
        if (excessMb <= 0)
            break;
        excessMb -= usage->memoryMb;
        Run& run = m_runs.at(usage->run);
        const bool alreadyThrottledNow = std::any_of(
            requests.begin(), requests.end(), [usage](const UsageRequest& request) { return request.run == usage->run; });
        if (alreadyThrottledNow)
            continue;
        run.lastAction = nextAction(run.lastAction);
        requests.push_back({ .run = usage->run, .action = run.lastAction });
    }
    return requests;
}

} // namespace oleanderport

#include "policy/UsageGuard.h"

#include <algorithm>

namespace oleanderport {

namespace {

    UsageAction nextStep(UsageAction last)
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

std::int64_t UsageGuard::declaredMemory(const RunUsage& usage) const
{
    // A task that declares nothing is held to one slot's part of the minion.
    const auto part = m_options.memoryMb / std::max<std::int64_t>(m_options.slots, 1);
    return usage.declared.memoryMb > 0 ? usage.declared.memoryMb : part;
}

void UsageGuard::count(const std::vector<RunUsage>& report)
{
    std::map<std::string, Run> known;
    for (const auto& usage : report) {
        Run run = m_runs[usage.run];
        run.cpuOver = isOver(usage.cpuMillis, usage.declared.cpuMillis, m_options.overFactor) ? run.cpuOver + 1 : 0;
        run.memoryOver = isOver(usage.memoryMb, declaredMemory(usage), m_options.overFactor) ? run.memoryOver + 1 : 0;
        known[usage.run] = run;
    }
    m_runs = std::move(known);
}

std::vector<UsageOrder> UsageGuard::decide(const std::vector<RunUsage>& report)
{
    count(report);
    std::int64_t used = 0;
    std::vector<const RunUsage*> over;
    std::vector<UsageOrder> orders;
    for (const auto& usage : report) {
        used += usage.memoryMb;
        Run& run = m_runs.at(usage.run);
        if (run.memoryOver >= m_options.patience)
            over.push_back(&usage);
        if (run.cpuOver >= m_options.patience && run.last == UsageAction::None) {
            run.last = UsageAction::Throttle;
            orders.push_back({ .run = usage.run, .action = run.last });
        }
    }
    const auto most = static_cast<std::int64_t>(m_options.memoryPressure * static_cast<double>(m_options.memoryMb));
    std::int64_t missing = m_options.memoryMb > 0 ? used - most : 0;
    std::sort(over.begin(), over.end(), [this](const RunUsage* a, const RunUsage* b) {
        return ratioOf(a->memoryMb, declaredMemory(*a)) > ratioOf(b->memoryMb, declaredMemory(*b));
    });
    for (const auto* usage : over) {
        if (missing <= 0)
            break;
        missing -= usage->memoryMb;
        Run& run = m_runs.at(usage->run);
        const bool alreadyThrottledNow = std::any_of(
            orders.begin(), orders.end(), [usage](const UsageOrder& order) { return order.run == usage->run; });
        if (alreadyThrottledNow)
            continue;
        run.last = nextStep(run.last);
        orders.push_back({ .run = usage->run, .action = run.last });
    }
    return orders;
}

} // namespace oleanderport

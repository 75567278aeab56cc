#include "policy/UsageGuard.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

constexpr std::int64_t declaredMb = 100;

RunUsage usageOf(const std::string& run, std::int64_t memoryMb, std::int64_t cpuMillis = 100)
{
    return { .run = run,
        .cpuMillis = cpuMillis,
        .memoryMb = memoryMb,
        .declared = { .cpuMillis = 100, .memoryMb = declaredMb } };
}

UsageGuard guard() { return UsageGuard({ .memoryMb = 1'000, .slots = 8 }); }

UsageAction actionFor(const std::vector<UsageRequest>& requests, const std::string& run)
{
    for (const auto& request : requests) {
        if (request.run == run)
            return request.action;
    }
    return UsageAction::None;
}

} // namespace

Test(UsageGuard, throttlesThenCheckpointsThenStopsWhileMemoryIsShort)
{
    auto usage = guard();
    const std::vector<RunUsage> report { usageOf("greedy", 900), usageOf("good", 100) };
    cr_assert(usage.decide(report).empty(), "expected no request after a single report");
    cr_assert(actionFor(usage.decide(report), "greedy") == UsageAction::Throttle);
    cr_assert(actionFor(usage.decide(report), "greedy") == UsageAction::Checkpoint);
    const auto last = usage.decide(report);
    cr_assert(actionFor(last, "greedy") == UsageAction::Stop);
    cr_assert(actionFor(last, "good") == UsageAction::None, "expected no request for a run within its declared memory");
}

Test(UsageGuard, takesNoActionWhileMemoryIsAvailable)
{
    auto usage = guard();
    for (int i = 0; i < 10; ++i)
        cr_assert(usage.decide({ usageOf("greedy", 700), usageOf("good", 100) }).empty());
}

Test(UsageGuard, actsOnTheLargestOveruseFirstAndOnNoMoreRunsThanNeeded)
{
    auto usage = guard();
    const std::vector<RunUsage> report { usageOf("over", 300), usageOf("furthest", 700) };
    usage.decide(report);
    const auto requests = usage.decide(report);
    cr_assert(requests.size() == 1, "expected 1 request, got %zu", requests.size());
    cr_assert(requests[0].run == "furthest");
}

Test(UsageGuard, takesNoActionWhenAllRunsAreWithinTheirSize)
{
    auto usage = guard();
    std::vector<RunUsage> report;
    report.reserve(10);
    for (int i = 0; i < 10; ++i)
        report.push_back(usageOf(std::to_string(i), declaredMb));
    for (int i = 0; i < 10; ++i)
        cr_assert(usage.decide(report).empty());
}

Test(UsageGuard, ignoresASinglePeak)
{
    auto usage = guard();
    for (int i = 0; i < 10; ++i) {
        cr_assert(usage.decide({ usageOf("run", 950) }).empty());
        cr_assert(usage.decide({ usageOf("run", 100) }).empty());
    }
}

Test(UsageGuard, throttlesARunOverItsProcessorOnce)
{
    auto usage = guard();
    const std::vector<RunUsage> report { usageOf("busy", 50, 400) };
    usage.decide(report);
    cr_assert(actionFor(usage.decide(report), "busy") == UsageAction::Throttle);
    for (int i = 0; i < 5; ++i)
        cr_assert(usage.decide(report).empty(), "expected only one throttle request for processor overuse");
}

Test(UsageGuard, limitsATaskThatDeclaresNothingToTheMemoryOfOneSlot)
{
    auto usage = guard();
    RunUsage silent { .run = "silent", .memoryMb = 950 };
    usage.decide({ silent });
    cr_assert(actionFor(usage.decide({ silent }), "silent") == UsageAction::Throttle);
}

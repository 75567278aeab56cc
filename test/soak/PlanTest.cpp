#include "Plan.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

using namespace oleanderport;
using namespace oleanderport::soak;

namespace {

constexpr std::uint64_t seeds = 200;

std::string textOf(const Plan& plan)
{
    std::string text;
    for (const auto& fault : plan.faults)
        text += fmt::format("{} {} {} {} {}\n", fault.at.count, faultKindName(fault.kind), fault.target, fault.duration.count, fault.delay.count);
    return text;
}

bool isControl(const PlannedFault& fault) { return fault.target.rfind("control-", 0) == 0; }

} // namespace

Test(SoakPlan, isTheSameForTheSameSeed)
{
    cr_assert(textOf(makePlan(7, makeShape(7))) == textOf(makePlan(7, makeShape(7))));
    cr_assert(textOf(makePlan(7, makeShape(7))) != textOf(makePlan(8, makeShape(7))));
}

Test(SoakPlan, losesOneControlInstanceAtATime)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Plan plan = makePlan(seed, makeShape(seed));
        Milliseconds previousEnd {};
        for (const auto& fault : plan.faults) {
            if (!isControl(fault))
                continue;
            cr_assert(fault.at > previousEnd, "seed %lu: fault of %s overlaps the previous one of a control instance:\n%s", static_cast<unsigned long>(seed), fault.target.c_str(), textOf(plan).c_str());
            previousEnd = fault.at + fault.duration;
        }
    }
}

Test(SoakPlan, drawsEveryKind)
{
    std::set<FaultKind> kinds;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const auto& fault : makePlan(seed, makeShape(seed)).faults)
            kinds.insert(fault.kind);
    }
    cr_assert(kinds.size() == 12, "expected 12 fault kinds, got %zu", kinds.size());
}

Test(SoakPlan, replacesControlInstancesOneAtATimeBesideOtherFaults)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Shape shape = makeShape(seed);
        shape.controls = 5;
        shape.replacements = 2;
        const Plan plan = makePlan(seed, shape);
        const auto replaced = std::count_if(plan.faults.begin(), plan.faults.end(), [](const PlannedFault& fault) { return fault.kind == FaultKind::Replace; });
        cr_assert(replaced >= 1, "seed %lu: expected a replacement:\n%s", static_cast<unsigned long>(seed), textOf(plan).c_str());
        // The successor has 4 s to catch up before the next fault of a control instance.
        Milliseconds caughtUp {};
        for (const auto& fault : plan.faults) {
            if (!isControl(fault))
                continue;
            cr_assert(fault.at > caughtUp, "seed %lu:\n%s", static_cast<unsigned long>(seed), textOf(plan).c_str());
            if (fault.kind == FaultKind::Replace)
                caughtUp = fault.at + fault.duration + Milliseconds { 4'000 };
        }
    }
}

Test(SoakPlan, endsWithAFaultFreeTimeLongerThanTheRecoveryTime)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Plan plan = makePlan(seed, makeShape(seed));
        for (const auto& fault : plan.faults)
            cr_assert(fault.kind == FaultKind::EvacuateDataCentre || fault.at + fault.duration + Milliseconds { 13'000 } <= plan.length, "seed %lu:\n%s", static_cast<unsigned long>(seed), textOf(plan).c_str());
    }
}

Test(SoakPlan, drawsOverlappingFaults)
{
    int overlaps = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Plan plan = makePlan(seed, makeShape(seed));
        for (std::size_t i = 1; i < plan.faults.size(); ++i)
            overlaps += plan.faults[i].at < plan.faults[i - 1].at + plan.faults[i - 1].duration ? 1 : 0;
    }
    cr_assert(overlaps > static_cast<int>(seeds), "expected more than one overlap per seed, got %d in %lu seeds", overlaps, static_cast<unsigned long>(seeds));
}

Test(SoakPlan, keepsOlderSeedsWithoutLateMinions)
{
    for (const std::uint64_t seed : { 1, 2, 12, 26, 27 })
        cr_assert(!makeShape(seed).lateMinions, "seed %lu", static_cast<unsigned long>(seed));
    cr_assert(makeShape(3).lateMinions);
}

Test(SoakPlan, drawsFaultsOfMinionsAndPathsBesideTheOthers)
{
    std::set<FaultKind> kinds;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Shape shape = makeShape(seed);
        const Plan without = makePlan(seed, shape);
        shape.minionFaults = true;
        const Plan plan = makePlan(seed, shape);
        cr_assert(textOf(plan) == textOf(makePlan(seed, shape)));
        std::map<std::string, Milliseconds> crashEnds;
        for (const auto& fault : plan.faults) {
            kinds.insert(fault.kind);
            cr_assert(fault.kind == FaultKind::EvacuateDataCentre || fault.at + fault.duration + Milliseconds { 13'000 } <= plan.length, "seed %lu:\n%s", static_cast<unsigned long>(seed), textOf(plan).c_str());
            if (fault.kind != FaultKind::CrashBehindCut)
                continue;
            cr_assert(fault.delay < fault.duration);
            cr_assert(!crashEnds.contains(fault.target) || crashEnds.at(fault.target) < fault.at, "seed %lu:\n%s", static_cast<unsigned long>(seed), textOf(plan).c_str());
            crashEnds[fault.target] = fault.at + fault.duration;
        }
        // The others are drawn as before; some give way.
        const auto isOfBefore = [&without](const PlannedFault& fault) {
            return std::any_of(without.faults.begin(), without.faults.end(), [&fault](const PlannedFault& other) { return other.at == fault.at && other.kind == fault.kind && other.target == fault.target; });
        };
        const auto before = std::count_if(plan.faults.begin(), plan.faults.end(), isOfBefore);
        cr_assert(before * 2 > static_cast<std::ptrdiff_t>(without.faults.size()), "seed %lu: %ld of %zu faults", static_cast<unsigned long>(seed), static_cast<long>(before), without.faults.size());
    }
    cr_assert(kinds.size() == 20, "expected 20 fault kinds, got %zu", kinds.size());
}

#include "Plan.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <tuple>

using namespace oleanderport;
using namespace oleanderport::soak;

Test(SoakSuccessors, comeAfterMoreCrashesBesideAllOtherFaults)
{
    constexpr std::uint64_t seeds = 200;
    constexpr Milliseconds recoveryAndRest { 13'000 };
    const auto key = [](const PlannedFault& fault) { return std::tie(fault.at, fault.kind, fault.target, fault.duration, fault.delay); };
    std::size_t crashes = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Shape shape = makeShape(seed);
        shape.minionFaults = true;
        shape.impatientCallers = seed % 2 == 0;
        const Plan without = makePlan(seed, shape);
        shape.successors = true;
        const Plan plan = makePlan(seed, shape);
        const auto number = static_cast<unsigned long>(seed);
        crashes += plan.faults.size() - without.faults.size();
        for (const auto& fault : without.faults)
            cr_assert(std::any_of(plan.faults.begin(), plan.faults.end(), [&](const PlannedFault& other) { return key(other) == key(fault); }), "seed %lu: a fault of %s is gone", number, fault.target.c_str());
        for (const auto& fault : plan.faults)
            cr_assert(fault.kind != FaultKind::CrashBehindCut || fault.at + fault.duration + recoveryAndRest <= plan.length, "seed %lu", number);
    }
    cr_assert(crashes > 2 * seeds, "got %zu", crashes);
}

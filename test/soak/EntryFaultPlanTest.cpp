#include "Plan.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <tuple>

using namespace oleanderport;
using namespace oleanderport::soak;

Test(SoakEntryFaults, comeBesideTheFaultsOfMinionsAndLeaveTimeToRecover)
{
    constexpr std::uint64_t seeds = 200;
    constexpr Milliseconds recoveryAndRest { 13'000 };
    std::map<FaultKind, int> drawn;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Shape shape = makeShape(seed);
        shape.minionFaults = true;
        const Plan without = makePlan(seed, shape);
        shape.entryFaults = true;
        const Plan plan = makePlan(seed, shape);
        for (const auto& fault : plan.faults) {
            ++drawn[fault.kind];
            cr_assert(fault.kind == FaultKind::EvacuateDataCentre || fault.at + fault.duration + recoveryAndRest <= plan.length, "seed %lu", static_cast<unsigned long>(seed));
        }
        // Those of minions are drawn before and stay.
        for (const auto& fault : without.faults) {
            const bool isOfMinion = fault.kind == FaultKind::LateOrders || fault.kind == FaultKind::CrashBehindCut;
            const bool stays = std::any_of(plan.faults.begin(), plan.faults.end(), [&fault](const PlannedFault& other) {
                return std::tie(other.at, other.kind, other.target, other.duration) == std::tie(fault.at, fault.kind, fault.target, fault.duration);
            });
            cr_assert(!isOfMinion || stays, "seed %lu", static_cast<unsigned long>(seed));
        }
    }
    cr_assert(drawn[FaultKind::Slow] > static_cast<int>(seeds), "got %d", drawn[FaultKind::Slow]);
    cr_assert(drawn[FaultKind::LateReset] > drawn[FaultKind::Slow], "got %d", drawn[FaultKind::LateReset]);
}

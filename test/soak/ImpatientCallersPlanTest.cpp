#include "Plan.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <tuple>

using namespace oleanderport;
using namespace oleanderport::soak;

Test(SoakImpatientCallers, loseEntriesAndSidecarsTogetherBesideAllOtherFaults)
{
    constexpr std::uint64_t seeds = 200;
    constexpr Milliseconds recoveryAndRest { 13'000 };
    const auto key = [](const PlannedFault& fault) { return std::tie(fault.at, fault.kind, fault.target, fault.duration, fault.delay); };
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Shape shape = makeShape(seed);
        shape.minionFaults = seed % 2 == 0;
        const Plan without = makePlan(seed, shape);
        shape.impatientCallers = true;
        const Plan plan = makePlan(seed, shape);
        const auto number = static_cast<unsigned long>(seed);
        cr_assert(plan.faults.size() == without.faults.size() + 4, "seed %lu: %zu faults, %zu without", number, plan.faults.size(), without.faults.size());
        for (const auto& fault : without.faults)
            cr_assert(std::any_of(plan.faults.begin(), plan.faults.end(), [&](const PlannedFault& other) { return key(other) == key(fault); }), "seed %lu: a fault of %s is gone", number, fault.target.c_str());
        int ofAllEntries = 0;
        for (const auto& fault : plan.faults) {
            if (fault.kind != FaultKind::KillTogether)
                continue;
            cr_assert(fault.at + fault.duration + recoveryAndRest <= plan.length, "seed %lu", number);
            const bool isWithSidecars = fault.target.find("+sidecar-") != std::string::npos;
            const auto targets = 1 + std::count(fault.target.begin(), fault.target.end(), '+');
            cr_assert(isWithSidecars || (targets == shape.entries && fault.duration >= Milliseconds { 450 } && fault.duration < Milliseconds { 650 }), "seed %lu: %s", number, fault.target.c_str());
            ofAllEntries += isWithSidecars ? 0 : 1;
        }
        cr_assert(ofAllEntries == 2, "seed %lu: got %d", number, ofAllEntries);
    }
}

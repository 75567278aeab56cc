#include "policy/Placement.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

SidecarCandidate candidate(std::int64_t load, bool sameDataCentre = true)
{
    return { .sameDataCentre = sameDataCentre, .slots = 8, .load = load, .credit = 4 };
}

} // namespace

Test(Placement, choosesTheSidecarThatHasTheFewestTasksOfAllEntries)
{
    auto full = candidate(8);
    full.outstanding = 0;
    auto idle = candidate(2);
    idle.outstanding = 2;
    const auto best = pickSidecar({ full, idle });
    cr_assert(best && *best == 1, "expected the sidecar with free slots, although this entry has more tasks there");
}

Test(Placement, prefersAFreeSlotElsewhereToAQueueInItsOwnDataCentre)
{
    const auto best = pickSidecar({ candidate(8, true), candidate(7, false) });
    cr_assert(best && *best == 1);
}

Test(Placement, prefersItsOwnDataCentreWhileSlotsAreFreeThere)
{
    const auto best = pickSidecar({ candidate(0, false), candidate(7, true) });
    cr_assert(best && *best == 1);
}

Test(Placement, choosesNoSidecarWithoutCredit)
{
    auto spent = candidate(0);
    spent.credit = 0;
    cr_assert(!pickSidecar({ spent }).has_value());
}

#include "policy/ServingPace.h"

#include <criterion/criterion.h>

using namespace oleanderport;

Test(ServingPace, admitsCallsWhoseExpectedWaitIsWithinTheLimit)
{
    const ServingPace pace({ .maxWait = { 500 }, .initialGap = 1 });
    cr_assert(!pace.retryAfter(0).has_value());
    cr_assert(!pace.retryAfter(500).has_value());
    const auto comeAgain = pace.retryAfter(600);
    cr_assert(comeAgain && comeAgain->count == 600, "expected the time until the calls ahead of it are served");
}

Test(ServingPace, learnsTheTimePerCallFromTheTimeBetweenSlices)
{
    ServingPace pace({ .maxWait = { 500 }, .initialGap = 1 });
    Milliseconds now { 1'000 };
    for (int slice = 0; slice < 50; ++slice) {
        pace.recordSlice(10, 300, now);
        now = now + Milliseconds { 100 };
    }
    cr_assert(pace.retryAfter(60).has_value(), "expected a learned time of 10 ms per call");
    cr_assert(!pace.retryAfter(40).has_value());
}

Test(ServingPace, ignoresTimeWithoutCalls)
{
    ServingPace pace({ .maxWait = { 500 }, .initialGap = 1 });
    Milliseconds now { 1'000 };
    for (int call = 0; call < 50; ++call) {
        pace.recordSlice(1, 0, now);
        now = now + Milliseconds { 10'000 };
    }
    cr_assert(pace.expectedWait(100).count == 100);
}

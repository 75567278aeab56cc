#include "policy/ServingPace.h"

#include <criterion/criterion.h>

using namespace oleanderport;

Test(ServingPace, letsCallsWaitAsLongAsTheyAreServedInTime)
{
    const ServingPace pace({ .mostWait = { 500 }, .firstGap = 1 });
    cr_assert(!pace.comeAgainAfter(0).has_value());
    cr_assert(!pace.comeAgainAfter(500).has_value());
    const auto comeAgain = pace.comeAgainAfter(600);
    cr_assert(comeAgain && comeAgain->count == 600, "expected the time until those before it are served");
}

Test(ServingPace, learnsFromTheTimeBetweenSlicesThatItsProcessIsBusy)
{
    ServingPace pace({ .mostWait = { 500 }, .firstGap = 1 });
    Milliseconds now { 1'000 };
    for (int slice = 0; slice < 50; ++slice) {
        pace.served(10, 300, now);
        now = now + Milliseconds { 100 };
    }
    cr_assert(pace.comeAgainAfter(60).has_value(), "expected ten milliseconds a call by now");
    cr_assert(!pace.comeAgainAfter(40).has_value());
}

Test(ServingPace, timeWithoutCallsSaysNothing)
{
    ServingPace pace({ .mostWait = { 500 }, .firstGap = 1 });
    Milliseconds now { 1'000 };
    for (int call = 0; call < 50; ++call) {
        pace.served(1, 0, now);
        now = now + Milliseconds { 10'000 };
    }
    cr_assert(pace.expectedWait(100).count == 100);
}

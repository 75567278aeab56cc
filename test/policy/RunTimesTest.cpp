#include "policy/RunTimes.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

constexpr int minCount = 20;

void record(RunTimes& times, int count, Milliseconds ranFor)
{
    for (int i = 0; i < count; ++i)
        times.record(ranFor);
}

} // namespace

Test(RunTimes, returnsNothingBeforeEnoughRuns)
{
    RunTimes times;
    record(times, minCount - 1, { 100 });
    cr_assert(!times.mean() && !times.shortest());
    times.record({ 100 });
    cr_assert(times.mean() == 100.0 && times.shortest() == Milliseconds { 100 });
}

Test(RunTimes, returnsTheShortestRecentRun)
{
    RunTimes times;
    record(times, minCount, { 100 });
    times.record({ 7 });
    record(times, minCount, { 100 });
    cr_assert(times.shortest() == Milliseconds { 7 }, "got a shortest run of %ld ms", static_cast<long>(times.shortest()->count));
}

Test(RunTimes, dropsAShortRunThatIsNoLongerRecent)
{
    RunTimes times;
    times.record({ 7 });
    record(times, 400, { 100 });
    cr_assert(times.shortest() == Milliseconds { 100 }, "got a shortest run of %ld ms", static_cast<long>(times.shortest()->count));
}

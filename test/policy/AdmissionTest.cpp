#include "policy/Admission.h"

#include "policy/RunTimes.h"

#include <criterion/criterion.h>

#include <random>
#include <set>

using namespace oleanderport;

namespace {

AdmissionInput loaded()
{
    return { .jobTasks = 1,
        .teamQueuedTasks = 800,
        .queuedTasks = 800,
        .slots = 88,
        .meanRunTime = 100,
        .timeLeft = { 500 } };
}

} // namespace

Test(Admission, refusesAJobThatCannotStartInTime)
{
    // 800 tasks over 88 slots at 100 ms take 909 ms.
    cr_assert(estimatedWait(loaded()) == Milliseconds { 909 });
    const auto refusal = refuseLate(loaded());
    cr_assert(refusal.has_value());
    cr_assert(refusal->retryAfter >= Milliseconds { 409 });
}

Test(Admission, admitsAJobThatCanStartInTime)
{
    auto input = loaded();
    input.timeLeft = { 1'000 };
    cr_assert(!refuseLate(input).has_value());
}

Test(Admission, refusesNothingBeforeRunTimesAreKnown)
{
    auto input = loaded();
    input.meanRunTime.reset();
    cr_assert(!refuseLate(input).has_value());
}

Test(Admission, aTeamWaitsOnlyForItsWeightedShareOfTheQueue)
{
    auto input = loaded();
    input.teamQueuedTasks = 0;
    cr_assert(!refuseLate(input).has_value());
    input.teamQueuedTasks = 100;
    input.totalWeight = 2;
    cr_assert(estimatedWait(input) == Milliseconds { 227 }, "expected 100 x 2 / 88 rounds of 100 ms");
}

Test(Admission, countsTheRoundsOfALargeJobItself)
{
    AdmissionInput input { .jobTasks = 968, .slots = 88, .meanRunTime = 100, .timeLeft = { 1'000 } };
    cr_assert(estimatedWait(input) == Milliseconds { 1'000 });
    cr_assert(refuseLate(input).has_value());
    input.jobTasks = 88;
    cr_assert(!refuseLate(input).has_value());
}

Test(Admission, spreadsTheRetriesOfRefusedCallers)
{
    std::mt19937 random(5);
    std::uniform_real_distribution<double> unit(0, 1);
    std::set<std::int64_t> times;
    for (int i = 0; i < 100; ++i) {
        auto input = loaded();
        input.jitter = unit(random);
        const Milliseconds back = refuseLate(input)->retryAfter;
        cr_assert(back >= Milliseconds { 409 } && back < Milliseconds { 818 });
        times.insert(back.count / 50);
    }
    cr_assert(times.size() >= 8, "expected returns in at least 8 slices of 50 ms, got %zu", times.size());
}

Test(RunTimes, learnsAndFollowsTheMean)
{
    RunTimes times;
    for (int i = 0; i < 19; ++i)
        times.record({ 100 });
    cr_assert(!times.mean().has_value());
    times.record({ 100 });
    cr_assert(*times.mean() == 100);
    for (int i = 0; i < 2'000; ++i)
        times.record({ 1'000 });
    cr_assert(*times.mean() > 990, "expected the mean to follow the new run time, got %f", *times.mean());
}

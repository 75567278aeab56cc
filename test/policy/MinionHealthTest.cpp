#include "policy/MinionHealth.h"

#include <criterion/criterion.h>

#include <random>

using namespace oleanderport;

namespace {

constexpr std::int64_t slots = 8;
constexpr Milliseconds runTime { 100 };

SessionId minion(int number) { return { .instance = "sidecar-" + std::to_string(number), .incarnation = 1 }; }

MinionHealth healthOf(int minions, const MinionHealthOptions& options = {})
{
    MinionHealth health(options);
    for (int i = 0; i < minions; ++i)
        health.add(minion(i), slots);
    return health;
}

void recordMany(MinionHealth& health, int number, TaskOutcome outcome, int times, Milliseconds now,
    Milliseconds ranFor = runTime)
{
    for (int i = 0; i < times; ++i)
        health.record(minion(number), outcome, ranFor, now);
}

// Records successful runs for the minions from `first` on.
void othersRunWell(MinionHealth& health, int first, int minions, Milliseconds now)
{
    for (int i = first; i < minions; ++i)
        recordMany(health, i, TaskOutcome::Done, 10, now);
}

constexpr Milliseconds start { 1'000 };
constexpr Milliseconds afterEjection { 1'000 + 2'000 };

} // namespace

Test(MinionHealth, ejectsAMinionThatFailsMoreThanOthers)
{
    auto health = healthOf(5);
    othersRunWell(health, 1, 5, start);
    cr_assert(!health.allowance(minion(0), start).has_value());
    recordMany(health, 0, TaskOutcome::Failed, 6, start);
    cr_assert(health.allowance(minion(0), start) == 0);
    cr_assert(!health.allowance(minion(1), start).has_value());
}

Test(MinionHealth, ejectsNobodyWhenAJobFailsEverywhere)
{
    auto health = healthOf(5);
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 5; ++i)
            recordMany(health, i, TaskOutcome::Failed, 1, start);
    }
    cr_assert(health.ejectedCount(start) == 0, "expected no ejected minion, got %zu", health.ejectedCount(start));
}

Test(MinionHealth, neverEjectsMoreThanItsShareOfTheMinions)
{
    auto health = healthOf(10);
    othersRunWell(health, 4, 10, start);
    for (int i = 0; i < 4; ++i)
        recordMany(health, i, TaskOutcome::Failed, 20, start);
    cr_assert(health.ejectedCount(start) == 3, "expected 3 of 10 ejected, got %zu", health.ejectedCount(start));
}

Test(MinionHealth, neverEjectsTheOnlyMinion)
{
    auto health = healthOf(1);
    recordMany(health, 0, TaskOutcome::Failed, 100, start);
    cr_assert(!health.allowance(minion(0), start).has_value());
}

Test(MinionHealth, probesWithOneTaskAndDoublesTheAllowance)
{
    auto health = healthOf(5);
    othersRunWell(health, 1, 5, start);
    recordMany(health, 0, TaskOutcome::Failed, 6, start);
    cr_assert(health.allowance(minion(0), afterEjection) == 1);
    recordMany(health, 0, TaskOutcome::Done, 1, afterEjection);
    cr_assert(health.allowance(minion(0), afterEjection) == 2);
    recordMany(health, 0, TaskOutcome::Done, 1, afterEjection);
    cr_assert(health.allowance(minion(0), afterEjection) == 4);
    recordMany(health, 0, TaskOutcome::Done, 1, afterEjection);
    cr_assert(!health.allowance(minion(0), afterEjection).has_value(), "expected it back after 3 good runs");
}

Test(MinionHealth, aFailedProbeEjectsForTwiceAsLong)
{
    auto health = healthOf(5);
    othersRunWell(health, 1, 5, start);
    recordMany(health, 0, TaskOutcome::Failed, 6, start);
    recordMany(health, 0, TaskOutcome::Failed, 1, afterEjection);
    cr_assert(health.allowance(minion(0), afterEjection + Milliseconds { 3'999 }) == 0);
    cr_assert(health.allowance(minion(0), afterEjection + Milliseconds { 4'000 }) == 1);
}

Test(MinionHealth, resultsOfInFlightRunsDoNotShortenAnEjection)
{
    auto health = healthOf(5);
    othersRunWell(health, 1, 5, start);
    recordMany(health, 0, TaskOutcome::Failed, 6, start);
    recordMany(health, 0, TaskOutcome::Done, 8, start + Milliseconds { 10 });
    cr_assert(health.allowance(minion(0), start + Milliseconds { 10 }) == 0);
    cr_assert(health.allowance(minion(0), afterEjection) == 1);
}

Test(MinionHealth, aBlackHoleGetsASmallShareOfASeededLoad)
{
    // Ten minions; number 0 fails every task at once. Each step offers a task to minion 0 whenever it is allowed one.
    auto health = healthOf(10);
    std::mt19937 random(7);
    int lostTasks = 0;
    constexpr int steps = 20'000;
    for (int step = 0; step < steps; ++step) {
        const Milliseconds now { step };
        const bool isAllowed = health.allowance(minion(0), now).value_or(slots) > 0;
        if (isAllowed) {
            ++lostTasks;
            health.record(minion(0), TaskOutcome::Failed, { 1 }, now);
        } else {
            health.record(minion(1 + static_cast<int>(random() % 9)), TaskOutcome::Done, runTime, now);
        }
        if (step % 10 == 0)
            health.record(minion(1 + static_cast<int>(random() % 9)), TaskOutcome::Done, runTime, now);
    }
    cr_assert(lostTasks < 30, "expected fewer than 30 tasks of %d sent to the minion that fails all, got %d", steps, lostTasks);
}

Test(MinionHealth, aStragglerIsLimitedInProportionToItsSpeed)
{
    auto health = healthOf(5);
    othersRunWell(health, 1, 5, start);
    recordMany(health, 0, TaskOutcome::Done, 20, start, runTime * 4);
    cr_assert(health.allowance(minion(0), start) == 2, "expected 8 slots / 4");
    recordMany(health, 0, TaskOutcome::Done, 40, start, runTime);
    cr_assert(!health.allowance(minion(0), start).has_value(), "expected no limit for a straggler that recovered");
}

Test(MinionHealth, aStragglerKeepsAtLeastOneTask)
{
    auto health = healthOf(5);
    othersRunWell(health, 1, 5, start);
    recordMany(health, 0, TaskOutcome::Done, 20, start, runTime * 1'000);
    cr_assert(health.allowance(minion(0), start) == 1);
}

Test(MinionHealth, backsOffExponentiallyFromAMinionThatRefuses)
{
    auto health = healthOf(2);
    recordMany(health, 0, TaskOutcome::NotStarted, 8, start);
    cr_assert(health.allowance(minion(0), start) == 0);
    const Milliseconds second = start + Milliseconds { 50 };
    cr_assert(!health.allowance(minion(0), second).has_value(), "expected eight simultaneous refusals to count as one");
    recordMany(health, 0, TaskOutcome::NotStarted, 1, second);
    cr_assert(health.allowance(minion(0), second + Milliseconds { 99 }) == 0);
    cr_assert(!health.allowance(minion(0), second + Milliseconds { 100 }).has_value());
}

// When a minion is killed, connection attempts to it fail at once. Without a backoff, an idempotent task would use up its
// retries there within milliseconds.
Test(MinionHealth, backsOffExponentiallyFromAMinionWhoseRunsEndUnknown)
{
    MinionHealth health({});
    for (int i = 0; i < 2; ++i)
        health.add(minion(i), 8);
    health.record(minion(0), TaskOutcome::Unknown, {}, start);
    cr_assert(health.allowance(minion(0), start + Milliseconds { 49 }) == 0);
    cr_assert(!health.allowance(minion(1), start).has_value(), "expected the other minion to take work");
    const Milliseconds second = start + Milliseconds { 50 };
    cr_assert(!health.allowance(minion(0), second).has_value());
    health.record(minion(0), TaskOutcome::Unknown, {}, second);
    cr_assert(health.allowance(minion(0), second + Milliseconds { 99 }) == 0);
    cr_assert(!health.allowance(minion(0), second + Milliseconds { 100 }).has_value());
}

Test(MinionHealth, ejectsAMinionOfWhichRunsAreStuckInARowWhateverItsRecord)
{
    MinionHealth health({});
    const SessionId slow { .instance = "slow" };
    for (const char* name : { "slow", "a", "b", "c" }) {
        health.add({ .instance = name }, 8);
        for (int i = 0; i < 100; ++i)
            health.record({ .instance = name }, TaskOutcome::Done, { 50 }, { 1'000 });
    }
    health.recordStuck(slow, { 1'000 });
    health.recordStuck(slow, { 1'000 });
    cr_assert(health.allowance(slow, { 1'001 }) != std::int64_t { 0 });
    health.recordStuck(slow, { 1'000 });
    cr_assert(health.allowance(slow, { 1'001 }) == std::int64_t { 0 });
}

Test(MinionHealth, ejectsNoneWhenRunsAreStuckEverywhere)
{
    MinionHealth health({});
    for (int round = 0; round < 10; ++round) {
        for (const char* name : { "a", "b", "c", "d" }) {
            health.add({ .instance = name }, 8);
            health.recordStuck({ .instance = name }, { 1'000 });
        }
    }
    cr_assert(health.ejectedCount({ 1'001 }) <= 1, "expected at most 1 ejected minion of 4, got %zu", health.ejectedCount({ 1'001 }));
}

#include "policy/SidecarLedger.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace oleanderport;

namespace {

const SessionId entryOne { .instance = "entry-1", .incarnation = 1 };
const SessionId entryTwo { .instance = "entry-2", .incarnation = 2 };
const JobKey key { .caller = "caller", .job = "job" };
constexpr Milliseconds now { 1'000 };
constexpr Milliseconds leaseEnd { 2'000 };
constexpr Milliseconds unixNow { 10'000 };
constexpr Milliseconds startBy { 20'000 };

TaskAssignment assignment(std::uint32_t task, std::uint32_t attempt = 1, std::uint64_t epoch = 1)
{
    return { .key = key, .task = task, .attempt = attempt, .epoch = epoch, .team = "team", .startByUnix = startBy };
}

SidecarLedger ledgerWith(std::int64_t slots) { return SidecarLedger({ .slots = slots, .retention = { 1'000 } }); }

bool starts(SidecarLedger& ledger) { return ledger.startNext(now, leaseEnd, unixNow).start.has_value(); }

} // namespace

Test(SidecarLedger, startsATaskOnceWhenItArrivesTwice)
{
    auto ledger = ledgerWith(4);
    ledger.accept(entryOne, assignment(0));
    ledger.accept(entryOne, assignment(0));
    cr_assert(starts(ledger));
    ledger.accept(entryOne, assignment(0));
    ledger.accept(entryOne, assignment(0, 2));
    cr_assert(!starts(ledger), "a task that has started must not start again");
}

Test(SidecarLedger, startsNothingAfterTheLeaseHasExpired)
{
    auto ledger = ledgerWith(4);
    ledger.accept(entryOne, assignment(0));
    cr_assert(!ledger.startNext(leaseEnd, leaseEnd, unixNow).start.has_value());
    cr_assert(starts(ledger), "expected the task to stay queued");
}

Test(SidecarLedger, startsNothingAfterItsStartByTime)
{
    auto ledger = ledgerWith(4);
    ledger.accept(entryOne, assignment(0));
    const auto next = ledger.startNext(now, leaseEnd, startBy);
    cr_assert(!next.start.has_value());
    cr_assert(next.refused.size() == 1);
    cr_assert(next.refused[0].outcome == TaskOutcome::NotStarted);
}

Test(SidecarLedger, neverExceedsItsSlots)
{
    auto ledger = ledgerWith(2);
    for (std::uint32_t i = 0; i < 5; ++i)
        ledger.accept(entryOne, assignment(i));
    cr_assert(starts(ledger));
    cr_assert(starts(ledger));
    cr_assert(!starts(ledger));
}

Test(SidecarLedger, refusesAFormerOwnerAfterACollect)
{
    auto ledger = ledgerWith(4);
    ledger.accept(entryOne, assignment(0));
    cr_assert(starts(ledger));
    ledger.accept(entryOne, assignment(1));
    const auto collected
        = ledger.collect({ .key = key, .epoch = 2, .owner = entryTwo, .deadlineUnix = startBy });
    cr_assert(collected.has_value());
    cr_assert(collected.assume_value().tasks.size() == 2);
    cr_assert(collected.assume_value().tasks[0].outcome == TaskOutcome::Running);
    cr_assert(collected.assume_value().tasks[1].outcome == TaskOutcome::NotStarted);
    const auto refusal = ledger.accept(entryOne, assignment(2));
    cr_assert(refusal.has_value());
    cr_assert(refusal->outcome == TaskOutcome::NotStarted);
    cr_assert(!starts(ledger));
}

Test(SidecarLedger, keepsARaisedEpochOfAJobWithoutTasks)
{
    auto ledger = ledgerWith(4);
    cr_assert(ledger.collect({ .key = key, .epoch = 2, .owner = entryTwo, .deadlineUnix = startBy }).has_value());
    ledger.removeExpired(unixNow);
    cr_assert(ledger.accept(entryOne, assignment(0)).has_value(), "expected a refusal of epoch 1 after epoch 2");
}

Test(SidecarLedger, refusesACollectOfALowerEpoch)
{
    auto ledger = ledgerWith(4);
    ledger.accept(entryTwo, assignment(0, 1, 3));
    const auto collected = ledger.collect({ .key = key, .epoch = 2, .owner = entryOne, .deadlineUnix = startBy });
    cr_assert(!collected.has_value());
    cr_assert(collected.assume_error().code == ErrorCode::StaleEpoch);
}

Test(SidecarLedger, mayStartAReturnedTaskAgain)
{
    auto ledger = ledgerWith(4);
    ledger.accept(entryOne, assignment(0));
    cr_assert(ledger.returnQueued().size() == 1);
    ledger.accept(entryOne, assignment(0, 2));
    cr_assert(starts(ledger));
}

Test(SidecarLedger, aTaskOfWhichAFormerAttemptMayHaveRunIsNeverReportedAsNotStartedToANewOwner)
{
    auto ledger = ledgerWith(4);
    TaskAssignment task = assignment(0);
    task.idempotent = true;
    ledger.accept(entryOne, task);
    const auto next = ledger.startNext(now, leaseEnd, unixNow);
    ledger.recordEnd(next.start->run, TaskOutcome::Unknown, "the minion is lost", { 5 });
    task.attempt = 2;
    ledger.accept(entryOne, task);
    const auto collected = ledger.collect({ .key = key, .epoch = 2, .owner = entryTwo, .deadlineUnix = startBy });
    cr_assert(collected.has_value() && collected.assume_value().tasks.size() == 1);
    cr_assert(collected.assume_value().tasks[0].outcome == TaskOutcome::Unknown, "expected unknown, since attempt 1 may have run");
}

Test(SidecarLedger, aFormerAttemptThatMayHaveRunIsNotForgottenWhenTheNextIsUnderWayAtACollect)
{
    auto ledger = ledgerWith(4);
    TaskAssignment task = assignment(0);
    task.idempotent = true;
    ledger.accept(entryOne, task);
    ledger.recordEnd(ledger.startNext(now, leaseEnd, unixNow).start->run, TaskOutcome::Unknown, "the minion is lost", { 5 });
    task.attempt = 2;
    ledger.accept(entryOne, task);
    const auto again = ledger.startNext(now, leaseEnd, unixNow);
    const auto collected = ledger.collect({ .key = key, .epoch = 2, .owner = entryTwo, .deadlineUnix = startBy });
    cr_assert(collected.assume_value().tasks[0].outcome == TaskOutcome::Running);
    const auto end = ledger.recordEnd(again.start->run, TaskOutcome::NotStarted, "the minion refused it", {});
    cr_assert(end && end->epoch == 2);
    cr_assert(end->outcome == TaskOutcome::Unknown, "expected unknown, since attempt 1 may have run");
}

Test(SidecarLedger, reportsTheEndOfARunOnce)
{
    auto ledger = ledgerWith(4);
    ledger.accept(entryOne, assignment(0));
    const auto next = ledger.startNext(now, leaseEnd, unixNow);
    const auto first = ledger.recordEnd(next.start->run, TaskOutcome::Done, "answer", { 5 });
    cr_assert(first.has_value());
    cr_assert(first->body == "answer");
    cr_assert(!ledger.recordEnd(next.start->run, TaskOutcome::Done, "again", { 5 }).has_value());
}

Test(SidecarLedger, cancelDropsQueuedTasksAndNamesRunsToStop)
{
    auto ledger = ledgerWith(1);
    ledger.accept(entryOne, assignment(0));
    ledger.accept(entryOne, assignment(1));
    const auto next = ledger.startNext(now, leaseEnd, unixNow);
    const auto cancelled = ledger.cancel({ .key = key, .epoch = 1 });
    cr_assert(cancelled.stop.size() == 1);
    cr_assert(cancelled.stop[0] == next.start->run);
    ledger.recordEnd(next.start->run, TaskOutcome::Failed, "stopped", {});
    cr_assert(!starts(ledger));
}

Test(SidecarLedger, keepsARunningJobPastItsRetention)
{
    auto ledger = ledgerWith(1);
    ledger.accept(entryOne, assignment(0));
    const auto next = ledger.startNext(now, leaseEnd, unixNow);
    const Milliseconds past = startBy + Milliseconds { 1'001 };
    ledger.removeExpired(past);
    cr_assert(ledger.recordEnd(next.start->run, TaskOutcome::Done, "answer", {}).has_value());
    ledger.removeExpired(past + Milliseconds { 1'001 });
    cr_assert(!ledger.ownerOf(key).has_value());
}

Test(SidecarLedger, endsEveryRunAsUnknownWhenTheMinionIsLost)
{
    auto ledger = ledgerWith(2);
    ledger.accept(entryOne, assignment(0));
    ledger.accept(entryOne, assignment(1));
    const auto first = ledger.startNext(now, leaseEnd, unixNow).start;
    ledger.startNext(now, leaseEnd, unixNow);
    const auto lost = ledger.endRunningAsUnknown();
    cr_assert(lost.size() == 2, "expected 2 results, actual %zu", lost.size());
    cr_assert(lost[0].outcome == TaskOutcome::Unknown);
    cr_assert(ledger.running() == 0);
    cr_assert(!ledger.recordEnd(first->run, TaskOutcome::Done, "late", {}), "expected a late answer to be ignored");
}

Test(SidecarLedger, startsTeamsByWeightWhicheverEntrySentTheirTasks)
{
    SidecarLedger ledger({ .slots = 100, .runPrefix = "w-" });
    for (std::uint32_t i = 0; i < 8; ++i) {
        const SessionId entry { .instance = i % 2 == 0 ? "entry-1" : "entry-2", .incarnation = 1 };
        for (const auto* team : { "light", "heavy" }) {
            const TaskAssignment assignment { .key = { .caller = team, .job = "job-" + entry.instance },
                .task = i,
                .attempt = 1,
                .epoch = 1,
                .team = team,
                .startByUnix = { 1'000 } };
            ledger.accept(entry, assignment, std::string(team) == "heavy" ? 3 : 1);
        }
    }
    int heavy = 0;
    for (int i = 0; i < 8; ++i) {
        const auto next = ledger.startNext({ 0 }, { 10 }, { 0 });
        cr_assert(next.start.has_value(), "expected start %d of 8", i + 1);
        heavy += next.start->assignment.team == "heavy" ? 1 : 0;
    }
    cr_assert_eq(heavy, 6, "expected 6 of the first 8 starts for the team of weight 3, got %d", heavy);
}

Test(SidecarLedger, aCancellationNamesEveryRunOfItsJobAndNoOther)
{
    auto ledger = ledgerWith(4);
    const JobKey otherKey { .caller = "caller", .job = "other" };
    for (std::uint32_t i = 0; i < 2; ++i) {
        ledger.accept(entryOne, assignment(i));
        TaskAssignment other = assignment(i);
        other.key = otherKey;
        ledger.accept(entryOne, other);
    }
    std::vector<TaskStart> running;
    while (const auto next = ledger.startNext(now, leaseEnd, unixNow).start)
        running.push_back(*next);
    const auto ended = std::find_if(running.begin(), running.end(),
        [](const TaskStart& start) { return start.assignment.key == key && start.assignment.task == 0; });
    ledger.recordEnd(ended->run, TaskOutcome::Done, "", {});
    const auto cancelled = ledger.cancel({ .key = key, .epoch = 1 });
    cr_assert(cancelled.stop.size() == 1, "expected 1 run to stop, got %zu", cancelled.stop.size());
    const auto stopped = std::find_if(running.begin(), running.end(),
        [&](const TaskStart& start) { return start.run == cancelled.stop[0]; });
    cr_assert(stopped->assignment.key == key && stopped->assignment.task == 1);
}

Test(SidecarLedger, runningTasksNeverDeclareMoreThanTheMinionHas)
{
    SidecarLedger ledger({ .slots = 8, .capacity = { .memoryMb = 100 } });
    for (std::uint32_t i = 0; i < 4; ++i) {
        TaskAssignment task = assignment(i);
        task.needs.memoryMb = 40;
        ledger.accept(entryOne, task);
    }
    const auto first = ledger.startNext(now, leaseEnd, unixNow);
    cr_assert(first.start.has_value());
    cr_assert(starts(ledger));
    cr_assert(!starts(ledger), "a third task of 40 MB does not fit into 100 MB");
    cr_assert(ledger.queued() == 2, "expected 2 queued tasks");
    ledger.recordEnd(first.start->run, TaskOutcome::Done, "", {});
    cr_assert(starts(ledger));
}

Test(SidecarLedger, aTaskThatDoesNotFitYetKeepsItsTurn)
{
    SidecarLedger ledger({ .slots = 8, .capacity = { .cpuMillis = 1'000 } });
    TaskAssignment small = assignment(0);
    small.needs.cpuMillis = 600;
    TaskAssignment large = assignment(1);
    large.needs.cpuMillis = 900;
    TaskAssignment late = assignment(2);
    late.needs.cpuMillis = 100;
    ledger.accept(entryOne, small);
    const auto first = ledger.startNext(now, leaseEnd, unixNow);
    ledger.accept(entryOne, large);
    ledger.accept(entryOne, late);
    cr_assert(!starts(ledger), "the small task must not pass the large one");
    ledger.recordEnd(first.start->run, TaskOutcome::Done, "", {});
    const auto next = ledger.startNext(now, leaseEnd, unixNow);
    cr_assert(next.start && next.start->assignment.task == 1);
}

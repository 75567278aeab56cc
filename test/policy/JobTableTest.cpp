#include "policy/JobTable.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

const SessionId sidecarOne { .instance = "sidecar-1", .incarnation = 1 };
const SessionId sidecarTwo { .instance = "sidecar-2", .incarnation = 2 };
constexpr Milliseconds deadline { 10'000 };

JobSpec jobOf(std::size_t tasks, bool idempotent = false)
{
    return { .key = { .caller = "caller", .job = "job" },
        .team = "team",
        .service = "service",
        .deadlineUnix = deadline,
        .idempotent = idempotent,
        .tasks = std::vector<TaskSpec>(tasks) };
}

TaskResult resultFor(const TaskAssignment& assignment, TaskOutcome outcome, const std::string& body = "answer")
{
    return { .key = assignment.key,
        .task = assignment.task,
        .attempt = assignment.attempt,
        .epoch = assignment.epoch,
        .outcome = outcome,
        .body = body };
}

JobTable tableWith(const JobSpec& spec)
{
    JobTable table({});
    table.add(spec, "digest", 1, 1);
    return table;
}

JobState stateOf(const JobTable& table) { return table.answer(jobOf(1).key)->state; }

} // namespace

Test(JobTable, completesOnlyWithEveryResultAndInTaskOrder)
{
    auto table = tableWith(jobOf(2));
    const auto taken = table.take("service", sidecarOne, 2);
    cr_assert(table.result(sidecarOne, resultFor(taken[1], TaskOutcome::Done, "second")));
    cr_assert(stateOf(table) == JobState::Running);
    cr_assert(table.answer(jobOf(1).key)->results.empty(), "a running job shows no partial results");
    cr_assert(table.result(sidecarOne, resultFor(taken[0], TaskOutcome::Done, "first")));
    const auto answer = table.answer(jobOf(1).key);
    cr_assert(answer->state == JobState::Complete);
    cr_assert(answer->results[0] == "first");
    cr_assert(answer->results[1] == "second");
}

Test(JobTable, dropsDoubledForeignAndStaleResults)
{
    auto table = tableWith(jobOf(2));
    const auto taken = table.take("service", sidecarOne, 1);
    auto result = resultFor(taken[0], TaskOutcome::Done);
    cr_assert(!table.result(sidecarTwo, result), "another sidecar's answer is foreign");
    result.epoch = 2;
    cr_assert(!table.result(sidecarOne, result), "another epoch's answer is foreign");
    result.epoch = 1;
    result.attempt = 2;
    cr_assert(!table.result(sidecarOne, result), "another attempt's answer is foreign");
    result.attempt = 1;
    cr_assert(table.result(sidecarOne, result));
    cr_assert(!table.result(sidecarOne, result), "a doubled answer changes nothing");
}

Test(JobTable, placesATaskElsewhereOnlyWhenItIsProvedNotStarted)
{
    auto table = tableWith(jobOf(1));
    const auto taken = table.take("service", sidecarOne, 1);
    cr_assert(table.take("service", sidecarTwo, 1).empty());
    cr_assert(table.result(sidecarOne, resultFor(taken[0], TaskOutcome::NotStarted)));
    const auto again = table.take("service", sidecarTwo, 1);
    cr_assert(again.size() == 1);
    cr_assert(again[0].attempt == 2);
}

Test(JobTable, failsAJobWhoseSidecarIsLostAndSaysThatItMayHaveRun)
{
    auto table = tableWith(jobOf(2));
    table.take("service", sidecarOne, 1);
    table.sidecarLost(sidecarOne);
    const auto answer = table.answer(jobOf(1).key);
    cr_assert(answer->state == JobState::Failed);
    cr_assert(answer->error->ran == Ran::Unknown);
    cr_assert(answer->results.empty());
    cr_assert(answer->failures.size() == 2);
    cr_assert(answer->failures[0].outcome == TaskOutcome::Unknown);
    cr_assert(answer->failures[1].outcome == TaskOutcome::NotStarted);
    cr_assert(table.queued("service") == 0, "a failed job starts nothing more");
}

Test(JobTable, triesAnIdempotentTaskAgainAfterAnUnknownOutcome)
{
    auto table = tableWith(jobOf(1, true));
    table.take("service", sidecarOne, 1);
    table.sidecarLost(sidecarOne);
    cr_assert(stateOf(table) == JobState::Running);
    cr_assert(table.take("service", sidecarTwo, 1).size() == 1);
}

Test(JobTable, saysNotRunWhenTheDeadlinePassesBeforeAnyStart)
{
    auto table = tableWith(jobOf(3));
    table.tick(deadline);
    const auto answer = table.answer(jobOf(1).key);
    cr_assert(answer->state == JobState::Failed);
    cr_assert(answer->error->code == ErrorCode::DeadlinePassed);
    cr_assert(answer->error->ran == Ran::No);
}

Test(JobTable, doesNotQueueAnAdoptedJobBeforeEverySidecarIsHeard)
{
    JobTable table({});
    table.adopt(jobOf(3), "digest", 2, 1, { sidecarOne, sidecarTwo });
    const auto key = jobOf(1).key;
    table.collected(key, sidecarOne,
        { { .key = key, .task = 1, .attempt = 1, .epoch = 2, .outcome = TaskOutcome::Done, .body = "kept" } });
    cr_assert(table.queued("service") == 0);
    table.collected(key, sidecarTwo,
        { { .key = key, .task = 2, .attempt = 1, .epoch = 2, .outcome = TaskOutcome::Running } });
    cr_assert(table.queued("service") == 1, "only the task that never started is queued");
    const auto taken = table.take("service", sidecarOne, 5);
    cr_assert(taken.size() == 1);
    cr_assert(taken[0].task == 0);
}

Test(JobTable, failsAnAdoptedJobWhenASidecarThatMayHoldItIsLost)
{
    JobTable table({});
    table.adopt(jobOf(1), "digest", 2, 1, { sidecarOne });
    table.sidecarLost(sidecarOne);
    const auto answer = table.answer(jobOf(1).key);
    cr_assert(answer->state == JobState::Failed);
    cr_assert(answer->error->ran == Ran::Unknown);
}

Test(JobTable, cancelStopsWhatIsBoundAndDropsWhatWaits)
{
    auto table = tableWith(jobOf(3));
    table.take("service", sidecarOne, 1);
    cr_assert(table.cancel(jobOf(1).key));
    cr_assert(!table.cancel(jobOf(1).key), "cancelling again changes nothing");
    const auto cancellations = table.drainCancellations();
    cr_assert(cancellations.size() == 1);
    cr_assert(cancellations[0].sidecar == sidecarOne);
    cr_assert(table.queued("service") == 0);
}

Test(JobTable, tellsSameContentFromOtherContent)
{
    const auto table = tableWith(jobOf(1));
    cr_assert(table.match(jobOf(1).key, "digest") == Match::Same);
    cr_assert(table.match(jobOf(1).key, "other") == Match::Conflict);
    cr_assert(table.match({ .caller = "caller", .job = "another" }, "digest") == Match::None);
}

Test(JobTable, givesUpATaskThatIsReturnedAfterTheDeadline)
{
    auto table = tableWith(jobOf(1));
    const auto taken = table.take("service", sidecarOne, 1);
    table.tick(deadline);
    cr_assert(stateOf(table) == JobState::Running, "a bound task may have started in time");
    cr_assert(table.result(sidecarOne, resultFor(taken[0], TaskOutcome::NotStarted)));
    cr_assert(stateOf(table) == JobState::Failed);
    cr_assert(table.answer(jobOf(1).key)->error->ran == Ran::No);
}

Test(JobTable, keepsAnAnswerUntilItsRetentionEnds)
{
    auto table = tableWith(jobOf(1));
    const auto taken = table.take("service", sidecarOne, 1);
    table.result(sidecarOne, resultFor(taken[0], TaskOutcome::Done));
    const Milliseconds end = deadline + JobTableOptions {}.answerRetention;
    table.tick(end);
    cr_assert(table.answer(jobOf(1).key).has_value());
    table.tick(end + Milliseconds { 1 });
    cr_assert(!table.answer(jobOf(1).key).has_value());
}

Test(JobTable, keepsAResultThatOvertakesTheAnswerToTheCollectCall)
{
    JobTable table({});
    table.adopt(jobOf(2), "digest", 2, 1, { sidecarOne });
    TaskResult ended { .key = jobOf(1).key, .task = 0, .attempt = 1, .epoch = 2, .outcome = TaskOutcome::Done };
    ended.body = "first";
    cr_assert(table.result(sidecarOne, ended));
    cr_assert(!table.result(sidecarOne, ended), "a doubled early result changes nothing");
    cr_assert(!table.result(sidecarTwo, ended), "a sidecar that is not asked holds nothing");
    TaskResult running = ended;
    running.outcome = TaskOutcome::Running;
    table.collected(jobOf(1).key, sidecarOne, { running });
    const auto taken = table.take("service", sidecarOne, 2);
    cr_assert(taken.size() == 1, "expected the task that never started, actual %zu tasks", taken.size());
    cr_assert(table.result(sidecarOne, resultFor(taken[0], TaskOutcome::Done, "second")));
    cr_assert(stateOf(table) == JobState::Complete);
    cr_assert(table.answer(jobOf(1).key)->results[0] == "first");
}

Test(JobTable, doesNotSayThatARequestDidNotRunAfterAnUnknownAttempt)
{
    JobTable table({ .maxAttempts = 2 });
    table.add(jobOf(1, true), "digest", 1, 1);
    const auto first = table.take("service", sidecarOne, 1);
    cr_assert(table.result(sidecarOne, resultFor(first[0], TaskOutcome::Unknown)));
    const auto second = table.take("service", sidecarTwo, 1);
    cr_assert(table.result(sidecarTwo, resultFor(second[0], TaskOutcome::NotStarted)));
    const auto answer = table.answer(jobOf(1).key);
    cr_assert(answer->state == JobState::Failed);
    cr_assert(answer->error->ran == Ran::Unknown, "expected ran unknown, actual no");
    cr_assert(answer->failures[0].outcome == TaskOutcome::Unknown);
}

Test(JobTable, doesNotSayThatACancelledRequestDidNotRunAfterAnUnknownAttempt)
{
    auto table = tableWith(jobOf(1, true));
    const auto first = table.take("service", sidecarOne, 1);
    cr_assert(table.result(sidecarOne, resultFor(first[0], TaskOutcome::Unknown)));
    cr_assert(table.cancel(jobOf(1).key));
    cr_assert(table.answer(jobOf(1).key)->error->ran == Ran::Unknown, "expected ran unknown, actual no");
}

namespace {

constexpr int tooManySends = 10'000;

// Lets a sidecar refuse every task until the job has ended. Returns the number of sends.
int refuseUntilEnd(JobTable& table)
{
    int sends = 0;
    while (stateOf(table) == JobState::Running && sends < tooManySends) {
        for (const auto& task : table.take("service", sidecarOne, 100)) {
            ++sends;
            table.result(sidecarOne, resultFor(task, TaskOutcome::NotStarted));
        }
    }
    return sends;
}

} // namespace

Test(JobTable, endsAtOnceAndTruthfullyWhenTheRetryBudgetIsSpent)
{
    JobTable table({ .maxAttempts = 100, .retries = { .tokenRatio = 0, .maxTokens = 3 }, .retryAfter = { 700 } });
    table.add(jobOf(1), "digest", 1, 1);
    const int sends = refuseUntilEnd(table);
    cr_assert(sends == 4, "expected 1 attempt and 3 retries, got %d sends", sends);
    const auto answer = table.answer(jobOf(1).key);
    cr_assert(answer->error->code == ErrorCode::Overloaded);
    cr_assert(answer->error->ran == Ran::No);
    cr_assert(answer->error->retryAfter == Milliseconds { 700 });
}

Test(JobTable, triesATaskNoMoreThanItsAttempts)
{
    JobTable table({ .maxAttempts = 4 });
    table.add(jobOf(1), "digest", 1, 1);
    const int sends = refuseUntilEnd(table);
    cr_assert(sends == 4, "expected 4 sends, got %d", sends);
    cr_assert(table.answer(jobOf(1).key)->error->code == ErrorCode::MinionRefused);
    cr_assert(table.answer(jobOf(1).key)->error->ran == Ran::No);
}

Test(JobTable, retriesOfManyTasksStayWithinTheShare)
{
    JobTable table({ .maxAttempts = 100, .retries = { .tokenRatio = 0.2, .maxTokens = 10 } });
    table.add(jobOf(990), "digest", 1, 1);
    const int sends = refuseUntilEnd(table);
    cr_assert(sends <= 990 + 10 + 198, "expected at most 1198 sends, got %d", sends);
}

Test(JobTable, anUnknownEndIsTriedAgainOnlyWhenIdempotentAndWithinTheBudget)
{
    for (const bool idempotent : { false, true }) {
        JobTable table({ .maxAttempts = 100, .retries = { .tokenRatio = 0, .maxTokens = 2 } });
        table.add(jobOf(1, idempotent), "digest", 1, 1);
        int sends = 0;
        while (stateOf(table) == JobState::Running && sends < tooManySends) {
            ++sends;
            const auto taken = table.take("service", sidecarOne, 1);
            cr_assert(taken.size() == 1);
            table.result(sidecarOne, resultFor(taken[0], TaskOutcome::Unknown));
        }
        const int expected = idempotent ? 3 : 1;
        cr_assert(sends == expected, "expected %d sends, got %d", expected, sends);
        cr_assert(table.answer(jobOf(1).key)->error->ran == Ran::Unknown);
    }
}

Test(JobTable, anIdempotentTaskIsNotTriedAgainAfterItsDeadline)
{
    auto table = tableWith(jobOf(1, true));
    const auto taken = table.take("service", sidecarOne, 1);
    table.tick(deadline);
    table.result(sidecarOne, resultFor(taken[0], TaskOutcome::Unknown));
    cr_assert(stateOf(table) == JobState::Failed, "a task that can no longer start must not wait for ever");
}

Test(JobTable, spendsNoRetryOnWhatIsGivenBackByPlan)
{
    JobTable table({ .retries = { .tokenRatio = 0, .maxTokens = 0 } });
    table.add(jobOf(1), "digest", 1, 1);
    auto returned = resultFor(table.take("service", sidecarOne, 1)[0], TaskOutcome::NotStarted);
    returned.byPlan = true;
    cr_assert(table.result(sidecarOne, returned));
    cr_assert(stateOf(table) == JobState::Running, "a planned return must not fail the job");
    cr_assert(table.take("service", sidecarTwo, 1).size() == 1);
}

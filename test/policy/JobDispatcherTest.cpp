#include "policy/JobDispatcher.h"

#include "support/DispatchLoad.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace oleanderport;

namespace {

constexpr Milliseconds patience { 3'000 };
// Time for every sidecar to connect and learn its minion.
constexpr Milliseconds settle { 100 };

ModelQueue slowQueue()
{
    ModelQueue queue = calloutQueue();
    queue.tasks = 1;
    return queue;
}

const char* kindOf(const ModelOutcome& outcome)
{
    return outcome.kind ? dispatchEndKindName(*outcome.kind).data() : "none";
}

void assertNothingRanTwice(const DispatchModel& model)
{
    cr_assert(model.violations().empty(), "expected no task to run twice at once, got %zu cases; the first: %s",
        model.violations().size(), model.violations().empty() ? "" : model.violations().front().c_str());
}

void assertCompleted(const DispatchModel& model, std::size_t index)
{
    const ModelOutcome& outcome = model.outcome(index);
    cr_assert(outcome.kind == DispatchEndKind::Completed, "expected %s to be completed, got %s (%s)",
        outcome.job.c_str(), kindOf(outcome), outcome.reason.c_str());
}

} // namespace

Test(JobDispatcher, completesAJobOfManyTasksInItsObjective)
{
    DispatchModel model({});
    model.runFor(settle);
    const auto job = model.submit(0, lookupQueue(), "a", patience);
    model.runFor({ 400 });
    assertCompleted(model, job);
    const ModelOutcome& outcome = model.outcome(job);
    cr_assert((outcome.endedAt - outcome.arrived) <= outcome.objective, "took %ld ms, objective %ld ms",
        static_cast<long>((outcome.endedAt - outcome.arrived).count), static_cast<long>(outcome.objective.count));
    cr_assert(model.starts() == 8, "expected 8 starts, got %zu", model.starts());
}

Test(JobDispatcher, refusesWhatFitsNoMinionAtOnce)
{
    DispatchModel model({});
    model.runFor({ 3'000 });
    ModelQueue queue = bookingQueue();
    queue.needs.cpuMillis = 100'000;
    const auto job = model.submit(0, queue, "a", patience);
    model.runFor({ 1 });
    cr_assert(model.outcome(job).kind == DispatchEndKind::Refused, "got %s", kindOf(model.outcome(job)));
    cr_assert(model.outcome(job).retryAfter.count > 0);
    cr_assert(model.starts() == 0);
}

// An estimate near 2^63 must not overflow in the objective of its job and put it ahead of others (issue #34, odd entries).
Test(JobDispatcher, aJobWithAHugeEstimateDoesNotOvertakeOthers)
{
    DispatchModel model({});
    model.runFor(settle);
    ModelQueue huge = lookupQueue();
    huge.needs.runTime = { 1'000'000'000'000 };
    const auto odd = model.submit(0, huge, "odd", patience);
    const auto job = model.submit(0, lookupQueue(), "a", patience);
    model.runFor({ 400 });
    assertCompleted(model, job);
    cr_assert(model.outcome(odd).kind == DispatchEndKind::Refused, "got %s", kindOf(model.outcome(odd)));
}

Test(JobDispatcher, failsAJobWhoseTaskFailsAsOftenAsItsQueueAllows)
{
    DispatchModel model({});
    model.runFor(settle);
    ModelQueue queue = bookingQueue();
    queue.tasks = 1;
    queue.failing = true;
    const auto job = model.submit(0, queue, "a", patience);
    model.runFor({ 2'000 });
    cr_assert(model.outcome(job).kind == DispatchEndKind::Failed, "got %s", kindOf(model.outcome(job)));
    cr_assert(model.starts() == 2, "expected 2 attempts, got %zu", model.starts());
}

Test(JobDispatcher, triesAFailedTaskOnAnotherMinion)
{
    DispatchModel model({ .sidecars = 3 });
    model.runFor(settle);
    for (int i = 0; i < 2; ++i)
        model.failMinion(i, 1);
    ModelQueue queue = bookingQueue();
    queue.config.maxAttempts = 3;
    const auto job = model.submit(0, queue, "a", patience);
    model.runFor({ 2'000 });
    assertCompleted(model, job);
}

Test(JobDispatcher, joinsASecondSubmissionOfTheSameJob)
{
    DispatchModel model({});
    model.runFor(settle);
    const auto first = model.submit(0, bookingQueue(), "a", patience);
    model.runFor({ 50 });
    const auto second = model.submit(0, bookingQueue(), "a", patience);
    model.runFor({ 1'000 });
    assertCompleted(model, first);
    assertCompleted(model, second);
    cr_assert(model.starts() == 2, "expected the two tasks to start once, got %zu starts", model.starts());
}

Test(JobDispatcher, stopsAJobWhoseCallerHasGone)
{
    DispatchModel model({});
    model.runFor(settle);
    const auto job = model.submit(0, calloutQueue(), "a", patience);
    model.runFor({ 100 });
    model.abandon(job);
    model.runFor({ 100 });
    for (int i = 0; i < 4; ++i)
        cr_assert(model.running(i) == 0, "expected nothing to run on minion %d", i);
    cr_assert(model.jobsAt(0) == 0);
}

Test(JobDispatcher, takesARefusalForRefusedOnlyWhileNothingHasStarted)
{
    DispatchModel model({ .sidecars = 1 });
    model.runFor({ 3'000 });
    // Fills the minion, so that the second job cannot begin in time.
    ModelQueue filling = calloutQueue();
    filling.tasks = 10;
    filling.needs.runTime = { 2'500 };
    model.submit(0, filling, "filling", { 6'000 });
    model.runFor({ 50 });
    const auto job = model.submit(0, bookingQueue(), "a", { 1'000 });
    model.runFor({ 5'000 });
    cr_assert(model.outcome(job).kind == DispatchEndKind::Refused, "got %s", kindOf(model.outcome(job)));
    const Milliseconds held = model.outcome(job).endedAt - model.outcome(job).arrived;
    cr_assert(held < Milliseconds { 1'000 }, "refused only after %ld ms", static_cast<long>(held.count));
    // A begun job that passes its deadline must not end as refused.
    ModelQueue endless = slowQueue();
    endless.realRunThousandths = 10'000;
    const auto begun = model.submit(0, endless, "b", { 1'500 });
    model.runFor({ 2'000 });
    cr_assert(model.outcome(begun).kind == DispatchEndKind::Unfinished, "got %s", kindOf(model.outcome(begun)));
}

// An entry is paused or restarts while its tasks run: the caller resubmits the job at another entry after 1,300 ms.
Test(JobDispatcher, runsNoTaskTwiceWhenAnEntryFreezesOrDies)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        DispatchModel model({ .seed = seed });
        model.runFor(settle);
        ModelQueue queue = calloutQueue();
        queue.needs.runTime = { 2'500 };
        model.submit(0, queue, "a", { 5'000 });
        model.runFor({ 100 + static_cast<std::int64_t>(seed) * 7 });
        if (seed % 2 == 0)
            model.restartEntry(0);
        else
            model.freezeEntry(0, { 4'000 });
        model.runFor({ 1'300 });
        const auto again = model.submit(1, queue, "a", { 5'000 });
        model.runFor({ 5'000 });
        assertNothingRanTwice(model);
        assertCompleted(model, again);
    }
}

Test(JobDispatcher, runsNoTaskTwiceWhenASidecarFreezesOrDies)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        DispatchModel model({ .seed = seed });
        model.runFor(settle);
        ModelQueue queue = calloutQueue();
        queue.needs.runTime = { 1'800 };
        const auto job = model.submit(0, queue, "a", { 8'000 });
        model.runFor({ 100 + static_cast<std::int64_t>(seed) * 11 });
        for (int i = 0; i < 2; ++i) {
            if (seed % 2 == 0)
                model.restartSidecar(i);
            else
                model.freezeSidecar(i, { 4'000 });
        }
        model.runFor({ 9'000 });
        assertNothingRanTwice(model);
        assertCompleted(model, job);
    }
}

Test(JobDispatcher, runsNoTaskTwiceWhenMessagesAreLost)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        DispatchModel model({ .seed = seed });
        model.runFor(settle);
        ModelQueue queue = calloutQueue();
        queue.needs.runTime = { 1'800 };
        const auto job = model.submit(0, queue, "a", { 9'000 });
        model.runFor({ 50 + static_cast<std::int64_t>(seed) * 13 });
        for (int i = 0; i < 2; ++i)
            model.cut(0, i, { 300 + static_cast<std::int64_t>(seed) * 150 });
        model.runFor({ 10'000 });
        assertNothingRanTwice(model);
        assertCompleted(model, job);
    }
}

Test(JobDispatcher, goesOnOverAResetStreamWithoutStartingAnew)
{
    DispatchModel model({});
    model.runFor(settle);
    const auto job = model.submit(0, calloutQueue(), "a", patience);
    model.runFor({ 200 });
    for (int i = 0; i < 4; ++i)
        model.reset(0, i);
    model.runFor({ 2'000 });
    assertCompleted(model, job);
    cr_assert(model.starts() == 4, "expected 4 starts, got %zu", model.starts());
}

Test(JobDispatcher, anEndOfALostRunNeverCountsForTheSameJobSubmittedAgain)
{
    JobDispatcher dispatcher({ .incarnation = "entry/1", .dataCentre = "dc" });
    Milliseconds now { 100'000 };
    SidecarFrame greeting { .sidecar = "sidecar/1", .clock = now, .framesSeen = 1 };
    greeting.state = MinionState { .service = "service", .dataCentre = "dc", .capacity = { .cpuMillis = 64'000, .memoryMb = 1'000 }, .accepting = true };
    const auto submitAndTakeOrder = [&] {
        const ModelQueue queue = slowQueue();
        QueueConfig config = queue.config;
        config.service = "service";
        dispatcher.connected("sidecar-0", now);
        dispatcher.received("sidecar-0", greeting, now);
        dispatcher.act(now);
        dispatcher.submit({ .name = "a", .queue = config, .deadline = now + patience, .steps = { { .needs = queue.needs } } }, now);
        const auto frames = dispatcher.act(now).frames;
        cr_assert(frames.size() == 1 && frames[0].frame.requests.size() == 1, "expected one order, got %zu frames", frames.size());
        const RunRequest& order = frames[0].frame.requests[0];
        return RunName { .job = order.job, .index = order.tasks.at(0).index, .run = order.tasks.at(0).run, .submission = order.submission };
    };
    const RunName former = submitAndTakeOrder();
    dispatcher.disconnected("sidecar-0");
    now = now + patience;
    const auto lost = dispatcher.act(now);
    cr_assert(lost.ends.size() == 1 && lost.ends[0].kind == DispatchEndKind::Unfinished);
    const RunName again = submitAndTakeOrder();
    cr_assert(again != former, "expected a run of another name, got run %lu again", static_cast<unsigned long>(again.run));
    dispatcher.received("sidecar-0", { .clock = now, .framesSeen = 2, .ends = { { .number = 1, .run = former, .kind = RunEndKind::NotStarted } } }, now);
    cr_assert(dispatcher.runsAt("sidecar-0") == 1, "expected the run to be under way still");
}

// A busy entry with unread frames must not treat its sidecars as idle: reconnecting would add to its load.
Test(JobDispatcher, reconnectsToNoSidecarWhileFramesAreUnread)
{
    JobDispatcher dispatcher({ .incarnation = "entry/1" });
    Milliseconds now { 50'000 };
    dispatcher.connected("sidecar", now);
    dispatcher.received("sidecar", { .sidecar = "sidecar/1", .clock = now }, now);
    dispatcher.act(now);
    now = now + Milliseconds { 3'000 };
    cr_assert(dispatcher.act(now, false).reconnect.empty());
    cr_assert(dispatcher.act(now, true).reconnect.size() == 1);
}

// A sidecar removes an entry without runs once its stream has closed; ends must still arrive after a reconnect.
Test(JobDispatcher, receivesEndsFromASidecarThatHadRemovedIt)
{
    DispatchModel model({ .entries = 1, .sidecars = 1 });
    model.runFor(settle);
    const auto before = model.submit(0, bookingQueue(), "a", patience);
    model.runFor({ 5'000 });
    assertCompleted(model, before);
    model.reset(0, 0);
    model.runFor({ 5'000 });
    const auto after = model.submit(0, bookingQueue(), "b", patience);
    model.runFor({ 1'000 });
    assertCompleted(model, after);
}

Test(JobDispatcher, servesOnWhileAnswersOfMinionsAreLost)
{
    DispatchModel model({ .seed = 4 });
    model.runFor({ 3'000 });
    model.delayOrders(0.05);
    DispatchLoad load(model, 3, 11);
    const Milliseconds from = model.now();
    load.offer(30, from, { 10'000 });
    model.runFor({ 25'000 });
    assertNothingRanTwice(model);
    const ServedShares shares = servedShares(model, from, from + Milliseconds { 10'000 });
    cr_assert(shares.open == 0, "%zu jobs got no end", shares.open);
    cr_assert(shares.inObjective + shares.late >= 0.98, "expected 98%% served, got %.3f in objective, %.3f late",
        shares.inObjective, shares.late);
}

// For ten seconds of ordinary load, minions leave half of the start requests unanswered and execute them two to twelve seconds late.
Test(JobDispatcher, servesOnWhileHalfOfTheOrdersAreNotAnswered)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        DispatchModel model({ .sidecars = 11, .seed = seed });
        model.runFor({ 3'000 });
        DispatchLoad load(model, 3, seed);
        const Milliseconds from = model.now();
        const Milliseconds until = from + Milliseconds { 10'000 };
        load.offer(140, from, { 10'000 });
        model.delayOrders(0.5);
        model.at(until, [&model] { model.delayOrders(0); });
        model.runFor({ 25'000 });
        assertNothingRanTwice(model);
        const ServedShares shares = servedShares(model, from, until);
        cr_assert(shares.open == 0, "%zu jobs got no end", shares.open);
        cr_assert(shares.inObjective + shares.late >= 0.9, "seed %llu: expected nine tenths served, got %.3f in objective, %.3f late, %.3f refused",
            static_cast<unsigned long long>(seed), shares.inObjective, shares.late, shares.refused);
    }
}

Test(JobDispatcher, runsNoTaskTwiceThroughRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        DispatchModel model({ .sidecars = 5, .seed = seed });
        model.runFor({ 3'000 });
        model.delayOrders(0.03);
        DispatchLoad load(model, 3, seed);
        const Milliseconds from = model.now();
        load.offer(40, from, { 20'000 });
        std::mt19937_64 random(seed);
        for (int i = 0; i < 40; ++i) {
            const Milliseconds when = from + Milliseconds { static_cast<std::int64_t>(random() % 20'000) };
            const int entry = static_cast<int>(random() % 3);
            const int sidecar = static_cast<int>(random() % 5);
            const Milliseconds span { 200 + static_cast<std::int64_t>(random() % 4'000) };
            switch (random() % 7) {
            case 0:
                model.at(when, [&model, entry, span] { model.freezeEntry(entry, span); });
                break;
            case 1:
                model.at(when, [&model, sidecar, span] { model.freezeSidecar(sidecar, span); });
                break;
            case 2:
                model.at(when, [&model, sidecar] { model.restartSidecar(sidecar); });
                break;
            case 3:
                model.at(when, [&model, entry, sidecar, span] { model.cut(entry, sidecar, span); });
                break;
            case 4:
                model.at(when, [&model, entry, sidecar] { model.reset(entry, sidecar); });
                break;
            case 5:
                model.at(when, [&model, sidecar, span] { model.crashMinion(sidecar, span); });
                break;
            default:
                model.at(when, [&model, sidecar] { model.hangMinion(sidecar, true); });
                model.at(when + span, [&model, sidecar] { model.hangMinion(sidecar, false); });
                break;
            }
        }
        model.runFor({ 60'000 });
        assertNothingRanTwice(model);
        const ServedShares shares = servedShares(model, from, from + Milliseconds { 20'000 });
        cr_assert(shares.open == 0, "seed %lu: %zu of %zu jobs got no end", static_cast<unsigned long>(seed), shares.open,
            shares.jobs);
        for (int i = 0; i < 3; ++i)
            cr_assert(model.jobsAt(i) == 0, "seed %lu: entry %d still holds %zu jobs", static_cast<unsigned long>(seed), i,
                model.jobsAt(i));
        for (int i = 0; i < 5; ++i)
            cr_assert(model.liveRunsAt(i) == 0, "seed %lu: sidecar %d still has runs", static_cast<unsigned long>(seed), i);
    }
}

// Jobs without a run time estimate, in a queue without a latency objective.
Test(JobDispatcher, servesQueuesWithoutAnObjective)
{
    DispatchModel model({ .sidecars = 1 });
    model.runFor({ 3'000 });
    ModelQueue queue { .config = { .name = "plain", .maxAttempts = 1, .stretchPercent = 100 },
        .tasks = 10,
        .needs = { .cpuMillis = 6'200, .memoryMb = 64 } };
    // The second job has to wait for the first to end.
    const auto first = model.submit(0, queue, "a", patience);
    const auto second = model.submit(0, queue, "b", patience);
    model.runFor({ 2'000 });
    assertCompleted(model, first);
    assertCompleted(model, second);
}

// A burst of several times the capacity of the minions, followed by the ordinary load.
Test(JobDispatcher, servesTheOrdinaryLoadSoonAfterABurst)
{
    DispatchModel model({ .sidecars = 4 });
    model.runFor({ 3'000 });
    DispatchLoad load(model, 3, 5);
    const Milliseconds from = model.now();
    // About half of the capacity, which is 60 jobs a second.
    load.offer(30, from, { 20'000 });
    load.offer(150, from + Milliseconds { 4'000 }, { 3'000 });
    model.runFor({ 30'000 });
    const ServedShares before = servedShares(model, from, from + Milliseconds { 4'000 });
    const ServedShares after = servedShares(model, from + Milliseconds { 9'000 }, from + Milliseconds { 20'000 });
    cr_assert(before.inObjective >= 0.95, "before the burst %.3f in objective", before.inObjective);
    cr_assert(after.inObjective >= 0.95, "from 2 s after the burst on %.3f in objective, %.3f late, %.3f refused",
        after.inObjective, after.late, after.refused);
}

// Under lasting overload the wide jobs of the first priority must still be served in time.
Test(JobDispatcher, servesTheFirstPriorityInTimeUnderLastingOverload)
{
    DispatchModel model({ .sidecars = 7 });
    model.runFor({ 3'000 });
    DispatchLoad load(model, 3, 9);
    const Milliseconds from = model.now();
    load.offer(140, from, { 15'000 });
    model.runFor({ 25'000 });
    const ServedShares shares = servedShares(model, from + Milliseconds { 2'000 }, from + Milliseconds { 15'000 });
    cr_assert(shares.lookupWorth >= 0.75, "expected three quarters of what is owed to lookups, got %.3f", shares.lookupWorth);
    cr_assert(shares.worth >= 0.7, "expected seven tenths of all that is owed, got %.3f", shares.worth);
}

Test(JobDispatcher, refusesTruthfullyAndWithATimeToComeBackUnderOverload)
{
    DispatchModel model({ .sidecars = 2 });
    model.runFor({ 3'000 });
    DispatchLoad load(model, 3, 6);
    const Milliseconds from = model.now();
    load.offer(120, from, { 5'000 });
    model.runFor({ 15'000 });
    std::set<std::int64_t> times;
    for (const auto& outcome : model.outcomes()) {
        cr_assert(outcome.kind.has_value(), "%s got no end", outcome.job.c_str());
        if (outcome.kind != DispatchEndKind::Refused)
            continue;
        cr_assert(outcome.retryAfter.count >= 1'000, "%s refused without a time", outcome.job.c_str());
        times.insert(outcome.retryAfter.count);
    }
    cr_assert(times.size() > 20, "expected callers to be spread, got %zu different times", times.size());
}

// Two of six minions fail every task, or hang, while their reports look healthy.
Test(JobDispatcher, worksAroundMinionsThatFailOrHang)
{
    for (const bool hangs : { false, true }) {
        DispatchModel model({ .sidecars = 6 });
        model.runFor({ 3'000 });
        DispatchLoad load(model, 3, 7);
        const Milliseconds from = model.now();
        load.offer(30, from, { 15'000 });
        model.at(from + Milliseconds { 2'000 }, [&model, hangs] {
            for (int i = 0; i < 2; ++i) {
                model.hangMinion(i, hangs);
                model.failMinion(i, hangs ? 0 : 1);
            }
        });
        model.runFor({ 25'000 });
        assertNothingRanTwice(model);
        const ServedShares late = servedShares(model, from + Milliseconds { 6'000 }, from + Milliseconds { 15'000 });
        cr_assert(late.inObjective >= 0.8, "%s: %.3f in objective, %.3f late, %.3f unfinished", hangs ? "hang" : "fail",
            late.inObjective, late.late, late.unfinished);
    }
}

Test(JobDispatcher, startsNothingAtASidecarOutOfService)
{
    DispatchModel model({ .sidecars = 2 });
    model.runFor({ 3'000 });
    model.takeOut(0, true);
    model.runFor({ 100 });
    for (int i = 0; i < 4; ++i)
        model.submit(0, bookingQueue(), fmt::format("job-{}", i), patience);
    model.runFor({ 100 });
    cr_assert(model.running(0) == 0, "expected nothing on the minion that is out, got %zu", model.running(0));
    cr_assert(model.running(1) == 8, "expected 8 runs on the other, got %zu", model.running(1));
}

// Estimates are nine times too small: a run must not count as stuck when it takes that long on every minion.
Test(JobDispatcher, completesJobsWhoseEstimateIsFarTooSmall)
{
    DispatchModel model({});
    model.runFor(settle);
    ModelQueue queue = slowQueue();
    queue.tasks = 4;
    queue.needs.runTime = { 100 };
    queue.realRunThousandths = 9'000;
    queue.config.latencyAllowance = { 2'000 };
    std::vector<std::size_t> late;
    for (int i = 0; i < 60; ++i) {
        const auto job = model.submit(i % 3, queue, fmt::format("job-{}", i), patience);
        if (i >= 45)
            late.push_back(job);
        model.runFor({ 300 });
    }
    model.runFor(patience);
    for (const auto job : late)
        assertCompleted(model, job);
}

// Runs on one slow minion must not change the estimate of the queue.
Test(JobDispatcher, keepsTheEstimateWhenOneMinionIsSlow)
{
    DispatchModel model({ .sidecars = 6 });
    model.runFor(settle);
    model.slowMinion(0, 10);
    DispatchLoad load(model, 3, 7);
    const Milliseconds from = model.now();
    load.offer(30, from, { 10'000 });
    model.runFor({ 14'000 });
    assertNothingRanTwice(model);
    const ServedShares late = servedShares(model, from + Milliseconds { 4'000 }, from + Milliseconds { 10'000 });
    cr_assert(late.inObjective >= 0.9, "%.3f in objective, %.3f late, %.3f unfinished", late.inObjective, late.late, late.unfinished);
}

// One queue with tasks of 60 and of 2,500 ms, all declared as 100 ms: the mean fits neither kind, so a job that may finish in
// time must not be refused because of it while minions are idle.
Test(JobDispatcher, servesShortJobsOfAQueueWhoseEstimatesSayLittle)
{
    DispatchModel model({});
    model.runFor(settle);
    ModelQueue shortJobs = slowQueue();
    shortJobs.needs.runTime = { 100 };
    shortJobs.realRunThousandths = 600;
    ModelQueue longJobs = shortJobs;
    longJobs.tasks = 2;
    longJobs.realRunThousandths = 25'000;
    std::vector<std::size_t> late;
    for (int i = 0; i < 60; ++i) {
        model.submit(i % 3, longJobs, fmt::format("long-{}", i), { 4'000 });
        const auto job = model.submit(i % 3, shortJobs, fmt::format("short-{}", i), { 1'500 });
        if (i >= 45)
            late.push_back(job);
        model.runFor({ 600 });
    }
    model.runFor(patience);
    for (const auto job : late)
        assertCompleted(model, job);
}

// Two of eleven minions turn slow after many successful runs.
Test(JobDispatcher, soonAvoidsMinionsThatTurnSlow)
{
    DispatchModel model({ .sidecars = 11 });
    model.runFor({ 3'000 });
    DispatchLoad load(model, 3, 7);
    const Milliseconds from = model.now();
    load.offer(100, from, { 16'000 });
    const Milliseconds slowFrom = from + Milliseconds { 8'000 };
    model.at(slowFrom, [&model] {
        model.slowMinion(0, 8);
        model.slowMinion(1, 8);
    });
    model.runFor({ 20'000 });
    assertNothingRanTwice(model);
    const ServedShares shares = servedShares(model, slowFrom + Milliseconds { 1'000 }, slowFrom + Milliseconds { 5'000 });
    cr_assert(shares.inObjective >= 0.95, "%.3f in objective, %.3f late, %.3f refused, %.3f unfinished", shares.inObjective, shares.late,
        shares.refused, shares.unfinished);
}

namespace {

// As many entries and sidecars as the largest deployment, with its mix of jobs. Entries receive few reports of each minion,
// and many of them place runs by the same report.
ServedShares serveHundredsOfMachines(double jobsPerSecond)
{
    constexpr int entries = 51;
    constexpr Milliseconds duration { 1'500 };
    DispatchModel model({ .entries = entries, .sidecars = 240, .largerEvery = 3, .seed = 1 });
    model.runFor({ 2'500 });
    DispatchLoad load(model, entries, 1, largeSpread());
    const Milliseconds from = model.now();
    load.offer(jobsPerSecond, from, duration);
    model.runFor(duration + Milliseconds { 5'000 });
    assertNothingRanTwice(model);
    const ServedShares shares = servedShares(model, from, from + duration);
    cr_assert(shares.open == 0, "%zu jobs got no end", shares.open);
    return shares;
}

} // namespace

// On average two fifths of the capacity are in use.
Test(JobDispatcher, servesTheOrdinaryLoadOfHundredsOfMachinesInTime)
{
    const ServedShares shares = serveHundredsOfMachines(875);
    cr_assert(shares.inObjective >= 0.95, "expected 95%% in objective, got %.3f, late %.3f, refused %.3f", shares.inObjective, shares.late,
        shares.refused);
    cr_assert(shares.refused <= 0.01, "expected no refusals while minions are free, got %.3f", shares.refused);
}

// Nine tenths of the capacity are in use, so most reports of free capacity are outdated when they are used.
Test(JobDispatcher, servesTheHeaviestLoadOfHundredsOfMachines)
{
    const ServedShares shares = serveHundredsOfMachines(1'800);
    cr_assert(shares.worth >= 0.83, "expected 83%% of the worth, got %.3f: in objective %.3f, late %.3f, refused %.3f", shares.worth,
        shares.inObjective, shares.late, shares.refused);
}

#include "policy/JobDispatcher.h"
#include "policy/RunTable.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace oleanderport;

// Guards against a second run of a task at another minion while a minion that has not answered a call may still run it.

namespace {

constexpr Milliseconds beginning { 50'000 };

MinionReport reportOf(const char* name, Milliseconds born)
{
    return { .name = name, .born = born, .sequence = 1, .service = "service", .capacity = { .cpuMillis = 4'000, .memoryMb = 100 } };
}

struct Table {
    Milliseconds now { beginning };
    RunTable runs { { .incarnation = "sidecar/1", .dataCentre = "dc" }, now };
    RunName run;

    explicit Table(Milliseconds runTime = {})
    {
        runs.permit({ 1'000'000 }, true);
        runs.reported(reportOf("minion", { 7 }), now);
        runs.act(now);
        runs.listed({ .born = { 7 } }, {}, now, now);
        runs.opened({ .entry = "entry-1/1" }, now);
        runs.opened({ .entry = "entry-2/1" }, now);
        runs.act(now);
        runs.received("entry-1/1",
            { .echo = now, .requests = { { .job = "job", .tasks = { { .index = 3, .run = 1 } }, .needs = { .cpuMillis = 100, .memoryMb = 1, .runTime = runTime }, .endBy = { 1'000'000 } } } }, now);
        run = runs.act(now).starts.at(0).run;
    }

    // Entries that are told, after this span, that the minion may run the task. Its entry is heard all along.
    std::set<std::string> toldAfter(Milliseconds span)
    {
        now = now + span;
        runs.received("entry-1/1", { .echo = now }, now);
        return toldNow();
    }

    std::set<std::string> toldNow()
    {
        std::set<std::string> told;
        for (const auto& item : runs.act(now).frames) {
            for (const auto& start : item.frame.unsettledTasks) {
                cr_assert(start.job == "job" && start.index == 3);
                if (start.remaining.count > 0)
                    told.insert(item.entry);
            }
        }
        return told;
    }
};

const std::set<std::string> bothEntries { "entry-1/1", "entry-2/1" };

struct Dispatcher {
    Milliseconds now { beginning };
    JobDispatcher jobs { { .incarnation = "entry-2/1", .dataCentre = "dc", .sidecars = 2, .reservePercent = 0, .startedAt = beginning } };

    Dispatcher()
    {
        for (const char* sidecar : { "sidecar-1", "sidecar-2" }) {
            jobs.connected(sidecar, now);
            jobs.act(now);
            jobs.received(sidecar, frameOf(sidecar), now);
        }
    }

    SidecarFrame frameOf(const std::string& sidecar, std::vector<UnsettledTask> unanswered = {}) const
    {
        return { .sidecar = sidecar + "/1",
            .clock = now,
            .framesSeen = 100,
            .state = MinionState { .service = "service", .dataCentre = "dc", .capacity = { .cpuMillis = 4'000, .memoryMb = 100 }, .accepting = true },
            .ends = {},
            .unsettledTasks = std::move(unanswered) };
    }

    void tellOf(const char* sidecar, Milliseconds remaining) { jobs.received(sidecar, frameOf(sidecar, { { .job = "job", .index = 0, .remaining = remaining } }), now); }

    // The sidecars to which a task of the job is sent within this span.
    std::set<std::string> sentWithin(Milliseconds span)
    {
        std::set<std::string> sidecars;
        for (const Milliseconds end = now + span; now < end; now = now + Milliseconds { 100 }) {
            for (const char* sidecar : { "sidecar-1", "sidecar-2" })
                jobs.received(sidecar, frameOf(sidecar), now);
            for (const auto& item : jobs.act(now).frames) {
                if (!item.frame.requests.empty())
                    sidecars.insert(item.sidecar);
            }
        }
        return sidecars;
    }

    void submit(Milliseconds time = { 60'000 })
    {
        jobs.submit({ .name = "job",
                        .payload = "job",
                        .queue = { .name = "queue", .service = "service", .maxAttempts = 3, .latencyAllowance = { 60'000 } },
                        .deadline = now + time,
                        .steps = { { .needs = { .cpuMillis = 1'000, .memoryMb = 1, .runTime = { 100 } } } } },
            now);
    }
};

} // namespace

Test(UnsettledTasks, areToldToEveryEntry)
{
    Table table;
    cr_assert(table.toldAfter({ 500 }).empty(), "expected no news before the call timed out");
    table.runs.startAnswered(table.run, StartAnswer::Unknown, table.now);
    cr_assert(table.toldAfter({ 500 }) == bothEntries);
    cr_assert(table.toldAfter({ 500 }).empty(), "expected the news once");
    table.runs.closed("entry-2/1");
    table.runs.opened({ .entry = "entry-2/2" }, table.now);
    cr_assert(table.toldAfter({ 500 }) == std::set<std::string> { "entry-2/2" }, "expected the news on a new stream");
}

Test(UnsettledTasks, areToldAlsoWhenAnotherRequestWasAnsweredAndTheRunHasEnded)
{
    Table table;
    table.runs.listed({ .born = { 7 }, .ended = { { .number = 1, .run = table.run, .kind = ListedEndKind::Done } } }, {}, table.now, table.now);
    table.runs.startAnswered(table.run, StartAnswer::Unknown, table.now);
    cr_assert(table.toldAfter({ 500 }) == bothEntries);
}

Test(UnsettledTasks, areToldOfAStartThatWasUnderWayWhenTheMinionStartedAgain)
{
    Table table;
    table.runs.reported(reportOf("minion", { 9 }), table.now);
    cr_assert(table.toldAfter({ 500 }) == bothEntries);
}

Test(UnsettledTasks, areWithdrawnOnceTheMinionHasAnotherName)
{
    Table table;
    table.runs.startAnswered(table.run, StartAnswer::Unknown, table.now);
    table.toldAfter({ 500 });
    table.runs.reported(reportOf("another", { 9 }), table.now);
    std::size_t withdrawn = 0;
    table.now = table.now + Milliseconds { 500 };
    table.runs.received("entry-1/1", { .echo = table.now }, table.now);
    for (const auto& item : table.runs.act(table.now).frames)
        withdrawn += static_cast<std::size_t>(std::count_if(item.frame.unsettledTasks.begin(), item.frame.unsettledTasks.end(), [](const UnsettledTask& start) { return start.remaining.count == 0; }));
    cr_assert(withdrawn == 2, "expected both entries to be told, got %zu", withdrawn);
}

Test(UnsettledTasks, aResubmittedTaskGoesToNoMinionButTheOneThatMayStillStartIt)
{
    for (const char* sidecar : { "sidecar-1", "sidecar-2" }) {
        Dispatcher entry;
        entry.tellOf(sidecar, maxStartDelay);
        entry.submit();
        cr_assert(entry.sentWithin({ 100 }) == std::set<std::string> { sidecar });
    }
}

Test(UnsettledTasks, aTaskThatTwoMinionsMayStillStartGoesToNeither)
{
    Dispatcher entry;
    entry.tellOf("sidecar-1", maxStartDelay);
    entry.tellOf("sidecar-2", Milliseconds { 2'000 });
    entry.submit();
    cr_assert(entry.sentWithin({ 2'000 }).empty(), "expected no start while two minions may start it");
    cr_assert(entry.sentWithin({ 1'000 }) == std::set<std::string> { "sidecar-1" });
}

Test(UnsettledTasks, aTaskWaitsWhileTheMinionThatMayStillStartItCannotBeReached)
{
    Dispatcher entry;
    entry.tellOf("sidecar-1", maxStartDelay);
    entry.jobs.disconnected("sidecar-1");
    entry.submit();
    for (int i = 0; i < 10; ++i) {
        entry.now = entry.now + Milliseconds { 100 };
        entry.jobs.received("sidecar-2", entry.frameOf("sidecar-2"), entry.now);
        for (const auto& item : entry.jobs.act(entry.now).frames)
            cr_assert(item.frame.requests.empty(), "expected no start at %s", item.sidecar.c_str());
    }
}

Test(UnsettledTasks, areToldOfARunWhoseStopIsNotAnsweredUntilItHasEnded)
{
    Table table;
    table.runs.startAnswered(table.run, StartAnswer::Started, table.now);
    table.runs.received("entry-1/1", { .echo = table.now, .stops = { { .job = "job", .index = 3, .run = 1 } } }, table.now);
    cr_assert(table.toldNow() == bothEntries);
    table.runs.stopAnswered(table.run, false, table.now);
    cr_assert(table.toldAfter({ 500 }).empty(), "expected the news once");
    table.runs.listed({ .born = { 7 }, .ended = { { .number = 1, .run = table.run, .kind = ListedEndKind::Stopped } } }, {}, table.now, table.now);
    table.now = table.now + Milliseconds { 500 };
    std::size_t settled = 0;
    for (const auto& item : table.runs.act(table.now).frames)
        settled += static_cast<std::size_t>(std::count_if(item.frame.unsettledTasks.begin(), item.frame.unsettledTasks.end(), [](const UnsettledTask& task) { return task.remaining.count == 0; }));
    cr_assert(settled == 2, "expected both entries to learn of the end, got %zu", settled);
}

Test(UnsettledTasks, areNotSettledByTheEndOfAQueuedRunOfAnotherSubmission)
{
    Table table;
    table.runs.startAnswered(table.run, StartAnswer::Started, table.now);
    table.runs.received("entry-1/1", { .echo = table.now, .stops = { { .job = "job", .index = 3, .run = 1 } } }, table.now);
    cr_assert(table.toldNow() == bothEntries);
    table.runs.stopAnswered(table.run, false, table.now);
    cr_assert(table.toldAfter({ 500 }).empty(), "expected the news once");
    table.runs.received("entry-2/1",
        { .echo = table.now, .requests = { { .job = "job", .tasks = { { .index = 3, .run = 1 } }, .needs = { .cpuMillis = 100, .memoryMb = 1 }, .endBy = { 1'000'000 } } } }, table.now);
    table.now = table.now + Milliseconds { 1 };
    for (const auto& item : table.runs.act(table.now).frames) {
        for (const auto& task : item.frame.unsettledTasks)
            cr_assert(task.remaining.count > 0, "expected the task to stay unsettled while its run is at the minion");
    }
    cr_assert(table.runs.liveRuns() == 1);
}

Test(UnsettledTasks, areToldOfAStartThatWasUnderWayOfARunThatIsBeingStopped)
{
    Table table;
    table.runs.received("entry-1/1", { .echo = table.now, .stops = { { .job = "job", .index = 3, .run = 1 } } }, table.now);
    table.runs.act(table.now);
    table.runs.reported(reportOf("minion", { 9 }), table.now);
    cr_assert(table.toldAfter({ 500 }) == bothEntries);
}

Test(UnsettledTasks, areToldOfRunsOfTheSidecarsFormerIncarnation)
{
    Table table;
    table.runs.opened({ .entry = "entry-1/1", .outstanding = { table.run, { .job = "job", .index = 3, .run = 9 } } }, table.now);
    cr_assert(table.toldAfter({ 500 }) == bothEntries);
}

Test(UnsettledTasks, areNoneWhenTheMinionHasAnotherNameByThen)
{
    Table table;
    table.runs.reported(reportOf("another", { 9 }), table.now);
    cr_assert(table.toldAfter({ 500 }).empty());
}

Test(UnsettledTasks, aJobIsNotRefusedWhileOneOfItsTasksMayRun)
{
    Dispatcher entry;
    entry.tellOf("sidecar-1", maxStartDelay);
    entry.jobs.disconnected("sidecar-1");
    entry.submit({ 2'000 });
    for (int i = 0; i < 40; ++i) {
        entry.now = entry.now + Milliseconds { 100 };
        entry.jobs.received("sidecar-2", entry.frameOf("sidecar-2"), entry.now);
        for (const auto& end : entry.jobs.act(entry.now).ends)
            cr_assert(end.kind == DispatchEndKind::Unfinished, "got %s: %s", dispatchEndKindName(end.kind).data(), end.reason.c_str());
    }
    cr_assert(entry.jobs.jobs() == 0);
}

namespace {

// A task that is estimated at 50 ms and needs 1,000 ms, sent again each time that its run is stopped.
struct SlowTask {
    static constexpr Milliseconds estimate { 50 };
    static constexpr Milliseconds runTime { 1'000 };
    Table table { estimate };
    std::uint64_t runs { 1 };

    explicit SlowTask(bool isBound)
    {
        if (isBound)
            table.runs.startAnswered(table.run, StartAnswer::Unknown, table.now);
        table.runs.startAnswered(table.run, StartAnswer::Started, table.now);
    }

    // Whether its run, standing still from `stopsAt` percent on, is stopped before it is done.
    bool isStopped(int stopsAt = 100)
    {
        const Milliseconds startedAt = table.now;
        while (table.now < startedAt + runTime) {
            table.now = table.now + Milliseconds { 50 };
            table.runs.received("entry-1/1", { .echo = table.now }, table.now);
            const int percent = std::min<int>(static_cast<int>((table.now - startedAt).count * 100 / runTime.count), stopsAt);
            table.runs.listed({ .born = { 7 }, .running = { { .run = table.run, .percent = percent } } }, {}, table.now, table.now);
            if (!table.runs.act(table.now).stops.empty())
                return true;
        }
        return false;
    }

    void runAgain(Milliseconds later = { 10 })
    {
        table.runs.listed({ .born = { 7 }, .ended = { { .number = runs, .run = table.run, .kind = ListedEndKind::Stopped } } }, {}, table.now, table.now);
        table.now = table.now + later;
        const EntryFrame order { .echo = table.now,
            .requests = { { .job = "job", .tasks = { { .index = 3, .run = ++runs } }, .needs = { .cpuMillis = 100, .memoryMb = 1, .runTime = estimate }, .endBy = { 1'000'000 } } } };
        table.runs.received("entry-1/1", order, table.now);
        table.run = table.runs.act(table.now).starts.at(0).run;
        table.runs.startAnswered(table.run, StartAnswer::Started, table.now);
    }
};

} // namespace

Test(UnsettledTasks, aTaskThatCanRunNowhereElseIsNotStoppedAsSlowTimeAndAgain)
{
    SlowTask task(true);
    cr_assert(task.isStopped(), "expected the first slow run to be stopped");
    task.runAgain();
    cr_assert(task.isStopped(), "expected a second slow run to be stopped");
    task.runAgain();
    cr_assert(!task.isStopped(), "expected the third run to be left to end");
}

Test(UnsettledTasks, aSlowTaskThatCanRunElsewhereIsStoppedEachTime)
{
    SlowTask unbound(false);
    SlowTask boundBefore(true);
    for (int i = 0; i < 5; ++i) {
        cr_assert(unbound.isStopped() && boundBefore.isStopped(), "expected run %d to be stopped", i + 1);
        unbound.runAgain();
        boundBefore.runAgain(i == 0 ? maxStartDelay * 2 : Milliseconds { 10 });
    }
}

Test(UnsettledTasks, aRunThatStandsStillIsStoppedThoughItsTaskCanRunNowhereElse)
{
    for (const int stopsAt : { 0, 1 }) {
        SlowTask task(true);
        for (int i = 0; i < 2; ++i) {
            cr_assert(task.isStopped());
            task.runAgain();
        }
        cr_assert(task.isStopped(stopsAt), "expected a run that stands still at %d percent to be stopped", stopsAt);
    }
}

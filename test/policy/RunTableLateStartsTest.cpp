#include "policy/RunTable.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

constexpr const char* entryIncarnation = "entry/1";

// A table whose minion is known to be empty, with one connected entry.
struct Table {
    Milliseconds now { 50'000 };
    RunTable runs { { .incarnation = "sidecar/1", .dataCentre = "dc" }, now };

    Table()
    {
        runs.permit({ 1'000'000 }, true);
        runs.reported({ .born = { 7 }, .sequence = 1, .service = "service", .capacity = { .cpuMillis = 4'000, .memoryMb = 100 } }, now);
        runs.act(now);
        answerList();
        runs.opened({ .entry = entryIncarnation }, now);
        runs.received(entryIncarnation, { .echo = now }, now);
        runs.act(now);
    }

    void answerList() { runs.listed({ .born = { 7 } }, {}, now, now); }

    RunName requestStart()
    {
        runs.received(entryIncarnation,
            { .echo = now,
                .requests = { { .job = "a", .tasks = { { .index = 0, .run = 1 } }, .needs = { .cpuMillis = 1'000, .memoryMb = 1 }, .endBy = { 1'000'000 } } } },
            now);
        const auto actions = runs.act(now);
        cr_assert(actions.starts.size() == 1);
        return actions.starts.front().run;
    }

    RunActions after(Milliseconds span)
    {
        now = now + span;
        runs.received(entryIncarnation, { .echo = now }, now);
        return runs.act(now);
    }

    // The run is stopped and concluded.
    void stop(const RunName& run)
    {
        runs.received(entryIncarnation, { .echo = now, .stops = { run } }, now);
        runs.act(now);
        runs.stopAnswered(run, true, now);
        now = now + Milliseconds { 1 };
        answerList();
        cr_assert(runs.liveRuns() == 0);
    }
};

} // namespace

// No list was asked for without a live run, so a minion that had started again was first heard when it reported.
Test(RunTableLateStarts, asksForListsAsLongAsAnUnansweredStartMayBeCarriedOut)
{
    Table table;
    const RunName run = table.requestStart();
    table.runs.startAnswered(run, StartAnswer::Unknown, table.now);
    const Milliseconds unansweredAt = table.now;
    table.stop(run);
    while (table.now < unansweredAt + Milliseconds { 11'900 }) {
        const auto list = table.after({ 60 }).list;
        cr_assert(list && !list->leaseEnd && list->wait.count > 0, "expected a list that renews nothing %lld ms after the start",
            static_cast<long long>((table.now - unansweredAt).count));
        table.answerList();
    }
    cr_assert(!table.after({ 200 }).list);
}

Test(RunTableLateStarts, asksForNoListsOnceEveryStartIsAnswered)
{
    Table table;
    const RunName run = table.requestStart();
    table.runs.startAnswered(run, StartAnswer::Started, table.now);
    table.stop(run);
    cr_assert(!table.after({ 60 }).list);
}

// A raised token ended the runs whose start it overtook, and their tasks were placed anew.
Test(RunTableLateStarts, retriesAStartThatWasRefusedForItsToken)
{
    for (const bool wasUnanswered : { false, true }) {
        Table table;
        RunName run = table.requestStart();
        if (wasUnanswered) {
            table.runs.startAnswered(run, StartAnswer::Unknown, table.now);
            cr_assert(table.after({ 1 }).starts.size() == 1);
        }
        table.runs.startAnswered(run, StartAnswer::Fenced, table.now);
        const auto actions = table.after({ 1 });
        cr_assert(actions.stops.empty() && actions.starts.size() == 1, "expected the start again, got %zu starts and %zu stops", actions.starts.size(),
            actions.stops.size());
        for (const auto& item : actions.frames)
            cr_assert(item.frame.ends.empty());
    }
}

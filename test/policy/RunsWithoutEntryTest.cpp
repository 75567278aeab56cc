#include "policy/RunTable.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace oleanderport;

// Guards against a second run of a task beside one that the minion goes on with although no entry owns it any more.

namespace {

constexpr Milliseconds firstBorn { 7 };
constexpr Milliseconds secondBorn { 9 };
constexpr const char* entryIncarnation = "entry/1";

struct Table {
    Milliseconds now { 50'000 };
    RunTable runs { { .incarnation = "sidecar/1", .dataCentre = "dc" }, now };

    Table()
    {
        runs.permit({ 1'000'000 }, true);
        report(firstBorn);
        runs.act(now);
        list(firstBorn, {});
        runs.opened({ .entry = entryIncarnation }, now);
        runs.act(now);
    }

    void report(Milliseconds born)
    {
        runs.reported({ .born = born, .sequence = 1, .service = "service", .capacity = { .cpuMillis = 4'000, .memoryMb = 100 } }, now);
    }

    void list(Milliseconds born, std::vector<ListedRun> running, std::vector<ListedEnd> ended = {})
    {
        runs.listed({ .born = born, .running = std::move(running), .ended = std::move(ended) }, {}, now, now);
    }

    RunActions request(const char* job, std::uint64_t run = 1, std::uint64_t submission = 1)
    {
        runs.received(entryIncarnation,
            { .echo = now,
                .requests = { { .job = job, .submission = submission, .tasks = { { .index = 0, .run = run } }, .needs = { .cpuMillis = 100, .memoryMb = 1, .runTime = { 60'000 } }, .endBy = { 1'000'000 } } } },
            now);
        return runs.act(now);
    }

    RunActions after(Milliseconds span)
    {
        now = now + span;
        runs.received(entryIncarnation, { .echo = now }, now);
        return runs.act(now);
    }
};

bool grantsLease(const RunActions& actions) { return !actions.starts.empty() || (actions.list && actions.list->leaseEnd); }

bool stops(const RunActions& actions, const RunName& run)
{
    return std::any_of(actions.stops.begin(), actions.stops.end(), [&run](const StopRun& each) { return each.run == run; });
}

} // namespace

Test(RunsWithoutEntry, areNotProlongedByRenewalsForOtherRuns)
{
    Table table;
    const RunName kept = table.request("b").starts.at(0).run;
    table.runs.startAnswered(kept, StartAnswer::Started, table.now);
    const RunName stray { .job = "a", .run = 3 };
    table.now = table.now + Milliseconds { 10 };
    table.list(firstBorn, { { .run = kept, .percent = 5 }, { .run = stray, .percent = 5 } });
    cr_assert(stops(table.runs.act(table.now), stray));
    for (int i = 0; i < 50; ++i) {
        const RunActions actions = table.after({ 20 });
        cr_assert(!grantsLease(actions), "expected no lease while the stop of a run without entry is not answered");
        if (actions.list)
            table.list(firstBorn, { { .run = kept, .percent = 5 }, { .run = stray, .percent = 5 } });
    }
    table.runs.stopAnswered(stray, true, table.now);
    bool renewed = false;
    for (int i = 0; i < 5; ++i) {
        const RunActions actions = table.after({ 20 });
        renewed = renewed || grantsLease(actions);
        if (actions.list)
            table.list(firstBorn, { { .run = kept, .percent = 5 }, { .run = stray, .percent = 5 } });
    }
    cr_assert(renewed, "expected leases again once the stop was answered");
}

Test(RunsWithoutEntry, noRunOfTheSameTaskStartsBesideThem)
{
    Table table;
    const RunName kept = table.request("b").starts.at(0).run;
    table.runs.startAnswered(kept, StartAnswer::Started, table.now);
    const RunName stray { .job = "a", .run = 3 };
    table.now = table.now + Milliseconds { 10 };
    table.list(firstBorn, { { .run = kept, .percent = 5 }, { .run = stray, .percent = 5 } });
    table.runs.act(table.now);
    table.runs.stopAnswered(stray, true, table.now);
    cr_assert(table.request("a").starts.empty(), "expected no start beside a run of the same task");
    table.now = table.now + Milliseconds { 60 };
    table.list(firstBorn, { { .run = kept, .percent = 5 } });
    const auto starts = table.after({ 10 }).starts;
    cr_assert(starts.size() == 1 && starts[0].run.job == "a", "expected the start once the other run has ended");
}

// The lease of an order is a time on the clock of the incarnation that it was meant for.
Test(RunsWithoutEntry, noLeaseIsGrantedToAnIncarnationWhoseClockIsNotKnown)
{
    Table table;
    const RunName run = table.request("b").starts.at(0).run;
    table.runs.startAnswered(run, StartAnswer::Started, table.now);
    cr_assert(table.after({ 10 }).list->leaseEnd);
    table.list(secondBorn, {});
    for (int i = 0; i < 20; ++i) {
        const RunActions actions = table.after({ 20 });
        cr_assert(!grantsLease(actions), "expected no lease while another incarnation answers");
        if (actions.list)
            table.list(secondBorn, {});
    }
}

// Until the new incarnation was known, calls meant for the former one may have granted it the longest lease that a minion accepts.
Test(RunsWithoutEntry, noRunCountsAsEndedBeforeTheLongestLeaseOfTheNextIncarnationIsOver)
{
    Table table;
    const RunName run = table.request("b").starts.at(0).run;
    table.runs.startAnswered(run, StartAnswer::Started, table.now);
    table.after({ 10 });
    table.report(secondBorn);
    const Milliseconds takenAt = table.now;
    const Milliseconds longest { 1'000 };
    while (table.now < takenAt + longest) {
        const RunActions actions = table.after({ 20 });
        if (actions.list)
            table.runs.listFailed(table.now);
        cr_assert(table.runs.liveRuns() == 1, "the run counts as ended %lld ms after the new incarnation was taken", static_cast<long long>((table.now - takenAt).count));
    }
}

Test(RunsWithoutEntry, anOvertakenListDoesNotShowThatTheFormerIncarnationIsBack)
{
    Table table;
    const RunName run = table.request("b").starts.at(0).run;
    table.runs.startAnswered(run, StartAnswer::Started, table.now);
    const Milliseconds askedFirst = table.now + Milliseconds { 10 };
    table.after({ 10 });
    table.after({ 40 });
    table.list(secondBorn, {});
    table.now = table.now + Milliseconds { 5 };
    table.runs.listed({ .born = firstBorn, .running = { { .run = run, .percent = 5 } } }, {}, askedFirst, table.now);
    for (int i = 0; i < 5; ++i)
        cr_assert(!grantsLease(table.after({ 20 })), "expected no lease by the clock of the former incarnation");
    cr_assert(table.request("a").starts.empty());
}

// A former sidecar may have renewed the lease of a minion that had started again unnoticed.
Test(RunsWithoutEntry, aNewSidecarReportsNoUnknownRunAsEndedBeforeTheLongestLeaseIsOver)
{
    const Milliseconds begin { 50'000 };
    RunTable runs { { .incarnation = "sidecar/2", .dataCentre = "dc" }, begin };
    runs.opened({ .entry = entryIncarnation, .outstanding = { { .job = "a", .run = 1 } } }, begin);
    const auto ends = [&runs](Milliseconds now) {
        runs.received(entryIncarnation, { .echo = now }, now);
        std::size_t count = 0;
        for (const auto& item : runs.act(now).frames)
            count += item.frame.ends.size();
        return count;
    };
    cr_assert(ends(begin + Milliseconds { 1'000 }) == 0, "the run may go on");
    cr_assert(ends(begin + Milliseconds { 1'045 }) == 1, "expected the end of a run that can't go on");
}

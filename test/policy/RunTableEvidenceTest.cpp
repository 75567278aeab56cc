#include "policy/RunTable.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

constexpr Milliseconds start { 50'000 };
constexpr const char* entryIncarnation = "entry/1";
const RunName taskRun { .job = "a", .step = 0, .index = 0, .run = 1 };

// A table whose minion is known to be empty, with one connected entry. Collects what each act() returns for the log.
struct Table {
    RunTable runs { { .incarnation = "sidecar/1", .dataCentre = "dc" }, start };
    Milliseconds now { start };
    RunDiagnostics seen;

    Table()
    {
        runs.permit({ 1'000'000 }, true);
        runs.reported({ .born = { 7 }, .sequence = 1, .service = "service", .capacity = { .cpuMillis = 4'000, .memoryMb = 100 } }, now);
        act();
        answer({}, {});
        runs.opened({ .entry = entryIncarnation }, now);
        echo();
        act();
    }

    RunActions act()
    {
        RunActions actions = runs.act(now);
        RunDiagnostics& news = actions.diagnostics;
        seen.concluded.insert(seen.concluded.end(), news.concluded.begin(), news.concluded.end());
        seen.withoutEntry.insert(seen.withoutEntry.end(), news.withoutEntry.begin(), news.withoutEntry.end());
        seen.shortened.insert(seen.shortened.end(), news.shortened.begin(), news.shortened.end());
        seen.otherIncarnations.insert(seen.otherIncarnations.end(), news.otherIncarnations.begin(), news.otherIncarnations.end());
        seen.newWithoutEntry += news.newWithoutEntry;
        seen.leasesShortened += news.leasesShortened;
        seen.leasesBesideRunsWithoutEntry += news.leasesBesideRunsWithoutEntry;
        return actions;
    }

    void echo() { runs.received(entryIncarnation, { .echo = now }, now); }

    RunActions after(Milliseconds span)
    {
        now = now + span;
        return act();
    }

    void answer(const std::vector<ListedRun>& running, const std::vector<ListedEnd>& ended, Milliseconds born = { 7 }, bool isWhole = true)
    {
        runs.listed({ .born = born, .running = running, .ended = ended, .isRunningWhole = isWhole }, {}, now, now);
    }

    RunActions request(const std::string& job, Milliseconds endBy = { 1'000'000 })
    {
        runs.received(entryIncarnation,
            { .echo = now,
                .requests = { { .job = job,
                    .tasks = { { .index = 0, .run = 1 } },
                    .needs = { .cpuMillis = 1'000, .memoryMb = 1, .runTime = { 5'000 } },
                    .endBy = endBy } } },
            now);
        return act();
    }

    // Requests the run of the job's task, which the minion starts.
    void begin(const std::string& job = "a", Milliseconds endBy = { 1'000'000 })
    {
        const auto actions = request(job, endBy);
        cr_assert(actions.starts.size() == 1);
        runs.startAnswered(actions.starts.front().run, StartAnswer::Started, now);
        act();
    }

    RunActions askStop(const RunName& run = taskRun)
    {
        runs.received(entryIncarnation, { .echo = now, .stops = { run } }, now);
        return act();
    }

    bool saysNothing() const
    {
        return seen.concluded.empty() && seen.withoutEntry.empty() && seen.shortened.empty() && seen.otherIncarnations.empty()
            && seen.newWithoutEntry == 0 && seen.leasesShortened == 0 && seen.leasesBesideRunsWithoutEntry == 0;
    }
};

void assertText(const std::string& text, const std::string& expected)
{
    cr_assert(text == expected, "expected\n%s\ngot\n%s", expected.c_str(), text.c_str());
}

const ConcludedRun& onlyConclusion(const Table& table)
{
    cr_assert(table.seen.concluded.size() == 1, "expected one conclusion, got %zu", table.seen.concluded.size());
    return table.seen.concluded.front();
}

} // namespace

Test(RunTableEvidence, ordinaryRunsAndStopsLeaveNoLine)
{
    Table table;
    table.begin("b");
    table.after({ 60 });
    table.echo();
    table.answer({}, { { .number = 1, .run = { .job = "b", .run = 1 }, .kind = ListedEndKind::Done } });
    table.begin();
    table.after({ 60 });
    table.echo();
    table.askStop();
    table.after({ 5 });
    table.runs.stopAnswered(taskRun, true, table.now);
    table.after({ 45 });
    table.answer({}, {});
    table.act();
    cr_assert(table.runs.liveRuns() == 0);
    cr_assert(table.saysNothing());
}

Test(RunTableEvidence, slowStopNamesCauseAnswerAndProof)
{
    Table table;
    table.begin();
    table.after({ 100 });
    table.echo();
    table.askStop();
    table.after({ 150 });
    table.runs.stopAnswered(taskRun, true, table.now);
    table.after({ 60 });
    table.answer({}, {});
    table.act();
    cr_assert(table.seen.shortened.empty());
    assertText(describe(onlyConclusion(table)),
        "run 1 of step 0 of entry entry/1 concluded: not_listed_after_stop; stopped 210 ms before: entry_asked, stop answered 60 ms before; "
        "entry last heard 210 ms before; latest lease ends in 590 ms");
}

Test(RunTableEvidence, silentEntryWhoseLeasesRunOut)
{
    Table table;
    table.begin();
    for (int i = 0; i < 20 && table.runs.liveRuns() > 0; ++i) {
        if (table.after({ 100 }).list)
            table.runs.listFailed(table.now);
    }
    table.act();
    const ConcludedRun& item = onlyConclusion(table);
    cr_assert(item.proof == EndProof::LeasesOver && item.cause == StopCause::EntrySilent);
    cr_assert(item.stoppingFor && item.entrySilentFor == *item.stoppingFor + Milliseconds { 800 }, "stopped at the first act() after 700 ms");
    cr_assert(!item.stopAnsweredFor);
    cr_assert(item.leaseLeft && *item.leaseLeft < Milliseconds {});
}

Test(RunTableEvidence, runMissingFromWholeList)
{
    Table table;
    table.begin();
    table.after({ 60 });
    table.answer({}, {});
    table.act();
    assertText(describe(onlyConclusion(table)),
        "run 1 of step 0 of entry entry/1 concluded: missing_from_list; not being stopped; entry last heard 60 ms before; latest lease ends in 800 ms");
}

Test(RunTableEvidence, causeOfAStopIsTheFirst)
{
    Table table;
    table.begin("a", start + Milliseconds { 300 });
    table.after({ 310 });
    table.echo();
    table.after({ 100 });
    table.runs.reported({ .born = { 8 }, .sequence = 1, .service = "service", .capacity = { .cpuMillis = 4'000, .memoryMb = 100 } }, table.now);
    table.after({ 150 });
    table.runs.stopAnswered(taskRun, true, table.now);
    table.after({ 10 });
    table.answer({}, {}, { 8 });
    table.act();
    const ConcludedRun& item = onlyConclusion(table);
    cr_assert(item.cause == StopCause::Deadline && item.proof == EndProof::NotListedAfterStop);
    cr_assert(item.stopAnsweredFor == Milliseconds { 10 });
    cr_assert(item.isMinionReplaced);
}

Test(RunTableEvidence, runWithoutEntryIsToldOnceWhenListedAndOnceWhenGone)
{
    Table table;
    const ListedRun stray { .run = { .job = "z", .step = 2, .index = 3, .run = 4 } };
    table.begin();
    const ListedRun own { .run = taskRun };
    table.after({ 10 });
    table.answer({ own, stray }, {});
    table.act();
    cr_assert(table.seen.newWithoutEntry == 1 && table.runs.runsWithoutEntry() == 1);
    table.after({ 100 });
    table.echo();
    cr_assert(table.seen.leasesBesideRunsWithoutEntry == 0, "a renewal beside the run");
    table.runs.stopAnswered(stray.run, true, table.now);
    table.answer({ own, stray }, {});
    table.after({ 100 });
    table.echo();
    cr_assert(table.seen.leasesBesideRunsWithoutEntry == 0, "a renewal after its stop was answered");
    table.answer({ own }, {}, { 7 }, false);
    table.act();
    cr_assert(table.runs.runsWithoutEntry() == 1, "an incomplete list does not prove that it is gone");
    table.after({ 20 });
    table.answer({ own }, {});
    table.act();
    cr_assert(table.runs.runsWithoutEntry() == 0);
    cr_assert(table.seen.withoutEntry.size() == 2 && table.seen.newWithoutEntry == 1);
    assertText(describe(table.seen.withoutEntry[0]), "minion lists a run without entry: run 4 of step 2, not among the latest runs concluded here");
    assertText(describe(table.seen.withoutEntry[1]), "run 4 of step 2 without entry gone after 220 ms, stop answered after 100 ms");
    cr_assert(table.seen.concluded.empty());
}

Test(RunTableEvidence, runWithoutEntryNamesItsConclusion)
{
    Table table;
    const auto actions = table.request("a");
    cr_assert(actions.starts.size() == 1);
    table.runs.startAnswered(taskRun, StartAnswer::Refused, table.now);
    table.begin("b");
    table.after({ 30 });
    table.answer({ { .run = { .job = "b", .run = 1 } }, { .run = taskRun } }, {});
    table.act();
    cr_assert(table.seen.withoutEntry.size() == 1);
    assertText(describe(table.seen.withoutEntry[0]), "minion lists a run without entry: run 1 of step 0, concluded 30 ms before: start_declined");
    table.runs.minionGone(table.now);
    table.act();
    assertText(describe(table.seen.withoutEntry.back()), "run 1 of step 0 without entry gone after 0 ms, stop not answered");
}

Test(RunTableEvidence, shortenedLeaseNamesTheRunThatBoundsItOnce)
{
    Table table;
    table.begin();
    table.begin("b");
    const RunName second { .job = "b", .run = 1 };
    for (const std::int64_t span : { 400, 60, 60 }) {
        table.after({ span });
        table.answer({ { .run = taskRun }, { .run = second } }, {});
    }
    table.act();
    cr_assert(table.seen.shortened.size() == 1, "got %zu", table.seen.shortened.size());
    cr_assert(table.seen.leasesShortened > 1);
    assertText(describe(table.seen.shortened[0]),
        "lease shortened by 50 ms to 750 ms by run 1 of step 0 of entry entry/1: entry last heard 400 ms before");
    // The entry is heard again, and its stop of the second run is not answered.
    table.echo();
    table.askStop(second);
    for (int i = 0; i < 7; ++i) {
        table.after({ 60 });
        table.echo();
        table.answer({ { .run = taskRun }, { .run = second } }, {});
    }
    cr_assert(table.seen.shortened.size() == 2, "got %zu", table.seen.shortened.size());
    cr_assert(table.seen.shortened[1].abandonedFor && table.seen.shortened[1].cause == StopCause::EntryAsked);
    cr_assert(table.seen.shortened[1].run == second);
    // The stop is answered, and the entry falls silent.
    table.runs.stopAnswered(second, true, table.now);
    table.after({ 60 });
    table.echo();
    table.answer({ { .run = taskRun }, { .run = second } }, {});
    table.after({ 400 });
    cr_assert(table.seen.shortened.size() == 3, "got %zu", table.seen.shortened.size());
    cr_assert(table.seen.shortened[2].run == taskRun && !table.seen.shortened[2].abandonedFor);
}

Test(RunTableEvidence, listOfAnotherIncarnationIsToldOnce)
{
    Table table;
    table.begin();
    for (int i = 0; i < 3; ++i) {
        table.after({ 60 });
        table.answer({ { .run = taskRun } }, {}, { 9 });
    }
    table.act();
    cr_assert(table.seen.otherIncarnations.size() == 1);
    assertText(describe(table.seen.otherIncarnations[0]), "the minion lists 1 runs with start time 9, the report taken has 7");
}

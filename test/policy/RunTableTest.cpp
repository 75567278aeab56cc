#include "policy/RunTable.h"

#include <criterion/criterion.h>

#include <cmath>

using namespace oleanderport;

namespace {

constexpr Milliseconds start { 50'000 };
constexpr const char* entryIncarnation = "entry/1";

// A table whose minion is known to be empty, with one connected entry.
struct Table {
    RunTable runs { { .incarnation = "sidecar/1", .dataCentre = "dc" }, start };
    Milliseconds now { start };

    Table()
    {
        runs.permit({ 1'000'000 }, true);
        runs.reported(report(), now);
        const auto asked = runs.act(now).list;
        cr_assert(asked && !asked->leaseEnd, "expected a list that renews nothing while the minion is not known to be empty");
        answer({}, {});
        runs.opened({ .entry = entryIncarnation }, now);
        runs.act(now);
        runs.received(entryIncarnation, { .echo = now }, now);
    }

    static MinionReport report()
    {
        return { .born = { 7 }, .sequence = 1, .service = "service", .capacity = { .cpuMillis = 4'000, .memoryMb = 100 } };
    }

    void answer(const std::vector<ListedRun>& running, const std::vector<ListedEnd>& ended)
    {
        runs.listed({ .born = { 7 }, .running = running, .ended = ended }, {}, now, now);
    }

    RunActions request(const std::string& job, std::uint64_t run = 1, Milliseconds estimate = { 1'000 })
    {
        runs.received(entryIncarnation,
            { .echo = now,
                .requests = { { .job = job,
                    .tasks = { { .index = 0, .run = run } },
                    .needs = { .cpuMillis = 2'000, .memoryMb = 1, .runTime = estimate },
                    .endBy = { 1'000'000 } } } },
            now);
        return runs.act(now);
    }

    // The start request for this run gets no answer in time, and the entry cancels the run.
    RunActions loseAnswerAndStop(const RunName& run)
    {
        runs.startAnswered(run, StartAnswer::Unknown, now);
        runs.received(entryIncarnation, { .echo = now, .stops = { run } }, now);
        return runs.act(now);
    }

    RunActions after(Milliseconds span, bool echo = true)
    {
        now = now + span;
        if (echo)
            runs.received(entryIncarnation, { .echo = now }, now);
        return runs.act(now);
    }
};

std::vector<RunEnd> endsOf(const RunActions& actions)
{
    std::vector<RunEnd> ends;
    for (const auto& item : actions.frames)
        ends.insert(ends.end(), item.frame.ends.begin(), item.frame.ends.end());
    return ends;
}

void assertOnlyEnd(const RunActions& actions, RunEndKind kind)
{
    const auto ends = endsOf(actions);
    cr_assert(ends.size() == 1 && ends[0].kind == kind, "expected the one end %s, got %zu, the first %s", runEndKindName(kind).data(),
        ends.size(), ends.empty() ? "none" : runEndKindName(ends[0].kind).data());
}

} // namespace

Test(RunTable, startsARunWithALeaseAndReportsItsEnd)
{
    Table table;
    const auto actions = table.request("a");
    cr_assert(actions.starts.size() == 1);
    cr_assert(actions.starts[0].leaseEnd > table.now);
    const RunName name = actions.starts[0].run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.now = table.now + Milliseconds { 90 };
    table.runs.received(entryIncarnation, { .echo = table.now }, table.now);
    table.answer({}, { { .number = 1, .run = name, .kind = ListedEndKind::Done } });
    const auto ends = endsOf(table.runs.act(table.now));
    cr_assert(ends.size() == 1 && ends[0].kind == RunEndKind::Done, "expected one end, got %zu", ends.size());
    cr_assert(ends[0].ranFor == Milliseconds { 90 });
}

Test(RunTable, startsNothingForAStaleRequest)
{
    Table table;
    table.now = table.now + Milliseconds { 800 };
    table.runs.received(entryIncarnation,
        { .echo = table.now - Milliseconds { 701 },
            .requests = { { .job = "a", .tasks = { { .index = 0, .run = 1 } }, .endBy = { 1'000'000 } } } },
        table.now);
    const auto actions = table.runs.act(table.now);
    cr_assert(actions.starts.empty());
    const auto ends = endsOf(actions);
    cr_assert(ends.size() == 1 && ends[0].kind == RunEndKind::NotStarted);
}

Test(RunTable, stopsTheRunsOfASilentEntryOnceItsLeaseExpires)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    cr_assert(table.after({ 700 }, false).stops.empty());
    const auto actions = table.after({ 1 }, false);
    cr_assert(actions.stops.size() == 1, "expected a stop 701 ms after the last echo, got %zu", actions.stops.size());
}

Test(RunTable, reportsTheEndOfAStoppedRunOnlyOnceTheMinionNoLongerListsIt)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.runs.received(entryIncarnation, { .echo = table.now, .stops = { { .job = "a", .index = 0, .run = 1 } } }, table.now);
    cr_assert(table.runs.act(table.now).stops.size() == 1);
    table.runs.stopAnswered(name, true, table.now);
    const Milliseconds askedBefore = table.now;
    table.now = table.now + Milliseconds { 5 };
    table.runs.listed({ .born = { 7 }, .running = { { .run = name, .percent = 10 } } }, {}, askedBefore, table.now);
    cr_assert(endsOf(table.runs.act(table.now)).empty());
    table.now = table.now + Milliseconds { 50 };
    table.answer({}, { { .number = 1, .run = name, .kind = ListedEndKind::Stopped } });
    const auto ends = endsOf(table.runs.act(table.now));
    cr_assert(ends.size() == 1 && ends[0].kind == RunEndKind::Stopped);
}

// A list requested before the minion confirmed the start proves nothing about the run.
Test(RunTable, keepsARunThatAListOvertook)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    const Milliseconds askedAt = table.now + Milliseconds { 1 };
    table.now = table.now + Milliseconds { 3 };
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.now = table.now + Milliseconds { 1 };
    table.runs.listed({ .born = { 7 } }, {}, askedAt, table.now);
    cr_assert(endsOf(table.runs.act(table.now)).empty());
    cr_assert(table.runs.liveRuns() == 1);
}

Test(RunTable, restartsATaskOnlyAfterTheStopOfAnUnansweredStartIsConfirmed)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    cr_assert(table.loseAnswerAndStop(name).stops.size() == 1);
    cr_assert(endsOf(table.after({ 40 })).empty());
    table.runs.stopAnswered(name, true, table.now);
    table.now = table.now + Milliseconds { 10 };
    table.runs.received(entryIncarnation, { .echo = table.now }, table.now);
    table.answer({}, {});
    const auto ends = endsOf(table.runs.act(table.now));
    cr_assert(ends.size() == 1 && ends[0].kind == RunEndKind::Stopped, "expected one end that does not say that nothing started");
    // The number of the next run is higher, although another entry starts counting from 1.
    const auto again = table.request("a", 1);
    cr_assert(again.starts.empty() || again.starts[0].run.run > name.run);
}

Test(RunTable, resendsAnUnansweredStartForTheSameRun)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    table.now = table.now + Milliseconds { 35 };
    table.runs.startAnswered(name, StartAnswer::Unknown, table.now);
    const auto again = table.after({ 0 });
    cr_assert(again.starts.size() == 1 && again.starts[0].run == name, "expected a resend for run %llu, got %zu starts",
        static_cast<unsigned long long>(name.run), again.starts.size());
    cr_assert(again.stops.empty() && endsOf(again).empty(), "expected neither a stop nor an end");
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.now = table.now + Milliseconds { 100 };
    table.answer({}, { { .number = 1, .run = name, .kind = ListedEndKind::Done } });
    assertOnlyEnd(table.after({ 1 }), RunEndKind::Done);
}

Test(RunTable, doesNotResendTheStartOfAListedRun)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Unknown, table.now);
    table.answer({ { .run = name, .percent = 10 } }, {});
    const auto after = table.after({ 1 });
    cr_assert(after.starts.empty() && after.stops.empty(), "expected no request for a run that is listed, got %zu starts and %zu stops",
        after.starts.size(), after.stops.size());
}

// The process may have been paused since the first start request.
Test(RunTable, doesNotResendAStartOnceThePermissionHasExpired)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    table.runs.permit(table.now + Milliseconds { 30 }, true);
    table.now = table.now + Milliseconds { 35 };
    table.runs.startAnswered(name, StartAnswer::Unknown, table.now);
    const auto after = table.after({ 0 });
    cr_assert(after.starts.empty(), "expected no start 5 ms after the permission ended, got %zu", after.starts.size());
    cr_assert(after.stops.size() == 1, "expected a stop of what may have started, got %zu", after.stops.size());
}

Test(RunTable, doesNotResendAStartForASilentEntry)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    table.now = table.now + Milliseconds { 701 };
    table.runs.startAnswered(name, StartAnswer::Unknown, table.now);
    const auto after = table.after({ 0 }, false);
    cr_assert(after.starts.empty() && after.stops.size() == 1, "expected a stop and no start beyond the entry's lease, got %zu starts and %zu stops",
        after.starts.size(), after.stops.size());
}

// The first request may still be carried out, so the answer to the second proves nothing.
Test(RunTable, aDeclinedResendIsNotReportedAsNotStarted)
{
    for (const auto answer : { StartAnswer::NoRoom, StartAnswer::Unhealthy, StartAnswer::Superseded, StartAnswer::Refused }) {
        Table table;
        const auto name = table.request("a").starts.at(0).run;
        table.runs.startAnswered(name, StartAnswer::Unknown, table.now);
        cr_assert(table.after({ 0 }).starts.size() == 1);
        table.runs.startAnswered(name, answer, table.now);
        cr_assert(endsOf(table.after({ 1 })).empty(), "answer %d: expected no end before an answered stop", static_cast<int>(answer));
        table.runs.received(entryIncarnation, { .echo = table.now, .stops = { name } }, table.now);
        table.runs.act(table.now);
        table.runs.stopAnswered(name, true, table.now);
        table.now = table.now + Milliseconds { 20 };
        table.answer({}, {});
        assertOnlyEnd(table.after({ 1 }), RunEndKind::Stopped);
    }
}

// A paused minion answers nothing for a while, and the requests sent meanwhile pile up.
Test(RunTable, backsOffBetweenStartsThatAreNeverAnswered)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    std::size_t resent = 0;
    const Milliseconds until = table.now + Milliseconds { 2'000 };
    while (table.now < until) {
        table.runs.startAnswered(name, StartAnswer::Unknown, table.now);
        resent += table.after({ 35 }).starts.size();
    }
    // Eight immediate resends and nine with a mean backoff of 160 ms.
    cr_assert(resent <= 20, "expected at most 20 start requests for one run within two seconds, got %zu", resent);
}

// As after an unreported crash. Resent requests must not extend the minion's lease forever, or the task would never start
// elsewhere.
Test(RunTable, stopsResendingStartsToAnUnresponsiveMinion)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    const Milliseconds until = table.now + Milliseconds { 1'500 };
    std::vector<RunEnd> ends;
    std::size_t late = 0;
    bool isAccepting = true;
    while (table.now < until && ends.empty()) {
        const auto actions = table.after({ 40 });
        const bool isLate = table.now >= until - Milliseconds { 1'100 };
        late += isLate ? actions.starts.size() : 0;
        for (const auto& item : actions.frames)
            isAccepting = item.frame.state ? item.frame.state->accepting : isAccepting;
        ends = endsOf(actions);
        table.runs.startAnswered(name, StartAnswer::Unknown, table.now);
        table.runs.stopAnswered(name, false, table.now);
        table.runs.listFailed(table.now);
    }
    cr_assert(late == 0, "expected no start request 400 ms after the first, got %zu", late);
    cr_assert(!isAccepting, "expected entries to be informed that the minion accepts nothing");
    cr_assert(ends.size() == 1 && ends[0].kind == RunEndKind::Stopped, "expected the run to end with the minion's lease, got %zu ends", ends.size());
}

Test(RunTable, acceptsRunsOnceAnUnresponsiveMinionReports)
{
    Table table;
    for (int i = 0; i < 10; ++i) {
        table.runs.listFailed(table.now);
        table.after({ 40 });
    }
    cr_assert(table.request("a").starts.empty(), "expected no start while the minion is unresponsive");
    auto report = Table::report();
    report.sequence = 2;
    table.runs.reported(report, table.now);
    cr_assert(table.request("b").starts.size() == 1, "expected a start after the minion's next report");
}

// An entry may refuse the job when a run is reported as not started, so the report must be true.
Test(RunTable, reportsARunAsStoppedWhenAnUnansweredStartWasCarriedOut)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    cr_assert(table.loseAnswerAndStop(name).stops.size() == 1);
    table.runs.stopAnswered(name, true, table.now);
    table.now = table.now + Milliseconds { 20 };
    table.answer({}, { { .number = 1, .run = name, .kind = ListedEndKind::Stopped } });
    assertOnlyEnd(table.after({ 1 }), RunEndKind::Stopped);
}

Test(RunTable, reportsARunAsStoppedWhenAListShowedItRunningAfterAnUnansweredStart)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    table.loseAnswerAndStop(name);
    table.answer({ { .run = name, .percent = 10 } }, {});
    table.runs.stopAnswered(name, true, table.now);
    table.now = table.now + Milliseconds { 20 };
    table.answer({}, {});
    assertOnlyEnd(table.after({ 1 }), RunEndKind::Stopped);
}

Test(RunTable, anAbsentRunIsNotReportedAsNotStartedByAListThatIsNotWhole)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    table.loseAnswerAndStop(name);
    table.runs.stopAnswered(name, true, table.now);
    const auto listWithout = [&](Milliseconds span) {
        table.now = table.now + span;
        table.runs.received(entryIncarnation, { .echo = table.now }, table.now);
        table.runs.listed({ .born = { 7 }, .running = {}, .ended = {}, .isEndedWhole = false }, {}, table.now, table.now);
        return table.after({ 1 });
    };
    cr_assert(endsOf(listWithout({ 20 })).empty(), "expected no end from an incomplete list");
    // By then the run has ended, whether it had started or not.
    assertOnlyEnd(listWithout({ 1'100 }), RunEndKind::Stopped);
}

Test(RunTable, aStaleFrameNeverEndsARunThatIsUnderWay)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.now = table.now + Milliseconds { 800 };
    table.runs.received(entryIncarnation,
        { .echo = table.now - Milliseconds { 701 },
            .requests = { { .job = "a", .tasks = { { .index = 0, .run = 1 } }, .endBy = { 1'000'000 } } } },
        table.now);
    cr_assert(endsOf(table.runs.act(table.now)).empty(), "expected no end of a run that the minion still lists");
    cr_assert(table.runs.liveRuns() == 1);
}

Test(RunTable, sendsAStopAgainAtOnceWhenItWasNotAnswered)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    cr_assert(table.loseAnswerAndStop(name).stops.size() == 1);
    table.now = table.now + Milliseconds { 35 };
    table.runs.stopAnswered(name, false, table.now);
    cr_assert(table.runs.act(table.now).stops.size() == 1, "expected a resend of the unanswered stop");
}

Test(RunTable, aStopThatFailsAtOnceIsNotRepeatedWithoutPause)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    cr_assert(table.loseAnswerAndStop(name).stops.size() == 1);
    // As when the connection is refused, or the minion rejects the request.
    std::size_t stops = 0;
    for (int round = 0; round < 100; ++round) {
        table.runs.stopAnswered(name, false, table.now);
        stops += table.runs.act(table.now).stops.size();
    }
    cr_assert(stops <= 1, "expected a pause between stops that fail at once, got %zu in one millisecond", stops);
}

Test(RunTable, aStopOfAnOrphanedRunThatFailsAtOnceIsNotRepeatedWithoutPause)
{
    Table table;
    table.runs.act(table.now);
    const RunName orphan { .job = "stray", .run = 3 };
    table.now = table.now + Milliseconds { 10 };
    table.answer({ { .run = orphan, .percent = 0 } }, {});
    cr_assert(table.runs.act(table.now).stops.size() == 1);
    std::size_t stops = 0;
    for (int round = 0; round < 100; ++round) {
        table.runs.stopAnswered(orphan, false, table.now);
        stops += table.runs.act(table.now).stops.size();
    }
    cr_assert(stops <= 1, "expected a pause between stops that fail at once, got %zu in one millisecond", stops);
}

Test(RunTable, givesAnotherRunOfATaskAHigherNumber)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.now = table.now + Milliseconds { 10 };
    table.answer({}, { { .number = 1, .run = name, .kind = ListedEndKind::Done } });
    table.runs.act(table.now);
    table.runs.opened({ .entry = "other/1" }, table.now);
    table.runs.received("other/1",
        { .echo = table.now,
            .requests = { { .job = "a", .tasks = { { .index = 0, .run = 1 } }, .needs = { .cpuMillis = 1 }, .endBy = { 1'000'000 } } } },
        table.now);
    const auto starts = table.runs.act(table.now).starts;
    cr_assert(starts.size() == 1 && starts[0].run.run == 2, "expected run 2, got %zu starts", starts.size());
}

Test(RunTable, takesNoMoreThanTheMinionHasRoomFor)
{
    Table table;
    cr_assert(table.request("a").starts.size() == 1);
    cr_assert(table.request("b").starts.size() == 1);
    cr_assert(table.request("c").starts.empty());
    cr_assert(table.runs.queuedRuns() == 1);
}

Test(RunTable, recallsOnlyWhatHasNotStarted)
{
    Table table;
    table.request("a");
    table.request("b");
    table.request("c");
    table.runs.received(entryIncarnation,
        { .echo = table.now, .recalls = { { .job = "a", .run = 1 }, { .job = "c", .run = 1 } } }, table.now);
    const auto actions = table.runs.act(table.now);
    cr_assert(actions.stops.empty());
    cr_assert(table.runs.queuedRuns() == 0 && table.runs.liveRuns() == 2);
}

Test(RunTable, stopsOrphanedRunsBeforeItAcceptsAny)
{
    RunTable runs { { .incarnation = "sidecar/2", .dataCentre = "dc" }, start };
    runs.permit({ 1'000'000 }, true);
    runs.reported(Table::report(), start);
    runs.act(start);
    const RunName orphan { .job = "old", .run = 4 };
    runs.listed({ .born = { 7 }, .running = { { .run = orphan, .percent = 5 } } }, {}, start, start);
    const auto actions = runs.act(start);
    cr_assert(actions.stops.size() == 1 && actions.stops[0].run == orphan);
    cr_assert(!runs.isReady());
    const Milliseconds later = start + Milliseconds { 60 };
    runs.listed({ .born = { 7 } }, {}, later, later);
    cr_assert(runs.isReady());
}

// An earlier incarnation of the sidecar may have started the runs, so they must not start elsewhere before the minion is
// known to be empty.
Test(RunTable, endsUnknownRunsOnlyOnceTheMinionIsKnownToBeEmpty)
{
    RunTable runs { { .incarnation = "sidecar/2", .dataCentre = "dc" }, start };
    runs.permit({ 1'000'000 }, true);
    runs.opened({ .entry = entryIncarnation, .outstanding = { { .job = "a", .run = 1 } } }, start);
    cr_assert(endsOf(runs.act(start)).empty());
    runs.reported(Table::report(), start);
    cr_assert(endsOf(runs.act(start)).empty());
    runs.listed({ .born = { 7 } }, {}, start, start);
    const auto ends = endsOf(runs.act(start));
    cr_assert(ends.size() == 1 && ends[0].run.job == "a");
}

Test(RunTable, numbersEndsOnFromWhatTheEntryHasSeen)
{
    Table table;
    table.runs.opened({ .entry = "entry/9", .outstanding = { { .job = "x", .run = 1 } }, .endsSeen = 41 }, table.now);
    const auto ends = endsOf(table.runs.act(table.now));
    cr_assert(ends.size() == 1 && ends[0].number == 42, "expected end 42");
}

// The new incarnation may have accepted a start request at the same address before its report, or may do so seconds later.
Test(RunTable, endsARunOfAFormerIncarnationOfTheMinionOnlyOnceTheNewOneCannotRunIt)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    MinionReport again = Table::report();
    again.born = { 9 };
    cr_assert(table.runs.reported(again, table.now));
    const auto listNew = [&](const std::vector<ListedRun>& running) {
        table.now = table.now + Milliseconds { 10 };
        table.runs.received(entryIncarnation, { .echo = table.now }, table.now);
        table.runs.listed({ .born = { 9 }, .running = running }, {}, table.now, table.now);
        return table.after({ 1 });
    };
    const auto actions = listNew({ { .run = name, .percent = 10 } });
    cr_assert(actions.stops.size() == 1 && endsOf(actions).empty(), "expected a stop of the run that the new incarnation lists");
    cr_assert(endsOf(listNew({})).empty(), "expected no end while the stop is not answered");
    table.runs.stopAnswered(name, true, table.now);
    assertOnlyEnd(listNew({}), RunEndKind::Stopped);
    cr_assert(table.runs.liveRuns() == 0);
    MinionReport late = Table::report();
    late.sequence = 99;
    cr_assert(table.runs.standingOf(late, table.now) == ReportStanding::OtherIncarnation, "expected a report of the former incarnation to need a confirmation");
    late = again;
    cr_assert(table.runs.standingOf(late, table.now) == ReportStanding::Late && !table.runs.reported(late, table.now), "expected a late report to be rejected");
}

// Lists of another incarnation were not counted as answered, so after two of them none was asked for any more (review case 5).
Test(RunTable, goesOnAskingWhenAnotherIncarnationAnswersAndStartsNothingThere)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    int lists = 0;
    for (int i = 0; i < 20; ++i) {
        if (const auto list = table.after({ 10 }).list) {
            ++lists;
            table.runs.listed({ .born = { 3 } }, *list, table.now, table.now);
        }
    }
    cr_assert(lists > 5, "expected further lists, got %d", lists);
    cr_assert(table.request("b").starts.empty(), "expected no start while another incarnation answers");
}

Test(RunTable, noRunIsReportedAsEndedThatTheNextIncarnationOfTheMinionListsAsRunning)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    // The minion restarted under its id before it accepted the request, and its report arrives after its answer.
    MinionReport again = Table::report();
    again.born = { 9 };
    table.runs.reported(again, table.now);
    const auto actions = table.after({ 10 });
    cr_assert(actions.list.has_value());
    const bool reportedEnded = !endsOf(actions).empty();
    table.runs.listed({ .born = { 9 }, .running = { { .run = name, .percent = 10 } }, .ended = {} }, *actions.list, table.now, table.now);
    const auto afterList = table.after({ 1 });
    cr_assert(!reportedEnded || afterList.stops.empty(), "expected no end of a run that then has to be stopped at the minion");
}

Test(RunTable, stopsEverythingAndTakesNothingOnceTheMinionLeaves)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.runs.minionLeaves(table.now);
    const auto actions = table.after({ 1 });
    cr_assert(actions.stops.size() == 1 && endsOf(actions).empty(), "expected a stop and no end yet, got %zu stops", actions.stops.size());
    const auto refused = table.request("b");
    cr_assert(refused.starts.empty());
    const auto ends = endsOf(refused);
    cr_assert(ends.size() == 1 && ends[0].kind == RunEndKind::NotStarted);
    table.runs.stopAnswered(name, true, table.now);
    table.now = table.now + Milliseconds { 5 };
    table.answer({}, { { .number = 1, .run = name, .kind = ListedEndKind::Stopped } });
    cr_assert(table.runs.liveRuns() == 0);
}

Test(RunTable, reportsRunsAsEndedWhenTheMinionIsSilentBeyondItsLease)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.now = table.now + Milliseconds { 600 };
    table.runs.received(entryIncarnation, { .echo = table.now }, table.now);
    table.runs.listFailed(table.now);
    cr_assert(table.runs.liveRuns() == 1);
    // The lease was not renewed, since no list was requested meanwhile. If the minion has started again, it may hold the longest one.
    table.now = table.now + Milliseconds { 400 };
    table.runs.received(entryIncarnation, { .echo = table.now }, table.now);
    table.runs.listFailed(table.now);
    cr_assert(table.runs.liveRuns() == 1);
    table.now = table.now + Milliseconds { 45 };
    table.runs.received(entryIncarnation, { .echo = table.now }, table.now);
    table.runs.listFailed(table.now);
    cr_assert(table.runs.liveRuns() == 0);
}

// Progress listed some time ago says nothing about the time since.
Test(RunTable, judgesProgressByTheTimeOfTheList)
{
    Table table;
    const auto name = table.request("a", 1, { 400 }).starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.after({ 300 });
    table.answer({ { .run = name, .percent = 20 } }, {});
    // Its progress projects to 1,500 ms, within four times the estimate.
    cr_assert(table.after({ 250 }).stops.empty(), "expected no stop of a run that makes progress");
}

Test(RunTable, stopsARunWithoutProgress)
{
    Table table;
    const auto name = table.request("a", 1, { 100 }).starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    bool stopped = false;
    for (int i = 0; i < 12 && !stopped; ++i) {
        table.now = table.now + Milliseconds { 50 };
        table.runs.received(entryIncarnation, { .echo = table.now }, table.now);
        table.answer({ { .run = name, .percent = 1 } }, {});
        stopped = !table.runs.act(table.now).stops.empty();
    }
    cr_assert(stopped, "expected a stop within 600 ms of a run estimated at 100 ms");
}

Test(RunTable, takesNothingOutOfServiceOrWhileLeaving)
{
    Table table;
    table.runs.permit({ 1'000'000 }, false);
    cr_assert(table.request("a").starts.empty());
    table.runs.permit({ 1'000'000 }, true);
    table.runs.beginLeaving();
    cr_assert(table.request("b").starts.empty());
    cr_assert(table.runs.queuedRuns() == 0);
}

Test(RunTable, aRunWhoseEndStoodInAnUnreadableRowIsNotReportedAsNotStarted)
{
    Table table;
    const auto name = table.request("a").starts.at(0).run;
    cr_assert(table.loseAnswerAndStop(name).stops.size() == 1);
    table.runs.stopAnswered(name, true, table.now);
    const auto asked = table.after({ 10 }).list;
    cr_assert(asked.has_value());
    // The run's end is row 1, which was unreadable; row 2 was readable, so the next list acknowledges both.
    table.runs.listed({ .born = { 7 }, .ended = { { .number = 2, .run = {} } }, .isEndedWhole = false }, *asked, table.now, table.now);
    const auto next = table.after({ 10 }).list;
    cr_assert(next.has_value() && next->endsSeen == 2);
    table.runs.listed({ .born = { 7 } }, *next, table.now, table.now);
    assertOnlyEnd(table.after({ 1 }), RunEndKind::Stopped);
}

namespace {

// Requests tasks of two cores each without waiting for room. The minion has room for two.
RunActions requestWithoutWaiting(Table& table, const std::string& job, std::uint32_t tasks)
{
    RunRequest request { .job = job,
        .needs = { .cpuMillis = 2'000, .memoryMb = 1, .runTime = { 1'000 } },
        .endBy = { 1'000'000 },
        .mayWait = false };
    for (std::uint32_t index = 0; index < tasks; ++index)
        request.tasks.push_back({ .index = index, .run = 1 });
    table.runs.received(entryIncarnation, { .echo = table.now, .requests = { request } }, table.now);
    return table.runs.act(table.now);
}

bool hasFrame(const RunActions& actions) { return !actions.frames.empty(); }

} // namespace

Test(RunTable, returnsTasksAtOnceThatMayNotWaitForRoom)
{
    Table table;
    const auto actions = requestWithoutWaiting(table, "a", 3);
    cr_assert(actions.starts.size() == 2, "expected the two tasks that fit to start, got %zu", actions.starts.size());
    assertOnlyEnd(actions, RunEndKind::NoRoom);
    cr_assert(endsOf(actions)[0].evidence == StartEvidence::NotRequested, "expected no start request for a returned run");
    cr_assert(actions.frames[0].frame.state->used.cpuMillis == 4'000, "expected the state to show the minion as full");
    cr_assert(table.runs.queuedRuns() == 0);
}

Test(RunTable, notifiesAnEntryThatWaitsForRoomAsSoonAsThereIsSome)
{
    Table table;
    // Only the request for room makes a frame due before the next heartbeat.
    table.runs.opened({ .entry = entryIncarnation, .stateGap = { 10'000 } }, table.now);
    table.runs.act(table.now);
    const auto started = requestWithoutWaiting(table, "a", 2).starts;
    table.answer({ { .run = started[0].run }, { .run = started[1].run } }, {});
    table.runs.received(entryIncarnation, { .echo = table.now, .wantedCpuMillis = 2'000 }, table.now);
    cr_assert(!hasFrame(table.runs.act(table.now)), "expected no frame while there is no room");
    table.now = table.now + Milliseconds { 20 };
    // A run ends and frees room.
    constexpr const char* otherIncarnation = "other/1";
    table.runs.opened({ .entry = otherIncarnation }, table.now);
    table.runs.act(table.now);
    table.answer({ { .run = started[1].run } }, { { .number = 1, .run = started[0].run, .kind = ListedEndKind::Done } });
    const auto actions = table.runs.act(table.now);
    cr_assert(hasFrame(actions));
    cr_assert(actions.frames[0].frame.state->used.cpuMillis == 2'000);
}

Test(RunTable, offersTheSameRoomToOneEntryAtATime)
{
    Table table;
    constexpr const char* otherIncarnation = "other/1";
    for (const char* incarnation : { entryIncarnation, otherIncarnation }) {
        table.runs.opened({ .entry = incarnation, .stateGap = { 10'000 } }, table.now);
        table.runs.act(table.now);
    }
    // Leaves room for one task of the size that both entries wait for.
    const auto started = requestWithoutWaiting(table, "a", 1).starts;
    table.answer({ { .run = started[0].run } }, {});
    table.now = table.now + Milliseconds { 20 };
    table.runs.received(entryIncarnation, { .echo = table.now, .wantedCpuMillis = 2'000 }, table.now);
    table.runs.received(otherIncarnation, { .echo = table.now, .wantedCpuMillis = 2'000 }, table.now);
    const auto first = table.runs.act(table.now);
    cr_assert(first.frames.size() == 1, "expected an offer to one entry, got %zu", first.frames.size());
    const std::string told = first.frames[0].entry;
    cr_assert(!hasFrame(table.runs.act(table.now + Milliseconds { 1 })));
    const auto second = table.runs.act(table.now + Milliseconds { 10 });
    cr_assert(second.frames.size() == 1 && second.frames[0].entry != told, "expected an offer to the other entry once the first has not used its own");
}

// Keeps frames small: hundreds of entries receive the state of hundreds of minions several times a second.
Test(RunTable, sendsTheWholeStateOncePerStreamAndWhenTheMinionChanges)
{
    Table table;
    const auto stateAfter = [&table](Milliseconds span) { return *table.after(span).frames.at(0).frame.state; };
    cr_assert(!stateAfter({ 500 }).isWhole);
    MinionReport larger = Table::report();
    larger.sequence = 2;
    larger.capacity.cpuMillis = 8'000;
    cr_assert(!table.runs.reported(larger, table.now), "expected a report that contradicts a recent one to be rejected");
    cr_assert(!stateAfter({ 3'500 }).isWhole);
    cr_assert(table.runs.reported(larger, table.now), "expected the report to be taken once the former ones have stopped");
    const MinionState told = stateAfter({ 500 });
    cr_assert(told.isWhole && told.capacity.cpuMillis == 8'000 && told.service == "service");
    cr_assert(!stateAfter({ 500 }).isWhole);
    table.runs.opened({ .entry = entryIncarnation }, table.now);
    cr_assert(table.runs.act(table.now).frames.at(0).frame.state->isWhole, "expected the whole state first on a new stream");
}

namespace {

constexpr const char* otherEntry = "other/1";
// The shortest time after which a caller submits a job again, a minion's clock that is 2% slow, and the time of a stop.
constexpr Milliseconds resubmitAfter { 1'300 };
constexpr double slowClock = 1 / 0.98;
constexpr Milliseconds stopTime { 50 };

// When a minion may still run something at the latest, by the leases of these actions.
Milliseconds latestEnd(const RunActions& actions, Milliseconds now)
{
    Milliseconds latest {};
    const auto include = [&](Milliseconds leaseEnd) {
        const auto realTime = static_cast<std::int64_t>(std::ceil(static_cast<double>((leaseEnd - now).count) * slowClock));
        latest = std::max(latest, now + Milliseconds { realTime } + stopTime);
    };
    for (const auto& item : actions.starts)
        include(item.leaseEnd);
    if (actions.list && actions.list->leaseEnd)
        include(*actions.list->leaseEnd);
    return latest;
}

} // namespace

// An entry and then a sidecar were lost, and a job that was submitted again ran beside its former runs (review case 3). The
// minion also works for another entry, so its leases are renewed all the time, and it carries out no stop.
Test(RunTable, noLeaseOutlivesASilentEntryForAsLongAsCallersWait)
{
    Table table;
    table.runs.opened({ .entry = otherEntry }, table.now);
    table.runs.received(otherEntry, { .echo = table.now }, table.now);
    const RunName lost = table.request("a").starts.at(0).run;
    table.runs.startAnswered(lost, StartAnswer::Started, table.now);
    const Milliseconds silentSince = table.now;
    const auto receive = [&](std::vector<RunRequest> requests) {
        table.runs.received(otherEntry, { .echo = table.now, .requests = std::move(requests) }, table.now);
    };
    receive({ { .job = "b", .tasks = { { .index = 0, .run = 1 } }, .needs = { .cpuMillis = 100, .memoryMb = 1, .runTime = { 60'000 } }, .endBy = { 1'000'000 } } });
    const RunName kept = table.runs.act(table.now).starts.at(0).run;
    table.runs.startAnswered(kept, StartAnswer::Started, table.now);
    int renewals = 0;
    while (table.now < silentSince + Milliseconds { 3'000 }) {
        table.now = table.now + Milliseconds { 10 };
        receive({});
        const RunActions actions = table.runs.act(table.now);
        cr_assert(latestEnd(actions, table.now) < silentSince + resubmitAfter, "a lease granted %lld ms after the entry's last sign of life may end %lld ms after it",
            static_cast<long long>((table.now - silentSince).count), static_cast<long long>((latestEnd(actions, table.now) - silentSince).count));
        renewals += actions.list && actions.list->leaseEnd ? 1 : 0;
        if (actions.list)
            table.answer({ { .run = lost, .percent = 50 }, { .run = kept, .percent = 50 } }, {});
    }
    cr_assert(renewals > 10, "expected the minion's lease to be renewed for the other entry, got %d renewals", renewals);
}

// The same for a caller that leaves a living entry: its runs are stopped, and the minion leaves the stops unanswered.
Test(RunTable, noLeaseOutlivesAnUnansweredStopForAsLongAsCallersWait)
{
    Table table;
    const RunName abandoned = table.request("a").starts.at(0).run;
    table.runs.startAnswered(abandoned, StartAnswer::Started, table.now);
    const RunName kept = table.request("b").starts.at(0).run;
    table.runs.startAnswered(kept, StartAnswer::Started, table.now);
    const Milliseconds leftAt = table.now;
    table.runs.received(entryIncarnation, { .echo = table.now, .stops = { abandoned } }, table.now);
    while (table.now < leftAt + Milliseconds { 3'000 }) {
        const RunActions actions = table.after({ 10 });
        cr_assert(latestEnd(actions, table.now) < leftAt + resubmitAfter);
        if (actions.list)
            table.answer({ { .run = abandoned, .percent = 50 }, { .run = kept, .percent = 50 } }, {});
    }
}

// What a stopped run held back is granted again once the stop was answered.
Test(RunTable, renewsInFullOnceTheRunsOfASilentEntryAreStopped)
{
    Table table;
    table.runs.opened({ .entry = otherEntry }, table.now);
    table.runs.received(otherEntry, { .echo = table.now }, table.now);
    const RunName lost = table.request("a").starts.at(0).run;
    table.runs.startAnswered(lost, StartAnswer::Started, table.now);
    table.runs.received(otherEntry,
        { .echo = table.now, .requests = { { .job = "b", .tasks = { { .index = 0, .run = 1 } }, .needs = { .cpuMillis = 100, .memoryMb = 1 }, .endBy = { 1'000'000 } } } }, table.now);
    const RunName kept = table.runs.act(table.now).starts.at(0).run;
    table.runs.startAnswered(kept, StartAnswer::Started, table.now);
    table.now = table.now + Milliseconds { 702 };
    table.runs.received(otherEntry, { .echo = table.now }, table.now);
    const auto stops = table.runs.act(table.now).stops;
    cr_assert(stops.size() == 1 && stops[0].run == lost);
    table.runs.stopAnswered(lost, true, table.now);
    table.answer({ { .run = kept, .percent = 50 } }, {});
    table.now = table.now + Milliseconds { 20 };
    table.runs.received(otherEntry, { .echo = table.now }, table.now);
    const auto list = table.runs.act(table.now).list;
    cr_assert(list && list->leaseEnd == table.now + RunTableOptions {}.minionLease);
}

// The sum of all leases must stay below the time after which callers submit again; a changed figure must not break that (review
// case 3).
Test(RunTable, noRunOutlivesItsEntryForAsLongAsCallersWait)
{
    cr_assert(maxAbandonedRunTime({}) < resubmitAfter, "a run may outlive its entry by %lld ms", static_cast<long long>(maxAbandonedRunTime({}).count));
}

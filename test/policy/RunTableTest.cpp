#include "policy/RunTable.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

constexpr Milliseconds start { 50'000 };
constexpr const char* entryIncarnation = "entry/1";

// A table with a minion that is found empty, and one entry whose stream is open.
struct Table {
    RunTable runs { { .incarnation = "sidecar/1", .dataCentre = "dc" }, start };
    Milliseconds now { start };

    Table()
    {
        runs.permit({ 1'000'000 }, true);
        runs.reported(report(), now);
        const auto asked = runs.act(now).list;
        cr_assert(asked && !asked->lease, "expected a list that renews nothing while the minion is not known to be empty");
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

    RunActions order(const std::string& job, std::uint64_t run = 1, Milliseconds estimate = { 1'000 })
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

    // The order for this run gets no answer in time, and the entry no longer wants it.
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

Test(RunTable, startsAnOrderWithALeaseAndTellsItsEnd)
{
    Table table;
    const auto actions = table.order("a");
    cr_assert(actions.starts.size() == 1);
    cr_assert(actions.starts[0].lease.count > 0);
    const RunName name = actions.starts[0].run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.now = table.now + Milliseconds { 90 };
    table.runs.received(entryIncarnation, { .echo = table.now }, table.now);
    table.answer({}, { { .number = 1, .run = name, .kind = ListedEndKind::Done } });
    const auto ends = endsOf(table.runs.act(table.now));
    cr_assert(ends.size() == 1 && ends[0].kind == RunEndKind::Done, "expected one end, got %zu", ends.size());
    cr_assert(ends[0].ranFor == Milliseconds { 90 });
}

Test(RunTable, startsNothingForAnEntryWhoseNewsAreOld)
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

Test(RunTable, stopsWhatAnEntryLeftBehindWithinItsLease)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    cr_assert(table.after({ 700 }, false).stops.empty());
    const auto actions = table.after({ 1 }, false);
    cr_assert(actions.stops.size() == 1, "expected a stop 701 ms after the last echo, got %zu", actions.stops.size());
}

Test(RunTable, tellsTheEndOfAStoppedRunOnlyOnceTheMinionNoLongerListsIt)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
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

// A list that was asked for before the minion had confirmed the start says nothing about it.
Test(RunTable, keepsARunThatAListOvertook)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
    const Milliseconds askedAt = table.now + Milliseconds { 1 };
    table.now = table.now + Milliseconds { 3 };
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.now = table.now + Milliseconds { 1 };
    table.runs.listed({ .born = { 7 } }, {}, askedAt, table.now);
    cr_assert(endsOf(table.runs.act(table.now)).empty());
    cr_assert(table.runs.liveRuns() == 1);
}

Test(RunTable, startsATaskAgainOnlyAfterAnUnansweredStartWasMadeHarmless)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
    cr_assert(table.loseAnswerAndStop(name).stops.size() == 1);
    cr_assert(endsOf(table.after({ 40 })).empty());
    table.runs.stopAnswered(name, true, table.now);
    table.now = table.now + Milliseconds { 10 };
    table.runs.received(entryIncarnation, { .echo = table.now }, table.now);
    table.answer({}, {});
    const auto ends = endsOf(table.runs.act(table.now));
    cr_assert(ends.size() == 1 && ends[0].kind == RunEndKind::Stopped, "expected one end that does not say that nothing started");
    // The number of the next run is higher, although another entry counts from 1 again.
    const auto again = table.order("a", 1);
    cr_assert(again.starts.empty() || again.starts[0].run.run > name.run);
}

Test(RunTable, sendsAnUnansweredStartAgainUnderTheSameRun)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
    table.now = table.now + Milliseconds { 35 };
    table.runs.startAnswered(name, StartAnswer::Unknown, table.now);
    const auto again = table.after({ 0 });
    cr_assert(again.starts.size() == 1 && again.starts[0].run == name, "expected run %llu again, got %zu starts",
        static_cast<unsigned long long>(name.run), again.starts.size());
    cr_assert(again.stops.empty() && endsOf(again).empty(), "expected neither a stop nor an end");
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.now = table.now + Milliseconds { 100 };
    table.answer({}, { { .number = 1, .run = name, .kind = ListedEndKind::Done } });
    assertOnlyEnd(table.after({ 1 }), RunEndKind::Done);
}

Test(RunTable, aRunThatAListShowsIsNotOrderedAgain)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Unknown, table.now);
    table.answer({ { .run = name, .percent = 10 } }, {});
    const auto after = table.after({ 1 });
    cr_assert(after.starts.empty() && after.stops.empty(), "expected no order for a run that is listed, got %zu starts and %zu stops",
        after.starts.size(), after.stops.size());
}

// A process may have been paused since the first order.
Test(RunTable, sendsNoStartAgainOnceItsPermissionHasRunOut)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
    table.runs.permit(table.now + Milliseconds { 30 }, true);
    table.now = table.now + Milliseconds { 35 };
    table.runs.startAnswered(name, StartAnswer::Unknown, table.now);
    const auto after = table.after({ 0 });
    cr_assert(after.starts.empty(), "expected no start 5 ms after the permission ended, got %zu", after.starts.size());
    cr_assert(after.stops.size() == 1, "expected a stop of what may have started, got %zu", after.stops.size());
}

Test(RunTable, sendsNoStartAgainForAnEntryThatIsSilent)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
    table.now = table.now + Milliseconds { 701 };
    table.runs.startAnswered(name, StartAnswer::Unknown, table.now);
    const auto after = table.after({ 0 }, false);
    cr_assert(after.starts.empty() && after.stops.size() == 1, "expected a stop and no start beyond the entry's lease, got %zu starts and %zu stops",
        after.starts.size(), after.stops.size());
}

// The first order may yet be carried out, so the answer to the second proves nothing.
Test(RunTable, aDeclinedResendIsNotReportedAsNotStarted)
{
    for (const auto answer : { StartAnswer::NoRoom, StartAnswer::Unhealthy, StartAnswer::Superseded, StartAnswer::Refused }) {
        Table table;
        const auto name = table.order("a").starts.at(0).run;
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

// A minion that is paused answers nothing for a while; what it is sent then waits for it.
Test(RunTable, pausesBetweenStartsThatAreNeverAnswered)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
    std::size_t resent = 0;
    const Milliseconds until = table.now + Milliseconds { 2'000 };
    while (table.now < until) {
        table.runs.startAnswered(name, StartAnswer::Unknown, table.now);
        resent += table.after({ 35 }).starts.size();
    }
    // Eight at once and nine with a pause of 160 ms on the mean.
    cr_assert(resent <= 20, "expected at most 20 orders for one run within two seconds, got %zu", resent);
}

// As after a crash that nobody reports. The order must not renew the minion's lease for ever, or its task would never start elsewhere.
Test(RunTable, givesUpOrdersToAMinionThatAnswersNothing)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
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
    cr_assert(late == 0, "expected no order 400 ms after the first, got %zu", late);
    cr_assert(!isAccepting, "expected entries to hear that the minion takes nothing");
    cr_assert(ends.size() == 1 && ends[0].kind == RunEndKind::Stopped, "expected the run to end with the minion's lease, got %zu ends", ends.size());
}

Test(RunTable, takesRunsAgainOnceASilentMinionIsHeard)
{
    Table table;
    for (int i = 0; i < 10; ++i) {
        table.runs.listFailed(table.now);
        table.after({ 40 });
    }
    cr_assert(table.order("a").starts.empty(), "expected no start while the minion is silent");
    auto report = Table::report();
    report.sequence = 2;
    table.runs.reported(report, table.now);
    cr_assert(table.order("b").starts.size() == 1, "expected a start after the minion's next report");
}

// An entry that hears "not started" may refuse the job, so it must be true.
Test(RunTable, tellsARunAsStoppedWhenAnUnansweredStartWasCarriedOut)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
    cr_assert(table.loseAnswerAndStop(name).stops.size() == 1);
    table.runs.stopAnswered(name, true, table.now);
    table.now = table.now + Milliseconds { 20 };
    table.answer({}, { { .number = 1, .run = name, .kind = ListedEndKind::Stopped } });
    assertOnlyEnd(table.after({ 1 }), RunEndKind::Stopped);
}

Test(RunTable, tellsARunAsStoppedWhenAListShowedItRunningAfterAnUnansweredStart)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
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
    const auto name = table.order("a").starts.at(0).run;
    table.loseAnswerAndStop(name);
    table.runs.stopAnswered(name, true, table.now);
    const auto listWithout = [&](Milliseconds span) {
        table.now = table.now + span;
        table.runs.received(entryIncarnation, { .echo = table.now }, table.now);
        table.runs.listed({ .born = { 7 }, .running = {}, .ended = {}, .isEndedWhole = false }, {}, table.now, table.now);
        return table.after({ 1 });
    };
    cr_assert(endsOf(listWithout({ 20 })).empty(), "expected no end by a list that leaves ends out");
    // By then it runs no more, whether it had started or not.
    assertOnlyEnd(listWithout({ 1'100 }), RunEndKind::Stopped);
}

Test(RunTable, aStaleFrameNeverEndsARunThatIsUnderWay)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
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
    const auto name = table.order("a").starts.at(0).run;
    cr_assert(table.loseAnswerAndStop(name).stops.size() == 1);
    table.now = table.now + Milliseconds { 35 };
    table.runs.stopAnswered(name, false, table.now);
    cr_assert(table.runs.act(table.now).stops.size() == 1, "expected the stop again once its answer had not come");
}

Test(RunTable, aStopThatFailsAtOnceIsNotRepeatedWithoutPause)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
    cr_assert(table.loseAnswerAndStop(name).stops.size() == 1);
    // As when the connection is refused, or the minion answers that it takes no such order.
    std::size_t stops = 0;
    for (int round = 0; round < 100; ++round) {
        table.runs.stopAnswered(name, false, table.now);
        stops += table.runs.act(table.now).stops.size();
    }
    cr_assert(stops <= 1, "expected a pause between stops that fail at once, got %zu in one millisecond", stops);
}

Test(RunTable, aStopOfAStrayRunThatFailsAtOnceIsNotRepeatedWithoutPause)
{
    Table table;
    table.runs.act(table.now);
    const RunName stray { .job = "stray", .run = 3 };
    table.now = table.now + Milliseconds { 10 };
    table.answer({ { .run = stray, .percent = 0 } }, {});
    cr_assert(table.runs.act(table.now).stops.size() == 1);
    std::size_t stops = 0;
    for (int round = 0; round < 100; ++round) {
        table.runs.stopAnswered(stray, false, table.now);
        stops += table.runs.act(table.now).stops.size();
    }
    cr_assert(stops <= 1, "expected a pause between stops that fail at once, got %zu in one millisecond", stops);
}

Test(RunTable, givesAnotherRunOfATaskAHigherNumber)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.now = table.now + Milliseconds { 10 };
    table.answer({}, { { .number = 1, .run = name, .kind = ListedEndKind::Done } });
    table.runs.act(table.now);
    table.runs.opened({ .entry = "entry/2" }, table.now);
    table.runs.received("entry/2",
        { .echo = table.now,
            .requests = { { .job = "a", .tasks = { { .index = 0, .run = 1 } }, .needs = { .cpuMillis = 1 }, .endBy = { 1'000'000 } } } },
        table.now);
    const auto starts = table.runs.act(table.now).starts;
    cr_assert(starts.size() == 1 && starts[0].run.run == 2, "expected run 2, got %zu starts", starts.size());
}

Test(RunTable, takesNoMoreThanTheMinionHasRoomFor)
{
    Table table;
    cr_assert(table.order("a").starts.size() == 1);
    cr_assert(table.order("b").starts.size() == 1);
    cr_assert(table.order("c").starts.empty());
    cr_assert(table.runs.queuedRuns() == 1);
}

Test(RunTable, recallsOnlyWhatHasNotStarted)
{
    Table table;
    table.order("a");
    table.order("b");
    table.order("c");
    table.runs.received(entryIncarnation,
        { .echo = table.now, .recalls = { { .job = "a", .run = 1 }, { .job = "c", .run = 1 } } }, table.now);
    const auto actions = table.runs.act(table.now);
    cr_assert(actions.stops.empty());
    cr_assert(table.runs.queuedRuns() == 0 && table.runs.liveRuns() == 2);
}

Test(RunTable, stopsStrayRunsBeforeItTakesAny)
{
    RunTable runs { { .incarnation = "sidecar/2", .dataCentre = "dc" }, start };
    runs.permit({ 1'000'000 }, true);
    runs.reported(Table::report(), start);
    runs.act(start);
    const RunName stray { .job = "old", .run = 4 };
    runs.listed({ .born = { 7 }, .running = { { .run = stray, .percent = 5 } } }, {}, start, start);
    const auto actions = runs.act(start);
    cr_assert(actions.stops.size() == 1 && actions.stops[0].run == stray);
    cr_assert(!runs.isReady());
    const Milliseconds later = start + Milliseconds { 60 };
    runs.listed({ .born = { 7 } }, {}, later, later);
    cr_assert(runs.isReady());
}

// A former life of the sidecar may have started them; nobody may start them elsewhere before that is settled.
Test(RunTable, answersForUnknownRunsOnlyOnceTheMinionIsKnownToBeEmpty)
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

// The new incarnation may have taken an order at the same address before its report, and may do so seconds later.
Test(RunTable, endsARunOfAFormerIncarnationOfTheMinionOnlyOnceTheNewOneCannotRunIt)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
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
    cr_assert(!table.runs.reported(late, table.now), "a report of the former incarnation is no news");
}

Test(RunTable, noRunIsReportedAsEndedThatTheNextLifeOfTheMinionListsAsRunning)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    // The minion had started again under its id before it took the order, and its report comes after its answer.
    MinionReport again = Table::report();
    again.born = { 9 };
    table.runs.reported(again, table.now);
    const auto actions = table.after({ 10 });
    cr_assert(actions.list.has_value());
    const bool toldEnded = !endsOf(actions).empty();
    table.runs.listed({ .born = { 9 }, .running = { { .run = name, .percent = 10 } }, .ended = {} }, *actions.list, table.now, table.now);
    const auto afterList = table.after({ 1 });
    cr_assert(!toldEnded || afterList.stops.empty(), "expected no end of a run that then has to be stopped at the minion");
}

Test(RunTable, stopsEverythingAndTakesNothingOnceTheMinionLeaves)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.runs.minionLeaves(table.now);
    const auto actions = table.after({ 1 });
    cr_assert(actions.stops.size() == 1 && endsOf(actions).empty(), "expected a stop and no end yet, got %zu stops", actions.stops.size());
    const auto refused = table.order("b");
    cr_assert(refused.starts.empty());
    const auto ends = endsOf(refused);
    cr_assert(ends.size() == 1 && ends[0].kind == RunEndKind::NotStarted);
    table.runs.stopAnswered(name, true, table.now);
    table.now = table.now + Milliseconds { 5 };
    table.answer({}, { { .number = 1, .run = name, .kind = ListedEndKind::Stopped } });
    cr_assert(table.runs.liveRuns() == 0);
}

Test(RunTable, tellsRunsAsEndedWhenTheMinionIsSilentBeyondItsLease)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.now = table.now + Milliseconds { 600 };
    table.runs.received(entryIncarnation, { .echo = table.now }, table.now);
    table.runs.listFailed(table.now);
    cr_assert(table.runs.liveRuns() == 1);
    // Nothing was renewed, since no list was asked for meanwhile.
    table.now = table.now + Milliseconds { 400 };
    table.runs.received(entryIncarnation, { .echo = table.now }, table.now);
    table.runs.listFailed(table.now);
    cr_assert(table.runs.liveRuns() == 0);
}

// Progress that was listed a while ago says nothing of the time since.
Test(RunTable, judgesProgressByTheTimeOfTheList)
{
    Table table;
    const auto name = table.order("a", 1, { 400 }).starts.at(0).run;
    table.runs.startAnswered(name, StartAnswer::Started, table.now);
    table.after({ 300 });
    table.answer({ { .run = name, .percent = 20 } }, {});
    // 1,500 ms in all by its progress, within four times the estimate.
    cr_assert(table.after({ 250 }).stops.empty(), "expected no stop of a run that is on its way");
}

Test(RunTable, stopsARunThatStandsStill)
{
    Table table;
    const auto name = table.order("a", 1, { 100 }).starts.at(0).run;
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
    cr_assert(table.order("a").starts.empty());
    table.runs.permit({ 1'000'000 }, true);
    table.runs.beginLeaving();
    cr_assert(table.order("b").starts.empty());
    cr_assert(table.runs.queuedRuns() == 0);
}

Test(RunTable, aRunWhoseEndStoodInAnUnreadableRowIsNotReportedAsNotStarted)
{
    Table table;
    const auto name = table.order("a").starts.at(0).run;
    cr_assert(table.loseAnswerAndStop(name).stops.size() == 1);
    table.runs.stopAnswered(name, true, table.now);
    const auto asked = table.after({ 10 }).list;
    cr_assert(asked.has_value());
    // Its end is row 1, which could not be read; row 2 could, so that the next list acknowledges both.
    table.runs.listed({ .born = { 7 }, .ended = { { .number = 2, .run = {} } }, .isEndedWhole = false }, *asked, table.now, table.now);
    const auto next = table.after({ 10 }).list;
    cr_assert(next.has_value() && next->endsSeen == 2);
    table.runs.listed({ .born = { 7 } }, *next, table.now, table.now);
    assertOnlyEnd(table.after({ 1 }), RunEndKind::Stopped);
}

namespace {

// Orders tasks of two cores each, of which the minion holds two, without waiting for room.
RunActions orderWithoutWaiting(Table& table, const std::string& job, std::uint32_t tasks)
{
    RunRequest order { .job = job,
        .needs = { .cpuMillis = 2'000, .memoryMb = 1, .runTime = { 1'000 } },
        .endBy = { 1'000'000 },
        .mayWait = false };
    for (std::uint32_t index = 0; index < tasks; ++index)
        order.tasks.push_back({ .index = index, .run = 1 });
    table.runs.received(entryIncarnation, { .echo = table.now, .requests = { order } }, table.now);
    return table.runs.act(table.now);
}

bool hasFrame(const RunActions& actions) { return !actions.frames.empty(); }

} // namespace

Test(RunTable, givesBackAtOnceWhatIsNotToWaitForRoom)
{
    Table table;
    const auto actions = orderWithoutWaiting(table, "a", 3);
    cr_assert(actions.starts.size() == 2, "expected the two tasks that fit to start, got %zu", actions.starts.size());
    assertOnlyEnd(actions, RunEndKind::NoRoom);
    cr_assert(endsOf(actions)[0].evidence == StartEvidence::NotRequested, "a run that is given back was never ordered");
    cr_assert(actions.frames[0].frame.state->used.cpuMillis == 4'000, "the entry learns why");
    cr_assert(table.runs.queuedRuns() == 0);
}

Test(RunTable, tellsAnEntryThatWantsRoomAsSoonAsThereIsSome)
{
    Table table;
    // Nothing but the want makes a frame due before the next heartbeat.
    table.runs.opened({ .entry = entryIncarnation, .stateGap = { 10'000 } }, table.now);
    table.runs.act(table.now);
    const auto started = orderWithoutWaiting(table, "a", 2).starts;
    table.answer({ { .run = started[0].run }, { .run = started[1].run } }, {});
    table.runs.received(entryIncarnation, { .echo = table.now, .wantedCpuMillis = 2'000 }, table.now);
    cr_assert(!hasFrame(table.runs.act(table.now)), "there is no room to tell of");
    table.now = table.now + Milliseconds { 20 };
    // The end of a run of another entry frees room; this entry has no end to be told of.
    constexpr const char* otherIncarnation = "entry/2";
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
    constexpr const char* otherIncarnation = "entry/2";
    for (const char* incarnation : { entryIncarnation, otherIncarnation }) {
        table.runs.opened({ .entry = incarnation, .stateGap = { 10'000 } }, table.now);
        table.runs.act(table.now);
    }
    // Room for one task of the size that both want.
    const auto started = orderWithoutWaiting(table, "a", 1).starts;
    table.answer({ { .run = started[0].run } }, {});
    table.now = table.now + Milliseconds { 20 };
    table.runs.received(entryIncarnation, { .echo = table.now, .wantedCpuMillis = 2'000 }, table.now);
    table.runs.received(otherIncarnation, { .echo = table.now, .wantedCpuMillis = 2'000 }, table.now);
    const auto first = table.runs.act(table.now);
    cr_assert(first.frames.size() == 1, "expected one entry to hear of the room, got %zu", first.frames.size());
    const std::string told = first.frames[0].entry;
    cr_assert(!hasFrame(table.runs.act(table.now + Milliseconds { 1 })));
    const auto second = table.runs.act(table.now + Milliseconds { 10 });
    cr_assert(second.frames.size() == 1 && second.frames[0].entry != told, "expected the other entry to hear once the first has not taken the room");
}

// Hundreds of entries hear of hundreds of minions several times a second.
Test(RunTable, describesTheMinionOnceAStreamAndWhenItIsAnotherOne)
{
    Table table;
    const auto stateAfter = [&table](Milliseconds span) { return *table.after(span).frames.at(0).frame.state; };
    cr_assert(!stateAfter({ 500 }).isWhole);
    MinionReport larger = Table::report();
    larger.sequence = 2;
    larger.capacity.cpuMillis = 8'000;
    cr_assert(table.runs.reported(larger, table.now));
    const MinionState told = stateAfter({ 500 });
    cr_assert(told.isWhole && told.capacity.cpuMillis == 8'000 && told.service == "service");
    cr_assert(!stateAfter({ 500 }).isWhole);
    table.runs.opened({ .entry = entryIncarnation }, table.now);
    cr_assert(table.runs.act(table.now).frames.at(0).frame.state->isWhole, "expected the whole state first on a new stream");
}

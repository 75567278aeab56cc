#include "NearMisses.h"

#include <criterion/criterion.h>

#include <tuple>

using namespace oleanderport;
using namespace oleanderport::soak;

namespace {

RunRecord run(const char* minion, Milliseconds ordered, Milliseconds start, Milliseconds end, const char* how)
{
    return { .task = "a.0.0.0", .minion = minion, .ordered = ordered, .start = start, .end = end, .how = how };
}

// One job, first sent at 900 ms and again at 2,500 ms.
Record recordOf(std::vector<RunRecord> runs)
{
    Record record { .runs = std::move(runs) };
    record.jobs.push_back({ .id = "a", .tasks = 1, .attempts = { { .entry = "entry-1", .sent = { 900 } }, { .entry = "entry-2", .sent = { 2'500 } } } });
    return record;
}

void assertRow(const NearMisses& misses, Succession succession, const char* how, std::size_t count, std::int64_t gap, std::int64_t gapToOrder)
{
    const auto row = misses.find({ succession, how });
    cr_assert(row != misses.end(), "no such row, got \"%s\"", describe(misses).c_str());
    const Successors& found = row->second;
    cr_assert(std::tie(found.count, found.smallestGap.count, found.smallestGapToOrder.count) == std::tie(count, gap, gapToOrder),
        "got %zu, %ld ms, %ld ms", found.count, static_cast<long>(found.smallestGap.count), static_cast<long>(found.smallestGapToOrder.count));
}

} // namespace

Test(SoakNearMisses, tellsWhereTheNextRunStartedAndHowTheFormerOneEnded)
{
    const NearMisses misses = nearMisses(recordOf({ run("minion-1", { 990 }, { 1'000 }, { 1'100 }, "stopped"),
        run("minion-1", { 1'120 }, { 1'125 }, { 1'200 }, "lapsed"),
        run("minion-2", { 1'207 }, { 1'210 }, { 1'300 }, "stopped"),
        run("minion-2", { 2'600 }, { 2'610 }, { 2'700 }, "done") }));
    cr_assert(misses.size() == 3, "got \"%s\"", describe(misses).c_str());
    assertRow(misses, Succession::SameMinion, "stopped", 1, 25, 20);
    assertRow(misses, Succession::OtherMinion, "lapsed", 1, 10, 7);
    assertRow(misses, Succession::Resubmission, "stopped", 1, 1'310, 1'300);
}

Test(SoakNearMisses, keepsTheSmallestGapOfEachRow)
{
    const NearMisses misses = nearMisses(recordOf({ run("minion-1", { 990 }, { 1'000 }, { 1'100 }, "killed"),
        run("minion-2", { 1'120 }, { 1'130 }, { 1'200 }, "killed"),
        run("minion-1", { 1'209 }, { 1'250 }, { 1'300 }, "done") }));
    assertRow(misses, Succession::OtherMinion, "killed", 2, 30, 9);
    cr_assert(describe(misses) == "near misses: 2 of other_minion, smallest gap 30 ms after killed", "got \"%s\"", describe(misses).c_str());
    cr_assert(tableOf(7, misses) == "gap 7 other_minion killed 2 30 9 30\n", "got \"%s\"", tableOf(7, misses).c_str());
}

Test(SoakNearMisses, showsAnOrderThatWasSentBeforeTheFormerRunEnded)
{
    const NearMisses misses = nearMisses(recordOf({ run("minion-1", { 990 }, { 1'000 }, { 1'100 }, "stopped"), run("minion-2", { 1'080 }, { 1'101 }, { 1'200 }, "done") }));
    assertRow(misses, Succession::OtherMinion, "stopped", 1, 1, -20);
}

Test(SoakNearMisses, comparesARunWithTheOneThatEndsLast)
{
    const NearMisses misses = nearMisses(recordOf({ run("minion-1", { 990 }, { 1'000 }, { 1'900 }, "lapsed"),
        run("minion-2", { 1'100 }, { 1'110 }, { 1'200 }, "failed"),
        run("minion-3", { 1'290 }, { 1'300 }, { 1'400 }, "done") }));
    assertRow(misses, Succession::OtherMinion, "lapsed", 2, -790, -800);
}

Test(SoakNearMisses, setsOrdersOfAFormerIncarnationApart)
{
    RunRecord stray = run("minion-1", { 1'050 }, { 1'150 }, { 1'400 }, "stopped");
    stray.isOfFormer = true;
    const NearMisses misses = nearMisses(recordOf({ run("minion-2", { 990 }, { 1'000 }, { 1'300 }, "done"), stray }));
    cr_assert(misses.size() == 1);
    assertRow(misses, Succession::NextIncarnation, "done", 1, -150, -250);
}

Test(SoakNearMisses, findsNoneWhereEachTaskRanOnce)
{
    const NearMisses misses = nearMisses(recordOf({ run("minion-1", { 990 }, { 1'000 }, { 1'100 }, "done") }));
    cr_assert(misses.empty());
    cr_assert(describe(misses) == "near misses: no task ran twice");
}

Test(SoakNearMisses, showsAResubmissionThatRestsOnTheStopOfTheFormerRun)
{
    RunRecord former = run("minion-1", { 990 }, { 1'000 }, { 1'300 }, "stopped");
    former.leaseEnd = { 2'620 };
    const NearMisses misses = nearMisses(recordOf({ former, run("minion-2", { 2'590 }, { 2'600 }, { 2'700 }, "done") }));
    assertRow(misses, Succession::Resubmission, "stopped", 1, 1'300, 1'290);
    cr_assert(describe(misses) == "near misses: 1 of resubmission, smallest gap 1300 ms after stopped, -20 ms without its stop", "got \"%s\"", describe(misses).c_str());
}

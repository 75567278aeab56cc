#include "policy/RunTable.h"

#include <criterion/criterion.h>

using namespace oleanderport;

// Guards against reporting a run as ended while a new incarnation of the minion may still run it.

namespace {

constexpr Milliseconds start { 50'000 };
constexpr Milliseconds firstBorn { 7 };
constexpr Milliseconds secondBorn { 9 };
constexpr const char* entryIncarnation = "entry/1";

MinionReport report(Milliseconds born)
{
    return { .born = born, .sequence = 1, .service = "service", .capacity = { .cpuMillis = 4'000, .memoryMb = 100 } };
}

std::size_t endsIn(const RunActions& actions)
{
    std::size_t ends = 0;
    for (const auto& item : actions.frames)
        ends += item.frame.ends.size();
    return ends;
}

// A table whose minion is known to be empty.
RunTable readyTable()
{
    RunTable runs { { .incarnation = "sidecar/1", .dataCentre = "dc" }, start };
    runs.permit({ 1'000'000 }, true);
    runs.reported(report(firstBorn), start);
    runs.act(start);
    runs.listed({ .born = firstBorn }, {}, start, start);
    return runs;
}

} // namespace

// The new incarnation accepts the start request at the same address, and its answer arrives before its report.
Test(RunTableIncarnations, aRunThatANewIncarnationOfTheMinionTookBeforeItsReportIsNotReportedAsEnded)
{
    RunTable runs = readyTable();
    runs.opened({ .entry = entryIncarnation }, start);
    runs.act(start);
    runs.received(entryIncarnation,
        { .echo = start,
            .requests = { { .job = "a", .tasks = { { .index = 0, .run = 1 } }, .needs = { .cpuMillis = 2'000, .memoryMb = 1 }, .endBy = { 1'000'000 } } } },
        start);
    const auto started = runs.act(start).starts;
    cr_assert(started.size() == 1, "expected a start, got %zu", started.size());
    runs.startAnswered(started[0].run, StartAnswer::Started, start);
    const Milliseconds later = start + Milliseconds { 60 };
    runs.reported(report(secondBorn), later);
    cr_assert(endsIn(runs.act(later)) == 0, "the new incarnation may run it");
    runs.listed({ .born = secondBorn, .running = { { .run = started[0].run, .percent = 10 } } }, {}, later, later);
    cr_assert(endsIn(runs.act(later)) == 0, "the new incarnation runs it");
}

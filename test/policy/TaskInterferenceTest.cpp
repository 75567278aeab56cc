#include "policy/TaskInterference.h"

#include "policy/RivalQueues.h"
#include "support/DispatchLoad.h"
#include "wire/DispatchCodec.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <random>

using namespace oleanderport;

namespace {

constexpr Milliseconds start { 100'000 };
constexpr std::uint64_t lookups = 1;
constexpr std::uint64_t callouts = 2;

// Records runs of lookups, half of them beside callouts, which take `slowdown` times as long, with estimates that are off.
void recordLookups(TaskInterference& interference, double slowdown, int runs, std::uint64_t seed, Milliseconds from = start)
{
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> error(0, 0.4);
    for (int i = 0; i < runs; ++i) {
        const bool isBeside = i % 2 == 0;
        const std::set<std::uint64_t> neighbours = isBeside ? std::set<std::uint64_t> { callouts } : std::set<std::uint64_t> {};
        interference.record(lookups, fmt::format("job-{}-{}", from.count, i), neighbours, error(random) * (isBeside ? slowdown : 1), from + Milliseconds { i * 20 });
    }
}

std::int64_t percentOf(const TaskInterference& interference)
{
    for (const auto& each : interference.slowdowns()) {
        if (each.queue == lookups && each.neighbour == callouts)
            return each.percent;
    }
    return 100;
}

struct Outcome {
    double lookupsInObjective { 0 };
    std::size_t pairs { 0 };
};

// Lookups take twice as long beside callouts. Three entries and twelve minions with a third of their room in use.
Outcome playInterference(bool separates, std::int64_t percent, std::uint64_t seed, const std::function<void(DispatchModel&)>& fault = {})
{
    constexpr int entries = 3;
    DispatchModel model({ .entries = entries, .sidecars = 12, .capacity = { .cpuMillis = 32'000, .memoryMb = 131'072 }, .interference = { { "lookup", "callout", percent } }, .seed = seed, .dispatcher = { .separatesInterference = separates } });
    DispatchLoad load(model, entries, seed, compactSpread());
    model.runFor({ 3'000 });
    load.offer(100, model.now(), { 40'000 });
    const Milliseconds judgedFrom = model.now() + Milliseconds { 25'000 };
    if (fault)
        fault(model);
    model.runFor({ 44'000 });
    cr_assert(model.violations().empty() && model.refusedButStarted().empty());
    double jobs = 0;
    double inTime = 0;
    for (const auto& outcome : model.outcomes()) {
        cr_assert(outcome.kind || outcome.left, "%s has no end", outcome.job.c_str());
        if (outcome.queue != "lookup" || outcome.arrived < judgedFrom)
            continue;
        jobs += 1;
        inTime += outcome.kind == DispatchEndKind::Completed && outcome.endedAt - outcome.arrived <= outcome.objective ? 1 : 0;
    }
    return { .lookupsInObjective = inTime / std::max(jobs, 1.0), .pairs = model.pairsKeptApart(0) };
}

} // namespace

Test(TaskInterference, noticesASlowdownDespiteBadEstimates)
{
    TaskInterference interference;
    recordLookups(interference, 2, 400, 1);
    const auto percent = percentOf(interference);
    cr_assert(percent >= 170 && percent <= 230, "expected about 200 percent, got %lld", static_cast<long long>(percent));
}

// Guards against tasks that are kept apart for no reason.
Test(TaskInterference, reportsNothingWhereRunTimesOnlyVary)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        TaskInterference interference;
        recordLookups(interference, 1, 2'000, seed);
        cr_assert(interference.slowdowns().empty(), "seed %zu", static_cast<std::size_t>(seed));
    }
}

// Guards against eight tasks of one job with a bad estimate that count as eight observations.
Test(TaskInterference, countsTheTasksOfOneJobOnce)
{
    TaskInterference interference;
    recordLookups(interference, 1, 100, 1);
    for (int i = 0; i < 500; ++i)
        interference.record(lookups, "one-job", { callouts }, 8, start);
    cr_assert(interference.slowdowns().empty());
}

Test(TaskInterference, withdrawsASlowdownThatHasCeased)
{
    TaskInterference interference;
    recordLookups(interference, 2, 400, 1);
    const auto version = interference.version();
    recordLookups(interference, 1, 6'000, 2, start + Milliseconds { 10'000 });
    cr_assert(percentOf(interference) == 100 && interference.version() > version);
}

// Guards against a pair that stays apart for ever, since tasks that are kept apart don't meet any more.
Test(TaskInterference, comparesAPairAnewThatHasNotMetForLong)
{
    TaskInterference interference;
    recordLookups(interference, 2, 400, 1);
    interference.record(lookups, "later", {}, 1, start + Milliseconds { 100'000 });
    cr_assert(percentOf(interference) == 100);
}

Test(RivalQueues, keepsApartWhatTwoSidecarsReportAndAllEntriesAlike)
{
    RivalQueues one;
    RivalQueues other;
    for (const char* minion : { "m-1", "m-2", "m-3", "m-4" })
        one.add(minion);
    for (const char* minion : { "m-4", "m-2", "m-3", "m-1" })
        other.add(minion);
    one.reported("a", { { lookups, callouts, 200 } });
    cr_assert(one.empty(), "one minion alone may have another reason");
    one.reported("b", { { callouts, lookups, 140 } });
    cr_assert(one.areRivals(callouts, lookups) && one.pairs() == 1);
    const auto changes = one.takeChanges();
    cr_assert(changes.size() == 1 && changes[0].isKeptApart && changes[0].sidecars == 2);
    other.reported("b", { { callouts, lookups, 140 } });
    other.reported("a", { { lookups, callouts, 200 } });
    for (const char* minion : { "m-1", "m-2", "m-3", "m-4" }) {
        cr_assert(one.prefersOtherMinions(lookups, minion) != one.prefersOtherMinions(callouts, minion), "both prefer the same minions");
        cr_assert(one.prefersOtherMinions(lookups, minion) == other.prefersOtherMinions(lookups, minion), "entries disagree");
    }
    one.reported("a", { { lookups, callouts, 100 } });
    cr_assert(one.empty() && !one.takeChanges().front().isKeptApart);
}

// The pair is forgotten with the sidecars that reported it, also when they are replaced.
Test(RivalQueues, forgetsTheReportsOfASidecarThatLeaves)
{
    RivalQueues rivals;
    rivals.reported("a", { { lookups, callouts, 200 } });
    rivals.reported("b", { { lookups, callouts, 200 } });
    rivals.remove("a");
    cr_assert(rivals.empty());
}

Test(TaskInterference, travelsWithTheFramesOfEntriesAndSidecars)
{
    const EntryFrame entry { .requests = { { .job = "x", .tasks = { { 1, 1 } }, .queue = nameDigest("r1") }, { .job = "y", .tasks = { { 1, 1 } } } } };
    const auto decodedEntry = decodeEntryFrame(encodeFrame(entry));
    cr_assert(decodedEntry.has_value() && decodedEntry.assume_value().recalls.empty());
    cr_assert(decodedEntry.assume_value().requests[0].queue == nameDigest("r1") && decodedEntry.assume_value().requests[1].queue == 0);
    const SidecarFrame sidecar { .slowdowns = { { lookups, callouts, 180 } } };
    const auto decodedSidecar = decodeSidecarFrame(encodeFrame(sidecar));
    cr_assert(decodedSidecar.has_value() && decodedSidecar.assume_value().ends.empty());
    cr_assert(decodedSidecar.assume_value().slowdowns == sidecar.slowdowns);
}

// Guards against lookups that are late beside callouts while other minions have room.
Test(TaskInterference, jobsThatSlowEachOtherDownAreKeptApartWhereThereIsRoom)
{
    constexpr std::uint64_t seeds = 20;
    double apart = 0;
    double together = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Outcome outcome = playInterference(true, 200, seed);
        cr_assert(outcome.pairs >= 1, "seed %zu: not noticed", static_cast<std::size_t>(seed));
        apart += outcome.lookupsInObjective / seeds;
        together += playInterference(false, 200, seed).lookupsInObjective / seeds;
    }
    cr_assert(apart >= 0.95, "expected 95 of 100 lookups in time, got %f; %f without", apart, together);
}

// Guards against pairs found by chance on minions whose tasks don't disturb each other.
Test(TaskInterference, nothingIsKeptApartWithoutInterference)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const Outcome outcome = playInterference(true, 100, seed);
        cr_assert(outcome.pairs == 0, "seed %zu: %zu pairs", static_cast<std::size_t>(seed), outcome.pairs);
    }
}

// An entry that starts again knows nothing of its own; it hears from the sidecars with the first frames of their streams.
Test(TaskInterference, anEntryThatStartsAgainLearnsThePairsFromTheSidecars)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const Outcome outcome = playInterference(true, 200, seed, [](DispatchModel& model) {
            model.at(model.now() + Milliseconds { 30'000 }, [&model] { model.restartEntry(0); });
        });
        cr_assert(outcome.pairs >= 1, "seed %zu", static_cast<std::size_t>(seed));
    }
}

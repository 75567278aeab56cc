#include "policy/PlacementExplanation.h"

#include "support/DispatchLoad.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>

using namespace oleanderport;

namespace {

constexpr Milliseconds patience { 3'000 };

// One entry without random choice, and minions of unlike speed that it knows from earlier runs.
struct KnownMinions {
    KnownMinions()
        : model({ .entries = 1, .sidecars = 6, .capacity = { .cpuMillis = 32'000, .memoryMb = 131'072 }, .runTimePercents = { 70, 70, 170 }, .dispatcher = { .jitterWeight = 0, .placesBySpeed = true } })
        , load(model, 1, 1, compactSpread())
    {
        model.runFor({ 3'000 });
        load.offer(60, model.now(), { 5'000 });
        model.runFor({ 10'000 });
    }

    DispatchModel model;
    DispatchLoad load;
};

} // namespace

// Guards against an explanation that comes from other code than the placement.
Test(PlacementExplanation, namesTheMinionsToWhichTheTasksOfTheJobGo)
{
    KnownMinions scene;
    const PlacementExplanation explanation = scene.model.explain(0, calloutQueue(), patience);
    cr_assert(!explanation.refusal && explanation.steps.size() == 1);
    const auto& step = explanation.steps[0];
    cr_assert(step.placements.size() == 4 && step.minions.size() == 6);
    cr_assert(step.minions.front().slowness < 1 && step.minions.back().slowness > 1, "expected fast minions first for a long job");
    scene.model.submit(0, calloutQueue(), "asked", patience);
    scene.model.runFor({ 50 });
    for (int sidecar = 0; sidecar < 6; ++sidecar) {
        const auto expected = static_cast<std::size_t>(std::count(step.placements.begin(), step.placements.end(), fmt::format("sidecar-{}", sidecar)));
        cr_assert(scene.model.runsAt(0, sidecar) == expected, "sidecar %d: expected %zu runs, got %zu", sidecar, expected, scene.model.runsAt(0, sidecar));
    }
}

Test(PlacementExplanation, startsNothingAndKeepsNoJob)
{
    KnownMinions scene;
    const std::size_t starts = scene.model.starts();
    for (int i = 0; i < 10; ++i)
        static_cast<void>(scene.model.explain(0, lookupQueue(), patience));
    scene.model.runFor({ 500 });
    cr_assert(scene.model.starts() == starts && scene.model.jobsAt(0) == 0);
}

Test(PlacementExplanation, saysWhyAJobWouldBeRefusedAndWhatExcludesEachMinion)
{
    KnownMinions scene;
    ModelQueue huge = calloutQueue();
    huge.needs.cpuMillis = 64'000;
    const PlacementExplanation refused = scene.model.explain(0, huge, patience);
    cr_assert(refused.refusal == "a task needs more than the capacity of any minion", "got '%s'", refused.refusal.value_or("none").c_str());
    for (const auto& minion : refused.steps[0].minions)
        cr_assert(minion.excludedBy == "room", "%s: '%s'", minion.sidecar.c_str(), minion.excludedBy.c_str());
    cr_assert(refused.steps[0].placements == std::vector<std::string>(4));
    scene.model.takeOut(2, true);
    scene.model.runFor({ 1'000 });
    const auto minions = scene.model.explain(0, lookupQueue(), patience).steps[0].minions;
    const auto out = std::find_if(minions.begin(), minions.end(), [](const ExplainedMinion& each) { return each.sidecar == "sidecar-2"; });
    cr_assert(out != minions.end() && out->excludedBy == "accepts no tasks", "got '%s'", out == minions.end() ? "no row" : out->excludedBy.c_str());
}

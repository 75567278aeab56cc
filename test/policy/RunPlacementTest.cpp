#include "policy/RunPlacement.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

PlacementCandidate candidate(const std::string& name, std::int64_t freeCpu)
{
    return { .sidecar = name,
        .dataCentre = "dc-1",
        .rack = "rack-" + name,
        .capacity = { .cpuMillis = 10'000, .memoryMb = 1'000 },
        .free = { .cpuMillis = freeCpu, .memoryMb = 1'000 } };
}

const PlacementRequest request { .needs = { .cpuMillis = 1'000, .memoryMb = 10 } };

std::string chosen(const std::vector<PlacementCandidate>& candidates, const PlacementRequest& placement)
{
    const auto index = chooseMinion(candidates, placement);
    return index ? candidates[*index].sidecar : "none";
}

} // namespace

Test(RunPlacement, prefersTheMinionWithMostFreeCapacity)
{
    const std::vector<PlacementCandidate> all { candidate("a", 3'000), candidate("b", 8'000), candidate("c", 5'000) };
    cr_assert(chosen(all, request) == "b");
}

Test(RunPlacement, choosesNoneWithoutFreeCapacity)
{
    auto small = candidate("a", 999);
    cr_assert(chosen({ small }, request) == "none");
    auto littleMemory = candidate("b", 5'000);
    littleMemory.free.memoryMb = 9;
    cr_assert(chosen({ littleMemory }, request) == "none");
}

Test(RunPlacement, skipsAMinionWithZeroAllowance)
{
    auto withoutAllowance = candidate("a", 9'000);
    withoutAllowance.allowance = 0;
    cr_assert(chosen({ withoutAllowance, candidate("b", 2'000) }, request) == "b");
}

Test(RunPlacement, choosesAnAvoidedMinionOnlyWhenNoOtherHasCapacity)
{
    PlacementRequest retry = request;
    retry.avoid = { "a" };
    cr_assert(chosen({ candidate("a", 9'000), candidate("b", 1'000) }, retry) == "b");
    cr_assert(chosen({ candidate("a", 9'000), candidate("b", 500) }, retry) == "a");
}

Test(RunPlacement, prefersTheRackOfTheData)
{
    PlacementRequest nearData = request;
    nearData.preferredRack = "rack-b";
    cr_assert(chosen({ candidate("a", 9'000), candidate("b", 2'000) }, nearData) == "b");
}

Test(RunPlacement, respectsLabelsAndMaxPerMinion)
{
    PlacementRequest labelled = request;
    labelled.requiredLabel = "kind-1";
    const std::vector<std::string> labels { "kind-1", "rack-a" };
    auto labelledMinion = candidate("a", 2'000);
    labelledMinion.labels = &labels;
    cr_assert(chosen({ labelledMinion, candidate("b", 9'000) }, labelled) == "a");
    PlacementRequest limited = request;
    limited.maxPerMinion = 2;
    auto full = candidate("b", 9'000);
    full.runsOfStep = 2;
    cr_assert(chosen({ candidate("a", 2'000), full }, limited) == "a");
}

Test(RunPlacement, packsAJobOnMinionsOfSimilarFreeCapacity)
{
    auto chosenBefore = candidate("a", 6'000);
    chosenBefore.chosenThisRound = 1;
    cr_assert(chosen({ chosenBefore, candidate("b", 6'500) }, request) == "a");
    cr_assert(chosen({ chosenBefore, candidate("b", 9'000) }, request) == "b");
}

// Guards against a run that is late on a slow minion with more room, and against one that waits although only a slow one has room.
Test(RunPlacement, prefersAMinionThatIsFastEnoughAndTakesASlowOneWithoutAnother)
{
    auto fast = candidate("fast", 3'000);
    auto slow = candidate("slow", 9'000);
    fast.slowness = 0.7;
    slow.slowness = 1.7;
    PlacementRequest tight = request;
    tight.runTime = { 700 };
    tight.endWithin = Milliseconds { 1'000 };
    cr_assert(chosen({ fast, slow }, tight) == "fast");
    tight.endWithin = Milliseconds { 20'000 };
    cr_assert(chosen({ fast, slow }, tight) == "slow", "with that much time the minion with more room is chosen");
    tight.endWithin = Milliseconds { 1'000 };
    fast.free.cpuMillis = 0;
    cr_assert(chosen({ fast, slow }, tight) == "slow");
    cr_assert(chosen({ candidate("a", 3'000), slow }, request) == "slow", "speeds don't count where no end is asked for");
}

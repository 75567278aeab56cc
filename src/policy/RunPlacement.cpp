#include "policy/RunPlacement.h"

#include "oleanderport/NameTable.h"

#include <algorithm>
#include <cmath>

namespace oleanderport {

namespace {

    // Weights relative to the free share of a minion, which lies between 0 and 1.
    constexpr double preferredRackWeight = 1.0;
    constexpr double sameJobWeight = 0.15;
    constexpr double sameDataCentreWeight = 0.05;
    // Exceeds the sum of the others: a minion that failed the task is chosen only when no other has room.
    constexpr double avoidWeight = 3.0;
    // Exceeds all but `avoidWeight`: an end that is too late outweighs any room.
    constexpr double lateWeight = 2.8;
    // As much as a whole minion of free room: tasks that slow each other down share a minion only where no other has room.
    constexpr double rivalsWeight = 1.0;
    // Standard deviation of the logarithm of real over expected run time: callers' estimates are off by half.
    constexpr double estimateSpread = 0.4;

    double freeShare(const PlacementCandidate& candidate)
    {
        return static_cast<double>(candidate.free.cpuMillis)
            / static_cast<double>(std::max<std::int64_t>(candidate.capacity.cpuMillis, 1));
    }

    constexpr NameTable<PlacementExclusion, 6> placementExclusionNames { {
        { PlacementExclusion::None, "none" },
        { PlacementExclusion::BoundElsewhere, "bound to another minion" },
        { PlacementExclusion::Allowance, "no further task of this entry" },
        { PlacementExclusion::TasksOfStep, "tasks of the step" },
        { PlacementExclusion::Label, "label" },
        { PlacementExclusion::Room, "room" },
    } };

} // namespace

std::string_view placementExclusionName(PlacementExclusion exclusion) { return nameIn(placementExclusionNames, exclusion); }

double lateProbability(const PlacementCandidate& candidate, const PlacementRequest& request)
{
    if (!request.endWithin || request.runTime.count <= 0)
        return 0;
    if (request.endWithin->count <= 0)
        return 1;
    const double share = static_cast<double>(request.runTime.count) * candidate.slowness / static_cast<double>(request.endWithin->count);
    return std::erfc(-std::log(share) / (estimateSpread * std::sqrt(2.0))) / 2;
}

PlacementExclusion exclusionOf(const PlacementCandidate& candidate, const PlacementRequest& request)
{
    const bool isRequired = candidate.sidecar == request.requiredSidecar;
    if (!request.requiredSidecar.empty() && !isRequired)
        return PlacementExclusion::BoundElsewhere;
    if (!isRequired && candidate.allowance && *candidate.allowance <= 0)
        return PlacementExclusion::Allowance;
    if (request.maxPerMinion > 0 && candidate.runsOfStep >= request.maxPerMinion)
        return PlacementExclusion::TasksOfStep;
    const auto* labels = candidate.labels;
    if (!request.requiredLabel.empty() && (!labels || std::find(labels->begin(), labels->end(), request.requiredLabel) == labels->end()))
        return PlacementExclusion::Label;
    return fitsInto(candidate.free, request.needs) ? PlacementExclusion::None : PlacementExclusion::Room;
}

double placementScore(const PlacementCandidate& candidate, const PlacementRequest& request)
{
    double score = freeShare(candidate) + request.jitterWeight * candidate.jitter;
    if (!request.preferredRack.empty() && candidate.rack == request.preferredRack)
        score += preferredRackWeight;
    if (candidate.chosenThisRound > 0)
        score += sameJobWeight;
    if (candidate.dataCentre == request.dataCentre)
        score += sameDataCentreWeight;
    if (std::find(request.avoid.begin(), request.avoid.end(), candidate.sidecar) != request.avoid.end())
        score -= avoidWeight;
    score -= candidate.hasRivals ? rivalsWeight : 0;
    score -= lateWeight * lateProbability(candidate, request);
    return score;
}

std::optional<std::size_t> chooseMinion(
    const std::vector<PlacementCandidate>& candidates, const PlacementRequest& request)
{
    std::optional<std::size_t> best;
    double bestScore = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (exclusionOf(candidates[i], request) != PlacementExclusion::None)
            continue;
        const double score = placementScore(candidates[i], request);
        if (best && score <= bestScore)
            continue;
        best = i;
        bestScore = score;
    }
    return best;
}

} // namespace oleanderport

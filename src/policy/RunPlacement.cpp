#include "policy/RunPlacement.h"

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
    constexpr double lateWeight = 2.0;
    // As much as a whole minion of free room: tasks that slow each other down share a minion only where no other has room.
    constexpr double rivalsWeight = 1.0;
    // Standard deviation of the logarithm of real over expected run time: callers' estimates are off by half.
    constexpr double estimateSpread = 0.4;

    // Probability that the run ends too late on this minion.
    double lateProbability(const PlacementCandidate& candidate, const PlacementRequest& request)
    {
        if (!request.endWithin || request.runTime.count <= 0)
            return 0;
        if (request.endWithin->count <= 0)
            return 1;
        const double share = static_cast<double>(request.runTime.count) * candidate.slowness / static_cast<double>(request.endWithin->count);
        return std::erfc(-std::log(share) / (estimateSpread * std::sqrt(2.0))) / 2;
    }

    double freeShare(const PlacementCandidate& candidate)
    {
        return static_cast<double>(candidate.free.cpuMillis)
            / static_cast<double>(std::max<std::int64_t>(candidate.capacity.cpuMillis, 1));
    }

    bool isEligible(const PlacementCandidate& candidate, const PlacementRequest& request)
    {
        const bool isRequired = candidate.sidecar == request.requiredSidecar;
        if (!request.requiredSidecar.empty() && !isRequired)
            return false;
        const bool allowed = isRequired || !candidate.allowance || *candidate.allowance > 0;
        const bool withinStep = request.maxPerMinion == 0 || candidate.runsOfStep < request.maxPerMinion;
        const auto* labels = candidate.labels;
        const bool labelled = request.requiredLabel.empty()
            || (labels && std::find(labels->begin(), labels->end(), request.requiredLabel) != labels->end());
        return allowed && withinStep && labelled && fitsInto(candidate.free, request.needs);
    }

    double scoreOf(const PlacementCandidate& candidate, const PlacementRequest& request)
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

} // namespace

std::optional<std::size_t> chooseMinion(
    const std::vector<PlacementCandidate>& candidates, const PlacementRequest& request)
{
    std::optional<std::size_t> best;
    double bestScore = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!isEligible(candidates[i], request))
            continue;
        const double score = scoreOf(candidates[i], request);
        if (best && score <= bestScore)
            continue;
        best = i;
        bestScore = score;
    }
    return best;
}

} // namespace oleanderport

#include "policy/Placement.h"

#include <algorithm>
#include <tuple>

namespace oleanderport {

namespace {

    // Lower is better.
    auto rank(const SidecarCandidate& candidate)
    {
        const bool busy = candidate.load >= candidate.slots;
        const double load = static_cast<double>(candidate.load)
            / static_cast<double>(candidate.slots > 0 ? candidate.slots : 1);
        return std::make_tuple(busy, !candidate.sameDataCentre, load);
    }

} // namespace

std::int64_t sendableTasks(const SidecarCandidate& candidate)
{
    const std::int64_t credit = std::max<std::int64_t>(candidate.credit, 0);
    if (!candidate.allowance)
        return credit;
    return std::min(credit, std::max<std::int64_t>(*candidate.allowance - candidate.outstanding, 0));
}

std::optional<std::size_t> pickSidecar(const std::vector<SidecarCandidate>& candidates)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (sendableTasks(candidates[i]) == 0)
            continue;
        if (!best || rank(candidates[i]) < rank(candidates[*best]))
            best = i;
    }
    return best;
}

} // namespace oleanderport

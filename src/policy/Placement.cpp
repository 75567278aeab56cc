#include "policy/Placement.h"

#include <tuple>

namespace oleanderport {

namespace {

    // Lower is better.
    auto rank(const SidecarCandidate& candidate)
    {
        const bool busy = candidate.outstanding >= candidate.slots;
        const double load = static_cast<double>(candidate.outstanding)
            / static_cast<double>(candidate.slots > 0 ? candidate.slots : 1);
        return std::make_tuple(busy, !candidate.sameDataCentre, load);
    }

} // namespace

std::optional<std::size_t> pickSidecar(const std::vector<SidecarCandidate>& candidates)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].credit <= 0)
            continue;
        if (!best || rank(candidates[i]) < rank(candidates[*best]))
            best = i;
    }
    return best;
}

} // namespace oleanderport

#include "policy/Placement.h"

#include <algorithm>
#include <tuple>

namespace oleanderport {

namespace {

    // A sidecar with less room than this part of its slots has little more than its prefetch left.
    constexpr std::int64_t slotsPerLeastRoom = 4;

    // Lower is better. The credit says more than the tasks of this entry: the sidecar gave it after all entries' tasks.
    auto rank(const SidecarCandidate& candidate)
    {
        const std::int64_t slots = std::max<std::int64_t>(candidate.slots, 1);
        const bool busy = candidate.outstanding >= candidate.slots || candidate.credit * slotsPerLeastRoom <= slots;
        const double room = static_cast<double>(candidate.credit) / static_cast<double>(slots);
        return std::make_tuple(busy, !candidate.sameDataCentre, -room);
    }

} // namespace

std::int64_t sendable(const SidecarCandidate& candidate)
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
        if (sendable(candidates[i]) == 0)
            continue;
        if (!best || rank(candidates[i]) < rank(candidates[*best]))
            best = i;
    }
    return best;
}

} // namespace oleanderport

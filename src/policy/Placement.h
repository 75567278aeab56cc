#pragma once

#include "oleanderport/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleanderport {

// State of one sidecar session as the entry knows it.
struct SidecarCandidate {
    SessionId id;
    bool sameDataCentre { false };
    std::int64_t slots { 0 };
    // In-flight tasks that this entry sent there.
    std::int64_t outstanding { 0 };
    // Tasks of all entries there, as far as this entry knows.
    std::int64_t load { 0 };
    // Further tasks that the sidecar lets this entry send.
    std::int64_t credit { 0 };
    // Limit on in-flight tasks of this entry there, from MinionHealth; nothing when there is no limit.
    std::optional<std::int64_t> allowance;
};

// Tasks that may be sent there now: the credit, limited by the allowance.
std::int64_t sendableTasks(const SidecarCandidate&);

// Picks the sidecar for the next task: one with a slot that is free as far as this entry knows, then the nearest, then
// the least loaded relative to its slots. Nothing when no candidate has credit.
std::optional<std::size_t> pickSidecar(const std::vector<SidecarCandidate>&);

} // namespace oleanderport

#pragma once

#include "oleanderport/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleanderport {

// What an entry knows of one sidecar session that could take a task now.
struct SidecarCandidate {
    SessionId id;
    bool sameDataCentre { false };
    std::int64_t slots { 0 };
    // Tasks that this entry has sent there and that have not ended.
    std::int64_t outstanding { 0 };
    // Tasks of all entries there, as far as known.
    std::int64_t load { 0 };
    // Further tasks that the sidecar allows this entry to send.
    std::int64_t credit { 0 };
    // Most tasks that this entry may have there, by the minion's record; nothing for no bound.
    std::optional<std::int64_t> allowance;
};

// Tasks that may be sent there now: the credit, bound by the allowance.
std::int64_t sendableTasks(const SidecarCandidate&);

// Picks the sidecar for the next task: one with a slot that is free as far as this entry knows, then the nearest, then
// the least loaded relative to its slots. Nothing when no candidate has credit.
std::optional<std::size_t> pickSidecar(const std::vector<SidecarCandidate>&);

} // namespace oleanderport

#pragma once

#include "Records.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace oleanderport::soak {

// How a run follows an earlier run of its task.
enum class Succession {
    SameMinion,
    OtherMinion,
    // A later attempt of the caller had been sent when the run was ordered.
    Resubmission,
    // One of the two was ordered before its minion started again.
    NextIncarnation,
};

struct Successors {
    std::size_t count { 0 };
    // From the end of the runs before to the run's start; below zero where two were there at the same time.
    Milliseconds smallestGap {};
    // From there to the arrival of the run's order. Below zero where only the order's way kept the two apart.
    Milliseconds smallestGapToOrder {};
    // From when the run before could no longer be there even if its stop had not been carried out, to the run's start. A resubmission must not
    // rest on a stop, so below zero there is a bound that is broken and that nobody met.
    Milliseconds smallestGapWithoutStop {};
};

// By succession and by how the run before ended.
using NearMisses = std::map<std::pair<Succession, std::string>, Successors>;

// Compares each run with the one of its task that ends last of those that started before it. Pure.
NearMisses nearMisses(const Record&);

// A line for people.
std::string describe(const NearMisses&);
// One line "gap SEED SUCCESSION HOW COUNT GAP GAP-TO-ORDER GAP-WITHOUT-STOP" for each row, to be gathered from many runs.
std::string tableOf(std::uint64_t seed, const NearMisses&);

} // namespace oleanderport::soak

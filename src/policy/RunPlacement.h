#pragma once

#include "policy/TaskRoom.h"
#include "wire/DispatchMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Chooses the minion of a run. Made for services whose minions differ in capacity and speed and of which some fail, hang
// or are slow: a run goes to the healthy minion with the most free capacity, and a job stays on few minions, since each
// minion of a job costs a message.
namespace oleanderport {

// A minion as an entry knows it when it places a run.
struct PlacementCandidate {
    std::string sidecar;
    std::string dataCentre;
    std::string rack;
    // Null when it has none.
    const std::vector<std::string>* labels { nullptr };
    TaskNeeds capacity;
    // Free capacity by the last report, less what was sent since.
    TaskNeeds free;
    // Runs that this entry may still send there; nullopt when unlimited.
    std::optional<std::int64_t> allowance;
    // Runs of the same job sent there in this placement round.
    std::int64_t chosenThisRound { 0 };
    // Runs of the same step on this minion.
    std::int64_t runsOfStep { 0 };
    // Run time there as a multiple of that on the mean minion; see MinionSpeeds.
    double slowness { 1 };
    // Tasks that slow this one down, or that it slows down, run there or are placed there by preference; see RivalQueues.
    bool hasRivals { false };
    // Random number between 0 and 1, so that entries with the same reports do not all choose the same minion.
    double jitter { 0 };
};

struct PlacementRequest {
    TaskNeeds needs;
    std::string dataCentre;
    // Rack on which the run is faster; empty when there is none.
    std::string preferredRack;
    // Label that the minion must have; empty for any minion.
    std::string requiredLabel;
    // Maximum number of runs of the step on one minion; 0 means unlimited.
    std::int64_t maxPerMinion { 0 };
    // The only sidecar whose minion may run it, whatever its allowance; empty for any.
    std::string requiredSidecar;
    // Sidecars at which an earlier run of the task failed.
    std::vector<std::string> avoid;
    // Run time on the mean minion, and the latest useful end relative to now; the less likely the run ends by then on a minion, the more room
    // it needs to be chosen. Unset when speeds do not matter.
    Milliseconds runTime {};
    std::optional<Milliseconds> endWithin;
    // Weight of a candidate's jitter relative to the free share of a minion.
    double jitterWeight { 0.1 };
};

// Why a run may not be sent to a minion.
enum class PlacementExclusion {
    None,
    // An earlier run of the task binds it to another minion.
    BoundElsewhere,
    // This entry may have no further task there; see MinionHealth.
    Allowance,
    // The step has as many tasks there as it may.
    TasksOfStep,
    Label,
    Room,
};

std::string_view placementExclusionName(PlacementExclusion);

PlacementExclusion exclusionOf(const PlacementCandidate&, const PlacementRequest&);

// Probability that the run ends too late on this minion; 0 when no end is asked for.
double lateProbability(const PlacementCandidate&, const PlacementRequest&);

// Higher is better.
double placementScore(const PlacementCandidate&, const PlacementRequest&);

// Index of the best candidate; nullopt when none is eligible.
std::optional<std::size_t> chooseMinion(const std::vector<PlacementCandidate>&, const PlacementRequest&);

} // namespace oleanderport

#pragma once

#include "policy/TaskRoom.h"
#include "wire/DispatchMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Where a run goes. Answers the load of a service whose minions differ in room and speed and of which some fail, hang
// or are slow: work goes where there is most room among the sound ones, and stays on few minions for each job, since
// each minion of a job costs a message.
namespace oleanderport {

// A minion as an entry knows it when it places a run.
struct PlacementCandidate {
    std::string sidecar;
    std::string dataCentre;
    std::string rack;
    // Null when it has none.
    const std::vector<std::string>* labels { nullptr };
    TaskNeeds capacity;
    // What is free by the last report, less what was sent since.
    TaskNeeds free;
    // Runs that this entry may still send there; nothing when there is no bound.
    std::optional<std::int64_t> allowance;
    // Runs of the same job that this round sends there.
    std::int64_t chosenThisRound { 0 };
    // Runs of the same step that are there.
    std::int64_t runsOfStep { 0 };
    // Drawn at random between 0 and 1, so that entries with the same news do not all choose the same minion.
    double jitter { 0 };
};

struct PlacementRequest {
    TaskNeeds needs;
    std::string dataCentre;
    // Rack near which the run is faster; empty when there is none.
    std::string preferredRack;
    // Label that the minion must have; empty when any will do.
    std::string requiredLabel;
    // Most runs of the step on one minion; 0 means no bound.
    std::int64_t maxPerMinion { 0 };
    // Sidecars at which an earlier run of the task ended badly.
    std::vector<std::string> avoid;
    // Weight of a candidate's draw relative to the free share of a minion.
    double jitterWeight { 0.1 };
};

// Index of the best candidate; nothing when none has room.
std::optional<std::size_t> chooseMinion(const std::vector<PlacementCandidate>&, const PlacementRequest&);

} // namespace oleanderport

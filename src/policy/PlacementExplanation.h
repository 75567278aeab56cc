#pragma once

#include "policy/RunPlacement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleanderport {

// A minion as an entry weighs it for one task.
struct ExplainedMinion {
    std::string sidecar;
    std::string dataCentre;
    std::string rack;
    TaskNeeds free;
    double slowness { 1 };
    bool hasRivals { false };
    double lateProbability { 0 };
    // Higher is better. Without the random part by which entries with the same reports choose differently.
    double score { 0 };
    // Why no task goes there; empty when one may.
    std::string excludedBy;
};

// What one entry would do now with the tasks of a step that may begin.
struct ExplainedStep {
    std::uint32_t step { 0 };
    Milliseconds expectedRun {};
    // By score, those that are excluded last.
    std::vector<ExplainedMinion> minions;
    // The sidecar of each task in order; empty for a task that would wait.
    std::vector<std::string> placements;
};

// What one entry would do now with a job, which is not submitted.
struct PlacementExplanation {
    std::string queue;
    std::string service;
    // The refusal that it would get; nullopt when it would be accepted.
    std::optional<std::string> refusal;
    Milliseconds expectedWait {};
    Milliseconds expectedRun {};
    // Latency objective, and the latest useful end, both from now on.
    Milliseconds objective {};
    Milliseconds cutoff {};
    // Tasks of this priority may not use the room that is left to priority 0.
    bool isHeldByReserve { false };
    std::vector<ExplainedStep> steps;
};

} // namespace oleanderport

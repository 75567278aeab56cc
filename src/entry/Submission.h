#pragma once

#include "base/Settings.h"
#include "oleanderport/Messages.h"

#include <optional>
#include <string>

namespace oleanderport {

// One submission in the filter chain, and the state of the entry that the filters may read.
struct Submission {
    const JobSpec& spec;
    const Settings& settings;
    const ClusterView& view;
    Milliseconds unixNow {};
    // Queued tasks at this entry: of all jobs, and of this submission's team.
    std::size_t queuedTasks { 0 };
    std::size_t teamQueuedTasks { 0 };
    // Sum of the weights of all teams with queued tasks, including this submission's team.
    std::int64_t totalTeamWeight { 1 };
    // Mean run time of the service in milliseconds, estimated from recent runs.
    std::optional<double> meanRunTime;
    // Random value in [0, 1) that spreads the retries of refused callers.
    double jitter { 0 };
    bool shuttingDown { false };
};

// Returns the refusal, or nullopt when the submission passes.
using SubmissionFilter = std::optional<Error> (*)(const Submission&);

// Checks that ids, counts and sizes are within their limits. No entry with the same settings accepts a submission that this
// refuses.
std::optional<Error> checkShape(const Submission&);

// Checks that the deadline is in the future.
std::optional<Error> checkDeadline(const Submission&);

// Checks that the environment document names the team and the service, and that the caller belongs to the team.
std::optional<Error> checkNames(const Submission&);

// Checks that each task fits at least one minion of the service when that minion is idle.
std::optional<Error> checkFit(const Submission&);

// Checks that the entry is not shutting down, its queues have room and the last task would start before the deadline.
std::optional<Error> checkAdmission(const Submission&);

// Static filters depend on the submission and the settings alone. The result of dynamic filters changes over time, so they
// apply only to a submission that no entry has accepted before.
std::optional<Error> runStaticFilters(const Submission&);
std::optional<Error> runDynamicFilters(const Submission&);

} // namespace oleanderport

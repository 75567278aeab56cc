#pragma once

#include "base/Settings.h"
#include "oleanderport/Messages.h"

#include <optional>
#include <string>

namespace oleanderport {

// One submission on its way through the filter chain, with what the filters may look at.
struct Submission {
    const JobSpec& spec;
    const Settings& settings;
    const ClusterView& view;
    Milliseconds unixNow {};
    // Tasks that wait at this entry, over all jobs and of this submission's team.
    std::size_t queuedTasks { 0 };
    std::size_t teamQueuedTasks { 0 };
    // Weight of all teams that have tasks waiting, this submission's included.
    std::int64_t totalTeamWeight { 1 };
    // Learned mean run time of the service in milliseconds.
    std::optional<double> meanRunTime;
    // Random, from 0 up to 1; spreads the times at which refused callers come back.
    double jitter { 0 };
    bool shuttingDown { false };
};

// Returns the refusal, or nothing to pass the submission on.
using SubmissionFilter = std::optional<Error> (*)(const Submission&);

// Ids, counts and sizes within their limits. What it refuses was never accepted at any entry with these settings.
std::optional<Error> checkShape(const Submission&);

// The deadline lies ahead.
std::optional<Error> checkDeadline(const Submission&);

// The team and the service are in the document, and the caller belongs to the team.
std::optional<Error> checkNames(const Submission&);

// Every task fits at least one minion of the service, were it empty.
std::optional<Error> checkFit(const Submission&);

// The entry is not shutting down, its queues have room, and the last task would start before the deadline.
std::optional<Error> checkAdmission(const Submission&);

// Filters that look at the submission alone, and those whose answer changes over time. The latter run only for a
// submission that no entry has accepted before.
std::optional<Error> runStaticFilters(const Submission&);
std::optional<Error> runDynamicFilters(const Submission&);

} // namespace oleanderport

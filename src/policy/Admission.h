#pragma once

#include "oleanderport/Clock.h"

#include <cstdint>
#include <optional>

namespace oleanderport {

// Input to the decision whether a job can start all its tasks before its deadline.
struct AdmissionInput {
    // Tasks of the job itself; tasks of its team and of all teams queued at this entry for the service.
    std::size_t jobTasks { 0 };
    std::size_t teamQueuedTasks { 0 };
    std::size_t queuedTasks { 0 };
    // Weight of the team, and the sum for all teams with queued tasks, this one included.
    std::int64_t teamWeight { 1 };
    std::int64_t totalWeight { 1 };
    // Slots of the service in data centres that are in service.
    std::int64_t slots { 0 };
    // Learned mean run time in milliseconds; nothing while unknown.
    std::optional<double> meanRunTime;
    Milliseconds timeLeft {};
    // Random number in [0, 1) that spreads the retries of refused callers.
    double jitter { 0 };
};

struct AdmissionRefusal {
    // Estimated time until the last task of the job would start.
    Milliseconds wait {};
    Milliseconds retryAfter {};
};

// Time until the job's last task would start if all slots served only this entry's queue. The job waits for the queue of its
// team, multiplied by the total weight over the team's weight, but never longer than for the whole queue.
Milliseconds estimatedWait(const AdmissionInput&);

// Refuses a job whose last task would not start before its deadline. Refuses nothing while the run time is unknown.
std::optional<AdmissionRefusal> refuseLate(const AdmissionInput&);

// Adds jitter: a time in [base, 2 base), so that callers refused at the same time don't retry at the same time.
Milliseconds withJitter(Milliseconds base, double jitter);

} // namespace oleanderport

#pragma once

#include "oleanderport/Clock.h"

#include <cstdint>
#include <optional>

namespace oleanderport {

// What an entry knows when it decides whether a job can be served in time.
struct AdmissionInput {
    // Tasks of the job, of its team and of all teams that wait at this entry for the service.
    std::size_t jobTasks { 0 };
    std::size_t teamQueuedTasks { 0 };
    std::size_t queuedTasks { 0 };
    // Weight of the team, and of all teams that have tasks waiting, this one included.
    std::int64_t teamWeight { 1 };
    std::int64_t totalWeight { 1 };
    // Slots of the service in data centres that are in.
    std::int64_t slots { 0 };
    // Learned mean run time in milliseconds; nothing while it is not known.
    std::optional<double> meanRunTime;
    Milliseconds timeLeft {};
    // Random, from 0 up to 1. Spreads the times at which refused callers come back.
    double jitter { 0 };
};

struct AdmissionRefusal {
    // Estimated time until the last task of the job would start.
    Milliseconds wait {};
    Milliseconds retryAfter {};
};

// Time until a job's last task would start, were all slots free for this entry's queue. The team waits for its own
// queue, stretched by the turns of other teams, but never longer than for the whole queue.
Milliseconds estimatedWait(const AdmissionInput&);

// Refuses a job whose last task would start only after its deadline. Nothing is refused while no run time is known.
std::optional<AdmissionRefusal> refuseLate(const AdmissionInput&);

// A time to come back, spread over [base, 2 base), so that callers who were refused together do not return together.
Milliseconds withJitter(Milliseconds base, double jitter);

} // namespace oleanderport

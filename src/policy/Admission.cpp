#include "policy/Admission.h"

#include <algorithm>
#include <cmath>

namespace oleanderport {

namespace {

    constexpr Milliseconds minRetryAfter { 100 };
    constexpr Milliseconds maxRetryAfter { 15'000 };

} // namespace

Milliseconds estimatedWait(const AdmissionInput& input)
{
    if (!input.meanRunTime || input.slots < 1)
        return {};
    const double weightFactor = static_cast<double>(std::max(input.totalWeight, input.teamWeight))
        / static_cast<double>(std::max<std::int64_t>(input.teamWeight, 1));
    const double teamAhead = static_cast<double>(input.teamQueuedTasks) * weightFactor;
    const double ahead = std::min(teamAhead, static_cast<double>(input.queuedTasks));
    // The job's own tasks run in rounds over the slots; the first round starts at once.
    const double own = static_cast<double>(input.jobTasks) - static_cast<double>(input.slots);
    const double rounds = (ahead + std::max(own, 0.0)) / static_cast<double>(input.slots);
    return { std::llround(rounds * *input.meanRunTime) };
}

std::optional<AdmissionRefusal> refuseLate(const AdmissionInput& input)
{
    const Milliseconds wait = estimatedWait(input);
    if (wait < input.timeLeft || wait.count == 0)
        return std::nullopt;
    // By then the queue is short enough to serve a job with the same time left.
    const Milliseconds base = std::clamp(wait - input.timeLeft, minRetryAfter, maxRetryAfter);
    return AdmissionRefusal { .wait = wait, .retryAfter = withJitter(base, input.jitter) };
}

Milliseconds withJitter(Milliseconds base, double jitter)
{
    return { base.count + static_cast<std::int64_t>(jitter * static_cast<double>(base.count)) };
}

} // namespace oleanderport

#pragma once

#include "oleanderport/Clock.h"

#include <algorithm>
#include <cstdint>

// Exponential backoff with jitter. When hundreds of processes lose the same peer at the same moment, their retries become
// rarer while it is down and don't arrive together once it is back.
namespace oleanderport {

struct BackoffOptions {
    Milliseconds initial { 50 };
    Milliseconds max { 400 };
};

// `initial` doubled `doublings` times, at most `max`.
inline Milliseconds exponentialBackoff(Milliseconds initial, int doublings, Milliseconds max)
{
    Milliseconds delay = initial;
    for (int i = 0; i < doublings && delay < max; ++i)
        delay = delay * 2;
    return std::min(delay, max);
}

// Delay after a failure; `failures` counts the consecutive ones before it. `random` is any random number: the delay lies
// between half of the exponential backoff and the whole.
inline Milliseconds jitteredBackoff(const BackoffOptions& options, int failures, std::uint64_t random)
{
    const std::int64_t whole = exponentialBackoff(options.initial, failures, options.max).count;
    const std::int64_t half = whole / 2;
    return { half + static_cast<std::int64_t>(random % static_cast<std::uint64_t>(whole - half + 1)) };
}

// Delay before the next request to a peer that answered with `retryAfter`: that time plus up to half as much, so that clients
// with the same answer don't retry together.
inline Milliseconds jitteredRetryAfter(Milliseconds retryAfter, std::uint64_t random)
{
    return retryAfter + Milliseconds { static_cast<std::int64_t>(random % static_cast<std::uint64_t>(retryAfter.count / 2 + 1)) };
}

} // namespace oleanderport

#pragma once

#include "oleanderport/Clock.h"

#include <algorithm>
#include <cstdint>

// Pauses between attempts that fail. Answers the load of hundreds of processes that lose the same peer at the same
// moment: their attempts thin out while it is away, and do not come together when it is back.
namespace oleanderport {

struct BackoffOptions {
    Milliseconds initial { 50 };
    Milliseconds max { 400 };
};

// `first` doubled so many times, at most `most`.
inline Milliseconds exponentialBackoff(Milliseconds initial, int doublings, Milliseconds max)
{
    Milliseconds delay = initial;
    for (int i = 0; i < doublings && delay < max; ++i)
        delay = delay * 2;
    return std::min(delay, max);
}

// Pause after so many failures in a row, of which the first counts zero. `draw` is any random number: the pause lies
// between half of the doubled one and the whole.
inline Milliseconds jitteredBackoff(const BackoffOptions& options, int failures, std::uint64_t random)
{
    const std::int64_t whole = exponentialBackoff(options.initial, failures, options.max).count;
    const std::int64_t half = whole / 2;
    return { half + static_cast<std::int64_t>(random % static_cast<std::uint64_t>(whole - half + 1)) };
}

// Pause before a peer that named a time to come back is asked again: that time, and up to half as much for spreading those
// who were told the same.
inline Milliseconds jitteredRetryAfter(Milliseconds retryAfter, std::uint64_t random)
{
    return retryAfter + Milliseconds { static_cast<std::int64_t>(random % static_cast<std::uint64_t>(retryAfter.count / 2 + 1)) };
}

} // namespace oleanderport

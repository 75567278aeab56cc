#pragma once

#include "policy/Backoff.h"

#include <cstdint>
#include <optional>

namespace oleanderport {

// Backoff between attempts to connect to a sidecar.
inline constexpr BackoffOptions reconnectBackoff { .initial = { 100 }, .max = { 800 } };

// Delay until the next attempt to connect to a sidecar whose stream was lost. A stream that had worked for some time is opened
// again at once: until then, the sidecar is told of no stop, and this entry of no task that may run there. One that ends soon
// after its handshake counts as failed, so that a sidecar which ends each stream is not asked without pause.
inline Milliseconds reconnectDelay(std::optional<Milliseconds> workedFor, int failedAttempts, std::uint64_t random)
{
    if (workedFor && *workedFor >= reconnectBackoff.max)
        return {};
    return jitteredBackoff(reconnectBackoff, failedAttempts, random);
}

} // namespace oleanderport

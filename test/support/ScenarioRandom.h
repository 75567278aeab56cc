#pragma once

#include <toml++/toml.h>

#include <cstdint>

namespace oleanderport {

// A scenario whose submissions and faults are drawn from the seed; the same seed gives the same steps. It passes
// when the checks common to all scenarios hold: no task starts twice, a complete job has all its results, and all
// callers of a job get the same outcome.
toml::table randomScenario(std::uint64_t seed);

} // namespace oleanderport

#pragma once

#include <toml++/toml.h>

#include <cstdint>

namespace oleanderport {

// A scenario whose submissions and faults are drawn from the seed; the same seed gives the same steps. Its verdict is
// what every scenario must keep: no task starts twice, a complete job is whole, every caller of a job gets the same.
toml::table randomScenario(std::uint64_t seed);

} // namespace oleanderport

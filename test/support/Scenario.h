#pragma once

#include "oleanderport/Clock.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

namespace oleanderport {

struct ScenarioOptions {
    // A TOML file, described in docs/PROOFS.md; or a seed that draws the steps.
    std::filesystem::path file;
    std::optional<std::uint64_t> seed;
    // Folder with the built programs.
    std::filesystem::path build;
    // First of the hundred ports that the run may use.
    std::uint16_t basePort { 0 };
    // Longest wait for one condition.
    Milliseconds patience { 60'000 };
};

// Runs one scenario with real processes in a temporary folder. Returns an empty text when it holds, otherwise what
// was expected and what was seen. Every process that it started has ended by then.
std::string runScenario(const ScenarioOptions&);

} // namespace oleanderport

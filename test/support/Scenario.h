#pragma once

#include "oleanderport/Clock.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

namespace oleanderport {

struct ScenarioOptions {
    // Either a TOML file, described in docs/PROOFS.md, or a seed from which the steps are drawn.
    std::filesystem::path file;
    std::optional<std::uint64_t> seed;
    // Folder with the built programs.
    std::filesystem::path build;
    // First of the hundred ports that the run may use.
    std::uint16_t basePort { 0 };
    // Timeout of the wait for one condition.
    Milliseconds conditionTimeout { 60'000 };
};

// Runs one scenario with real processes in a temporary folder. Returns an empty text when it passes, otherwise
// the expected and the actual outcome. Every process that it started has ended when it returns.
std::string runScenario(const ScenarioOptions&);

} // namespace oleanderport

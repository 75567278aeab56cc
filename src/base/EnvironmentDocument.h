#pragma once

#include "oleanderport/Error.h"
#include "oleanderport/Messages.h"

#include <string>

namespace oleanderport {

// Parses an environment's TOML document and checks types, ranges, empty and duplicate names. The result has version 0
// and the digest of the text. Fails with BadSettings, whose message lists the line and key of every error.
Result<EnvironmentConfig> parseEnvironment(const std::string& text, const std::string& name);

} // namespace oleanderport

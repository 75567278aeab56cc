#pragma once

#include "oleanderport/Error.h"
#include "oleanderport/Messages.h"

#include <string>

namespace oleanderport {

// Checks an environment's TOML document in full: types, ranges, references, contradictions. The version of the result
// is zero; its digest is that of the text. Fails with BadSettings that names the line and key of each fault.
Result<EnvironmentConfig> parseEnvironment(const std::string& text, const std::string& name);

} // namespace oleanderport

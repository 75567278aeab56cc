#pragma once

#include "oleanderport/Clock.h"

#include <string>

namespace oleanderport {

// Formats a Unix time in ISO 8601, as in "2025-01-31T23:59:59.123Z".
std::string utcText(Milliseconds unix);

} // namespace oleanderport

#pragma once

#include "oleanderport/Clock.h"

#include <string>

namespace oleanderport {

// A wall-clock time as "2025-01-31T23:59:59.123Z".
std::string utcText(Milliseconds unix);

} // namespace oleanderport

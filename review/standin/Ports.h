#pragma once

#include <string>

namespace oleanderport::review {

// A loopback address whose port is free now, below the range that the system uses for outgoing connections. Each process begins
// at a random port, so that cases can run side by side.
std::string freeLoopbackAddress();

} // namespace oleanderport::review

#pragma once

#include <string>
#include <string_view>

namespace oleanderport {

// Returns the 128-bit XXH3 hash of the bytes as 32 hexadecimal digits. It detects differing content but is not
// cryptographic.
std::string digestOf(std::string_view bytes);

} // namespace oleanderport

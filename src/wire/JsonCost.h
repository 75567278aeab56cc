#pragma once

#include <cstddef>
#include <string_view>

namespace oleanderport {

// Whether a JSON text may hold more than `limit` values, by the brackets, commas and colons outside its strings. Text that isn't JSON counts
// likewise. A parsed value takes some 200 bytes, while its text may take three.
bool hasMoreJsonValues(std::string_view text, std::size_t limit);

} // namespace oleanderport

#pragma once

#include <string>
#include <string_view>

namespace oleanderport {

// 128-bit digest of the bytes, as 32 hexadecimal digits. Tells contents apart; it is no defence against forgery.
std::string digestOf(std::string_view bytes);

} // namespace oleanderport

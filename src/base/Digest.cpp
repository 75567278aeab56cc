#include "base/Digest.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace oleanderport {

std::string digestOf(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

} // namespace oleanderport

#include "base/UtcText.h"

#include <fmt/chrono.h>

namespace oleanderport {

std::string utcText(Milliseconds unix)
{
    constexpr std::int64_t millisecondsPerSecond = 1'000;
    const auto seconds = static_cast<std::time_t>(unix.count / millisecondsPerSecond);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), unix.count % millisecondsPerSecond);
}

} // namespace oleanderport

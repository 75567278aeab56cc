#pragma once

#include "oleanderport/Error.h"
#include "oleanderport/Messages.h"

#include <string>
#include <string_view>

namespace oleanderport {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

std::string_view logLevelName(LogLevel);
std::optional<LogLevel> logLevelFromName(std::string_view);

// Optional fields of a log line. Empty ones are omitted.
struct LogFields {
    std::string_view step {};
    std::string_view peer {};
    const JobKey* job { nullptr };
    std::int64_t task { -1 };
    // Id of the caller's request; `jobName` is the name of a best-effort job.
    std::string_view request {};
    std::string_view jobName {};
    // The line reports a request that was not served. It has a rate limit of its own instead of that of its level.
    bool unserved { false };
};

// Sets the lowest level that is written and the role and instance of every later line, and redirects the log from
// standard error to standard output. Daemons call this at start and after each reload of their settings.
void configureLog(LogLevel minLevel, std::string_view role, std::string_view instance);

// Writes one line of key=value pairs: time, level, role, instance, the fields that are set, and the message. Never
// blocks: a line that exceeds its rate limit or that the output can't take now is dropped and counted, and a later line
// reports the count.
void log(LogLevel, const LogFields&, std::string_view message);

void logError(LogLevel, const Error&);

// Returns the number of dropped lines, without those since the last line written.
std::uint64_t droppedLogLines();

} // namespace oleanderport

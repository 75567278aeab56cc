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

// Optional parts of a log line. Empty ones are left out.
struct LogFields {
    std::string_view step {};
    std::string_view peer {};
    const JobKey* job { nullptr };
    std::int64_t task { -1 };
    // Id of the caller's request, and name of a best-effort job.
    std::string_view request {};
    std::string_view jobName {};
    // About a caller who was not served. The line counts against a budget of its own, not against that of its level.
    bool unserved { false };
};

// Sets what every later line of this process carries, and makes them go to standard output rather than to standard
// error. Call once at start of a daemon.
void configureLog(LogLevel minLevel, std::string_view role, std::string_view instance);

// Writes one line: time, level, role, instance, the fields that are set, and the message, as key=value pairs. Never
// waits: a line that its reader has no room for, or that is beyond its budget, is left out and counted,
// and a later line says how many were.
void log(LogLevel, const LogFields&, std::string_view message);

// Logs an error with its step and peer.
void logError(LogLevel, const Error&);

// Lines left out in all.
std::uint64_t droppedLogLines();

} // namespace oleanderport

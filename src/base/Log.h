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
};

// Sets what every later line of this process carries. Call once at start.
void configureLog(LogLevel least, std::string_view role, std::string_view instance);

// Writes one line to standard error: time, level, role, instance, the fields that are set, and the message.
void log(LogLevel, const LogFields&, std::string_view message);

// Logs an error with its step and peer.
void logError(LogLevel, const Error&);

} // namespace oleanderport

#include "base/Log.h"

#include "oleanderport/NameTable.h"

#include <fmt/format.h>

#include <cstdio>

namespace oleanderport {

namespace {

    constexpr NameTable<LogLevel, 4> logLevelNames { {
        { LogLevel::Debug, "debug" },
        { LogLevel::Info, "info" },
        { LogLevel::Warning, "warning" },
        { LogLevel::Error, "error" },
    } };

    struct LogContext {
        LogLevel least { LogLevel::Info };
        std::string role;
        std::string instance;
    };

    LogContext& context()
    {
        static LogContext value;
        return value;
    }

} // namespace

std::string_view logLevelName(LogLevel level) { return nameIn(logLevelNames, level); }

std::optional<LogLevel> logLevelFromName(std::string_view name) { return valueIn(logLevelNames, name); }

void configureLog(LogLevel least, std::string_view role, std::string_view instance)
{
    context() = LogContext { .least = least, .role = std::string(role), .instance = std::string(instance) };
}

void log(LogLevel level, const LogFields& fields, std::string_view message)
{
    const LogContext& own = context();
    if (level < own.least)
        return;
    fmt::memory_buffer line;
    auto out = std::back_inserter(line);
    fmt::format_to(out, "time={} level={} role={} instance={}", Clock::unixNow().count, logLevelName(level), own.role,
        own.instance);
    if (!fields.step.empty())
        fmt::format_to(out, " step={}", fields.step);
    if (!fields.peer.empty())
        fmt::format_to(out, " peer={}", fields.peer);
    if (fields.job)
        fmt::format_to(out, " job={}/{}", fields.job->caller, fields.job->job);
    if (fields.task >= 0)
        fmt::format_to(out, " task={}", fields.task);
    fmt::format_to(out, " message=\"{}\"\n", message);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

void logError(LogLevel level, const Error& error)
{
    log(level, { .step = error.step, .peer = error.peer },
        fmt::format("{}: {}", errorCodeName(error.code), error.message));
}

} // namespace oleanderport

#include "base/Log.h"

#include "base/LogBudget.h"
#include "oleanderport/NameTable.h"

#include <fmt/format.h>

#include <poll.h>
#include <unistd.h>

namespace oleanderport {

namespace {

    constexpr NameTable<LogLevel, 4> logLevelNames { {
        { LogLevel::Debug, "debug" },
        { LogLevel::Info, "info" },
        { LogLevel::Warning, "warning" },
        { LogLevel::Error, "error" },
    } };

    struct LogContext {
        LogLevel minLevel { LogLevel::Info };
        std::string role;
        std::string instance;
        int descriptor { STDERR_FILENO };
        // Debug and info lines.
        LogBudget infoBudget;
        // Warnings and errors.
        LogBudget warningBudget;
        LogBudget unservedBudget;
        std::uint64_t dropped { 0 };
    };

    // A pipe that is ready for writing accepts this many bytes in one write without blocking (PIPE_BUF on Linux).
    constexpr std::size_t maxLineBytes = 4'096;

    LogContext& context()
    {
        static LogContext value;
        return value;
    }

} // namespace

std::string_view logLevelName(LogLevel level) { return nameIn(logLevelNames, level); }

std::optional<LogLevel> logLevelFromName(std::string_view name) { return valueIn(logLevelNames, name); }

void configureLog(LogLevel minLevel, std::string_view role, std::string_view instance)
{
    LogContext& current = context();
    current.minLevel = minLevel;
    current.role = role;
    current.instance = instance;
    current.descriptor = STDOUT_FILENO;
}

namespace {

    // Escapes quotes and backslashes and replaces line ends, which would break the format of the line.
    void appendQuoted(fmt::memory_buffer& line, std::string_view text)
    {
        line.push_back('"');
        for (const char c : text) {
            if (c == '"' || c == '\\')
                line.push_back('\\');
            line.push_back(c == '\n' ? ' ' : c);
        }
        line.push_back('"');
    }

    fmt::memory_buffer formatLine(LogLevel level, const LogFields& fields, std::string_view message)
    {
        const LogContext& current = context();
        fmt::memory_buffer line;
        auto out = std::back_inserter(line);
        fmt::format_to(out, "time={} level={} role={} instance={}", Clock::unixNow().count, logLevelName(level), current.role,
            current.instance);
        if (!fields.step.empty())
            fmt::format_to(out, " step={}", fields.step);
        if (!fields.peer.empty())
            fmt::format_to(out, " peer={}", fields.peer);
        if (!fields.request.empty())
            fmt::format_to(out, " request={}", fields.request);
        if (fields.job)
            fmt::format_to(out, " job={}/{}", fields.job->caller, fields.job->job);
        else if (!fields.jobName.empty())
            fmt::format_to(out, " job={}", fields.jobName);
        if (fields.task >= 0)
            fmt::format_to(out, " task={}", fields.task);
        fmt::format_to(out, " message=");
        appendQuoted(line, message);
        line.resize(std::min(line.size(), maxLineBytes - 1));
        line.push_back('\n');
        return line;
    }

    LogBudget& budgetFor(LogLevel level, const LogFields& fields)
    {
        if (fields.unserved)
            return context().unservedBudget;
        return level >= LogLevel::Warning ? context().warningBudget : context().infoBudget;
    }

    // Writes the line without blocking. Returns false when the output can't take it now.
    bool tryWrite(const fmt::memory_buffer& line)
    {
        pollfd target { .fd = context().descriptor, .events = POLLOUT, .revents = 0 };
        if (::poll(&target, 1, 0) != 1 || (target.revents & POLLOUT) == 0)
            return false;
        return ::write(target.fd, line.data(), line.size()) == static_cast<ssize_t>(line.size());
    }

} // namespace

void log(LogLevel level, const LogFields& fields, std::string_view message)
{
    LogContext& current = context();
    if (level < current.minLevel)
        return;
    LogBudget& budget = budgetFor(level, fields);
    if (!budget.allow(Clock::now()))
        return;
    if (!tryWrite(formatLine(level, fields, message))) {
        budget.countDropped();
        return;
    }
    const std::uint64_t dropped = budget.takeDropped();
    if (dropped == 0)
        return;
    current.dropped += dropped;
    if (!tryWrite(formatLine(LogLevel::Warning, { .step = "log" }, fmt::format("{} log lines were dropped before this one", dropped))))
        budget.countDropped();
}

std::uint64_t droppedLogLines() { return context().dropped; }

void logError(LogLevel level, const Error& error)
{
    log(level, { .step = error.step, .peer = error.peer },
        fmt::format("{}: {}", errorCodeName(error.code), error.message));
}

} // namespace oleanderport

#include "wire/RequestIntake.h"

#include "base/Log.h"

#include <fmt/format.h>

#include <utility>

namespace oleanderport {

namespace {

    constexpr Milliseconds logPeriod { 1'000 };
    // A client that has just connected is given this long to send its request.
    constexpr Milliseconds minIdleTime { 1'000 };
    constexpr std::size_t idleClosedAtOnce = 64;

} // namespace

RequestIntake::Connection RequestIntake::added(std::size_t maxRequestBytes, Close close)
{
    const Connection connection = ++m_lastConnection;
    m_budget.opened(connection, maxRequestBytes, Clock::now());
    m_close[connection] = std::move(close);
    return connection;
}

void RequestIntake::removed(Connection connection)
{
    m_budget.closed(connection);
    m_close.erase(connection);
}

std::optional<RequestRefusal> RequestIntake::keepBudget(std::optional<Connection> reading)
{
    std::optional<RequestRefusal> reason;
    m_isReading = reading.has_value();
    while (const auto victim = m_budget.victim()) {
        if (victim->connection == reading) {
            m_budget.closed(victim->connection);
            reason = victim->reason;
        } else {
            m_close.at(victim->connection)(victim->reason);
        }
    }
    m_isReading = false;
    logClosed(Clock::now());
    return reason;
}

void RequestIntake::closeLongestIdle(Milliseconds now)
{
    const auto idle = m_budget.longestIdle(now, minIdleTime, idleClosedAtOnce);
    for (const auto connection : idle)
        m_close.at(connection)(std::nullopt);
    if (!idle.empty())
        log(LogLevel::Warning, { .step = "http.intake" }, fmt::format("closed {} idle connections of {} to accept others", idle.size(), m_close.size()));
}

void RequestIntake::countClosed(std::optional<RequestRefusal> reason)
{
    if (!reason) {
        ++m_closedIdle;
        return;
    }
    ++m_refused[*reason];
    ++m_closedSinceLog;
}

std::size_t RequestIntake::refused(RequestRefusal reason) const
{
    const auto found = m_refused.find(reason);
    return found == m_refused.end() ? 0 : found->second;
}

void RequestIntake::logClosed(Milliseconds now)
{
    if (m_closedSinceLog == 0 || now < m_loggedAt + logPeriod)
        return;
    m_loggedAt = now;
    log(LogLevel::Warning, { .step = "http.intake" },
        fmt::format("closed {} connections; since the start {} requests were too large, {} had too many header lines and {} were over the budget, {} bytes are held",
            std::exchange(m_closedSinceLog, 0), refused(RequestRefusal::TooLarge), refused(RequestRefusal::TooManyHeaders), refused(RequestRefusal::OverBudget), bytes()));
}

} // namespace oleanderport

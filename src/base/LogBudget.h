#pragma once

#include "oleanderport/Clock.h"

#include <algorithm>
#include <cstdint>

namespace oleanderport {

struct LogBudgetOptions {
    // Sustained rate, and the number of lines allowed at once after a pause. An entry under normal load writes about 50
    // lines per second, one for each job.
    std::int64_t linesPerSecond { 300 };
    std::int64_t burst { 600 };
};

// Token bucket that limits the rate of log lines and counts the dropped ones. Each class of lines has its own, so that
// informational lines can't exhaust the limit of errors.
class LogBudget {
public:
    explicit LogBudget(const LogBudgetOptions& options = {})
        : m_options(options)
        , m_tokens(options.burst * tokensPerLine)
    {
    }

    // Returns whether a line may be written now; if not, counts it as dropped.
    bool allow(Milliseconds now)
    {
        const std::int64_t elapsed = std::max<std::int64_t>((now - m_refilledAt).count, 0);
        m_refilledAt = now;
        // Tokens are thousandths of a line: a millisecond adds `linesPerSecond` of them.
        const std::int64_t capacity = m_options.burst * tokensPerLine;
        const std::int64_t refill = elapsed < capacity ? elapsed * m_options.linesPerSecond * tokensPerLine / millisPerSecond : capacity;
        m_tokens = std::min(m_tokens + refill, capacity);
        if (m_tokens < tokensPerLine) {
            ++m_dropped;
            return false;
        }
        m_tokens -= tokensPerLine;
        return true;
    }

    void countDropped() { ++m_dropped; }

    // Returns the number of lines dropped since the last call.
    std::uint64_t takeDropped()
    {
        const std::uint64_t dropped = m_dropped;
        m_dropped = 0;
        return dropped;
    }

private:
    static constexpr std::int64_t tokensPerLine = 1'000;
    static constexpr std::int64_t millisPerSecond = 1'000;

    LogBudgetOptions m_options;
    std::int64_t m_tokens;
    Milliseconds m_refilledAt {};
    std::uint64_t m_dropped { 0 };
};

} // namespace oleanderport

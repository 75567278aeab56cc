#pragma once

#include "oleanderport/Clock.h"

#include <algorithm>
#include <cstdint>

namespace oleanderport {

struct LogBudgetOptions {
    // Lines a second in the long run, and at once after a pause. The ordinary load of an entry is some 50 jobs a second
    // with a line each.
    std::int64_t linesPerSecond { 300 };
    std::int64_t burst { 600 };
};

// Bounds how many lines are written, and counts what was left out. Each class of lines has a budget of its own, so that
// ordinary lines never use up that of errors.
class LogBudget {
public:
    explicit LogBudget(const LogBudgetOptions& options = {})
        : m_options(options)
        , m_tokens(options.burst * tokensPerLine)
    {
    }

    // True when a line may be written now. One that may not is counted as dropped.
    bool allow(Milliseconds now)
    {
        const std::int64_t elapsed = std::max<std::int64_t>((now - m_refilledAt).count, 0);
        m_refilledAt = now;
        // A millisecond earns a thousandth of a second's lines.
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

    // Lines that were left out since the last call.
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

#pragma once

#include <algorithm>

namespace oleanderport {

struct RetryBudgetOptions {
    // Retries allowed for each first attempt.
    double tokenRatio { 0.2 };
    // Retries that may be saved up, and that are there at the start. They cover a minion that leaves with what it had
    // taken in advance.
    double maxTokens { 100 };
};

// Bounds the retries of one entry and service to a share of its load, so that a service which refuses work is not
// driven further down by the same work coming again. Over any time: retries <= reserve + share * first attempts.
class RetryBudget {
public:
    explicit RetryBudget(const RetryBudgetOptions& options)
        : m_options(options)
        , m_tokens(options.maxTokens)
    {
    }

    // Counts a first attempt.
    void recordFirstAttempt() { m_tokens = std::min(m_tokens + m_options.tokenRatio, m_options.maxTokens); }

    // True when a retry is within the budget; it is then spent.
    bool tryAcquireRetry()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    RetryBudgetOptions m_options;
    double m_tokens;
};

} // namespace oleanderport

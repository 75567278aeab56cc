#pragma once

#include <algorithm>

namespace oleanderport {

struct RetryBudgetOptions {
    // Retries allowed for each first attempt.
    double tokenRatio { 0.2 };
    // Retries that may be saved up, and that are available at the start. They cover the tasks that a leaving
    // minion had prefetched.
    double maxTokens { 100 };
};

// Limits the retries of one entry and service to a share of its first attempts, so that retries don't add to the load of a
// service that refuses work. Over any time: retries <= maxTokens + tokenRatio * first attempts.
class RetryBudget {
public:
    explicit RetryBudget(const RetryBudgetOptions& options)
        : m_options(options)
        , m_tokens(options.maxTokens)
    {
    }

    // Adds the tokens of one first attempt.
    void recordFirstAttempt() { m_tokens = std::min(m_tokens + m_options.tokenRatio, m_options.maxTokens); }

    // Takes a token for one retry; false when none is left.
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

#pragma once

#include "oleanderport/Clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

// Adaptive timeout of a request to a minion before it is resent. It matters at a minion that leaves many requests
// unanswered, where each timeout in excess of the usual answer time adds to the latency of a task.
namespace oleanderport {

struct AnswerTimesOptions {
    // Bounds of the timeout. The maximum applies while too few answers are known.
    Milliseconds minTimeout { 10 };
    Milliseconds maxTimeout { 35 };
    // The timeout is this multiple of the given percentile of recent answer times.
    std::int64_t factor { 2 };
    std::size_t withinPercent { 90 };
    std::size_t minAnswers { 8 };
    std::size_t maxAnswers { 64 };
    // Older answers are dropped. A timeout too short for any answer to arrive in time is therefore abandoned after this time.
    Milliseconds retention { 1'000 };
};

class AnswerTimes {
public:
    explicit AnswerTimes(const AnswerTimesOptions& options)
        : m_options(options)
    {
    }

    void record(Milliseconds took, Milliseconds now)
    {
        m_answers.push_back({ .at = now, .took = took });
        if (m_answers.size() > m_options.maxAnswers)
            m_answers.pop_front();
    }

    Milliseconds answerTimeout(Milliseconds now)
    {
        while (!m_answers.empty() && m_answers.front().at + m_options.retention < now)
            m_answers.pop_front();
        if (m_answers.size() < m_options.minAnswers)
            return m_options.maxTimeout;
        std::vector<Milliseconds> times;
        for (const auto& answer : m_answers)
            times.push_back(answer.took);
        const auto percentile = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) * m_options.withinPercent / 100);
        std::nth_element(times.begin(), percentile, times.end());
        return std::clamp(Milliseconds { percentile->count * m_options.factor }, m_options.minTimeout, m_options.maxTimeout);
    }

private:
    struct Answer {
        Milliseconds at {};
        Milliseconds took {};
    };

    AnswerTimesOptions m_options;
    std::deque<Answer> m_answers;
};

} // namespace oleanderport

#pragma once

#include "oleanderport/Clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

// How long to wait for the answer to an order before it is sent again. Answers the load of a minion that leaves many orders unanswered: each wait that is
// longer than its answers take is added to the time of a task.
namespace oleanderport {

struct AnswerTimesOptions {
    // Shortest and longest wait. The longest holds while too few answers are known.
    Milliseconds minTimeout { 10 };
    Milliseconds maxTimeout { 35 };
    // The wait is so many times the answer time that this share of the newest answers kept.
    std::int64_t factor { 2 };
    std::size_t withinPercent { 90 };
    std::size_t minAnswers { 8 };
    std::size_t maxAnswers { 64 };
    // Older answers count no more. So a wait that has become too short for any answer to be seen is given up after this time.
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

#include "control/PacedCalls.h"

#include <utility>

namespace oleanderport {

std::optional<Milliseconds> PacedCalls::admit(Priority priority, Call call)
{
    const bool isHighPriority = priority == Priority::High;
    if (const auto retryAfter = m_pace.retryAfter(isHighPriority ? m_highPriority.size() : waiting()))
        return retryAfter;
    add(isHighPriority ? m_highPriority : m_lowPriority, std::move(call));
    return std::nullopt;
}

void PacedCalls::resume(Call call) { add(m_highPriority, std::move(call)); }

void PacedCalls::add(std::deque<Call>& queue, Call call)
{
    queue.push_back(std::move(call));
    // Before the next slice the event loop reads incoming data and runs due timers.
    if (!m_nextSlice)
        m_nextSlice = m_loop.once({}, [this] { serveSlice(); });
}

void PacedCalls::serveSlice()
{
    m_nextSlice.reset();
    const Milliseconds begin = Clock::now();
    std::size_t served = 0;
    while (waiting() > 0 && (served == 0 || !m_pace.isSliceOver(begin, Clock::now()))) {
        auto& queue = m_highPriority.empty() ? m_lowPriority : m_highPriority;
        const Call call = std::move(queue.front());
        queue.pop_front();
        call();
        ++served;
    }
    m_pace.recordSlice(served, waiting(), Clock::now());
    if (waiting() > 0 && !m_nextSlice)
        m_nextSlice = m_loop.once({}, [this] { serveSlice(); });
}

} // namespace oleanderport

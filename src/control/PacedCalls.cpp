#include "control/PacedCalls.h"

#include <utility>

namespace oleanderport {

std::optional<Milliseconds> PacedCalls::admit(Order order, Call call)
{
    const bool isFirst = order == Order::First;
    if (const auto comeAgain = m_pace.retryAfter(isFirst ? m_first.size() : waiting()))
        return comeAgain;
    add(isFirst ? m_first : m_later, std::move(call));
    return std::nullopt;
}

void PacedCalls::resume(Call call) { add(m_first, std::move(call)); }

void PacedCalls::add(std::deque<Call>& queue, Call call)
{
    queue.push_back(std::move(call));
    // The loop takes in what has arrived and calls due timers before the next slice.
    if (!m_next)
        m_next = m_loop.once({}, [this] { serveSlice(); });
}

void PacedCalls::serveSlice()
{
    m_next.reset();
    const Milliseconds begin = Clock::now();
    std::size_t served = 0;
    while (waiting() > 0 && (served == 0 || !m_pace.isSliceOver(begin, Clock::now()))) {
        auto& queue = m_first.empty() ? m_later : m_first;
        const Call call = std::move(queue.front());
        queue.pop_front();
        call();
        ++served;
    }
    m_pace.recordSlice(served, waiting(), Clock::now());
    if (waiting() > 0 && !m_next)
        m_next = m_loop.once({}, [this] { serveSlice(); });
}

} // namespace oleanderport

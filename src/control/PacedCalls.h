#pragma once

#include "policy/ServingPace.h"
#include "wire/EventLoop.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace oleanderport {

// A queue of calls that are served in time slices, so that a burst of calls does not block the rest of the process.
class PacedCalls {
public:
    using Call = std::function<void()>;

    PacedCalls(EventLoop& loop, const ServingPaceOptions& options)
        : m_loop(loop)
        , m_pace(options)
    {
    }

    enum class Priority {
        // Served before all Low calls. For opening sessions: a process without a session can do nothing.
        High,
        // For calls that are repeated soon anyway.
        Low,
    };

    // Queues the call. When too many calls wait, it is dropped and the time after which the caller may retry is returned.
    std::optional<Milliseconds> admit(Priority, Call);

    // Queues the continuation of a call that was admitted before. Never dropped.
    void resume(Call);

    std::size_t waiting() const { return m_highPriority.size() + m_lowPriority.size(); }

private:
    void add(std::deque<Call>&, Call);
    void serveSlice();

    EventLoop& m_loop;
    ServingPace m_pace;
    std::deque<Call> m_highPriority;
    std::deque<Call> m_lowPriority;
    std::unique_ptr<EventLoop::Timer> m_nextSlice;
};

} // namespace oleanderport

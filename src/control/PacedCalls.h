#pragma once

#include "policy/ServingPace.h"
#include "wire/EventLoop.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace oleanderport {

// Calls that are served in slices, so that a crowd of them does not hold up the rest of the process.
class PacedCalls {
public:
    using Call = std::function<void()>;

    PacedCalls(EventLoop& loop, const ServingPaceOptions& options)
        : m_loop(loop)
        , m_pace(options)
    {
    }

    enum class Priority {
        // Before all that can wait: a process that has no session can do nothing.
        High,
        // What is tried again soon anyway.
        Low,
    };

    // Serves the call in its turn. When too many wait, it is dropped, and the caller is to come again after the time returned.
    std::optional<Milliseconds> admit(Priority, Call);

    // Goes on with a call that was admitted before; it is never dropped.
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

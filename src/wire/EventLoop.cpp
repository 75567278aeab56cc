#include "wire/EventLoop.h"

#include <event2/event.h>

namespace oleanderport {

namespace {

    constexpr std::int64_t millisecondsPerSecond = 1000;
    constexpr std::int64_t microsecondsPerMillisecond = 1000;

    class EventTimer final : public EventLoop::Timer {
    public:
        EventTimer(event_base* base, evutil_socket_t descriptor, short flags, std::function<void()> callback)
            : m_callback(std::move(callback))
            , m_event(event_new(base, descriptor, flags, &EventTimer::fired, this))
        {
        }

        ~EventTimer() override { event_free(m_event); }

        void add(Milliseconds delay)
        {
            const timeval value { static_cast<time_t>(delay.count / millisecondsPerSecond),
                static_cast<suseconds_t>(delay.count % millisecondsPerSecond * microsecondsPerMillisecond) };
            event_add(m_event, &value);
        }

        void add() { event_add(m_event, nullptr); }

    private:
        static void fired(evutil_socket_t, short, void* self)
        {
            // A copy, since the callback may destroy this timer.
            const auto callback = static_cast<EventTimer*>(self)->m_callback;
            callback();
        }

        std::function<void()> m_callback;
        event* m_event;
    };

} // namespace

EventLoop::EventLoop()
    : m_base(event_base_new())
{
}

EventLoop::~EventLoop() { event_base_free(m_base); }

void EventLoop::run() { event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::stop() { event_base_loopbreak(m_base); }

std::unique_ptr<EventLoop::Timer> EventLoop::once(Milliseconds delay, std::function<void()> callback)
{
    auto timer = std::make_unique<EventTimer>(m_base, -1, 0, std::move(callback));
    timer->add(delay);
    return timer;
}

std::unique_ptr<EventLoop::Timer> EventLoop::every(Milliseconds period, std::function<void()> callback)
{
    auto timer = std::make_unique<EventTimer>(m_base, -1, EV_PERSIST, std::move(callback));
    timer->add(period);
    return timer;
}

std::unique_ptr<EventLoop::Timer> EventLoop::onReadable(int descriptor, std::function<void()> callback)
{
    auto timer = std::make_unique<EventTimer>(m_base, descriptor, EV_READ | EV_PERSIST, std::move(callback));
    timer->add();
    return timer;
}

std::unique_ptr<EventLoop::Timer> EventLoop::onSignal(int signalNumber, std::function<void()> callback)
{
    auto timer = std::make_unique<EventTimer>(m_base, signalNumber, EV_SIGNAL | EV_PERSIST, std::move(callback));
    timer->add();
    return timer;
}

} // namespace oleanderport

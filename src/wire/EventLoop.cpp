#include "wire/EventLoop.h"

#include <event2/event.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <vector>

namespace oleanderport {

namespace {

    constexpr std::int64_t millisecondsPerSecond = 1000;
    constexpr std::int64_t microsecondsPerMillisecond = 1000;

    // libevent asks epoll for this many ready sockets at first, and for twice as many after each time that it got all of them.
    constexpr int initialSocketsPerRound = 32;
    constexpr int wantedSocketsPerRound = 512;

    // Has libevent ask for more sockets a round by getting as many ready as it asks for. Returns how many it asks for then.
    int growSocketsPerRound(event_base* base)
    {
        const int alwaysReadable = eventfd(1, EFD_CLOEXEC | EFD_NONBLOCK);
        std::vector<event*> events;
        int asked = initialSocketsPerRound;
        while (asked < wantedSocketsPerRound) {
            while (static_cast<int>(events.size()) < asked) {
                const int descriptor = dup(alwaysReadable);
                if (descriptor < 0)
                    break;
                events.push_back(event_new(
                    base, descriptor, EV_READ | EV_PERSIST, [](evutil_socket_t, short, void*) {}, nullptr));
                event_add(events.back(), nullptr);
            }
            if (static_cast<int>(events.size()) < asked)
                break;
            event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
            asked *= 2;
        }
        for (event* each : events) {
            const int descriptor = event_get_fd(each);
            event_free(each);
            close(descriptor);
        }
        close(alwaysReadable);
        return asked;
    }

} // namespace

class EventLoop::EventTimer final : public EventLoop::Timer {
public:
    EventTimer(EventLoop& loop, evutil_socket_t descriptor, short flags, std::function<void()> callback)
        : m_loop(loop)
        , m_callback(std::move(callback))
        , m_event(event_new(loop.base(), descriptor, flags, &EventTimer::fired, this))
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
    static void fired(evutil_socket_t, short what, void* self)
    {
        auto* timer = static_cast<EventTimer*>(self);
        // libevent calls the timers of a round after its sockets.
        if (what == EV_TIMEOUT)
            timer->m_loop.socketsRead();
        // A copy, since the callback may destroy this timer.
        const auto callback = timer->m_callback;
        callback();
    }

    EventLoop& m_loop;
    std::function<void()> m_callback;
    event* m_event;
};

EventLoop::EventLoop()
    : m_base(event_base_new())
    , m_socketsPerRound(growSocketsPerRound(m_base))
{
}

EventLoop::~EventLoop() { event_base_free(m_base); }

void EventLoop::run()
{
    do
        runOnce();
    while (event_base_got_break(m_base) == 0);
}

void EventLoop::runOnce()
{
    m_roundBeganAt = Clock::now();
    ++m_round;
    event_base_get_max_events(m_base, EVENT_BASE_COUNT_ACTIVE, 1);
    event_base_loop(m_base, EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
    if (event_base_got_break(m_base) == 0)
        socketsRead();
}

void EventLoop::socketsRead()
{
    if (event_base_get_max_events(m_base, EVENT_BASE_COUNT_ACTIVE, 0) >= m_socketsPerRound)
        return;
    m_readUntil = m_roundBeganAt;
    m_readRound = m_round;
}

void EventLoop::stop() { event_base_loopbreak(m_base); }

std::unique_ptr<EventLoop::Timer> EventLoop::once(Milliseconds delay, std::function<void()> callback)
{
    auto timer = std::make_unique<EventTimer>(*this, -1, 0, std::move(callback));
    timer->add(delay);
    return timer;
}

std::unique_ptr<EventLoop::Timer> EventLoop::every(Milliseconds period, std::function<void()> callback)
{
    auto timer = std::make_unique<EventTimer>(*this, -1, EV_PERSIST, std::move(callback));
    timer->add(period);
    return timer;
}

std::unique_ptr<EventLoop::Timer> EventLoop::onReadable(int descriptor, std::function<void()> callback)
{
    auto timer = std::make_unique<EventTimer>(*this, descriptor, EV_READ | EV_PERSIST, std::move(callback));
    timer->add();
    return timer;
}

std::unique_ptr<EventLoop::Timer> EventLoop::onSignal(int signalNumber, std::function<void()> callback)
{
    auto timer = std::make_unique<EventTimer>(*this, signalNumber, EV_SIGNAL | EV_PERSIST, std::move(callback));
    timer->add();
    return timer;
}

} // namespace oleanderport

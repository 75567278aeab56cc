#pragma once

#include "base/LogicalClock.h"
#include "oleanderport/Clock.h"

#include <cstdint>
#include <functional>
#include <memory>

struct event_base;

namespace oleanderport {

// A libevent loop. Each process has one, and accesses all its state only from that loop.
class EventLoop {
public:
    // Cancels its timer when destroyed.
    class Timer {
    public:
        virtual ~Timer() = default;
    };

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // Runs until stop() is called.
    void run();
    void stop();

    // One round: waits for ready sockets and due timers, reads each socket once, then calls the timers.
    void runOnce();

    // Each socket that was ready before this time has been read. In a timer this is the begin of its round, unless more sockets were
    // ready than one round reads.
    Milliseconds readUntil() const { return m_readUntil; }

    // The number of this round, and of the last one in which each socket that was ready has been read.
    std::uint64_t round() const { return m_round; }
    std::uint64_t readRound() const { return m_readRound; }

    // Calls back once after the delay, or every period. Destroying the returned object cancels the timer.
    std::unique_ptr<Timer> once(Milliseconds delay, std::function<void()>);
    std::unique_ptr<Timer> every(Milliseconds period, std::function<void()>);

    // Calls back in the loop each time the process receives the signal.
    std::unique_ptr<Timer> onSignal(int signalNumber, std::function<void()>);

    // Calls back in the loop whenever the descriptor is readable.
    std::unique_ptr<Timer> onReadable(int descriptor, std::function<void()>);

    event_base* base() const { return m_base; }

    // Lamport clock of the process; messages carry its time.
    LogicalClock& logicalClock() { return m_logicalClock; }

private:
    class EventTimer;

    // Call when every socket that was found ready in this round has been read.
    void socketsRead();

    event_base* m_base;
    Milliseconds m_roundBeganAt {};
    Milliseconds m_readUntil {};
    std::uint64_t m_round { 0 };
    std::uint64_t m_readRound { 0 };
    // Sockets that one round reads at least.
    int m_socketsPerRound;
    LogicalClock m_logicalClock;
};

} // namespace oleanderport

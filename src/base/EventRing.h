#pragma once

#include "oleanderport/Clock.h"
#include "oleanderport/Messages.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderport {

enum class EventKind {
    ProcessStarted,
    ProcessStopping,
    SessionOpened,
    SessionEnded,
    LeaseGranted,
    LeaseLost,
    ConfigurationApplied,
    DataCentreOut,
    DataCentreIn,
    LeaderElected,
    MinionAnnounced,
    MinionLeft,
    JobClaimed,
    JobTakenOver,
    JobComplete,
    JobFailed,
    TaskQueued,
    TaskSent,
    TaskStarted,
    TaskFinished,
    TaskReturned,
    ResultDropped,
};

std::string_view eventKindName(EventKind);

// One event of one process. Events of a process are ordered by `sequence`. `logical` is a Lamport time: an event that
// follows from a message has a higher one than every event before the message was sent, whatever the clocks say.
struct Event {
    EventKind kind { EventKind::ProcessStarted };
    std::string instance;
    std::uint64_t sequence { 0 };
    std::uint64_t logical { 0 };
    Milliseconds unixTime {};
    JobKey job;
    std::int64_t task { -1 };
    std::string detail;
};

struct EventFields {
    const JobKey* job { nullptr };
    std::int64_t task { -1 };
    std::string detail {};
};

// The last events of this process, bounded in number.
class EventRing {
public:
    EventRing(std::string instance, std::size_t capacity);

    void record(EventKind, const EventFields& = {});

    // Logical time to send along with a message.
    std::uint64_t stamp() const { return m_logical; }

    // Takes in the logical time that came with a message.
    void witness(std::uint64_t logical);

    // Events with a sequence number above `after`, in order.
    std::vector<Event> since(std::uint64_t after) const;

    // Events that have been pushed out of the ring.
    std::uint64_t forgotten() const { return m_forgotten; }

private:
    std::string m_instance;
    std::size_t m_capacity;
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_logical { 0 };
    std::uint64_t m_forgotten { 0 };
    std::deque<Event> m_events;
};

// One causally ordered line of the events of many processes.
std::vector<Event> mergeEvents(std::vector<Event>);

} // namespace oleanderport

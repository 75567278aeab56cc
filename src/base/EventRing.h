#pragma once

#include "base/LogicalClock.h"
#include "oleanderport/Clock.h"
#include "oleanderport/Messages.h"

#include <cstdint>
#include <deque>
#include <optional>
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
    // This instance counts for a majority from here on.
    VoterAdmitted,
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
std::optional<EventKind> eventKindFromName(std::string_view);

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
    // Events take their logical time from the clock, which must outlive this object.
    EventRing(std::string instance, std::size_t capacity, LogicalClock&);

    void record(EventKind, const EventFields& = {}, Milliseconds unixTime = Clock::unixNow());

    // Events with a sequence number above `after`, in order.
    std::vector<Event> since(std::uint64_t after) const;

    // Events that have been pushed out of the ring.
    std::uint64_t overwritten() const { return m_overwritten; }

private:
    std::string m_instance;
    std::size_t m_capacity;
    LogicalClock& m_clock;
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_overwritten { 0 };
    std::deque<Event> m_events;
};

// One causally ordered line of the events of many processes: no event stands before one that it follows from.
// Events of the same logical time are concurrent; they stand by their wall-clock time, for reading only.
std::vector<Event> mergeEvents(std::vector<Event>);

} // namespace oleanderport

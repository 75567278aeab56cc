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
    // This instance counts towards a majority from now on.
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

// An event of one process. Events of a process are ordered by `sequence`. `logical` is a Lamport time: an event caused
// by a message has a higher one than every event before the message was sent, whatever the wall clocks show.
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

// Ring buffer with the latest events of this process.
class EventRing {
public:
    // The clock, which gives each event its logical time, must outlive this object.
    EventRing(std::string instance, std::size_t capacity, LogicalClock&);

    void record(EventKind, const EventFields& = {}, Milliseconds unixTime = Clock::unixNow());

    // Returns the events with a sequence number above `after`, in order.
    std::vector<Event> since(std::uint64_t after) const;

    // Number of events that newer ones have overwritten.
    std::uint64_t overwritten() const { return m_overwritten; }

private:
    std::string m_instance;
    std::size_t m_capacity;
    LogicalClock& m_clock;
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_overwritten { 0 };
    std::deque<Event> m_events;
};

// Sorts the events of several processes in causal order: no event precedes one that caused it. Events with the same
// logical time are concurrent and are sorted by wall-clock time, which only helps the reader.
std::vector<Event> mergeEvents(std::vector<Event>);

} // namespace oleanderport

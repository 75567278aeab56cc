#include "base/EventRing.h"

#include "oleanderport/NameTable.h"

#include <algorithm>
#include <tuple>

namespace oleanderport {

namespace {

    constexpr NameTable<EventKind, 23> eventKindNames { {
        { EventKind::ProcessStarted, "process_started" },
        { EventKind::ProcessStopping, "process_stopping" },
        { EventKind::SessionOpened, "session_opened" },
        { EventKind::SessionEnded, "session_ended" },
        { EventKind::LeaseGranted, "lease_granted" },
        { EventKind::LeaseLost, "lease_lost" },
        { EventKind::ConfigurationApplied, "configuration_applied" },
        { EventKind::DataCentreOut, "datacentre_out" },
        { EventKind::DataCentreIn, "datacentre_in" },
        { EventKind::LeaderElected, "leader_elected" },
        { EventKind::VoterAdmitted, "voter_admitted" },
        { EventKind::MinionAnnounced, "minion_announced" },
        { EventKind::MinionLeft, "minion_left" },
        { EventKind::JobClaimed, "job_claimed" },
        { EventKind::JobTakenOver, "job_taken_over" },
        { EventKind::JobComplete, "job_complete" },
        { EventKind::JobFailed, "job_failed" },
        { EventKind::TaskQueued, "task_queued" },
        { EventKind::TaskSent, "task_sent" },
        { EventKind::TaskStarted, "task_started" },
        { EventKind::TaskFinished, "task_finished" },
        { EventKind::TaskReturned, "task_returned" },
        { EventKind::ResultDropped, "result_dropped" },
    } };

} // namespace

std::string_view eventKindName(EventKind kind) { return nameIn(eventKindNames, kind); }

std::optional<EventKind> eventKindFromName(std::string_view name) { return valueIn(eventKindNames, name); }

EventRing::EventRing(std::string instance, std::size_t capacity, LogicalClock& clock)
    : m_instance(std::move(instance))
    , m_capacity(capacity)
    , m_clock(clock)
{
}

void EventRing::record(EventKind kind, const EventFields& fields, Milliseconds unixTime)
{
    m_events.push_back({ .kind = kind,
        .instance = m_instance,
        .sequence = ++m_sequence,
        .logical = m_clock.next(unixTime),
        .unixTime = unixTime,
        .job = fields.job ? *fields.job : JobKey {},
        .task = fields.task,
        .detail = fields.detail });
    if (m_events.size() > m_capacity) {
        m_events.pop_front();
        ++m_overwritten;
    }
}

std::vector<Event> EventRing::since(std::uint64_t after) const
{
    const auto first = std::find_if(
        m_events.begin(), m_events.end(), [after](const Event& event) { return event.sequence > after; });
    return { first, m_events.end() };
}

std::vector<Event> mergeEvents(std::vector<Event> events)
{
    std::sort(events.begin(), events.end(), [](const Event& a, const Event& b) {
        return std::tie(a.logical, a.unixTime, a.instance, a.sequence)
            < std::tie(b.logical, b.unixTime, b.instance, b.sequence);
    });
    return events;
}

} // namespace oleanderport

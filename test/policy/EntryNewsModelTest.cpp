#include "policy/JobDispatcher.h"
#include "policy/RunTable.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// One entry with its event loop, one sidecar and one minion under a virtual clock. The caller of the entry's only job breaks its
// channel, the minion answers no stop, and a run of another entry has its lease renewed all along.

using namespace oleanderport;

namespace {

constexpr const char* sidecarName = "sidecar";
constexpr const char* otherEntry = "other/1";
// How long callers on the users' platform wait before they submit a job again.
constexpr Milliseconds resubmitAfter { 1'300 };
constexpr Milliseconds beginning { 100'000 };
constexpr Milliseconds firstBreak { 105'000 };
constexpr Milliseconds observed { 4'000 };
constexpr Milliseconds farAway { 10'000'000 };
constexpr Milliseconds pathDelay { 1 };
constexpr Milliseconds tick { 1 };
// A slow clock and the rounding of its readings prolong a lease by this; see docs/PLATFORM.md.
constexpr Milliseconds leaseDrift { 16 + 20 };
constexpr Milliseconds minionStopTime { 50 };
constexpr std::int64_t readAtPercent = 80;
constexpr std::int64_t wholePercent = 100;

struct EntryDay {
    // Length of each round of the entry's event loop: how long after the ready sockets were found the last of them is read.
    Milliseconds round { 1 };
    // The round that begins next after this time lasts for `pause` as well.
    Milliseconds pauseAt {};
    Milliseconds pause {};
    // How often the minion's state is news for all entries, which the sidecar tells them at once.
    Milliseconds statePeriod { 10 };
    // How long the break of the caller's channel takes to reach the entry's machine.
    Milliseconds newsDelay {};
    std::optional<Milliseconds> breakAt;
    RunTableOptions options { .incarnation = "sidecar/1", .dataCentre = "dc" };
};

// What a day came to.
struct Outcome {
    // By when a minion with a slow clock that gets no further call has ended everything.
    Milliseconds lastEnd {};
    // Greatest age of the entry's last echo at the sidecar.
    Milliseconds oldestEcho {};
    std::size_t echoes { 0 };
    bool wasStopped { false };
};

class EntryNews {
public:
    explicit EntryNews(EntryDay day)
        : m_day(std::move(day))
        , m_sidecar(m_day.options, beginning)
    {
        m_sidecar.permit(farAway, true);
        m_sidecar.reported({ .born = { 7 }, .sequence = 1, .service = "service", .capacity = { .cpuMillis = 4'000, .memoryMb = 100 } }, m_now);
        m_sidecar.act(m_now);
        m_sidecar.listed({ .born = { 7 } }, {}, m_now, m_now);
        m_sidecar.opened({ .entry = otherEntry }, m_now);
        m_sidecar.received(otherEntry,
            { .echo = m_now, .requests = { { .job = "kept", .tasks = { { .index = 0, .run = 1 } }, .needs = { .cpuMillis = 100, .memoryMb = 1 }, .endBy = farAway } } }, m_now);
        m_entry.connected(sidecarName, m_now);
        actEntry();
    }

    Outcome play()
    {
        const Milliseconds until = firstBreak + observed;
        while (m_now < until)
            playRound();
        return m_outcome;
    }

private:
    // libevent finds the ready sockets, reads them in turn and calls the timers that are due.
    void playRound()
    {
        const Milliseconds began = m_now;
        const bool isPaused = m_day.pause.count > 0 && !m_wasPaused && m_now >= m_day.pauseAt;
        m_wasPaused = m_wasPaused || isPaused;
        const bool isScheduled = std::exchange(m_isScheduled, false);
        const bool isStreamReady = !m_toEntry.empty() && m_toEntry.front().first <= m_now;
        const bool hasNews = m_day.breakAt && !m_hasLeft && m_now >= *m_day.breakAt + m_day.newsDelay;
        // The stream is read amid the other sockets of the round.
        const Milliseconds length = m_day.round + (isPaused ? m_day.pause : Milliseconds {});
        passUntil(began + Milliseconds { length.count * readAtPercent / wholePercent });
        if (hasNews) {
            m_hasLeft = true;
            m_entry.abandon(m_submission);
            m_isScheduled = true;
        }
        while (isStreamReady && !m_toEntry.empty() && m_toEntry.front().first <= m_now) {
            m_isScheduled = m_entry.received(sidecarName, m_toEntry.front().second, m_now) || m_isScheduled;
            m_toEntry.pop_front();
        }
        passUntil(began + length);
        if (m_submission == 0 && m_now >= beginning + Milliseconds { 1'000 }) {
            m_submission = m_entry.submit({ .name = "abandoned",
                                              .queue = { .name = "queue", .service = "service", .stretchPercent = 1'000, .timeLimit = farAway },
                                              .deadline = farAway,
                                              .steps = { { .needs = { .cpuMillis = 100, .memoryMb = 1, .runTime = { 60'000 } } } } },
                m_now);
            m_isScheduled = true;
        }
        const auto due = m_entry.nextDue();
        if (isScheduled || (due && *due <= m_now))
            actEntry(began);
    }

    void actEntry(std::optional<Milliseconds> roundBegan = std::nullopt)
    {
        for (const auto& item : m_entry.act(m_now, true, roundBegan).frames)
            m_toSidecar.emplace_back(m_now + pathDelay, item.frame);
    }

    void passUntil(Milliseconds time)
    {
        while (m_now < time)
            pass();
    }

    void pass()
    {
        m_now = m_now + tick;
        while (!m_toSidecar.empty() && m_toSidecar.front().first <= m_now) {
            const EntryFrame frame = m_toSidecar.front().second;
            m_toSidecar.pop_front();
            if (!frame.entry.empty()) {
                m_entryName = frame.entry;
                m_sidecar.opened(frame, m_now);
                continue;
            }
            m_sidecar.received(m_entryName, frame, m_now);
            ++m_outcome.echoes;
            m_echo = std::max(m_echo, frame.echo);
        }
        hearOtherEntry();
        const RunActions actions = m_sidecar.act(m_now);
        for (const auto& item : actions.starts) {
            m_running.push_back({ .run = item.run, .percent = 1 });
            m_isUnderWay = m_isUnderWay || item.run.job == "abandoned";
            grant(item.leaseEnd);
            m_sidecar.startAnswered(item.run, StartAnswer::Started, m_now);
        }
        if (!actions.stops.empty() && (!m_day.breakAt || m_now < *m_day.breakAt))
            m_outcome.wasStopped = true;
        if (actions.list && actions.list->leaseEnd)
            grant(*actions.list->leaseEnd);
        if (actions.list)
            m_sidecar.listed({ .born = { 7 }, .running = m_running }, *actions.list, m_now, m_now);
        for (const auto& item : actions.frames) {
            if (item.entry != otherEntry)
                m_toEntry.emplace_back(m_now + pathDelay, item.frame);
        }
        if (m_now > firstBreak - Milliseconds { 2'000 } && (!m_day.breakAt || m_now < *m_day.breakAt))
            m_outcome.oldestEcho = std::max(m_outcome.oldestEcho, m_now - m_echo);
    }

    // The other entry asks for more than there is room for now and then, so that its minion's state is news for all entries.
    void hearOtherEntry()
    {
        EntryFrame frame { .echo = m_now, .endsSeen = m_refused };
        if (m_day.statePeriod.count > 0 && m_now.count % m_day.statePeriod.count == 0) {
            frame.requests.push_back({ .job = fmt::format("refused-{}", ++m_refused),
                .tasks = { { .index = 0, .run = 1 } },
                .needs = { .cpuMillis = 1'000'000, .memoryMb = 1 },
                .endBy = farAway,
                .mayWait = false });
        }
        m_sidecar.received(otherEntry, frame, m_now);
    }

    void grant(Milliseconds leaseEnd)
    {
        if (m_isUnderWay)
            m_outcome.lastEnd = std::max(m_outcome.lastEnd, leaseEnd + leaseDrift + minionStopTime);
    }

    EntryDay m_day;
    Milliseconds m_now { beginning };
    JobDispatcher m_entry { { .incarnation = "entry/1", .dataCentre = "dc", .reservePercent = 0, .startedAt = beginning } };
    RunTable m_sidecar;
    std::string m_entryName;
    std::deque<std::pair<Milliseconds, EntryFrame>> m_toSidecar;
    std::deque<std::pair<Milliseconds, SidecarFrame>> m_toEntry;
    std::vector<ListedRun> m_running;
    std::uint64_t m_submission { 0 };
    bool m_isScheduled { false };
    bool m_hasLeft { false };
    bool m_isUnderWay { false };
    std::uint64_t m_refused { 0 };
    bool m_wasPaused { false };
    Milliseconds m_echo {};
    Outcome m_outcome;
};

Milliseconds endAfterBreak(const EntryDay& day)
{
    const Outcome outcome = EntryNews(day).play();
    cr_assert(outcome.lastEnd > *day.breakAt, "expected the run to be under way at the break");
    return outcome.lastEnd - *day.breakAt;
}

// The longest that the run may go on after its caller's break, whenever that happens.
Milliseconds longestAfterBreak(const EntryDay& day)
{
    constexpr Milliseconds swept { 600 };
    constexpr Milliseconds step { 7 };
    Milliseconds longest {};
    for (Milliseconds offset {}; offset < swept; offset = offset + step) {
        EntryDay each = day;
        each.breakAt = firstBreak + offset;
        longest = std::max(longest, endAfterBreak(each));
    }
    return longest;
}

// The same for a break right after the entry was paused, whenever that happens.
Milliseconds longestAfterPause(const EntryDay& day)
{
    constexpr Milliseconds swept { 100 };
    Milliseconds longest {};
    for (Milliseconds offset {}; offset < swept; offset = offset + tick) {
        EntryDay each = day;
        each.pauseAt = firstBreak + offset;
        each.breakAt = each.pauseAt + day.round + tick;
        longest = std::max(longest, endAfterBreak(each));
    }
    return longest;
}

void assertEndsInTime(const EntryDay& day, Milliseconds longest)
{
    cr_expect(longest < resubmitAfter, "rounds of %lld ms, a pause of %lld ms: the run may go on until %lld ms after its caller's break",
        static_cast<long long>(day.round.count), static_cast<long long>(day.pause.count), static_cast<long long>(longest.count));
}

} // namespace

Test(EntryNews, noRunOutlivesACallerWhoseBreakASlowEntryReadsAfterLaterFrames)
{
    for (const std::int64_t round : { 1, 10, 50, 100, 200, 300 }) {
        const EntryDay day { .round = { round } };
        assertEndsInTime(day, longestAfterBreak(day));
    }
}

Test(EntryNews, noRunOutlivesACallerWhoLeftWhileTheEntryWasPaused)
{
    for (const std::int64_t pause : { 100, 300, 600, 1'000 }) {
        const EntryDay day { .round = { 5 }, .pause = { pause }, .statePeriod = { 2 } };
        assertEndsInTime(day, longestAfterPause(day));
    }
}

// The entry can't know of a break before its machine does, so its news is late by as much.
Test(EntryNews, aRunOutlivesABreakThatReachesTheEntryLateByNoMoreThanThat)
{
    for (const std::int64_t round : { 1, 100 }) {
        for (const std::int64_t delay : { 60, 200 }) {
            const EntryDay day { .round = { round }, .newsDelay = { delay } };
            const Milliseconds longest = longestAfterBreak(day);
            cr_assert(longest <= maxAbandonedRunTime(day.options) + day.newsDelay, "news %lld ms late: the run may go on until %lld ms after its caller's break",
                static_cast<long long>(delay), static_cast<long long>(longest.count));
        }
    }
}

Test(EntryNews, theRunsOfAnEntryWithRoundsOf300MillisecondsGoOn)
{
    for (const std::int64_t round : { 1, 10, 50, 100, 200, 300 }) {
        const Outcome outcome = EntryNews({ .round = { round } }).play();
        cr_assert(!outcome.wasStopped, "rounds of %lld ms: an echo of %lld ms had the run stopped", static_cast<long long>(round),
            static_cast<long long>(outcome.oldestEcho.count));
    }
}

#include "policy/RunTable.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>

using namespace oleanderport;

namespace {

constexpr const char* owner = "entry/1";
constexpr const char* otherOwner = "other/1";
// How long callers on the users' platform wait before they submit a job again.
constexpr Milliseconds resubmitAfter { 1'300 };
constexpr Milliseconds minionStopTime { 50 };
constexpr Milliseconds period { 10 };
constexpr Milliseconds listTimeout { 100 };

// A table with one run each of two entries. The minion lists both as running and leaves stop requests unanswered.
class TwoOwners {
public:
    explicit TwoOwners(Milliseconds runTimeOfAbandoned = { 60'000 })
    {
        m_runs.permit({ 1'000'000 }, true);
        m_runs.reported(report(), m_now);
        m_runs.act(m_now);
        list({});
        abandoned = startFor(owner, "a", runTimeOfAbandoned);
        kept = startFor(otherOwner, "b", { 60'000 });
    }

    RunName startFor(const char* entry, const char* job, Milliseconds runTime)
    {
        if (!m_isOpen[entry == owner ? 0 : 1]) {
            m_runs.opened({ .entry = entry }, m_now);
            m_isOpen[entry == owner ? 0 : 1] = true;
        }
        m_runs.received(entry,
            { .echo = m_now,
                .requests = { { .job = job, .tasks = { { .index = 0, .run = 1 } }, .needs = { .cpuMillis = 100, .memoryMb = 1, .runTime = runTime }, .endBy = { 1'000'000 } } } },
            m_now);
        const auto starts = m_runs.act(m_now).starts;
        cr_assert(starts.size() == 1, "expected one start of job %s, got %zu", job, starts.size());
        m_runs.startAnswered(starts[0].run, StartAnswer::Started, m_now);
        return starts[0].run;
    }

    void receive(const char* entry, EntryFrame frame) { m_runs.received(entry, frame, m_now); }
    void reopen(const char* entry, std::vector<RunName> outstanding)
    {
        m_runs.opened({ .entry = entry, .outstanding = std::move(outstanding) }, m_now);
    }
    void close(const char* entry) { m_runs.closed(entry); }

    void list(std::vector<ListedRun> running) { m_runs.listed({ .born = { 7 }, .running = std::move(running) }, {}, m_now, m_now); }

    // Lets time pass. The second entry is heard all along.
    void pass(Milliseconds span)
    {
        for (const Milliseconds until = m_now + span; m_now < until;) {
            m_now = m_now + period;
            m_runs.received(otherOwner, { .echo = m_now }, m_now);
            if (!m_failures.empty() && m_failures.front() <= m_now) {
                m_failures.pop_front();
                m_runs.listFailed(m_now);
            }
            const RunActions actions = m_runs.act(m_now);
            for (const auto& item : actions.starts)
                m_latestLease = std::max(m_latestLease, item.leaseEnd);
            if (actions.list && actions.list->leaseEnd) {
                m_latestLease = std::max(m_latestLease, *actions.list->leaseEnd);
                m_lastLeaseSentAt = m_now;
                ++renewals;
            }
            if (actions.list && m_losesAnswers)
                m_failures.push_back(m_now + listTimeout);
            else if (actions.list)
                list({ { .run = abandoned, .percent = 50 }, { .run = kept, .percent = 50 } });
        }
    }

    // When a minion whose clock is 2% slow has ended everything, if it gets no further call.
    Milliseconds latestEnd() const { return m_latestLease + Milliseconds { 16 + 20 } + minionStopTime; }
    Milliseconds now() const { return m_now; }
    // Lists get no answer from now on.
    void loseAnswers() { m_losesAnswers = true; }
    Milliseconds lastLeaseSentAt() const { return m_lastLeaseSentAt; }

    RunName abandoned;
    RunName kept;
    int renewals { 0 };

private:
    static MinionReport report()
    {
        return { .born = { 7 }, .sequence = 1, .service = "service", .capacity = { .cpuMillis = 4'000, .memoryMb = 100 } };
    }

    Milliseconds m_now { 50'000 };
    RunTable m_runs { { .incarnation = "sidecar/1", .dataCentre = "dc" }, m_now };
    bool m_isOpen[2] { false, false };
    Milliseconds m_latestLease {};
    Milliseconds m_lastLeaseSentAt {};
    bool m_losesAnswers { false };
    std::deque<Milliseconds> m_failures;
};

void assertEndsBefore(const TwoOwners& table, Milliseconds leftAt)
{
    cr_assert(table.latestEnd() < leftAt + resubmitAfter, "the run may go on until %lld ms after its caller left",
        static_cast<long long>((table.latestEnd() - leftAt).count));
    cr_assert(table.renewals > 0, "expected the minion's lease to be renewed for the other entry");
}

} // namespace

Test(AbandonedRuns, noLeaseOutlivesACallerWhoseLeavingIsHeardOfLate)
{
    TwoOwners table;
    const Milliseconds leftAt = table.now();
    table.pass({ 500 });
    table.receive(owner, { .echo = leftAt, .stops = { table.abandoned } });
    for (int i = 0; i < 30; ++i) {
        table.receive(owner, { .echo = table.now() });
        table.pass({ 100 });
    }
    assertEndsBefore(table, leftAt);
}

Test(AbandonedRuns, noLeaseOutlivesACallerThatLeftWhileTheStreamOfItsEntryWasDown)
{
    TwoOwners table;
    const Milliseconds leftAt = table.now();
    table.close(owner);
    table.pass({ 500 });
    table.reopen(owner, {});
    for (int i = 0; i < 30; ++i) {
        table.receive(owner, { .echo = table.now() });
        table.pass({ 100 });
    }
    assertEndsBefore(table, leftAt);
}

Test(AbandonedRuns, noLeaseIsProlongedWhenASilentEntryIsHeardAgain)
{
    TwoOwners table;
    const Milliseconds silentSince = table.now();
    table.pass({ 800 });
    for (int i = 0; i < 30; ++i) {
        table.receive(owner, { .echo = table.now() });
        table.pass({ 100 });
    }
    assertEndsBefore(table, silentSince);
}

Test(AbandonedRuns, noLeaseOutlivesACallerWhoseLeavingIsHeardOfTogetherWithLaterEchoes)
{
    TwoOwners table;
    table.receive(owner, { .echo = table.now() });
    const Milliseconds leftAt = table.now();
    table.pass({ 300 });
    table.receive(owner, { .echo = leftAt + Milliseconds { 50 }, .stops = { table.abandoned } });
    table.receive(owner, { .echo = table.now() });
    table.pass({ 3'000 });
    assertEndsBefore(table, leftAt);
}

Test(AbandonedRuns, noLeaseIsProlongedWhenTheSilentEntryOfAStuckRunIsHeardAgain)
{
    TwoOwners table({ 100 });
    const Milliseconds silentSince = table.now();
    table.pass({ 1'000 });
    for (int i = 0; i < 30; ++i) {
        table.receive(owner, { .echo = table.now() });
        table.pass({ 100 });
    }
    assertEndsBefore(table, silentSince);
}

Test(AbandonedRuns, noLeaseOfAMinionWhoseAnswersAreLostOutlivesACallerByItsFormerClock)
{
    TwoOwners table;
    table.pass({ 500 });
    const Milliseconds answeredAt = table.now();
    table.loseAnswers();
    for (int i = 0; i < 30; ++i) {
        table.receive(owner, { .echo = table.now() });
        table.pass({ 100 });
    }
    constexpr Milliseconds longestLease { 1'000 };
    constexpr Milliseconds drift { 21 + 20 };
    const Milliseconds end = table.lastLeaseSentAt() + longestLease + drift + minionStopTime;
    cr_assert(end < answeredAt + resubmitAfter, "another incarnation may run on until %lld ms after the last answer of the former one",
        static_cast<long long>((end - answeredAt).count));
}

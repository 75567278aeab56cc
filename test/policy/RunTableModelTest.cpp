#include "policy/RunTable.h"

#include "support/RandomDraw.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <tuple>

// Random schedules of one run table, one entry and a minion whose answers are late, lost or reordered, under a virtual
// clock. The minion behaves as the platform's documentation allows: a call without an answer may be carried out later.

using namespace oleanderport;

namespace {

constexpr Milliseconds begin { 50'000 };
constexpr Milliseconds end { 62'000 };
constexpr Milliseconds requestTimeout { 35 };
constexpr Milliseconds listSlack { 40 };
constexpr Milliseconds stopGrace { 50 };
constexpr const char* entryIncarnation = "entry/1";
// Calls that arrive while the minion is down are lost.
constexpr Milliseconds downTime { 1'000 };
constexpr std::uint64_t seeds = 300;

using Task = std::pair<std::string, std::uint32_t>;

Task taskOf(const RunName& run) { return { run.job, run.index }; }

// Events ordered by time, then by insertion.
class Agenda {
public:
    void at(Milliseconds time, std::function<void()> event) { m_events.emplace(std::pair(time, ++m_last), std::move(event)); }

    void runUntil(Milliseconds now)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= now) {
            const auto event = m_events.extract(m_events.begin());
            event.mapped()();
        }
    }

private:
    std::map<std::pair<Milliseconds, std::uint64_t>, std::function<void()>> m_events;
    std::uint64_t m_last { 0 };
};

// Models how a minion starts and ends runs according to the platform's documentation.
class Minion {
public:
    std::function<void(const RunName&)> onStart;

    // The minion's clock is zero when an incarnation starts. `deadline` is a time on it.
    Milliseconds clock(Milliseconds now) const { return now - m_bornAt; }
    Milliseconds born() const { return { 7 + m_bornAt.count }; }

    // The next incarnation has the same id and no state of the previous one.
    void restart(Milliseconds now)
    {
        m_running.clear();
        m_lastRun.clear();
        m_ended.clear();
        m_lastEnd = 0;
        m_leaseEnd = {};
        m_bornAt = now;
    }

    StartAnswer start(const RunName& run, Milliseconds deadline, Milliseconds now)
    {
        expire(now);
        if (deadline <= clock(now))
            return StartAnswer::Refused;
        m_leaseEnd = std::max(m_leaseEnd, now + std::min(deadline - clock(now), longestLease));
        const auto found = m_running.find(taskOf(run));
        if (found != m_running.end() && found->second.run == run.run)
            return StartAnswer::Started;
        if (found != m_running.end() || run.run <= m_lastRun[taskOf(run)])
            return StartAnswer::Superseded;
        if (m_running.size() >= room)
            return StartAnswer::NoRoom;
        m_running[taskOf(run)] = run;
        onStart(run);
        return StartAnswer::Started;
    }

    // Returns true when there is a run to end within the grace period.
    bool stop(const RunName& run, Milliseconds now)
    {
        expire(now);
        auto& last = m_lastRun[taskOf(run)];
        last = std::max(last, run.run);
        const auto found = m_running.find(taskOf(run));
        return found != m_running.end() && found->second.run <= run.run;
    }

    void finish(const RunName& run, ListedEndKind how)
    {
        const auto found = m_running.find(taskOf(run));
        if (found == m_running.end() || found->second.run != run.run)
            return;
        m_ended.push_back({ .number = ++m_lastEnd, .run = found->second, .kind = how });
        auto& last = m_lastRun[taskOf(run)];
        last = std::max(last, run.run);
        m_running.erase(found);
    }

    RunList list(const ListRuns& asked, Milliseconds now)
    {
        expire(now);
        if (asked.leaseEnd)
            m_leaseEnd = std::max(m_leaseEnd, *asked.leaseEnd);
        std::erase_if(m_ended, [&](const ListedEnd& each) { return each.number <= asked.endsSeen; });
        RunList list { .born = born(), .madeAt = clock(now), .running = {}, .ended = m_ended };
        list.isEndedWhole = m_ended.size() <= mostEndsListed;
        list.ended.resize(std::min(list.ended.size(), mostEndsListed));
        for (const auto& [task, run] : m_running)
            list.running.push_back({ .run = run, .percent = 50 });
        return list;
    }

private:
    static constexpr std::size_t room = 6;
    static constexpr Milliseconds longestLease { 1'000 };
    // Low, so that many lists are incomplete.
    static constexpr std::size_t mostEndsListed = 2;

    void expire(Milliseconds now)
    {
        while (now > m_leaseEnd && !m_running.empty())
            finish(RunName(m_running.begin()->second), ListedEndKind::Stopped);
    }

    std::map<Task, RunName> m_running;
    std::map<Task, std::uint64_t> m_lastRun;
    std::vector<ListedEnd> m_ended;
    std::uint64_t m_lastEnd { 0 };
    Milliseconds m_leaseEnd {};
    Milliseconds m_bornAt {};
};

class Model {
public:
    explicit Model(std::uint64_t seed, bool minionRestarts = false)
        : m_draw(seed)
        , m_minionRestarts(minionRestarts)
        , m_slowOneIn(2 + m_draw.below<std::int64_t>(20))
    {
        m_minion.onStart = [this](const RunName& run) {
            const auto request = m_requests.at(run);
            m_started.insert(request);
            if (m_reportedNotStarted.contains(request))
                m_violations.push_back(run);
            m_agenda.at(m_now + m_draw.between({ 20 }, { 400 }),
                [this, run] { m_minion.finish(run, m_draw.oneIn(10) ? ListedEndKind::Failed : ListedEndKind::Done); });
        };
    }

    // Runs the model and returns the runs that were reported as not started but did start.
    std::vector<RunName> violations()
    {
        m_table.permit({ 1'000'000 }, true);
        report();
        m_table.opened({ .entry = entryIncarnation }, m_now);
        for (; m_now < end; m_now = m_now + Milliseconds { 1 }) {
            m_agenda.runUntil(m_now);
            if (m_draw.oneIn(10))
                sendFrame();
            if (m_draw.oneIn(2'000))
                reconnect();
            if (m_minionRestarts && m_draw.oneIn(4'000))
                restartMinion();
            perform(m_table.act(m_now));
        }
        return m_violations;
    }

private:
    // Number of a request. It is the run's submission too, since an entry never reuses a name.
    using RequestNumber = std::uint64_t;

    void restartMinion()
    {
        if (m_now < m_downUntil)
            return;
        m_downUntil = m_now + downTime;
        m_minion.restart(m_downUntil);
        m_agenda.at(m_downUntil, [this] { report(); });
    }

    void report()
    {
        m_reported = m_minion.born();
        m_table.reported({ .born = m_minion.born(), .sequence = 1, .service = "service", .capacity = { .cpuMillis = 8'000, .memoryMb = 100 } }, m_now);
    }

    void sendFrame()
    {
        if (!m_connected)
            return;
        EntryFrame frame { .echo = m_draw.oneIn(40) ? m_now - Milliseconds { 800 } : m_now, .endsSeen = m_endsSeen };
        if (m_draw.oneIn(2))
            frame.requests.push_back(request());
        for (const auto& run : m_outstanding) {
            if (m_draw.oneIn(60))
                (m_draw.oneIn(2) ? frame.stops : frame.recalls).push_back(run);
        }
        m_table.received(entryIncarnation, frame, m_now);
    }

    RunRequest request()
    {
        RunRequest request { .job = std::to_string(m_draw.below(20)), .submission = ++m_lastRequest, .payload = std::to_string(m_lastRequest), .needs = { .cpuMillis = 1'000, .memoryMb = 1, .runTime = { 200 } }, .endBy = m_now + m_draw.between({ 20 }, { 900 }) };
        const std::uint32_t tasks = 1 + m_draw.below(2U);
        for (std::uint32_t index = 0; index < tasks; ++index) {
            const bool isUnderWay = std::any_of(m_outstanding.begin(), m_outstanding.end(), [&](const RunName& run) { return taskOf(run) == Task { request.job, index }; });
            if (isUnderWay)
                continue;
            const RunName run { .job = request.job, .index = index, .run = 1, .submission = request.submission };
            m_outstanding.insert(run);
            request.tasks.push_back({ .index = index, .run = run.run });
        }
        return request;
    }

    // An entry that lost its stream counts its outstanding runs as lost after a while and may request them again.
    void reconnect()
    {
        m_table.closed(entryIncarnation);
        m_connected = false;
        m_agenda.at(m_now + m_draw.between({ 1 }, { 2'500 }), [this] {
            if (m_draw.oneIn(2))
                m_outstanding.clear();
            EntryFrame first { .entry = entryIncarnation, .endsSeen = m_endsSeen };
            for (const auto& run : m_outstanding)
                first.outstanding.push_back(run);
            m_table.opened(first, m_now);
            m_connected = true;
        });
    }

    void perform(const RunActions& actions)
    {
        for (const auto& item : actions.starts)
            start(item);
        for (const auto& item : actions.stops)
            stop(item.run);
        if (actions.list)
            list(*actions.list);
        for (const auto& item : actions.frames) {
            for (const auto& ended : item.frame.ends)
                takeEnd(ended);
        }
    }

    void takeEnd(const RunEnd& ended)
    {
        if (!m_connected || ended.number <= m_endsSeen)
            return;
        m_endsSeen = ended.number;
        const auto found = m_outstanding.find(ended.run);
        if (found == m_outstanding.end())
            return;
        if (ended.kind == RunEndKind::NotStarted) {
            m_reportedNotStarted.insert({ taskOf(ended.run), ended.run.submission });
            if (m_started.contains({ taskOf(ended.run), ended.run.submission }))
                m_violations.push_back(ended.run);
        }
        m_outstanding.erase(found);
    }

    void start(const StartRun& item)
    {
        // The payload identifies the request, since one that the entry has abandoned may still be carried out.
        m_requests[item.run] = { taskOf(item.run), std::stoull(item.payload) };
        const Milliseconds deadline = m_minion.clock(m_now) + (item.leaseEnd - m_now);
        call(
            requestTimeout, [this, item, deadline] { return m_minion.start(item.run, deadline, m_now); },
            [this, item](const std::optional<StartAnswer>& answer) { m_table.startAnswered(item.run, answer.value_or(StartAnswer::Unknown), m_now); });
    }

    void stop(const RunName& run)
    {
        call(
            requestTimeout,
            [this, run] {
                if (m_minion.stop(run, m_now))
                    m_agenda.at(m_now + m_draw.between({ 0 }, stopGrace), [this, run] { m_minion.finish(run, ListedEndKind::Stopped); });
                return true;
            },
            [this, run](const std::optional<bool>& answer) { m_table.stopAnswered(run, answer.has_value(), m_now); });
    }

    void list(const ListRuns& asked)
    {
        call(
            asked.wait + listSlack, [this, asked] { return m_minion.list(asked, m_now); },
            [this, asked, askedAt = m_now](const std::optional<RunList>& answer) {
                if (answer)
                    m_table.listed(*answer, asked, askedAt, m_now);
                else
                    m_table.listFailed(m_now);
            });
    }

    // Carries out a call after the delay to the minion. The answer arrives after the delay back, or the call times out.
    // The connections end with the report of a new incarnation, which may still carry out calls sent on them.
    template <typename Perform, typename Answer>
    void call(Milliseconds timeout, Perform carryOut, Answer toTable)
    {
        const auto answered = [this, toTable, incarnation = m_reported](const auto& answer) {
            if (incarnation == m_reported)
                toTable(answer);
        };
        const Milliseconds giveUpAt = m_now + timeout;
        const Milliseconds doneAt = m_now + networkDelay();
        const Milliseconds backAt = doneAt + networkDelay();
        const bool inTime = backAt <= giveUpAt;
        if (!inTime)
            m_agenda.at(giveUpAt, [answered] { answered(std::nullopt); });
        if (m_draw.oneIn(20) && !inTime)
            return;
        m_agenda.at(doneAt, [this, carryOut, answered, inTime, backAt, giveUpAt] {
            if (m_now < m_downUntil) {
                if (inTime)
                    m_agenda.at(giveUpAt, [answered] { answered(std::nullopt); });
                return;
            }
            const auto result = carryOut();
            if (inTime)
                m_agenda.at(backAt, [answered, result] { answered(result); });
        });
    }

    Milliseconds networkDelay()
    {
        if (m_draw.oneIn(m_slowOneIn * 8))
            return m_draw.between({ 2'000 }, { 6'000 });
        return m_draw.oneIn(m_slowOneIn) ? m_draw.between({ 10 }, { 300 }) : m_draw.between({ 0 }, { 4 });
    }

    RandomDraw m_draw;
    bool m_minionRestarts { false };
    Milliseconds m_downUntil {};
    // Incarnation last reported to the table.
    Milliseconds m_reported {};
    std::int64_t m_slowOneIn;
    Milliseconds m_now { begin };
    Agenda m_agenda;
    RunTable m_table { { .incarnation = "sidecar/1", .dataCentre = "dc" }, begin };
    Minion m_minion;
    bool m_connected { true };
    std::uint64_t m_endsSeen { 0 };
    RequestNumber m_lastRequest { 0 };
    std::set<RunName> m_outstanding;
    using TaskOfRequest = std::pair<Task, RequestNumber>;
    // Keyed by the run's name at the minion.
    std::map<RunName, TaskOfRequest> m_requests;
    std::set<TaskOfRequest> m_started;
    std::set<TaskOfRequest> m_reportedNotStarted;
    std::vector<RunName> m_violations;
};

} // namespace

Test(RunTableModel, noRunThatWasReportedAsNotStartedEverStarts)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto violations = Model(seed).violations();
        cr_expect(violations.empty(), "seed %llu: %zu runs reported as not started did start, the first of job %s", static_cast<unsigned long long>(seed),
            violations.size(), violations.empty() ? "" : violations[0].job.c_str());
    }
}

Test(RunTableModel, noRunThatWasReportedAsNotStartedStartsInTheNextIncarnationOfTheMinion)
{
    std::size_t failedSeeds = 0;
    std::uint64_t first = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        if (Model(seed, true).violations().empty())
            continue;
        if (failedSeeds++ == 0)
            first = seed;
    }
    cr_assert(failedSeeds == 0, "%zu of %llu seeds with violations, the first %llu", failedSeeds, static_cast<unsigned long long>(seeds),
        static_cast<unsigned long long>(first));
}

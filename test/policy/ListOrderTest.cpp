#include "policy/RunTable.h"

#include "support/Agenda.h"
#include "support/RandomDraw.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Guards against lists that overtake each other: of several open lists, one asked for later may be made earlier and arrive later.

using namespace oleanderport;

namespace {

constexpr Milliseconds beginning { 50'000 };
constexpr Milliseconds ending { 56'000 };
constexpr Milliseconds callTimeout { 35 };
constexpr Milliseconds listSlack { 40 };
constexpr Milliseconds stopGrace { 50 };
constexpr Milliseconds born { 7 };
constexpr const char* entryIncarnation = "entry/1";
constexpr std::uint64_t seeds = 300;
constexpr std::size_t room = 6;

MinionReport minionReport(Milliseconds startTime = born)
{
    return { .born = startTime, .sequence = 1, .service = "service", .capacity = { .cpuMillis = 8'000, .memoryMb = 100 } };
}

// What a play came to.
struct Counts {
    std::uint64_t runs { 0 };
    // Lists that showed an earlier state than one asked for before and taken before.
    std::uint64_t overtaken { 0 };
    // Runs whose end was reported while they ran, or before they started.
    std::uint64_t endedWhileRunning { 0 };
    std::uint64_t startedAfterEnd { 0 };
    // Runs taken for ones without an entry. There are none.
    std::uint64_t withoutEntry { 0 };
    std::uint64_t neverEnded { 0 };
};

// One table, one entry, and a minion that carries calls out late and answers late; every job is one run.
class Model {
public:
    explicit Model(std::uint64_t seed)
        : m_draw(seed)
        , m_unansweredOneIn(2 + m_draw.below<std::int64_t>(30))
        , m_slowest(m_draw.between({ 5 }, { 80 }))
    {
    }

    Counts play()
    {
        m_table.permit({ 1'000'000 }, true);
        m_table.reported(minionReport(), m_now);
        m_table.opened({ .entry = entryIncarnation }, m_now);
        for (; m_now < ending || (!m_begun.empty() && m_now < ending + Milliseconds { 5'000 }); m_now = m_now + Milliseconds { 1 }) {
            m_agenda.runUntil(m_now);
            answerLists();
            if (m_draw.oneIn(10))
                sendFrame();
            perform(m_table.act(m_now));
        }
        m_counts.neverEnded = m_begun.size();
        return m_counts;
    }

private:
    struct WaitingList {
        ListRuns asked;
        Milliseconds until {};
        std::function<void(const RunList&, Milliseconds madeAt)> reply;
    };

    void sendFrame()
    {
        EntryFrame frame { .echo = m_now, .endsSeen = m_endsSeen };
        if (m_now < ending && m_begun.size() < room && m_draw.oneIn(2)) {
            const std::string job = std::to_string(++m_lastJob);
            m_begun[job] = { .job = job, .run = 1 };
            frame.requests.push_back({ .job = job, .tasks = { { .index = 0, .run = 1 } }, .needs = { .cpuMillis = 1'000, .memoryMb = 1, .runTime = { 5'000 } }, .endBy = { 1'000'000 } });
        }
        for (const auto& [job, run] : m_begun) {
            if (m_draw.oneIn(60))
                frame.stops.push_back(run);
        }
        m_table.received(entryIncarnation, frame, m_now);
    }

    void perform(const RunActions& actions)
    {
        for (const auto& item : actions.starts)
            call<StartAnswer>([this, item] { return start(item.run); }, [this, item](std::optional<StartAnswer> answer) { m_table.startAnswered(item.run, answer.value_or(StartAnswer::Unknown), m_now); });
        for (const auto& item : actions.stops)
            call<bool>([this, item] { return stop(item.run); }, [this, item](std::optional<bool> answer) { m_table.stopAnswered(item.run, answer.has_value(), m_now); });
        if (actions.list)
            list(*actions.list);
        m_counts.withoutEntry += actions.diagnostics.newWithoutEntry;
        for (const auto& item : actions.frames) {
            for (const auto& ended : item.frame.ends)
                takeEnd(ended);
        }
    }

    void takeEnd(const RunEnd& ended)
    {
        m_endsSeen = std::max(m_endsSeen, ended.number);
        if (m_begun.erase(ended.run.job) == 0)
            return;
        m_reported.insert(ended.run.job);
        m_counts.endedWhileRunning += m_running.count(ended.run.job);
    }

    // The minion

    StartAnswer start(const RunName& run)
    {
        if (m_running.contains(run.job))
            return StartAnswer::Started;
        if (run.run <= m_lastRun[run.job])
            return StartAnswer::Superseded;
        m_running[run.job] = run;
        ++m_counts.runs;
        m_counts.startedAfterEnd += m_reported.count(run.job);
        m_agenda.at(m_now + m_draw.between({ 5 }, { 300 }), [this, run] { finish(run, ListedEndKind::Done); });
        return StartAnswer::Started;
    }

    bool stop(const RunName& run)
    {
        m_lastRun[run.job] = std::max(m_lastRun[run.job], run.run);
        m_agenda.at(m_now + m_draw.between({ 0 }, stopGrace), [this, run] { finish(run, ListedEndKind::Stopped); });
        return true;
    }

    void finish(const RunName& run, ListedEndKind how)
    {
        const auto found = m_running.find(run.job);
        if (found == m_running.end() || found->second.run > run.run)
            return;
        m_ended.push_back({ .number = ++m_lastEnd, .run = found->second, .kind = how });
        m_lastRun[run.job] = std::max(m_lastRun[run.job], found->second.run);
        m_running.erase(found);
    }

    void list(const ListRuns& asked)
    {
        const Milliseconds giveUpAt = m_now + asked.wait + listSlack;
        const bool isAnswered = !m_draw.oneIn(m_unansweredOneIn);
        const auto isOpen = std::make_shared<bool>(true);
        m_agenda.at(giveUpAt, [this, isOpen] {
            if (std::exchange(*isOpen, false))
                m_table.listFailed(m_now);
        });
        const auto reply = [this, asked, askedAt = m_now, isOpen, isAnswered](const RunList& list, Milliseconds madeAt) {
            if (!isAnswered || !std::exchange(*isOpen, false))
                return;
            if (askedAt >= m_askedOfTaken && madeAt < m_madeOfTaken)
                ++m_counts.overtaken;
            m_askedOfTaken = std::max(m_askedOfTaken, askedAt);
            m_madeOfTaken = std::max(m_madeOfTaken, madeAt);
            m_table.listed(list, asked, askedAt, m_now);
        };
        m_agenda.at(m_now + delay(), [this, asked, reply] {
            std::erase_if(m_ended, [&](const ListedEnd& each) { return each.number <= asked.endsSeen; });
            m_waiting.push_back({ .asked = asked, .until = m_now + asked.wait, .reply = reply });
        });
    }

    // Answers each list once a run has ended that the table has not seen, at the latest when its wait is over.
    void answerLists()
    {
        std::erase_if(m_waiting, [this](const WaitingList& each) {
            const bool hasNews = !m_ended.empty() && m_ended.back().number > each.asked.endsSeen;
            if (m_now < each.until && !hasNews)
                return false;
            RunList list { .born = born, .madeAt = m_now, .running = {}, .ended = m_ended };
            for (const auto& [job, run] : m_running)
                list.running.push_back({ .run = run, .percent = 50 });
            m_agenda.at(m_now + delay(), [reply = each.reply, list, madeAt = m_now] { reply(list, madeAt); });
            return true;
        });
    }

    template <typename Answer>
    void call(std::function<Answer()> carryOut, std::function<void(std::optional<Answer>)> toTable)
    {
        const Milliseconds giveUpAt = m_now + callTimeout;
        const Milliseconds doneAt = m_now + delay();
        const Milliseconds backAt = doneAt + delay();
        const bool isAnswered = backAt <= giveUpAt && !m_draw.oneIn(m_unansweredOneIn);
        if (!isAnswered)
            m_agenda.at(giveUpAt, [toTable] { toTable(std::nullopt); });
        m_agenda.at(doneAt, [this, carryOut, toTable, isAnswered, backAt] {
            const Answer answer = carryOut();
            if (isAnswered)
                m_agenda.at(backAt, [toTable, answer] { toTable(answer); });
        });
    }

    Milliseconds delay() { return m_draw.oneIn(3) ? m_draw.between({ 0 }, m_slowest) : m_draw.between({ 0 }, { 3 }); }

    RandomDraw m_draw;
    std::int64_t m_unansweredOneIn;
    Milliseconds m_slowest;
    Milliseconds m_now { beginning };
    Agenda m_agenda;
    RunTable m_table { { .incarnation = "sidecar/1", .dataCentre = "dc" }, beginning };
    Counts m_counts;
    std::uint64_t m_lastJob { 0 };
    std::uint64_t m_endsSeen { 0 };
    std::map<std::string, RunName> m_begun;
    std::set<std::string> m_reported;
    std::map<std::string, RunName> m_running;
    std::map<std::string, std::uint64_t> m_lastRun;
    std::vector<ListedEnd> m_ended;
    std::uint64_t m_lastEnd { 0 };
    std::vector<WaitingList> m_waiting;
    // Of the lists taken, the latest time of each.
    Milliseconds m_askedOfTaken {};
    Milliseconds m_madeOfTaken {};
};

// A table with a run that its minion has started.
struct Table {
    RunTable runs { { .incarnation = "sidecar/1", .dataCentre = "dc" }, beginning };
    Milliseconds now { beginning };
    RunName run;

    Table()
    {
        runs.permit({ 1'000'000 }, true);
        runs.reported(minionReport(), now);
        runs.act(now);
        runs.listed({ .born = born }, {}, now, now);
        runs.opened({ .entry = entryIncarnation }, now);
        runs.received(entryIncarnation,
            { .echo = now, .requests = { { .job = "a", .tasks = { { .index = 0, .run = 1 } }, .needs = { .cpuMillis = 1'000, .memoryMb = 1, .runTime = { 5'000 } }, .endBy = { 1'000'000 } } } },
            now);
        const auto actions = runs.act(now);
        cr_assert(actions.starts.size() == 1);
        run = actions.starts[0].run;
        runs.startAnswered(run, StartAnswer::Started, now);
        after({ 30 });
    }

    RunActions after(Milliseconds span)
    {
        now = now + span;
        return runs.act(now);
    }
};

} // namespace

Test(ListOrder, noRunIsConcludedWhileItRunsOrTakenForOneWithoutEntry)
{
    Counts sum;
    std::vector<std::uint64_t> failed;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Counts counts = Model(seed).play();
        sum.runs += counts.runs;
        sum.overtaken += counts.overtaken;
        sum.endedWhileRunning += counts.endedWhileRunning;
        sum.startedAfterEnd += counts.startedAfterEnd;
        sum.withoutEntry += counts.withoutEntry;
        sum.neverEnded += counts.neverEnded;
        if (counts.endedWhileRunning + counts.startedAfterEnd + counts.withoutEntry + counts.neverEnded > 0)
            failed.push_back(seed);
    }
    const std::string text = fmt::format("{} of {} seeds broken, {} runs, {} lists overtaken: {} ended while running, {} started after their end, {} without entry, {} never ended",
        failed.size(), seeds, sum.runs, sum.overtaken, sum.endedWhileRunning, sum.startedAfterEnd, sum.withoutEntry, sum.neverEnded);
    cr_expect(sum.runs > seeds * 50 && sum.overtaken > seeds, "the model shows too little: %s", text.c_str());
    cr_assert(failed.empty(), "%s", text.c_str());
}

Test(ListOrder, aListMadeBeforeARunEndedMakesItNoRunWithoutEntry)
{
    Table table;
    const Milliseconds askedFirst = table.now;
    const Milliseconds askedLater = table.now + Milliseconds { 30 };
    table.after({ 40 });
    table.runs.listed({ .born = born, .madeAt = Milliseconds { 20 }, .ended = { { .number = 1, .run = table.run, .kind = ListedEndKind::Done } } }, {}, askedFirst, table.now);
    table.after({ 5 });
    table.runs.listed({ .born = born, .madeAt = Milliseconds { 19 }, .running = { { .run = table.run } } }, {}, askedLater, table.now);
    const auto actions = table.after({ 1 });
    cr_assert(actions.diagnostics.newWithoutEntry == 0 && actions.stops.empty(), "%zu stops", actions.stops.size());
}

Test(ListOrder, aListMadeEarlierDoesNotShowThatARunWithoutEntryIsGone)
{
    Table table;
    const ListedRun stray { .run = { .job = "z", .run = 4 } };
    const Milliseconds askedFirst = table.now;
    const Milliseconds askedLater = table.now + Milliseconds { 30 };
    table.after({ 40 });
    table.runs.listed({ .born = born, .madeAt = Milliseconds { 20 }, .running = { { .run = table.run }, stray } }, {}, askedFirst, table.now);
    table.after({ 5 });
    table.runs.listed({ .born = born, .madeAt = Milliseconds { 19 }, .running = { { .run = table.run } } }, {}, askedLater, table.now);
    cr_assert(table.runs.runsWithoutEntry() == 1);
}

Test(ListOrder, theFirstListOfAnotherIncarnationCountsWhateverItsClockShows)
{
    Table table;
    table.after({ 10 });
    table.runs.listed({ .born = born, .madeAt = Milliseconds { 900'000 }, .running = { { .run = table.run } } }, {}, table.now, table.now);
    const Milliseconds nextBorn { 8 };
    table.after({ 10 });
    table.runs.reported(minionReport(nextBorn), table.now);
    table.after({ 10 });
    table.runs.stopAnswered(table.run, true, table.now);
    const Milliseconds askedAt = table.now + Milliseconds { 5 };
    table.after({ 10 });
    table.runs.listed({ .born = nextBorn, .madeAt = Milliseconds { 3 } }, {}, askedAt, table.now);
    table.after({ 1 });
    cr_assert(table.runs.liveRuns() == 0 && table.runs.isReady());
}

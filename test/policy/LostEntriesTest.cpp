#include "policy/JobDispatcher.h"
#include "policy/RunTable.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace oleanderport;

// Guards against a second run of a task whose caller submits the job again, without waiting, after its entry was lost.

namespace {

constexpr Milliseconds beginning { 50'000 };
constexpr const char* owner = "entry-1/1";
constexpr const char* other = "entry-2/1";

MinionReport minionReport()
{
    return { .name = "minion", .born = { 7 }, .sequence = 1, .service = "service", .capacity = { .cpuMillis = 4'000, .memoryMb = 100 } };
}

RunName nameOf(std::uint32_t index) { return { .job = "job", .index = index, .run = 1 }; }

// The minion of a sidecar with streams to two entries. The first one owns all runs.
class Table {
public:
    Table()
    {
        m_runs.permit({ 1'000'000 }, true);
        m_runs.reported(minionReport(), now);
        m_runs.act(now);
        list({});
        m_runs.opened({ .entry = owner }, now);
        m_runs.opened({ .entry = other }, now);
        m_runs.act(now);
    }

    void request(std::uint32_t index, std::int64_t cpuMillis = 100)
    {
        m_runs.received(owner,
            { .echo = now, .requests = { { .job = "job", .tasks = { { .index = index, .run = 1 } }, .needs = { .cpuMillis = cpuMillis, .memoryMb = 1, .runTime = { 60'000 } }, .endBy = { 1'000'000 } } } }, now);
    }

    // Starts a task that the minion confirms and lists.
    void start(std::uint32_t index)
    {
        request(index);
        act();
        m_runs.startAnswered(nameOf(index), StartAnswer::Started, now);
        m_running.push_back({ .run = nameOf(index), .percent = 10 });
        act();
    }

    void end(std::uint32_t index)
    {
        std::erase_if(m_running, [index](const ListedRun& each) { return each.run == nameOf(index); });
        m_runs.listed({ .born = { 7 }, .running = m_running, .ended = { { .number = ++m_ends, .run = nameOf(index), .kind = ListedEndKind::Stopped } } }, {}, now, now);
    }

    void list(std::vector<ListedRun> running)
    {
        m_running = std::move(running);
        m_runs.listed({ .born = { 7 }, .running = m_running }, {}, now, now);
    }

    RunActions act()
    {
        RunActions actions = m_runs.act(now);
        for (const auto& item : actions.frames) {
            if (item.entry == toldOf)
                frames.push_back(item.frame);
        }
        return actions;
    }

    // Lets time pass. The second entry, and the first one if `ownerIsHeard`, answer.
    void pass(Milliseconds span, bool ownerIsHeard = false)
    {
        for (const Milliseconds end = now + span; now < end;) {
            now = now + Milliseconds { 10 };
            m_runs.received(other, { .echo = now }, now);
            if (ownerIsHeard)
                m_runs.received(owner, { .echo = now }, now);
            list(std::vector<ListedRun>(m_running));
            act();
        }
    }

    // What the entry `toldOf` believes to be unsettled, by the frames it got.
    std::set<std::uint32_t> told() const
    {
        std::set<std::uint32_t> tasks;
        for (const auto& frame : frames) {
            for (const auto& task : frame.unsettledTasks) {
                if (task.remaining.count > 0)
                    tasks.insert(task.index);
                else
                    tasks.erase(task.index);
            }
        }
        return tasks;
    }

    RunTable& runs() { return m_runs; }

    Milliseconds now { beginning };
    std::string toldOf { other };
    std::vector<SidecarFrame> frames;

private:
    RunTable m_runs { { .incarnation = "sidecar/1", .dataCentre = "dc" }, now };
    std::vector<ListedRun> m_running;
    std::uint64_t m_ends { 0 };
};

const std::set<std::uint32_t> none;
const std::set<std::uint32_t> both { 3, 5 };

// An entry with two sidecars.
class Entry {
public:
    explicit Entry(Milliseconds startedAt)
        : m_jobs({ .incarnation = other, .dataCentre = "dc", .sidecars = 2, .reservePercent = 0, .startedAt = startedAt })
    {
        for (const char* sidecar : { "sidecar-1", "sidecar-2" })
            m_jobs.connected(sidecar, now);
    }

    void hear(const std::string& sidecar, SidecarFrame frame = {})
    {
        frame.sidecar = sidecar + "/1";
        frame.clock = now;
        frame.framesSeen = 100;
        frame.state = MinionState { .service = "service", .dataCentre = "dc", .capacity = { .cpuMillis = 4'000, .memoryMb = 100 }, .accepting = true };
        m_jobs.received(sidecar, frame, now);
    }

    void submit(const char* name = "job")
    {
        m_jobs.submit({ .name = name,
                          .payload = name,
                          .queue = { .name = "queue", .service = "service", .maxAttempts = 3, .latencyAllowance = { 60'000 } },
                          .deadline = now + Milliseconds { 60'000 },
                          .steps = { { .needs = { .cpuMillis = 1'000, .memoryMb = 1, .runTime = { 100 } } } } },
            now);
    }

    // The sidecars to which a task is sent now.
    std::set<std::string> placed()
    {
        std::set<std::string> sidecars;
        for (const auto& item : m_jobs.act(now).frames) {
            if (!item.frame.requests.empty())
                sidecars.insert(item.sidecar);
        }
        return sidecars;
    }

    // The same within a span in which the first sidecar alone is heard.
    std::set<std::string> placedWithin(Milliseconds span)
    {
        std::set<std::string> sidecars;
        for (const Milliseconds end = now + span; now < end; now = now + Milliseconds { 10 }) {
            hear("sidecar-1");
            sidecars.merge(placed());
        }
        return sidecars;
    }

    JobDispatcher& jobs() { return m_jobs; }

    Milliseconds now { beginning };

private:
    JobDispatcher m_jobs;
};

constexpr Milliseconds longAgo { 1'000 };

} // namespace

Test(LostEntries, theTasksOfAnEntryWhoseStreamClosedAreToldAtOnce)
{
    Table table;
    table.start(3);
    table.start(5);
    table.pass({ 300 }, true);
    cr_assert(table.told() == none);
    table.runs().closed(owner);
    table.act();
    cr_assert(table.told() == both);
    cr_assert(table.frames.back().lostEntryRunsFor == maxLostEntryRunTime);
}

Test(LostEntries, theTasksOfAnEntryThatStartedAgainAreToldAlsoWhereItsFormerStreamIsOpen)
{
    Table table;
    table.start(3);
    table.start(5);
    cr_assert(table.told() == none);
    table.runs().opened({ .entry = "entry-1/2" }, table.now);
    table.act();
    cr_assert(table.told() == both);
}

Test(LostEntries, theTasksOfALostEntryAreToldFirstOnANewStream)
{
    Table table;
    table.start(3);
    table.start(5);
    for (const char* entry : { owner, other })
        table.runs().closed(entry);
    table.pass({ 500 });
    table.toldOf = "entry-1/2";
    table.frames.clear();
    table.runs().opened({ .entry = table.toldOf }, table.now);
    table.act();
    cr_assert(table.frames.size() == 1 && table.told() == both);
}

Test(LostEntries, theTasksOfASilentEntryAreToldUntilItIsHeardAgain)
{
    Table table;
    table.start(3);
    table.start(5);
    table.pass({ 390 });
    cr_assert(table.told() == none);
    table.pass({ 20 });
    cr_assert(table.told() == both);
    table.pass({ 100 }, true);
    cr_assert(table.told() == none);
}

Test(LostEntries, aTaskOfALostEntryIsSettledOnceItsRunHasEnded)
{
    Table table;
    table.start(3);
    table.start(5);
    table.runs().closed(owner);
    table.act();
    table.end(3);
    table.pass({ 50 });
    cr_assert(table.told() == std::set<std::uint32_t> { 5 });
    cr_assert(table.runs().liveRuns() == 1);
}

Test(LostEntries, anEntryLearnsOnANewStreamThatATaskItWasToldOfIsSettled)
{
    Table table;
    table.start(3);
    table.runs().closed(owner);
    table.act();
    cr_assert(table.told() == std::set<std::uint32_t> { 3 });
    table.runs().closed(other);
    table.end(3);
    table.pass({ 50 });
    table.runs().opened({ .entry = other }, table.now);
    table.act();
    cr_assert(table.told() == none);
}

Test(LostEntries, aTaskThatEndedBeforeItCouldBeToldIsNotMentioned)
{
    Table table;
    table.start(3);
    table.runs().closed(owner);
    table.end(3);
    table.pass({ 500 });
    cr_assert(std::all_of(table.frames.begin(), table.frames.end(), [](const SidecarFrame& frame) { return frame.unsettledTasks.empty(); }));
}

Test(LostEntries, aQueuedRunOfALostEntryDoesNotStart)
{
    Table table;
    table.request(3, 4'000);
    table.request(5, 4'000);
    cr_assert(table.act().starts.size() == 1);
    table.runs().startAnswered(nameOf(3), StartAnswer::Started, table.now);
    table.runs().closed(owner);
    table.end(3);
    for (int i = 0; i < 100; ++i) {
        table.now = table.now + Milliseconds { 10 };
        cr_assert(table.act().starts.empty());
    }
    cr_assert(table.runs().queuedRuns() == 0);
}

Test(LostEntries, aRunThatItsEntryGaveUpIsToldUntilItHasEnded)
{
    Table table;
    table.start(3);
    table.start(5);
    table.runs().received(owner, { .echo = table.now, .stops = { nameOf(3) } }, table.now);
    table.act();
    cr_assert(table.told() == std::set<std::uint32_t> { 3 });
    table.runs().stopAnswered(nameOf(3), true, table.now);
    table.end(3);
    table.pass({ 50 }, true);
    cr_assert(table.told() == none);
}

Test(LostEntries, aRunThatItsEntryGaveUpIsToldBeforeTheNextReportOfState)
{
    Table table;
    table.start(3);
    table.runs().opened({ .entry = other, .stateGap = { 400 } }, table.now);
    table.act();
    table.runs().received(owner, { .echo = table.now, .stops = { nameOf(3) } }, table.now);
    table.act();
    cr_assert(table.told() == std::set<std::uint32_t> { 3 });
}

Test(LostEntries, aRunThatBelongsToNoEntryIsToldUntilItHasEnded)
{
    Table table;
    table.list({ { .run = nameOf(3), .percent = 10 } });
    table.pass({ 50 });
    cr_assert(table.told() == std::set<std::uint32_t> { 3 });
    table.list({});
    table.pass({ 50 });
    cr_assert(table.told() == none);
}

Test(LostEntries, aSidecarSaysForHowLongItDoesNotKnowWhatItsMinionRuns)
{
    RunTable runs({ .incarnation = "sidecar/2", .dataCentre = "dc" }, beginning);
    runs.permit({ 1'000'000 }, true);
    runs.opened({ .entry = other }, beginning);
    cr_assert(runs.act(beginning).frames.at(0).frame.unknownRunsFor.count > 1'000);
    const Milliseconds later = beginning + Milliseconds { 500 };
    runs.reported(minionReport(), later);
    runs.act(later);
    runs.listed({ .born = { 7 }, .running = { { .run = nameOf(3), .percent = 10 } } }, {}, later, later);
    const SidecarFrame frame = runs.act(later).frames.at(0).frame;
    cr_assert(frame.unknownRunsFor.count == 0 && frame.unsettledTasks.size() == 1);
}

Test(LostEntries, anEntryThatHasJustStartedPlacesNothingBeforeEverySidecarIsHeard)
{
    Entry entry { beginning };
    entry.submit();
    cr_assert(entry.placedWithin({ 1'000 }).empty());
    entry.hear("sidecar-2", { .unsettledTasks = { { .job = "job", .index = 0, .remaining = { 500 } } } });
    cr_assert(entry.placed() == std::set<std::string> { "sidecar-2" });
}

Test(LostEntries, anEntryThatHasJustStartedWaitsNoLongerThanRunsOfALostEntryLast)
{
    cr_assert(maxAbandonedRunTime({}) <= maxLostEntryRunTime);
    Entry entry { beginning };
    entry.submit();
    cr_assert(entry.placedWithin(maxLostEntryRunTime).empty());
    cr_assert(entry.placedWithin({ 100 }) == std::set<std::string> { "sidecar-1" });
}

Test(LostEntries, aSidecarThatDoesNotKnowItsMinionCountsAsUnheard)
{
    Entry entry { beginning };
    entry.hear("sidecar-2", { .unknownRunsFor = { 900 } });
    entry.submit();
    cr_assert(entry.placedWithin({ 500 }).empty());
    entry.hear("sidecar-2");
    cr_assert(!entry.placed().empty());
}

Test(LostEntries, noJobIsHeldForTheReportsOfMinionsWhereTheEntryAndMostSidecarsHaveStartedAgain)
{
    Entry entry { beginning };
    entry.hear("sidecar-1", { .unknownRunsFor = { 900 } });
    entry.hear("sidecar-2", { .unknownRunsFor = { 900 } });
    entry.submit();
    cr_assert(!entry.placedWithin({ 50 }).empty());
}

Test(LostEntries, aJobIsHeldWhileASidecarIsUnheardAfterTheLossOfAnEntry)
{
    for (const bool isLost : { true, false }) {
        Entry entry { longAgo };
        entry.hear("sidecar-2");
        entry.placedWithin({ 100 });
        entry.jobs().disconnected("sidecar-2");
        entry.hear("sidecar-1", { .lostEntryRunsFor = isLost ? maxLostEntryRunTime : Milliseconds {} });
        entry.submit();
        cr_assert(entry.placedWithin({ 1'000 }).empty() == isLost);
        cr_assert(entry.placedWithin({ 400 }).empty() != isLost);
    }
}

Test(LostEntries, aJobIsNotHeldForASidecarThatIsNoMemberAnyMore)
{
    for (const bool isMember : { true, false }) {
        Entry entry { longAgo };
        entry.jobs().setMembers({ { "sidecar-1", "dc" }, { "sidecar-2", "dc" } }, entry.now);
        entry.hear("sidecar-2");
        entry.jobs().disconnected("sidecar-2");
        entry.placedWithin(maxLostEntryRunTime * 2);
        if (!isMember)
            entry.jobs().setMembers({ { "sidecar-1", "dc" } }, entry.now);
        entry.hear("sidecar-1", { .lostEntryRunsFor = maxLostEntryRunTime });
        entry.submit();
        cr_assert(entry.placed().empty() == isMember);
    }
}

Test(LostEntries, anEntryThatHasJustStartedHoldsJobsForAMemberWithoutAStream)
{
    Entry entry { beginning };
    entry.hear("sidecar-2");
    entry.jobs().setMembers({ { "sidecar-1", "dc" }, { "sidecar-2", "dc" }, { "sidecar-3", "dc" } }, entry.now);
    entry.submit();
    cr_assert(entry.placedWithin({ 500 }).empty());
}

Test(LostEntries, anEntryThatHeardNoSidecarPlacesNothingBeforeEveryOneIsHeardAgain)
{
    Entry entry { longAgo };
    entry.hear("sidecar-1");
    entry.hear("sidecar-2");
    entry.placed();
    for (const char* sidecar : { "sidecar-1", "sidecar-2" })
        entry.jobs().disconnected(sidecar);
    entry.placed();
    entry.submit();
    entry.now = entry.now + Milliseconds { 500 };
    for (const char* sidecar : { "sidecar-1", "sidecar-2" })
        entry.jobs().connected(sidecar, entry.now);
    cr_assert(entry.placedWithin({ 500 }).empty());
    entry.hear("sidecar-2");
    cr_assert(!entry.placed().empty());
}

Test(LostEntries, aTaskThatFailedIsNotPlacedAgainWhileItsJobIsHeld)
{
    Entry entry { longAgo };
    entry.hear("sidecar-1");
    entry.hear("sidecar-2");
    entry.submit();
    cr_assert(entry.placed() == std::set<std::string> { "sidecar-1" } || entry.placed().empty());
    entry.jobs().disconnected("sidecar-2");
    entry.hear("sidecar-1", { .ends = { { .number = 1, .run = { .job = "job", .run = 1, .submission = 1 }, .kind = RunEndKind::Failed } }, .lostEntryRunsFor = maxLostEntryRunTime });
    cr_assert(entry.placedWithin({ 500 }).empty());
}

Test(LostEntries, aJobThatWasSubmittedBeforeTheLossIsNotHeld)
{
    Entry entry { longAgo };
    entry.hear("sidecar-1");
    entry.submit();
    entry.now = entry.now + Milliseconds { 300 };
    entry.hear("sidecar-1", { .lostEntryRunsFor = maxLostEntryRunTime });
    cr_assert(!entry.placed().empty());
}

Test(LostEntries, aJobOfAnEntryWithoutAnySidecarIsRefused)
{
    Entry entry { longAgo };
    entry.placed();
    entry.submit();
    const auto ends = entry.jobs().act(entry.now).ends;
    cr_assert(ends.size() == 1 && ends[0].kind == DispatchEndKind::Refused && ends[0].retryAfter.count > 0);
}

Test(LostEntries, aHeldJobIsNotRefusedAsNeverRun)
{
    Entry entry { beginning };
    entry.hear("sidecar-1");
    entry.placed();
    entry.submit();
    entry.jobs().finishBy(entry.now + Milliseconds { 200 });
    entry.now = entry.now + Milliseconds { 250 };
    const auto ends = entry.jobs().act(entry.now).ends;
    cr_assert(ends.size() == 1 && ends[0].kind == DispatchEndKind::Unfinished);
}

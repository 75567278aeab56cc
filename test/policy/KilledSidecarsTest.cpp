#include "policy/JobDispatcher.h"
#include "policy/RunTable.h"

#include <criterion/criterion.h>

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace oleanderport;

// Guards against a second run of a task that was ordered by a sidecar which was killed before its minion answered.

namespace {

constexpr std::size_t entries = 2;
constexpr std::size_t sidecars = 3;
constexpr Milliseconds step { 5 };

// Two entries and three sidecars whose minions answer no start.
class Deployment {
public:
    Deployment()
    {
        std::map<std::string, std::string> members;
        for (std::size_t i = 0; i < sidecars; ++i)
            members[sidecar(i)] = "dc";
        for (std::size_t i = 0; i < sidecars; ++i)
            start(i, 1, true);
        for (std::size_t i = 0; i < entries; ++i) {
            JobDispatcher& dispatcher = m_entries[i].emplace(JobDispatcherOptions {
                .incarnation = entry(i), .dataCentre = "dc", .sidecars = sidecars, .entries = entries, .reservePercent = 0, .startedAt = m_now });
            dispatcher.setMembers(members, m_now);
            for (std::size_t each = 0; each < sidecars; ++each)
                dispatcher.connected(sidecar(each), m_now);
        }
        // A sidecar grants nothing until it has been up for this long.
        pass(maxLostEntryRunTime + Milliseconds { 100 });
    }

    // Submits a job of one task.
    void submit(std::size_t entry)
    {
        m_submission = m_entries[entry]->submit({ .name = "job",
                                                    .payload = "job",
                                                    .queue = { .name = "queue", .service = "service", .maxAttempts = 3, .latencyAllowance = { 60'000 } },
                                                    .deadline = m_now + Milliseconds { 60'000 },
                                                    .steps = { { .needs = { .cpuMillis = 1'000, .memoryMb = 1, .runTime = { 100 } } } } },
            m_now);
    }

    void abandon(std::size_t entry) { m_entries[entry]->abandon(m_submission); }

    // Until the task is ordered for the first time, for a second at most. Returns where.
    std::optional<std::size_t> passUntilOrdered()
    {
        for (const Milliseconds end = m_now + Milliseconds { 1'000 }; m_now < end && m_ordered.empty();)
            pass(step);
        return m_ordered.empty() ? std::nullopt : std::optional(*m_ordered.begin());
    }

    void pass(Milliseconds span)
    {
        for (const Milliseconds end = m_now + span; m_now < end; m_now = m_now + step)
            act();
    }

    // What the sidecar sends to the first entry doesn't arrive any more.
    void holdNewsOf(std::size_t sidecar) { m_held = sidecar; }

    void kill(std::size_t index)
    {
        m_tables[index].reset();
        for (auto& each : m_entries)
            each->disconnected(sidecar(index));
    }

    // The sidecar starts again and may order nothing yet.
    void startAgain(std::size_t index)
    {
        start(index, 2, false);
        for (auto& each : m_entries)
            each->connected(sidecar(index), m_now);
    }

    // The sidecars at whose minions the task was ordered.
    const std::set<std::size_t>& ordered() const { return m_ordered; }

private:
    static std::string entry(std::size_t index) { return "entry-" + std::to_string(index) + "/1"; }
    static std::string sidecar(std::size_t index) { return "sidecar-" + std::to_string(index); }

    void start(std::size_t index, int incarnation, bool isPermitted)
    {
        RunTable& table = m_tables[index].emplace(RunTableOptions { .incarnation = sidecar(index) + "/" + std::to_string(incarnation), .dataCentre = "dc" }, m_now);
        table.permit({ 1'000'000 }, isPermitted);
        table.reported(
            { .name = "minion-" + sidecar(index), .born = { 7 }, .sequence = 1, .service = "service", .capacity = { .cpuMillis = 4'000, .memoryMb = 100 } },
            m_now);
    }

    void act()
    {
        for (std::size_t i = 0; i < entries; ++i) {
            for (const auto& item : m_entries[i]->act(m_now).frames) {
                for (std::size_t each = 0; each < sidecars; ++each) {
                    if (sidecar(each) != item.sidecar || !m_tables[each])
                        continue;
                    if (item.frame.entry.empty())
                        m_tables[each]->received(entry(i), item.frame, m_now);
                    else
                        m_tables[each]->opened(item.frame, m_now);
                }
            }
        }
        for (std::size_t i = 0; i < sidecars; ++i) {
            if (m_tables[i])
                act(i);
        }
    }

    void act(std::size_t index)
    {
        RunTable& table = *m_tables[index];
        const RunActions actions = table.act(m_now);
        if (actions.list)
            table.listed({ .born = { 7 } }, *actions.list, m_now, m_now);
        for (const auto& start : actions.starts) {
            m_ordered.insert(index);
            table.startAnswered(start.run, StartAnswer::Unknown, m_now);
        }
        for (const auto& item : actions.frames) {
            for (std::size_t i = 0; i < entries; ++i) {
                if (entry(i) == item.entry && (i > 0 || m_held != index))
                    m_entries[i]->received(sidecar(index), item.frame, m_now);
            }
        }
    }

    Milliseconds m_now { 50'000 };
    std::array<std::optional<JobDispatcher>, entries> m_entries;
    std::array<std::optional<RunTable>, sidecars> m_tables;
    std::optional<std::size_t> m_held;
    std::uint64_t m_submission { 0 };
    std::set<std::size_t> m_ordered;
};

} // namespace

Test(KilledSidecars, aTaskOrderedBeforeGoesNowhereElseOnceTheSidecarHasStartedAgain)
{
    Deployment deployment;
    deployment.submit(0);
    const auto first = deployment.passUntilOrdered();
    cr_assert(first);
    deployment.kill(*first);
    deployment.abandon(0);
    deployment.pass({ 2'500 });
    deployment.startAgain(*first);
    deployment.pass({ 1'500 });
    deployment.submit(1);
    deployment.pass({ 3'000 });
    cr_assert_eq(deployment.ordered().size(), 1, "ordered at %zu minions", deployment.ordered().size());
}

Test(KilledSidecars, aTaskOrderedBeforeGoesElsewhereOnceItsStartIsTooOld)
{
    Deployment deployment;
    deployment.submit(0);
    const auto first = deployment.passUntilOrdered();
    cr_assert(first);
    deployment.kill(*first);
    deployment.abandon(0);
    deployment.pass({ 2'500 });
    deployment.startAgain(*first);
    deployment.submit(1);
    deployment.pass(maxStartDelay + Milliseconds { 3'000 });
    cr_assert_eq(deployment.ordered().size(), 2, "ordered at %zu minions", deployment.ordered().size());
}

// The other entry was told that the start had no answer.
Test(KilledSidecars, aTaskGoesNowhereElseWhileTheMinionOfASidecarThatWasNotHeardMayStartIt)
{
    Deployment deployment;
    deployment.submit(0);
    const auto first = deployment.passUntilOrdered();
    cr_assert(first);
    deployment.holdNewsOf(*first);
    deployment.pass({ 500 });
    deployment.kill(*first);
    deployment.pass({ 5'000 });
    cr_assert_eq(deployment.ordered().size(), 1, "ordered at %zu minions", deployment.ordered().size());
}

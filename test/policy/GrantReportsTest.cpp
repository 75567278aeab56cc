#include "policy/GrantTable.h"
#include "policy/JobGrants.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace oleanderport;

// What the logs tell of jobs that wait for their grants or lose them.

namespace {

constexpr Milliseconds beginning { 50'000 };
constexpr const char* first = "entry-1/1";
constexpr const char* second = "entry-2/1";

// An entry that asks one registrar.
class Asker {
public:
    Asker()
    {
        m_grants.setMembers({ { "a", "dc" } }, beginning);
        m_grants.connected("a", beginning);
        m_grants.handshakeDone("a", true);
        m_grants.seen("a", beginning, beginning);
        m_grants.acquire("job");
        m_grants.act(beginning);
        m_number = m_grants.takeRequests("a").back().number;
    }

    void answer(GrantState state, Milliseconds at)
    {
        m_grants.seen("a", at, at);
        m_grants.answered("a", { .job = "job", .number = m_number, .state = state });
        m_grants.act(at);
    }

    JobGrants& grants() { return m_grants; }

private:
    JobGrants m_grants { { .dataCentre = "dc" } };
    std::uint64_t m_number { 0 };
};

GrantRequest ask(const std::string& job) { return { .job = job, .number = 1, .kind = GrantRequestKind::Ask }; }

} // namespace

Test(GrantReports, aJobThatIsGrantedAtOnceIsNotReported)
{
    Asker asker;
    asker.answer(GrantState::Granted, beginning + Milliseconds { 2 });
    asker.grants().release("job", false);
    cr_assert(asker.grants().takeReports(beginning + Milliseconds { 3 }).empty());
}

Test(GrantReports, aJobThatAnotherEntryHeldIsReportedOnceWithItsWait)
{
    Asker asker;
    asker.answer(GrantState::Held, beginning + Milliseconds { 2 });
    cr_assert(asker.grants().takeReports(beginning + Milliseconds { 2 }).empty());
    const Milliseconds granted = beginning + Milliseconds { 300 };
    asker.answer(GrantState::Granted, granted);
    const auto reports = asker.grants().takeReports(granted);
    cr_assert_eq(reports.size(), 1);
    cr_assert_eq(reports.front().job, "job");
    cr_assert(reports.front().outcome == GrantOutcome::Granted);
    cr_assert_eq(describe(reports.front()), "granted after 300 ms; at first a: held by another entry");
    asker.grants().release("job", false);
    cr_assert(asker.grants().takeReports(granted).empty());
}

Test(GrantReports, aJobThatEndsBeforeItWasGrantedIsReported)
{
    Asker asker;
    asker.answer(GrantState::Provisional, beginning + Milliseconds { 2 });
    asker.grants().release("job", true);
    const auto reports = asker.grants().takeReports(beginning + Milliseconds { 80 });
    cr_assert_eq(reports.size(), 1);
    cr_assert(reports.front().outcome == GrantOutcome::NotGranted);
    cr_assert_eq(describe(reports.front()), "not granted within 80 ms; at first a: unknown, it has just started");
}

Test(GrantReports, aJobGivenUpNamesTheRegistrarsThatAreNotHeard)
{
    Asker asker;
    asker.answer(GrantState::Granted, beginning);
    const Milliseconds lost = beginning + Milliseconds { 901 };
    asker.grants().act(lost);
    const Milliseconds givenUp = lost + Milliseconds { 300 };
    asker.grants().givenUp("job", givenUp);
    asker.grants().release("job", true);
    const auto reports = asker.grants().takeReports(givenUp);
    cr_assert_eq(reports.size(), 1);
    cr_assert(reports.front().outcome == GrantOutcome::Lost);
    cr_assert_eq(describe(reports.front()), "given up, without its grants for 300 ms; a: granted, not heard for 1201 ms");
}

Test(GrantReports, grantsTakenFromALostEntryAreReportedTogether)
{
    GrantTable table({}, beginning);
    Milliseconds now = beginning + maxLostEntryRunTime;
    table.act(now);
    table.opened(first, {}, now);
    table.opened(second, {}, now);
    for (const char* job : { "x", "y", "z" })
        table.take(first, ask(job), now);
    table.take(second, ask("y"), now);
    table.heard(first, now);
    now = now + Milliseconds { 40 };
    table.closed(first, now);
    now = now + maxLostEntryRunTime;
    table.heard(second, now);
    table.act(now);
    const auto freed = table.takeFreed();
    cr_assert_eq(freed.size(), 1);
    cr_assert_eq(describe(freed.front()),
        "3 jobs granted to entry entry-1/1 are free, 1 of them waited for; it closed its stream 1250 ms before, last heard 1290 ms before");
    table.act(now + Milliseconds { 1 });
    cr_assert(table.takeFreed().empty());
}

Test(GrantReports, grantsTakenFromASilentEntryAreReported)
{
    GrantTable table({}, beginning);
    const Milliseconds now = beginning + maxLostEntryRunTime;
    table.act(now);
    table.opened(first, {}, now);
    table.take(first, ask("x"), now);
    table.act(now + GrantTableOptions {}.entryLateAfter + maxLostEntryRunTime);
    const auto freed = table.takeFreed();
    cr_assert_eq(freed.size(), 1);
    cr_assert_eq(
        describe(freed.front()), "1 jobs granted to entry entry-1/1 are free, 0 of them waited for; it has an open stream, last heard 1650 ms before");
}

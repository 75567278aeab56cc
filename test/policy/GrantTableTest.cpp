#include "policy/GrantTable.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

using namespace oleanderport;

namespace {

constexpr Milliseconds startedAt { 50'000 };
constexpr Milliseconds whenOpen = startedAt + maxLostEntryRunTime;
// How long a connected entry that falls silent holds its jobs.
constexpr Milliseconds holdAfterSilence { 1'650 };
constexpr const char* first = "entry-1/1";
constexpr const char* second = "entry-2/1";

GrantRequest ask(std::uint64_t number, const std::string& job = "job") { return { .job = job, .number = number, .kind = GrantRequestKind::Ask }; }
GrantRequest renew(std::uint64_t number, const std::string& job = "job") { return { .job = job, .number = number, .kind = GrantRequestKind::Renew }; }
GrantRequest releaseOf(std::uint64_t number, const std::string& job = "job") { return { .job = job, .number = number, .kind = GrantRequestKind::Release }; }

// A registrar that has run for longer than any run of a lost entry, with streams to two entries.
class Registrar {
public:
    explicit Registrar(Milliseconds beginning = whenOpen)
        : now(beginning)
    {
        table.opened(first, {}, now);
        table.opened(second, {}, now);
        table.act(now);
    }

    // The state in the only answer to the entry; empty when there is none.
    std::optional<GrantState> answerTo(const std::string& entry, std::uint64_t number)
    {
        const auto answers = table.takeAnswers(entry);
        if (answers.empty())
            return std::nullopt;
        cr_assert(answers.size() == 1 && answers[0].number == number);
        return answers[0].state;
    }

    std::optional<GrantState> asked(const std::string& entry, std::uint64_t number)
    {
        table.take(entry, ask(number), now);
        return answerTo(entry, number);
    }

    // Lets time pass, in which these entries are heard.
    void pass(Milliseconds span, const std::vector<std::string>& heard)
    {
        for (const Milliseconds end = now + span; now < end;) {
            now = now + Milliseconds { 1 };
            for (const auto& entry : heard)
                table.heard(entry, now);
            table.act(now);
        }
    }

    GrantTable table { {}, startedAt };
    Milliseconds now;
};

} // namespace

Test(GrantTable, aSecondEntryIsToldThatTheJobIsHeldAndGetsItOnceItIsReleased)
{
    Registrar registrar;
    cr_assert(registrar.asked(first, 1) == GrantState::Granted);
    cr_assert(registrar.asked(second, 7) == GrantState::Held);
    registrar.table.take(first, releaseOf(2), registrar.now);
    cr_assert(registrar.answerTo(second, 7) == GrantState::Granted);
    cr_assert(!registrar.table.holdsAny(first) && registrar.table.holdsAny(second));
    cr_assert(registrar.asked(first, 3) == GrantState::Held);
}

Test(GrantTable, thoseWhoWaitGetAJobInTheOrderInWhichTheyAsked)
{
    Registrar registrar;
    registrar.asked(first, 1);
    registrar.asked(second, 1);
    registrar.table.opened("entry-3/1", {}, registrar.now);
    registrar.asked("entry-3/1", 1);
    registrar.table.take(first, releaseOf(2), registrar.now);
    cr_assert(registrar.answerTo(second, 1) == GrantState::Granted);
    cr_assert(!registrar.table.hasAnswers("entry-3/1"));
    registrar.table.take(second, releaseOf(2), registrar.now);
    cr_assert(registrar.answerTo("entry-3/1", 1) == GrantState::Granted);
}

Test(GrantTable, anEntryThatNoLongerWaitsIsNotGrantedTheJob)
{
    Registrar registrar;
    registrar.asked(first, 1);
    registrar.asked(second, 1);
    registrar.table.take(second, releaseOf(2), registrar.now);
    registrar.table.take(first, releaseOf(2), registrar.now);
    cr_assert(!registrar.table.hasAnswers(second) && !registrar.table.holdsAny(second));
    cr_assert(registrar.asked(first, 3) == GrantState::Granted);
}

Test(GrantTable, aReleaseByAnotherEntryThanTheHolderChangesNothing)
{
    Registrar registrar;
    registrar.asked(first, 1);
    registrar.table.take(second, releaseOf(1), registrar.now);
    cr_assert(registrar.asked(second, 2) == GrantState::Held);
}

Test(GrantTable, jobsAreGrantedIndependently)
{
    Registrar registrar;
    registrar.table.take(first, ask(1, "a"), registrar.now);
    cr_assert(registrar.answerTo(first, 1) == GrantState::Granted);
    registrar.table.take(second, ask(1, "b"), registrar.now);
    cr_assert(registrar.answerTo(second, 1) == GrantState::Granted);
}

Test(GrantTable, aRegistrarThatHasJustStartedGrantsNothing)
{
    Registrar registrar { startedAt };
    cr_assert(registrar.asked(first, 1) == GrantState::Provisional);
    cr_assert(registrar.table.nextDue(registrar.now) == whenOpen);
    registrar.pass(maxLostEntryRunTime - Milliseconds { 1 }, { first, second });
    cr_assert(!registrar.table.hasAnswers(first));
    registrar.pass({ 1 }, { first, second });
    cr_assert(registrar.answerTo(first, 1) == GrantState::Granted);
}

Test(GrantTable, aRegistrarThatHasJustStartedTakesRenewals)
{
    Registrar registrar { startedAt };
    cr_assert(registrar.asked(second, 1) == GrantState::Provisional);
    registrar.table.opened(first, { renew(9) }, registrar.now);
    cr_assert(registrar.answerTo(first, 9) == GrantState::Granted);
    cr_assert(registrar.answerTo(second, 1) == GrantState::Held);
    registrar.pass(maxLostEntryRunTime * 2, { first, second });
    cr_assert(!registrar.table.hasAnswers(second));
    registrar.table.take(first, releaseOf(10), registrar.now);
    cr_assert(registrar.answerTo(second, 1) == GrantState::Granted);
}

Test(GrantTable, aJobReleasedAtARegistrarThatHasJustStartedIsGrantedToTheNext)
{
    Registrar registrar { startedAt };
    registrar.table.opened(first, { renew(9) }, registrar.now);
    registrar.answerTo(first, 9);
    cr_assert(registrar.asked(second, 1) == GrantState::Held);
    registrar.table.take(first, releaseOf(10), registrar.now);
    cr_assert(registrar.answerTo(second, 1) == GrantState::Granted);
}

Test(GrantTable, theGrantsOfAnEntryWhoseStreamClosedStayWhileItsRunsMayGoOn)
{
    Registrar registrar;
    registrar.asked(first, 1);
    registrar.asked(second, 1);
    registrar.table.closed(first, registrar.now);
    registrar.pass(maxLostEntryRunTime - Milliseconds { 1 }, { second });
    cr_assert(!registrar.table.hasAnswers(second));
    registrar.pass({ 1 }, { second });
    cr_assert(registrar.answerTo(second, 1) == GrantState::Granted);
}

Test(GrantTable, theGrantsOfASilentEntryStayWhileItMayBeAliveAndItsRunsMayGoOn)
{
    Registrar registrar;
    registrar.asked(first, 1);
    registrar.asked(second, 1);
    registrar.pass(holdAfterSilence - Milliseconds { 1 }, { second });
    cr_assert(!registrar.table.hasAnswers(second));
    registrar.pass({ 1 }, { second });
    cr_assert(registrar.answerTo(second, 1) == GrantState::Granted);
}

Test(GrantTable, aLivingEntryHoldsItsJobsForAsLongAsItIsHeard)
{
    Registrar registrar;
    registrar.asked(first, 1);
    registrar.asked(second, 1);
    for (int i = 0; i < 10; ++i) {
        registrar.pass(holdAfterSilence - Milliseconds { 1 }, { second });
        registrar.table.heard(first, registrar.now);
    }
    cr_assert(!registrar.table.hasAnswers(second));
}

Test(GrantTable, anEntryThatReconnectsInTimeKeepsTheJobsThatItRenews)
{
    Registrar registrar;
    registrar.asked(first, 1);
    registrar.asked(second, 1);
    registrar.table.closed(first, registrar.now);
    registrar.pass(maxLostEntryRunTime - Milliseconds { 1 }, { second });
    registrar.table.opened(first, { renew(2) }, registrar.now);
    cr_assert(registrar.answerTo(first, 2) == GrantState::Granted);
    registrar.pass(maxLostEntryRunTime * 2, { first, second });
    cr_assert(!registrar.table.hasAnswers(second));
}

Test(GrantTable, anEntryThatReconnectsTooLateIsToldThatAnotherHoldsTheJob)
{
    Registrar registrar;
    registrar.asked(first, 1);
    registrar.asked(second, 1);
    registrar.table.closed(first, registrar.now);
    registrar.pass(maxLostEntryRunTime, { second });
    cr_assert(registrar.answerTo(second, 1) == GrantState::Granted);
    registrar.table.opened(first, { renew(2) }, registrar.now);
    cr_assert(registrar.answerTo(first, 2) == GrantState::Held);
}

Test(GrantTable, anEntryThatReconnectsLateGetsAJobBackThatNobodyHolds)
{
    Registrar registrar;
    registrar.asked(first, 1);
    registrar.table.closed(first, registrar.now);
    registrar.pass(maxLostEntryRunTime * 2, { second });
    registrar.table.opened(first, { renew(2) }, registrar.now);
    cr_assert(registrar.answerTo(first, 2) == GrantState::Granted);
    cr_assert(registrar.asked(second, 1) == GrantState::Held);
}

Test(GrantTable, grantsThatAFirstFrameDoesNotNameAreReleased)
{
    Registrar registrar;
    registrar.asked(first, 1);
    registrar.table.take(first, ask(2, "other"), registrar.now);
    registrar.answerTo(first, 2);
    registrar.asked(second, 1);
    registrar.table.opened(first, { renew(3, "other") }, registrar.now);
    cr_assert(registrar.answerTo(second, 1) == GrantState::Granted);
    cr_assert(registrar.answerTo(first, 3) == GrantState::Granted);
}

Test(GrantTable, aWaiterThatReconnectsWaitsOnlyIfItAsksAgain)
{
    for (const bool asksAgain : { true, false }) {
        Registrar registrar;
        registrar.asked(first, 1);
        registrar.asked(second, 1);
        registrar.table.closed(second, registrar.now);
        registrar.table.opened(second, asksAgain ? std::vector { ask(2) } : std::vector<GrantRequest> {}, registrar.now);
        cr_assert(registrar.answerTo(second, 2) == (asksAgain ? std::optional(GrantState::Held) : std::nullopt));
        registrar.table.take(first, releaseOf(2), registrar.now);
        cr_assert(registrar.answerTo(second, 2) == (asksAgain ? std::optional(GrantState::Granted) : std::nullopt));
    }
}

Test(GrantTable, aWaiterWhoseStreamClosedIsNotGrantedTheJob)
{
    Registrar registrar;
    registrar.asked(first, 1);
    registrar.asked(second, 1);
    registrar.table.closed(second, registrar.now);
    registrar.table.take(first, releaseOf(2), registrar.now);
    cr_assert(!registrar.table.holdsAny(second));
}

Test(GrantTable, theNextIncarnationOfAnEntryIsNotGrantedItsJobsWhileRunsMayGoOn)
{
    Registrar registrar;
    registrar.asked(first, 1);
    registrar.table.opened("entry-1/2", { ask(1) }, registrar.now);
    cr_assert(registrar.answerTo("entry-1/2", 1) == GrantState::Held);
    registrar.pass(maxLostEntryRunTime - Milliseconds { 1 }, { "entry-1/2", second });
    cr_assert(!registrar.table.hasAnswers("entry-1/2"));
    registrar.pass({ 1 }, { "entry-1/2", second });
    cr_assert(registrar.answerTo("entry-1/2", 1) == GrantState::Granted);
}

Test(GrantTable, aRepeatedRequestIsAnsweredByItsLatestNumber)
{
    Registrar registrar;
    cr_assert(registrar.asked(first, 1) == GrantState::Granted);
    cr_assert(registrar.asked(first, 2) == GrantState::Granted);
    cr_assert(registrar.asked(second, 1) == GrantState::Held);
    cr_assert(registrar.asked(second, 2) == GrantState::Held);
    registrar.table.take(first, releaseOf(3), registrar.now);
    cr_assert(registrar.answerTo(second, 2) == GrantState::Granted);
}

Test(GrantTable, isDueOnlyWhileAnEntryWaits)
{
    Registrar registrar;
    registrar.asked(first, 1);
    cr_assert(!registrar.table.nextDue(registrar.now));
    registrar.asked(second, 1);
    registrar.table.closed(first, registrar.now);
    cr_assert(registrar.table.nextDue(registrar.now) == registrar.now + maxLostEntryRunTime);
}

Test(GrantTable, aHolderThatAsksAgainOnANewStreamKeepsItsJob)
{
    Registrar registrar;
    cr_assert(registrar.asked(first, 1) == GrantState::Granted);
    cr_assert(registrar.asked(second, 1) == GrantState::Held);
    registrar.table.closed(first, registrar.now);
    registrar.pass({ 905 }, { second });
    registrar.table.opened(first, { ask(2) }, registrar.now);
    cr_assert(registrar.answerTo(first, 2) == GrantState::Granted);
    cr_assert(!registrar.table.hasAnswers(second));
}

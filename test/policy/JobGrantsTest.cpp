#include "policy/JobGrants.h"
#include "policy/GrantTable.h"
#include "policy/JobDispatcher.h"
#include "policy/RunTable.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace oleanderport;

namespace {

constexpr Milliseconds beginning { 50'000 };
constexpr const char* job = "job";

using Members = std::map<std::string, std::string>;

const Members three { { "a", "dc" }, { "b", "dc" }, { "c", "dc" } };

Members members(std::size_t count, std::size_t dataCentres = 1)
{
    Members all;
    for (std::size_t i = 0; i < count; ++i)
        all["sidecar-" + std::to_string(i)] = "dc-" + std::to_string(i % dataCentres);
    return all;
}

constexpr Milliseconds longAgo { 1'000 };

// An entry that has just connected to all sidecars of the deployment, which it has known for long.
class Holder {
public:
    explicit Holder(const Members& members, std::uint64_t seed = 0, Milliseconds knownSince = longAgo)
        : grants({ .dataCentre = "dc", .seed = seed })
    {
        grants.setMembers(members, knownSince);
        for (const auto& [sidecar, dataCentre] : members)
            connect(sidecar);
    }

    void connect(const std::string& sidecar)
    {
        requests[sidecar] = grants.connected(sidecar, now);
        grants.handshakeDone(sidecar, true);
        grants.seen(sidecar, now, now);
    }

    void acquire()
    {
        grants.acquire(job);
        act();
    }

    void act()
    {
        grants.act(now);
        for (const auto& [sidecar, dataCentre] : requests)
            collect(sidecar);
    }

    // The latest request for the job to this sidecar since the last call.
    std::optional<GrantRequest> takeRequest(const std::string& sidecar)
    {
        collect(sidecar);
        const auto taken = std::exchange(requests[sidecar], {});
        return taken.empty() ? std::nullopt : std::optional(taken.back());
    }

    std::vector<std::string> asked()
    {
        std::vector<std::string> names;
        for (const auto& [sidecar, items] : requests) {
            if (!items.empty() && items.back().kind == GrantRequestKind::Ask)
                names.push_back(sidecar);
        }
        return names;
    }

    void answer(const std::string& sidecar, std::uint64_t number, GrantState state)
    {
        grants.answered(sidecar, { .job = job, .number = number, .state = state });
        act();
    }

    // Answers the latest request to this sidecar.
    void answer(const std::string& sidecar, GrantState state)
    {
        const auto request = takeRequest(sidecar);
        cr_assert(request.has_value());
        answer(sidecar, request->number, state);
    }

    void pass(Milliseconds span)
    {
        now = now + span;
        act();
    }

    JobGrants grants;
    Milliseconds now { beginning };
    std::map<std::string, std::vector<GrantRequest>> requests;

private:
    void collect(const std::string& sidecar)
    {
        for (const auto& request : grants.takeRequests(sidecar))
            requests[sidecar].push_back(request);
    }
};

// Two entries and the registrars of one job. Frames take no time.
class Deployment {
public:
    Deployment(const Members& members, std::uint64_t seed)
        : entries { Holder(members, seed * 2), Holder(members, seed * 2 + 1) }
    {
        for (const auto& [sidecar, dataCentre] : members)
            tables.try_emplace(sidecar, GrantTableOptions {}, beginning - maxLostEntryRunTime * 2);
        for (auto& [sidecar, table] : tables) {
            for (std::size_t i = 0; i < entries.size(); ++i)
                table.opened(name(i), {}, beginning);
        }
    }

    static std::string name(std::size_t entry) { return "entry-" + std::to_string(entry) + "/1"; }

    void send(std::size_t entry, const std::string& sidecar)
    {
        Holder& holder = entries[entry];
        holder.act();
        for (const auto& request : std::exchange(holder.requests[sidecar], {}))
            tables.at(sidecar).take(name(entry), request, holder.now);
    }

    void answer(const std::string& sidecar)
    {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            for (const auto& answer : tables.at(sidecar).takeAnswers(name(i)))
                entries[i].grants.answered(sidecar, answer);
            entries[i].act();
        }
    }

    void pass(Milliseconds span)
    {
        for (std::int64_t i = 0; i < span.count; ++i) {
            for (std::size_t entry = 0; entry < entries.size(); ++entry) {
                entries[entry].now = entries[entry].now + Milliseconds { 1 };
                for (auto& [sidecar, table] : tables) {
                    table.heard(name(entry), entries[entry].now);
                    entries[entry].grants.seen(sidecar, entries[entry].now, entries[entry].now);
                    send(entry, sidecar);
                }
            }
            for (auto& [sidecar, table] : tables) {
                table.act(entries[0].now);
                answer(sidecar);
            }
        }
    }

    bool isHeldBy(std::size_t entry) const { return entries[entry].grants.status(job).isHeld; }

    std::vector<Holder> entries;
    std::map<std::string, GrantTable> tables;
};

} // namespace

Test(JobGrants, registrarsAreInDifferentDataCentres)
{
    const Members all = members(12, 4);
    for (int i = 0; i < 100; ++i) {
        const auto registrars = registrarsOf("job-" + std::to_string(i), all);
        std::set<std::string> dataCentres;
        for (const auto& sidecar : registrars)
            dataCentres.insert(all.at(sidecar));
        cr_assert(registrars.size() == 3 && dataCentres.size() == 3);
    }
}

Test(JobGrants, thereAreThreeRegistrarsWhereThereAreFewerDataCentres)
{
    for (const std::size_t dataCentres : { 1, 2 }) {
        const auto registrars = registrarsOf(job, members(5, dataCentres));
        cr_assert((std::set<std::string> { registrars.begin(), registrars.end() }.size() == 3));
    }
    cr_assert(registrarsOf(job, members(2)).size() == 2);
}

Test(JobGrants, aMemberThatLeavesChangesOnlyTheRegistrarsOfItsJobs)
{
    const Members all = members(8);
    Members fewer = all;
    fewer.erase("sidecar-3");
    for (int i = 0; i < 100; ++i) {
        const std::string name = "job-" + std::to_string(i);
        auto before = registrarsOf(name, all);
        const auto after = registrarsOf(name, fewer);
        if (std::erase(before, "sidecar-3") == 0)
            cr_assert(before == after);
        else
            cr_assert(std::all_of(before.begin(), before.end(), [&after](const auto& each) { return std::find(after.begin(), after.end(), each) != after.end(); }));
    }
}

Test(JobGrants, aJobIsHeldOnceTwoOfThreeRegistrarsHaveGrantedIt)
{
    Holder entry { three };
    entry.acquire();
    const auto asked = entry.asked();
    cr_assert(asked.size() == 2);
    entry.answer(asked[0], GrantState::Granted);
    cr_assert(!entry.grants.status(job).isHeld);
    entry.answer(asked[1], GrantState::Granted);
    cr_assert(entry.grants.status(job).isHeld && !entry.grants.status(job).isContested);
}

Test(JobGrants, registrarsOfTheOwnDataCentreAreAskedFirst)
{
    const Members all { { "a", "far-1" }, { "b", "dc" }, { "c", "far-2" } };
    for (int i = 0; i < 10; ++i) {
        Holder entry { all };
        entry.grants.acquire("job-" + std::to_string(i));
        entry.act();
        const auto asked = entry.asked();
        cr_assert(asked.size() == 2 && std::find(asked.begin(), asked.end(), "b") != asked.end());
    }
}

Test(JobGrants, theThirdRegistrarIsAskedWhenOneOfTwoIsSilent)
{
    Holder entry { three };
    entry.acquire();
    const auto asked = entry.asked();
    entry.answer(asked[0], GrantState::Granted);
    entry.requests[asked[1]].clear();
    entry.pass({ 19 });
    cr_assert(entry.asked().empty());
    entry.pass({ 1 });
    const auto askedLater = entry.asked();
    cr_assert(askedLater.size() == 1 && askedLater[0] != asked[0] && askedLater[0] != asked[1]);
    entry.answer(askedLater[0], GrantState::Granted);
    cr_assert(entry.grants.status(job).isHeld);
}

Test(JobGrants, theThirdRegistrarIsAskedAtOnceWhenOneOfTwoHasNoStream)
{
    Holder entry { three };
    entry.acquire();
    const auto asked = entry.asked();
    entry.answer(asked[0], GrantState::Granted);
    entry.requests[asked[1]].clear();
    entry.grants.disconnected(asked[1]);
    entry.act();
    cr_assert(entry.asked().size() == 1);
}

Test(JobGrants, anAnswerToAnEarlierRequestCountsNoMore)
{
    Holder entry { three };
    entry.acquire();
    const auto asked = entry.asked();
    entry.answer(asked[0], GrantState::Granted);
    const auto former = entry.takeRequest(asked[1]);
    entry.grants.disconnected(asked[1]);
    entry.connect(asked[1]);
    const auto again = entry.takeRequest(asked[1]);
    cr_assert(former && again && again->number > former->number && again->kind == GrantRequestKind::Ask);
    entry.answer(asked[1], former->number, GrantState::Granted);
    cr_assert(!entry.grants.status(job).isHeld);
    entry.answer(asked[1], again->number, GrantState::Granted);
    cr_assert(entry.grants.status(job).isHeld);
}

Test(JobGrants, aGrantThatWasReleasedCountsNoMoreForTheNextSubmission)
{
    Holder entry { three };
    entry.acquire();
    const auto asked = entry.asked();
    const auto former = entry.takeRequest(asked[0]);
    entry.answer(asked[1], GrantState::Granted);
    entry.grants.release(job, true);
    entry.acquire();
    entry.answer(asked[0], former->number, GrantState::Granted);
    entry.answer(asked[1], GrantState::Granted);
    cr_assert(!entry.grants.status(job).isHeld);
}

Test(JobGrants, aFirstFrameRenewsTheGrantsOfTheSidecarAndNoOthers)
{
    Holder entry { three };
    entry.acquire();
    const auto asked = entry.asked();
    entry.answer(asked[0], GrantState::Granted);
    entry.answer(asked[1], GrantState::Granted);
    entry.grants.disconnected(asked[0]);
    const auto requests = entry.grants.connected(asked[0], entry.now);
    cr_assert(requests.size() == 1 && requests[0].job == job && requests[0].kind == GrantRequestKind::Renew);
    entry.grants.release(job, false);
    cr_assert(entry.grants.connected(asked[1], entry.now).empty());
}

Test(JobGrants, aJobIsLostOnceARegistrarHasNotBeenHeardForLong)
{
    Holder entry { three };
    entry.acquire();
    const auto asked = entry.asked();
    entry.answer(asked[0], GrantState::Granted);
    entry.answer(asked[1], GrantState::Granted);
    entry.pass({ 600 });
    entry.grants.seen(asked[0], entry.now, entry.now);
    entry.pass({ 300 });
    cr_assert(entry.grants.status(job).isHeld && !entry.grants.status(job).lostSince);
    entry.pass({ 1 });
    cr_assert(!entry.grants.status(job).isHeld && entry.grants.status(job).lostSince == entry.now);
}

Test(JobGrants, aJobIsHeldAgainOnceItsRegistrarIsHeard)
{
    Holder entry { three };
    entry.acquire();
    const auto asked = entry.asked();
    entry.answer(asked[0], GrantState::Granted);
    entry.answer(asked[1], GrantState::Granted);
    entry.pass({ 901 });
    cr_assert(!entry.grants.status(job).isHeld);
    for (const auto& sidecar : asked) {
        entry.grants.disconnected(sidecar);
        entry.connect(sidecar);
        entry.answer(sidecar, GrantState::Granted);
    }
    cr_assert(entry.grants.status(job).isHeld && !entry.grants.status(job).lostSince);
}

Test(JobGrants, aJobThatAnotherEntryHoldsIsContested)
{
    Holder entry { three };
    entry.acquire();
    const auto asked = entry.asked();
    entry.answer(asked[0], GrantState::Held);
    cr_assert(entry.grants.status(job).isContested && !entry.grants.status(job).isHeld);
    cr_assert(entry.grants.describeMissing(job, entry.now).find(asked[0] + ": held by another entry") != std::string::npos);
}

Test(JobGrants, sidecarsOfEarlierVersionsGrantEverything)
{
    Holder entry { three };
    for (const auto& [sidecar, dataCentre] : three)
        entry.grants.handshakeDone(sidecar, false);
    entry.acquire();
    cr_assert(entry.asked().empty() && entry.grants.status(job).isHeld);
}

Test(JobGrants, oneOfTwoEntriesGetsAJobWhoseGrantsTheySplit)
{
    const auto registrars = registrarsOf(job, three);
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Deployment deployment { three, seed };
        for (auto& entry : deployment.entries) {
            entry.grants.disconnected(registrars[2]);
            entry.acquire();
        }
        for (const std::size_t i : { 0U, 1U }) {
            deployment.send(i, registrars[i]);
            deployment.send(1 - i, registrars[i]);
        }
        int waited = 0;
        for (; waited < 500 && !deployment.isHeldBy(0) && !deployment.isHeldBy(1); ++waited)
            deployment.pass({ 1 });
        cr_assert(deployment.isHeldBy(0) != deployment.isHeldBy(1), "seed %llu", static_cast<unsigned long long>(seed));
        const std::size_t holder = deployment.isHeldBy(0) ? 0 : 1;
        deployment.pass({ 200 });
        cr_assert(deployment.isHeldBy(holder) && !deployment.isHeldBy(1 - holder));
        deployment.entries[holder].grants.release(job, true);
        deployment.pass({ 2 });
        cr_assert(deployment.isHeldBy(1 - holder));
    }
}

namespace {

// Deployments of which the second one has another sidecar, which is a registrar of the job.
std::pair<Members, Members> membersBeforeAndAfterAJoin()
{
    Members after = members(4);
    Members before = after;
    before.erase(registrarsOf(job, after)[0]);
    return { before, after };
}

} // namespace

Test(JobGrants, aChangeOfMembersNeedsTheGrantsOfBothSets)
{
    const auto [before, after] = membersBeforeAndAfterAJoin();
    const auto former = registrarsOf(job, before);
    const auto present = registrarsOf(job, after);
    const auto isIn = [](const std::vector<std::string>& names, const std::string& name) { return std::find(names.begin(), names.end(), name) != names.end(); };
    const std::string joined = present[0];
    const auto dropped = *std::find_if(former.begin(), former.end(), [&](const auto& each) { return !isIn(present, each); });
    const auto kept = *std::find_if(former.begin(), former.end(), [&](const auto& each) { return isIn(present, each); });
    // Grants of one set alone: the former one has two of three, the present one has one, and the other way round.
    for (const auto& granted : { std::vector { dropped, kept }, std::vector { joined, kept } }) {
        Holder entry { before };
        entry.grants.setMembers(after, entry.now);
        entry.connect(joined);
        entry.acquire();
        for (int i = 0; i < 3; ++i) {
            for (const auto& sidecar : entry.asked())
                entry.answer(sidecar, isIn(granted, sidecar) ? GrantState::Granted : GrantState::Provisional);
            entry.pass({ 1 });
        }
        cr_assert(!entry.grants.status(job).isHeld);
    }
}

Test(JobGrants, theRegistrarsOfFormerMembersAreAskedForAWhile)
{
    const auto [before, after] = membersBeforeAndAfterAJoin();
    for (const bool isLater : { true, false }) {
        Holder entry { before };
        entry.grants.setMembers(after, entry.now);
        entry.connect(registrarsOf(job, after)[0]);
        if (isLater)
            entry.pass(JobGrantsOptions {}.formerMembersFor);
        for (const auto& [sidecar, dataCentre] : after)
            entry.grants.seen(sidecar, entry.now, entry.now);
        entry.acquire();
        for (int i = 0; i < 3; ++i) {
            for (const auto& sidecar : entry.asked())
                entry.answer(sidecar, sidecar == registrarsOf(job, before)[0] || sidecar == registrarsOf(job, before)[1] ? GrantState::Provisional : GrantState::Granted);
            entry.pass({ 1 });
        }
        cr_assert(!entry.grants.status(job).isHeld || isLater);
    }
}

Test(JobGrants, aJobThatIsHeldWhenMembersChangeNeedsTheGrantsOfTheNewSetAsWell)
{
    const auto [before, after] = membersBeforeAndAfterAJoin();
    Holder entry { before };
    entry.acquire();
    for (const auto& sidecar : entry.asked())
        entry.answer(sidecar, GrantState::Granted);
    cr_assert(entry.grants.status(job).isHeld);
    entry.grants.setMembers(after, entry.now);
    entry.connect(registrarsOf(job, after)[0]);
    entry.act();
    const auto registrars = registrarsOf(job, after);
    const auto asked = entry.asked();
    cr_assert(std::all_of(asked.begin(), asked.end(), [&registrars](const auto& each) { return std::find(registrars.begin(), registrars.end(), each) != registrars.end(); }));
    for (const auto& sidecar : asked)
        entry.answer(sidecar, GrantState::Granted);
    cr_assert(entry.grants.status(job).isHeld);
}

namespace {

// An entry with the three registrars of its job, each with a minion.
class Dispatcher {
public:
    Dispatcher()
    {
        jobs.setMembers(three, longAgo);
        for (const auto& [sidecar, dataCentre] : three)
            jobs.connected(sidecar, now);
        act();
        for (const auto& [sidecar, dataCentre] : three)
            hear(sidecar, { .sidecar = sidecar + "/1", .isRegistrar = true });
    }

    void hear(const std::string& sidecar, SidecarFrame frame = {})
    {
        frame.clock = now;
        frame.framesSeen = 1'000'000;
        frame.state = MinionState { .service = "service", .dataCentre = "dc", .capacity = { .cpuMillis = 4'000, .memoryMb = 100 }, .accepting = true };
        frame.grants = std::exchange(answers[sidecar], {});
        jobs.received(sidecar, frame, now);
    }

    void submit()
    {
        jobs.submit({ .name = job,
                        .payload = job,
                        .queue = { .name = "queue", .service = "service", .maxAttempts = 3, .latencyAllowance = { 60'000 } },
                        .deadline = now + Milliseconds { 60'000 },
                        .steps = { { .needs = { .cpuMillis = 1'000, .memoryMb = 1, .runTime = { 100 } } } } },
            now);
    }

    // Registrars grant all they are asked for, in the next frame that is heard.
    void act()
    {
        const auto actions = jobs.act(now);
        for (const auto& item : actions.frames) {
            for (const auto& request : item.frame.grants) {
                if (request.kind == GrantRequestKind::Release)
                    released.insert(item.sidecar);
                else
                    answers[item.sidecar].push_back({ .job = request.job, .number = request.number, .state = GrantState::Granted });
                numbers[item.sidecar] = request.number;
            }
            if (!item.frame.requests.empty())
                runsAt = item.sidecar;
            if (!item.frame.stops.empty())
                stop = item.frame.stops[0];
        }
        for (const auto& end : actions.ends)
            ended = end;
    }

    // Lets time pass, in which these sidecars are heard.
    void pass(Milliseconds span, const std::vector<std::string>& heard)
    {
        for (const Milliseconds end = now + span; now < end;) {
            now = now + Milliseconds { 10 };
            for (const auto& sidecar : heard)
                hear(sidecar);
            act();
        }
    }

    Milliseconds now { beginning };
    JobDispatcher jobs { { .incarnation = "entry/1", .dataCentre = "dc", .sidecars = 3, .reservePercent = 0, .startedAt = { 1'000 } } };
    std::map<std::string, std::vector<GrantAnswer>> answers;
    // Of the latest request to each sidecar.
    std::map<std::string, std::uint64_t> numbers;
    std::set<std::string> released;
    std::string runsAt;
    std::optional<RunName> stop;
    std::optional<DispatchEnd> ended;
};

const std::vector<std::string> all { "a", "b", "c" };

} // namespace

Test(JobGrants, noTaskIsPlacedBeforeItsJobIsGranted)
{
    Dispatcher entry;
    entry.submit();
    entry.act();
    cr_assert(entry.runsAt.empty());
    entry.pass({ 10 }, all);
    cr_assert(!entry.runsAt.empty());
}

Test(JobGrants, aJobThatLostItsQuorumIsGivenUp)
{
    Dispatcher entry;
    entry.submit();
    entry.act();
    entry.pass({ 100 }, all);
    cr_assert(!entry.runsAt.empty() && !entry.ended);
    // Its last frame that the others have seen is up to 100 ms old.
    entry.pass({ 990 }, { entry.runsAt });
    cr_assert(!entry.ended);
    entry.pass({ 120 }, { entry.runsAt });
    cr_assert(entry.ended && entry.ended->kind == DispatchEndKind::Unfinished && entry.stop);
    // Its grants are kept while the run may go on.
    entry.pass({ 100 }, all);
    cr_assert(entry.released.empty());
    const std::string sidecar = entry.runsAt;
    entry.hear(sidecar, { .ends = { { .number = 1, .run = *entry.stop, .kind = RunEndKind::Stopped } } });
    entry.pass({ 200 }, all);
    cr_assert(!entry.released.empty());
}

Test(JobGrants, aJobIsReleasedOnceAllItsRunsHaveEnded)
{
    Dispatcher entry;
    entry.submit();
    entry.act();
    entry.pass({ 100 }, all);
    entry.jobs.abandon(1);
    entry.pass({ 500 }, all);
    cr_assert(entry.stop && entry.released.empty());
    entry.hear(entry.runsAt, { .ends = { { .number = 1, .run = *entry.stop, .kind = RunEndKind::Stopped } } });
    entry.act();
    cr_assert(entry.released.size() >= 2);
}

Test(JobGrants, aRegistrarIsNotAskedAgainAndAgainForAJobThatTheOthersHoldForAnotherEntry)
{
    Holder entry { three };
    entry.acquire();
    const auto asked = entry.asked();
    entry.answer(asked[0], GrantState::Held);
    entry.answer(asked[1], GrantState::Held);
    const std::string third = entry.asked().at(0);
    entry.answer(third, GrantState::Granted);
    entry.pass({ 30 });
    const auto returned = entry.takeRequest(third);
    cr_assert(returned && returned->kind == GrantRequestKind::Release);
    for (int i = 0; i < 50; ++i) {
        entry.pass({ 10 });
        cr_assert(entry.asked().empty());
    }
    entry.grants.disconnected(asked[0]);
    entry.act();
    cr_assert(entry.asked().size() == 1 && entry.asked()[0] == third);
}

Test(JobGrants, aGrantCountsFromWhenTheRegistrarSawAFrameWhateverItsEcho)
{
    Milliseconds now = beginning;
    RunTable registrar({ .incarnation = "sidecar/1", .dataCentre = "dc" }, now - maxLostEntryRunTime * 2);
    registrar.opened({ .entry = "entry-1/1", .grants = { { .job = job, .number = 1 } } }, now);
    registrar.opened({ .entry = "entry-2/1", .grants = { { .job = job, .number = 1 } } }, now);
    std::vector<GrantAnswer> answers;
    const auto passUntil = [&](Milliseconds end) {
        for (; now < end; now = now + Milliseconds { 10 }) {
            registrar.received("entry-2/1", { .echo = now }, now);
            for (const auto& item : registrar.act(now).frames) {
                if (item.entry == "entry-2/1")
                    answers.insert(answers.end(), item.frame.grants.begin(), item.frame.grants.end());
            }
        }
    };
    passUntil(beginning + Milliseconds { 1'000 });
    // What the registrar sends has not reached the entry for a second.
    registrar.received("entry-1/1", { .echo = beginning }, now);
    passUntil(beginning + Milliseconds { 1'000 + 1'650 });
    cr_assert(answers.size() == 1 && answers[0].state == GrantState::Held);
    passUntil(beginning + Milliseconds { 1'000 + 1'700 });
    cr_assert(answers.size() == 2 && answers[1].state == GrantState::Granted);
}

Test(JobGrants, anEntryThatHasJustStartedIsHeldOffByTheGrantsOfAFormerSetOfMembers)
{
    // The holder has the grants of a sidecar that has left and of one other.
    for (const bool isYoung : { true, false }) {
        Holder entry { three, 0, isYoung ? beginning : longAgo };
        entry.acquire();
        const auto registrars = registrarsOf(job, three);
        for (int i = 0; i < 3; ++i) {
            for (const auto& sidecar : entry.asked())
                entry.answer(sidecar, sidecar == registrars[2] ? GrantState::Held : GrantState::Granted);
        }
        cr_assert(entry.grants.status(job).isHeld == !isYoung);
    }
}

Test(JobGrants, anEntryThatHasJustStartedDoesNotWaitForARegistrarWithoutAStreamOrThatHasJustStarted)
{
    for (const bool isConnected : { true, false }) {
        Holder entry { three, 0, beginning };
        if (!isConnected)
            entry.grants.disconnected("a");
        entry.acquire();
        for (const auto& sidecar : entry.asked())
            entry.answer(sidecar, sidecar == "a" ? GrantState::Provisional : GrantState::Granted);
        cr_assert(entry.grants.status(job).isHeld);
    }
}

Test(JobGrants, aJobIsHeldAgainWhenItsRegistrarsAreHeardAgainOnTheSameStreams)
{
    Holder entry { three };
    entry.acquire();
    const auto asked = entry.asked();
    entry.answer(asked[0], GrantState::Granted);
    entry.answer(asked[1], GrantState::Granted);
    entry.pass({ 901 });
    cr_assert(!entry.grants.status(job).isHeld);
    entry.pass({ 100 });
    entry.grants.seen(asked[0], entry.now, entry.now);
    entry.grants.seen(asked[1], entry.now, entry.now);
    cr_assert(entry.grants.nextDue() && *entry.grants.nextDue() <= entry.now);
    entry.act();
    // The registrars may have granted the job to another entry meanwhile.
    cr_assert(!entry.grants.status(job).isHeld);
    for (const auto& sidecar : { asked[0], asked[1] })
        entry.answer(sidecar, GrantState::Granted);
    cr_assert(entry.grants.status(job).isHeld);
}

Test(JobGrants, aProvisionalGrantIsNoReasonForARenewal)
{
    Holder entry { three };
    entry.acquire();
    const auto asked = entry.asked();
    for (const auto& each : asked)
        entry.answer(each, GrantState::Provisional);
    entry.grants.act(entry.now, true);
    cr_assert(entry.grants.status(job).isHeld);
    const std::string& sidecar = asked[0];
    entry.grants.disconnected(sidecar);
    const auto requests = entry.grants.connected(sidecar, entry.now);
    cr_assert(requests.size() == 1 && requests[0].kind == GrantRequestKind::Ask);
}

Test(JobGrants, aLapsedGrantIsRenewedWhileItsRegistrarKeepsIt)
{
    for (const bool isKept : { true, false }) {
        Holder entry { three };
        entry.acquire();
        const auto asked = entry.asked();
        entry.answer(asked[0], GrantState::Granted);
        entry.answer(asked[1], GrantState::Granted);
        entry.grants.disconnected(asked[0]);
        entry.pass(maxLostEntryRunTime + Milliseconds { isKept ? 0 : 1 });
        const auto requests = entry.grants.connected(asked[0], entry.now);
        cr_assert(requests.size() == 1 && requests[0].kind == (isKept ? GrantRequestKind::Renew : GrantRequestKind::Ask));
        cr_assert(!entry.grants.status(job).isHeld);
    }
}

Test(JobGrants, aProvisionalGrantLapsesLikeAnyOther)
{
    Holder entry { three };
    entry.acquire();
    for (const auto& sidecar : entry.asked())
        entry.answer(sidecar, GrantState::Provisional);
    entry.grants.act(entry.now, true);
    cr_assert(entry.grants.status(job).isHeld);
    const Milliseconds end = entry.now + JobGrantsOptions {}.validFor + Milliseconds { 1 };
    for (auto due = entry.grants.nextDue(); due && *due <= end; due = entry.grants.nextDue())
        entry.grants.act(entry.now = std::max(*due, entry.now + Milliseconds { 1 }), true);
    cr_assert(!entry.grants.status(job).isHeld);
}

Test(JobGrants, aJobThatARegistrarHasTakenBackIsGivenUpAtOnce)
{
    Dispatcher entry;
    entry.submit();
    entry.act();
    entry.pass({ 100 }, all);
    cr_assert(!entry.runsAt.empty() && !entry.ended);
    for (const auto& sidecar : all) {
        entry.answers[sidecar] = { { .job = job, .number = entry.numbers[sidecar], .state = GrantState::Held } };
        entry.hear(sidecar);
    }
    entry.act();
    cr_assert(entry.ended && entry.ended->kind == DispatchEndKind::Unfinished && entry.stop);
}

Test(JobGrants, aJobThatWasGrantedProvisionallyIsRefusedAsSoonAsAnyOther)
{
    Milliseconds now = beginning;
    JobDispatcher jobs { { .incarnation = "entry/1", .dataCentre = "dc", .sidecars = 3, .reservePercent = 0, .startedAt = now } };
    jobs.setMembers(three, now);
    std::map<std::string, std::vector<GrantAnswer>> answers;
    std::optional<DispatchEnd> ended;
    const auto act = [&] {
        const auto actions = jobs.act(now);
        for (const auto& item : actions.frames) {
            for (const auto& request : item.frame.grants)
                answers[item.sidecar].push_back({ .job = request.job, .number = request.number, .state = GrantState::Provisional });
        }
        if (!actions.ends.empty())
            ended = actions.ends[0];
    };
    const TaskNeeds room { .cpuMillis = 4'000, .memoryMb = 100 };
    const auto hear = [&](const std::string& sidecar, SidecarFrame frame) {
        frame.clock = now;
        frame.framesSeen = 1'000'000;
        frame.state = MinionState { .service = "service", .dataCentre = "dc", .capacity = room, .used = room, .accepting = true };
        frame.grants = std::exchange(answers[sidecar], {});
        jobs.received(sidecar, frame, now);
    };
    for (const auto& [sidecar, dataCentre] : three) {
        jobs.connected(sidecar, now);
        hear(sidecar, { .sidecar = sidecar + "/1", .unknownRunsFor = { 1'000 }, .isRegistrar = true });
    }
    jobs.submit({ .name = job,
                    .payload = job,
                    .queue = { .name = "queue", .service = "service", .maxAttempts = 3, .latencyAllowance = { 500 } },
                    .deadline = now + Milliseconds { 10'000 },
                    .steps = { { .needs = { .cpuMillis = 1'000, .memoryMb = 1, .runTime = { 100 } } } } },
        now);
    for (const Milliseconds end = now + Milliseconds { 700 }; now < end && !ended; now = now + Milliseconds { 10 }) {
        act();
        for (const auto& [sidecar, dataCentre] : three)
            hear(sidecar, {});
    }
    cr_assert(ended && ended->kind == DispatchEndKind::Refused);
}

#include "policy/JobDispatcher.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>

using namespace oleanderport;

// Guards against a run for a caller that has left, unread, and whose job runs through another entry by now.

namespace {

constexpr Milliseconds beginning { 50'000 };

struct Entry {
    Milliseconds now { beginning };
    JobDispatcher jobs { { .incarnation = "entry/1", .dataCentre = "dc", .reservePercent = 0, .startedAt = beginning } };
    bool isMinionFull { false };
    std::uint64_t ends { 0 };

    Entry()
    {
        jobs.connected("sidecar", now);
        jobs.act(now);
        hear();
        jobs.act(now);
    }

    void hear(std::vector<RunEnd> runEnds = {})
    {
        jobs.received("sidecar",
            { .sidecar = "sidecar/1",
                .clock = now,
                .framesSeen = 100,
                .state = MinionState { .service = "service", .dataCentre = "dc", .capacity = { .cpuMillis = 4'000, .memoryMb = 100 }, .used = { .cpuMillis = isMinionFull ? 4'000 : 0 }, .accepting = true },
                .ends = std::move(runEnds) },
            now);
    }

    std::uint64_t submit(const char* name)
    {
        return jobs.submit({ .name = name,
                               .queue = { .name = "queue", .service = "service", .maxAttempts = 3, .latencyAllowance = { 60'000 } },
                               .deadline = now + Milliseconds { 60'000 },
                               .steps = { { .needs = { .cpuMillis = 1'000, .memoryMb = 1, .runTime = { 100 } } } } },
            now);
    }

    // The run that is sent when the sockets have been read up to this time, by callers of submissions up to `lastConfirmed`.
    std::optional<RunName> sent(Milliseconds readUntil, std::optional<std::uint64_t> lastConfirmed = std::nullopt)
    {
        for (const auto& item : jobs.act(now, true, readUntil, lastConfirmed).frames) {
            for (const auto& order : item.frame.requests)
                return RunName { .job = order.job, .step = order.step, .index = order.tasks.at(0).index, .run = order.tasks.at(0).run, .submission = order.submission };
        }
        return std::nullopt;
    }
};

} // namespace

Test(CallerNews, anEntryThatWakesPlacesNoWaitingJobBeforeItHasReadThatTheCallerLeft)
{
    Entry entry;
    entry.isMinionFull = true;
    entry.hear();
    const auto left = entry.submit("left");
    entry.submit("stays");
    cr_assert(!entry.sent(entry.now));
    const Milliseconds lastReading = entry.now;
    entry.now = entry.now + Milliseconds { 600 };
    entry.isMinionFull = false;
    entry.hear();
    cr_assert(!entry.sent(lastReading), "expected no run 600 ms after the callers were last heard of");
    cr_assert(entry.jobs.nextDue() && *entry.jobs.nextDue() <= entry.now, "expected to act as soon as the sockets have been read");
    entry.jobs.abandon(left);
    const auto run = entry.sent(entry.now);
    cr_assert(run && run->job == "stays", "expected the job whose caller stayed to be placed after the reading");
    cr_assert(!entry.jobs.awaitsCallerNews());
}

Test(CallerNews, anEntryThatWakesTriesNoFailedRunAgainBeforeItHasReadThatTheCallerLeft)
{
    Entry entry;
    const auto left = entry.submit("left");
    const auto run = entry.sent(entry.now);
    cr_assert(run);
    const Milliseconds lastReading = entry.now;
    entry.now = entry.now + Milliseconds { 600 };
    entry.hear({ { .number = 1, .run = *run, .kind = RunEndKind::Failed } });
    cr_assert(!entry.sent(lastReading));
    entry.jobs.abandon(left);
    cr_assert(!entry.sent(entry.now));
}

// A close is read in a later round of the event loop than the request before it.
Test(CallerNews, aJobIsNotPlacedInTheReadingThatReadItsRequest)
{
    Entry entry;
    const auto heard = entry.submit("heard");
    const auto left = entry.submit("left");
    const auto run = entry.sent(entry.now, heard);
    cr_assert(run && run->job == "heard");
    cr_assert(entry.jobs.awaitsCallerNews());
    entry.jobs.abandon(left);
    cr_assert(!entry.sent(entry.now, left));
    cr_assert(!entry.jobs.awaitsCallerNews());
}

Test(CallerNews, aJobOfWhichOneCallerWasHeardIsPlacedAlthoughAnotherHasJustJoined)
{
    Entry entry;
    const auto heard = entry.submit("job");
    entry.submit("job");
    cr_assert(entry.sent(entry.now, heard));
}

Test(CallerNews, aJobWhoseHeardCallerLeftWaitsForNewsOfTheOneThatHasJustJoined)
{
    Entry entry;
    const auto left = entry.submit("job");
    const auto joined = entry.submit("job");
    entry.jobs.abandon(left);
    cr_assert(!entry.sent(entry.now, left));
    cr_assert(entry.sent(entry.now, joined));
}

// Else an entry whose rounds are long would place nothing.
Test(CallerNews, anEntryWhoseReadingsAreSlowPlacesAfterOneMore)
{
    Entry entry;
    const Milliseconds round { 120 };
    std::size_t placed = 0;
    for (int i = 0; i < 8; ++i) {
        const auto submission = entry.submit(std::to_string(i).c_str());
        const Milliseconds began = entry.now;
        entry.now = entry.now + round;
        entry.hear();
        placed += entry.sent(began, submission).has_value() ? 1 : 0;
    }
    cr_assert(placed == 4, "expected every second reading to place what waits, got %zu of 8", placed);
}

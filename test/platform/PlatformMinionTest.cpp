#include "support/PlatformMinion.h"

#include "support/RawPeer.h"

#include <criterion/criterion.h>

#include <optional>

using namespace oleanderport;

namespace {

constexpr Milliseconds late { 60 };
constexpr Milliseconds stopTime { 300 };

struct LateMinion {
    EventLoop loop;
    PlatformMinion minion;
    HttpConnection starts;
    HttpConnection stops;
    std::optional<HttpAnswer> startAnswer;
    std::optional<HttpAnswer> stopAnswer;

    explicit LateMinion(PlatformMinion::CallDelay ofStarts)
        : minion(loop, { .delayOf = [ofStarts](PlatformMinion::Call call) { return call == PlatformMinion::Call::Start ? ofStarts : PlatformMinion::CallDelay {}; } })
        , starts(loop, minion.address())
        , stops(loop, minion.address())
    {
    }

    static void call(HttpConnection& connection, const std::string& path, std::optional<HttpAnswer>& answer)
    {
        connection.call({ .path = path,
                            .body = R"({"task":"j.0.0.1","runId":1,"spec":"text","deadlineMs":9000000000000000,"fencingToken":1})",
                            .timeout = testPatience,
                            .headers = { { .name = "Oleanderport-Expected-Instance", .value = "i-1" } } },
            [&answer](const Result<HttpAnswer>& result) { answer = result.value(); });
    }
};

} // namespace

Test(PlatformMinion, rejectsAStartThatItsStopOvertook)
{
    LateMinion test({ .carryOut = late });
    LateMinion::call(test.starts, "/run-start", test.startAnswer);
    LateMinion::call(test.stops, "/run-stop", test.stopAnswer);
    cr_assert(runUntil(test.loop, [&test] { return test.startAnswer.has_value(); }));
    cr_assert(test.stopAnswer && test.stopAnswer->status == 200);
    cr_assert(test.startAnswer->status == 409 && test.startAnswer->body.find("\"old\"") != std::string::npos, "got %s", test.startAnswer->body.c_str());
    cr_assert(test.minion.started.empty());
}

Test(PlatformMinion, executesAtOnceAndAnswersLate)
{
    LateMinion test({ .answer = late });
    LateMinion::call(test.starts, "/run-start", test.startAnswer);
    cr_assert(runUntil(test.loop, [&test] { return test.minion.started.size() == 1; }));
    cr_assert(!test.startAnswer);
    cr_assert(runUntil(test.loop, [&test] { return test.startAnswer.has_value(); }));
    cr_assert(test.startAnswer->status == 200 && test.minion.running() == 0, "expected the run of 50 ms to have ended by then, %zu run", test.minion.running());
}

Test(PlatformMinion, carriesOutAnOrderOfItsFormerIncarnation)
{
    LateMinion test({ .carryOut = late });
    const std::string address = test.minion.address();
    LateMinion::call(test.stops, "/run-stop", test.stopAnswer);
    cr_assert(runUntil(test.loop, [&test] { return test.stopAnswer.has_value(); }));
    bool hasFailed = false;
    test.starts.call({ .path = "/run-start",
                         .body = R"({"task":"j.0.0.1","runId":1,"spec":"text","deadlineMs":9000000000000000,"fencingToken":1})",
                         .timeout = testPatience,
                         .headers = { { .name = "Oleanderport-Expected-Instance", .value = "i-1" } } },
        [&hasFailed](const Result<HttpAnswer>& result) { hasFailed = !result.has_value(); });
    const auto crash = test.loop.once({ late.count / 3 }, [&test] {
        test.minion.crash();
        test.minion.startAgain({ 1'800 });
    });
    // The stop is forgotten with the rest.
    cr_assert(runUntil(test.loop, [&test] { return test.minion.running() == 1; }));
    cr_assert(hasFailed && test.minion.address() == address);
}

Test(PlatformMinion, doesNothingForAnOrderOfAFormerMinionOfAnotherId)
{
    LateMinion test({ .carryOut = late });
    test.starts.call({ .path = "/run-start",
                         .body = R"({"task":"j.0.0.1","runId":1,"spec":"text","deadlineMs":9000000000000000,"fencingToken":1})",
                         .timeout = testPatience,
                         .headers = { { .name = "Oleanderport-Expected-Instance", .value = "i-1" } } },
        [](const Result<HttpAnswer>&) {});
    bool isUp = false;
    const auto crash = test.loop.once({ late.count / 3 }, [&] {
        test.minion.crash();
        test.minion.startAgain({ 1'600 }, { .id = "i-2", .service = "s2", .cpuMillis = 8'000 });
        isUp = true;
    });
    cr_assert(runUntil(test.loop, [&isUp] { return isUp; }));
    // Due after the order of before.
    LateMinion::call(test.starts, "/run-start", test.startAnswer);
    cr_assert(runUntil(test.loop, [&test] { return test.startAnswer.has_value(); }));
    cr_assert(test.startAnswer->status == 421 && test.minion.started.empty(), "got %d", test.startAnswer->status);
    const HttpCall report = test.minion.makeReport("ready");
    cr_assert(report.path == "/Instances.Heartbeat/i-2" && report.body.find("\"s2\"") != std::string::npos && report.body.find("8000") != std::string::npos, "got %s", report.body.c_str());
}

Test(PlatformMinion, losesOrdersThatAreDueWhileItIsDown)
{
    LateMinion test({ .carryOut = late });
    test.starts.call({ .path = "/run-start", .body = "{}", .timeout = testPatience }, [](const Result<HttpAnswer>&) {});
    const auto crash = test.loop.once({ late.count / 3 }, [&test] { test.minion.crash(); });
    bool isUp = false;
    const auto again = test.loop.once(late * 2, [&] {
        test.minion.startAgain({ 1'800 });
        isUp = true;
    });
    cr_assert(runUntil(test.loop, [&isUp] { return isUp; }));
    cr_assert(test.minion.started.empty());
}

Test(PlatformMinion, measuresLeasesOnASlowClock)
{
    EventLoop loop;
    std::optional<Milliseconds> started;
    std::optional<Milliseconds> lapsed;
    PlatformMinion minion(loop,
        { .runTime = [](const std::string&) { return testPatience; },
            .longestLease = { 200 },
            .slowPerMille = 500,
            .hasClockOfIncarnation = true,
            .onStart = [&](Milliseconds at, const PlatformMinion::Run&) { started = at; },
            .onEnd = [&](Milliseconds at, const PlatformMinion::Run&, const char*) { lapsed = at; } });
    HttpConnection starts(loop, minion.address());
    std::optional<HttpAnswer> answer;
    LateMinion::call(starts, "/run-start", answer);
    cr_assert(runUntil(loop, [&lapsed] { return lapsed.has_value(); }));
    // A clock at half the pace makes 200 ms last twice as long, less one millisecond that is not full.
    const auto lasted = (*lapsed - *started).count;
    cr_assert(lasted >= 398 && lasted <= 402, "the lease lasted %ld ms", static_cast<long>(lasted));
    cr_assert(answer->body.find("\"clockMs\":") != std::string::npos && answer->body.size() < 40, "got %s", answer->body.c_str());
}

Test(PlatformMinion, listsARunUntilItsStopIsCarriedOut)
{
    EventLoop loop;
    std::optional<Milliseconds> asked;
    std::optional<Milliseconds> ended;
    PlatformMinion minion(loop,
        { .runTime = [](const std::string&) { return testPatience; },
            .stopTime = [&asked] {
                asked = Clock::now();
                return stopTime; },
            .onEnd = [&](Milliseconds at, const PlatformMinion::Run&, const char*) { ended = at; } });
    HttpConnection calls(loop, minion.address());
    for (const char* path : { "/run-start", "/run-stop", "/run-stop", "/hold" }) {
        std::optional<HttpAnswer> answer;
        LateMinion::call(calls, path, answer);
        cr_assert(runUntil(loop, [&answer] { return answer.has_value(); }));
        cr_assert(answer->status == 200, "got %d", answer->status);
        cr_assert(path != std::string("/hold") || answer->body.find("j.0.0.1") != std::string::npos, "got %s", answer->body.c_str());
    }
    cr_assert(runUntil(loop, [&ended] { return ended.has_value(); }));
    const auto lasted = (*ended - *asked).count;
    cr_assert(lasted >= stopTime.count && minion.running() == 0, "the stop took %ld ms", static_cast<long>(lasted));
}

Test(PlatformMinion, endsRunsNeitherBeforeTheirTimeNorOnlyAtTheNextCall)
{
    constexpr Milliseconds span { 20 };
    constexpr int plays = 40;
    EventLoop loop;
    const auto otherWork = loop.every({ 1 }, [] {});
    for (int play = 0; play < plays; ++play) {
        const bool isStopped = play % 2 == 0;
        std::optional<Milliseconds> begun;
        std::optional<Milliseconds> ended;
        PlatformMinion minion(loop,
            { .runTime = [](const std::string&) { return testPatience; },
                .longestLease = isStopped ? testPatience : span,
                .stopTime = [&begun, span] {
                    begun = Clock::now();
                    return span; },
                .onStart = [&](Milliseconds at, const PlatformMinion::Run&) { begun = at; },
                .onEnd = [&](Milliseconds, const PlatformMinion::Run&, const char*) { ended = Clock::now(); } });
        HttpConnection calls(loop, minion.address());
        std::optional<HttpAnswer> answer;
        LateMinion::call(calls, "/run-start", answer);
        cr_assert(runUntil(loop, [&answer] { return answer.has_value(); }));
        if (isStopped)
            LateMinion::call(calls, "/run-stop", answer);
        cr_assert(runUntil(loop, [&ended] { return ended.has_value(); }), "play %d: the run did not end", play);
        const auto lasted = (*ended - *begun).count;
        cr_assert(lasted >= span.count, "play %d: ended after %ld ms", play, static_cast<long>(lasted));
    }
}

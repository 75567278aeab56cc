#include "support/PlatformMinion.h"

#include "support/RawPeer.h"

#include <criterion/criterion.h>

#include <optional>

using namespace oleanderport;

namespace {

constexpr Milliseconds late { 60 };

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

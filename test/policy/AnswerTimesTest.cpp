#include "policy/AnswerTimes.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

constexpr Milliseconds start { 5'000 };

// Records the given answer times, one per millisecond from `start`.
AnswerTimes timesOf(std::initializer_list<int> took)
{
    AnswerTimes times({ .minTimeout = { 10 }, .maxTimeout = { 35 }, .minAnswers = 8, .maxAnswers = 20, .retention = { 1'000 } });
    Milliseconds now = start;
    for (const int each : took) {
        times.record({ each }, now);
        now = now + Milliseconds { 1 };
    }
    return times;
}

} // namespace

Test(AnswerTimes, returnsTheMaximumWhileFewAnswersAreKnown)
{
    cr_assert(timesOf({}).answerTimeout(start).count == 35);
    cr_assert(timesOf({ 1, 1, 1, 1, 1, 1, 1 }).answerTimeout(start).count == 35);
    cr_assert(timesOf({ 1, 1, 1, 1, 1, 1, 1, 1 }).answerTimeout(start).count == 10, "expected the minimum timeout after eight fast answers");
}

Test(AnswerTimes, returnsTwiceTheNinetiethPercentile)
{
    cr_assert(timesOf({ 2, 2, 2, 2, 2, 7, 7, 7, 7, 30 }).answerTimeout(start).count == 14, "expected one slow answer of ten to be ignored");
    cr_assert(timesOf({ 2, 2, 2, 2, 2, 2, 2, 30, 30, 30 }).answerTimeout(start).count == 35);
}

Test(AnswerTimes, forgetsOldAnswersByCountAndByTime)
{
    AnswerTimes times = timesOf({ 30, 30, 30, 30, 30, 30, 30, 30 });
    for (int i = 0; i < 20; ++i)
        times.record({ 2 }, start + Milliseconds { 10 });
    cr_assert(times.answerTimeout(start + Milliseconds { 20 }).count == 10);
    cr_assert(times.answerTimeout(start + Milliseconds { 1'500 }).count == 35, "expected the maximum timeout once no answer is recent");
}

// The minion becomes slower than the learned timeout: no answer arrives in time, and the timeout grows back.
Test(AnswerTimes, recoversFromATimeoutThatIsTooShort)
{
    AnswerTimes times = timesOf({ 1, 1, 1, 1, 1, 1, 1, 1, 1, 1 });
    Milliseconds now = start + Milliseconds { 20 };
    int lost = 0;
    for (; now < start + Milliseconds { 3'000 }; now = now + Milliseconds { 40 }) {
        const bool isSeen = times.answerTimeout(now).count >= 25;
        if (isSeen)
            times.record({ 25 }, now);
        lost += isSeen ? 0 : 1;
    }
    cr_assert(lost <= 26, "expected requests to time out for a second at most, %d of 75 did", lost);
    cr_assert(times.answerTimeout(now).count == 35);
}

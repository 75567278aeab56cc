#include "policy/AnswerTimes.h"

#include <criterion/criterion.h>

using namespace oleanderport;

namespace {

constexpr Milliseconds start { 5'000 };

// Answers that took so long, one each millisecond from `start` on.
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

Test(AnswerTimes, waitsLongestWhileFewAnswersAreKnown)
{
    cr_assert(timesOf({}).answerTimeout(start).count == 35);
    cr_assert(timesOf({ 1, 1, 1, 1, 1, 1, 1 }).answerTimeout(start).count == 35);
    cr_assert(timesOf({ 1, 1, 1, 1, 1, 1, 1, 1 }).answerTimeout(start).count == 10, "expected the shortest wait after eight prompt answers");
}

Test(AnswerTimes, waitsTwiceWhatNineOfTenAnswersTake)
{
    cr_assert(timesOf({ 2, 2, 2, 2, 2, 7, 7, 7, 7, 30 }).answerTimeout(start).count == 14, "expected one slow answer of ten to be passed over");
    cr_assert(timesOf({ 2, 2, 2, 2, 2, 2, 2, 30, 30, 30 }).answerTimeout(start).count == 35);
}

Test(AnswerTimes, forgetsOldAnswersByCountAndByTime)
{
    AnswerTimes times = timesOf({ 30, 30, 30, 30, 30, 30, 30, 30 });
    for (int i = 0; i < 20; ++i)
        times.record({ 2 }, start + Milliseconds { 10 });
    cr_assert(times.answerTimeout(start + Milliseconds { 20 }).count == 10);
    cr_assert(times.answerTimeout(start + Milliseconds { 1'500 }).count == 35, "expected the longest wait once no answer is new");
}

// The minion slows down to more than the wait that was learned: no answer is seen in time, and the wait grows again.
Test(AnswerTimes, recoversFromAWaitThatIsTooShort)
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
    cr_assert(lost <= 26, "expected orders to be lost for a second at most, %d of 75 were", lost);
    cr_assert(times.answerTimeout(now).count == 35);
}

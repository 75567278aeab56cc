#include "policy/Backoff.h"

#include <criterion/criterion.h>

#include <set>

using namespace oleanderport;

Test(Backoff, doublesUpToTheMaximumWithJitterInTheUpperHalf)
{
    const BackoffOptions options { .initial = { 50 }, .max = { 400 } };
    const std::int64_t whole[] = { 50, 100, 200, 400, 400, 400 };
    for (int failures = 0; failures < 6; ++failures) {
        for (std::uint64_t draw = 0; draw < 1'000; ++draw) {
            const std::int64_t pause = jitteredBackoff(options, failures, draw).count;
            cr_assert(pause >= whole[failures] / 2 && pause <= whole[failures], "%d failures: %ld ms", failures, static_cast<long>(pause));
        }
    }
}

Test(Backoff, spreadsRetriesOfClientsThatFailedTogether)
{
    std::set<std::int64_t> pauses;
    for (std::uint64_t draw = 0; draw < 1'000; ++draw)
        pauses.insert(jitteredBackoff({}, 3, draw).count);
    cr_assert(pauses.size() > 100, "expected many different pauses, got %zu", pauses.size());
}

Test(Backoff, neverRetriesBeforeTheRetryAfterOfThePeer)
{
    for (std::uint64_t draw = 0; draw < 1'000; ++draw) {
        const std::int64_t pause = jitteredRetryAfter({ 300 }, draw).count;
        cr_assert(pause >= 300 && pause <= 450);
    }
}

#include "policy/Backoff.h"

#include <criterion/criterion.h>

#include <set>

using namespace oleanderport;

Test(Backoff, doublesUpToTheMaximumWithJitterInTheUpperHalf)
{
    const BackoffOptions options { .initial = { 50 }, .max = { 400 } };
    const std::int64_t maxDelay[] = { 50, 100, 200, 400, 400, 400 };
    for (int failures = 0; failures < 6; ++failures) {
        for (std::uint64_t random = 0; random < 1'000; ++random) {
            const std::int64_t delay = jitteredBackoff(options, failures, random).count;
            cr_assert(delay >= maxDelay[failures] / 2 && delay <= maxDelay[failures], "%d failures: %ld ms", failures, static_cast<long>(delay));
        }
    }
}

Test(Backoff, spreadsRetriesOfClientsThatFailedTogether)
{
    std::set<std::int64_t> delays;
    for (std::uint64_t random = 0; random < 1'000; ++random)
        delays.insert(jitteredBackoff({}, 3, random).count);
    cr_assert(delays.size() > 100, "expected more than 100 different delays, got %zu", delays.size());
}

Test(Backoff, neverRetriesBeforeTheRetryAfterOfThePeer)
{
    for (std::uint64_t random = 0; random < 1'000; ++random) {
        const std::int64_t delay = jitteredRetryAfter({ 300 }, random).count;
        cr_assert(delay >= 300 && delay <= 450);
    }
}

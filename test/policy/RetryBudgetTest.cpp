#include "policy/RetryBudget.h"

#include <criterion/criterion.h>

#include <random>

using namespace oleanderport;

Test(RetryBudget, allowsNoMoreRetriesThanItsShareOfTheLoad)
{
    constexpr double tokenRatio = 0.25;
    constexpr double maxTokens = 10;
    RetryBudget budget({ .tokenRatio = tokenRatio, .maxTokens = maxTokens });
    std::mt19937 random(11);
    int first = 0;
    int retries = 0;
    for (int i = 0; i < 10'000; ++i) {
        if (random() % 3 == 0) {
            budget.recordFirstAttempt();
            ++first;
        }
        if (budget.tryAcquireRetry())
            ++retries;
        cr_assert(retries <= maxTokens + tokenRatio * first, "%d retries after %d first attempts", retries, first);
    }
    cr_assert(retries >= tokenRatio * first, "expected the whole share to be usable, got %d retries for %d first attempts", retries, first);
}

Test(RetryBudget, holdsNoMoreThanMaxTokens)
{
    RetryBudget budget({ .tokenRatio = 1, .maxTokens = 3 });
    for (int i = 0; i < 100; ++i)
        budget.recordFirstAttempt();
    int retries = 0;
    while (retries < 1'000 && budget.tryAcquireRetry())
        ++retries;
    cr_assert(retries == 3, "expected 3 retries, got %d", retries);
}

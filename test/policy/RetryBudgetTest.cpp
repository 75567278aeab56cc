#include "policy/RetryBudget.h"

#include <criterion/criterion.h>

#include <random>

using namespace oleanderport;

Test(RetryBudget, allowsNoMoreThanItsShareOfTheLoad)
{
    constexpr double share = 0.25;
    constexpr double reserve = 10;
    RetryBudget budget({ .share = share, .reserve = reserve });
    std::mt19937 random(11);
    int first = 0;
    int retries = 0;
    for (int i = 0; i < 10'000; ++i) {
        if (random() % 3 == 0) {
            budget.earn();
            ++first;
        }
        if (budget.spend())
            ++retries;
        cr_assert(retries <= reserve + share * first, "%d retries after %d first attempts", retries, first);
    }
    cr_assert(retries >= share * first, "expected the whole share to be usable, got %d of %d", retries, first);
}

Test(RetryBudget, savesNoMoreThanItsReserve)
{
    RetryBudget budget({ .share = 1, .reserve = 3 });
    for (int i = 0; i < 100; ++i)
        budget.earn();
    int retries = 0;
    while (retries < 1'000 && budget.spend())
        ++retries;
    cr_assert(retries == 3, "expected 3, got %d", retries);
}

#include "wire/RepeatedRound.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace oleanderport;

Test(RepeatedRound, runsOnceWhenNoFurtherRoundIsRequested)
{
    RepeatedRound round;
    int rounds = 0;
    cr_assert(round.run([&rounds] { ++rounds; }));
    cr_assert(rounds == 1, "expected one round, got %d", rounds);
}

Test(RepeatedRound, repeatsARequestedRoundWithoutRecursion)
{
    RepeatedRound round;
    int rounds = 0;
    int depth = 0;
    int deepest = 0;
    const auto once = [&](auto& self) -> void {
        deepest = std::max(deepest, ++depth);
        if (++rounds < 3)
            cr_assert(!round.run([&] { self(self); }), "expected the inner call to leave the round to the outer one");
        --depth;
    };
    cr_assert(round.run([&] { once(once); }));
    cr_assert(rounds == 3 && deepest == 1, "expected three rounds, one at a time, got %d, %d deep", rounds, deepest);
}

#include "policy/FormerSubmissions.h"

#include <criterion/criterion.h>

using namespace oleanderport;

Test(FormerSubmissions, keepsAJobUntilItsRetentionHasPassed)
{
    FormerSubmissions former;
    former.begin("x");
    cr_assert(former.isInFlight("x") && !former.mayHaveRun("x"));
    former.end("x", true, { 1'000 });
    cr_assert(!former.isInFlight("x") && former.mayHaveRun("x"));
    former.begin("y");
    former.end("y", false, { 31'000 });
    cr_assert(former.mayHaveRun("x") && !former.mayHaveRun("y"));
    former.begin("z");
    former.end("z", false, { 31'001 });
    cr_assert(!former.mayHaveRun("x"));
}

Test(FormerSubmissions, keepsAJobThatWasSubmittedAgain)
{
    FormerSubmissions former;
    former.begin("x");
    former.end("x", true, { 1'000 });
    former.begin("x");
    former.begin("y");
    former.end("y", true, { 40'000 });
    cr_assert(former.isInFlight("x") && former.mayHaveRun("x"));
    former.end("x", false, { 41'000 });
    former.begin("z");
    former.end("z", true, { 70'500 });
    cr_assert(former.mayHaveRun("x") && !former.mayHaveRun("y"));
    former.begin("z");
    former.end("z", false, { 71'001 });
    cr_assert(!former.mayHaveRun("x"));
}

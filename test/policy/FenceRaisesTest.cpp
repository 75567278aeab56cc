#include "policy/FenceRaises.h"

#include <criterion/criterion.h>

using namespace oleanderport;

Test(FenceRaises, raisesOnceForConnectionsThatFailTogether)
{
    FenceRaises raises;
    raises.startSent();
    raises.startSent();
    cr_assert(raises.connectionFailed() && raises.count() == 1);
    cr_assert(!raises.connectionFailed() && raises.count() == 1);
}

Test(FenceRaises, doesNotRaiseWhileEveryStartIsAnswered)
{
    FenceRaises raises;
    cr_assert(!raises.connectionFailed());
    raises.startAnswered(raises.startSent());
    cr_assert(!raises.connectionFailed() && raises.count() == 0);
}

Test(FenceRaises, raisesAgainForAStartThatWasSentAfterARaise)
{
    FenceRaises raises;
    const auto former = raises.startSent();
    raises.raise();
    raises.startSent();
    raises.startAnswered(former);
    cr_assert(raises.connectionFailed() && raises.count() == 2);
}

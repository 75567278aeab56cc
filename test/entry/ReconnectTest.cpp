#include "entry/Reconnect.h"

#include <criterion/criterion.h>

using namespace oleanderport;

Test(Reconnect, aStreamThatWorkedIsOpenedAgainAtOnce)
{
    cr_assert(reconnectDelay(Milliseconds { 800 }, 0, 7).count == 0);
}

Test(Reconnect, aSidecarThatEndsOrRefusesEachStreamIsAskedAfterPausesOnly)
{
    for (std::uint64_t random = 0; random < 100; ++random) {
        cr_assert(reconnectDelay(Milliseconds { 799 }, 0, random) >= Milliseconds { 50 });
        cr_assert(reconnectDelay(std::nullopt, 1, random) >= Milliseconds { 100 });
        cr_assert(reconnectDelay(std::nullopt, 5, random) >= Milliseconds { 400 });
    }
}

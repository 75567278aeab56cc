#include "control/PacedCalls.h"

#include "support/RawPeer.h"

#include <criterion/criterion.h>

#include <string>
#include <thread>

using namespace oleanderport;

Test(PacedCalls, servesWhatCannotWaitBeforeWhatCan)
{
    EventLoop loop;
    PacedCalls calls(loop, {});
    std::string served;
    cr_assert(!calls.admit(PacedCalls::Priority::Low, [&] { served += 'h'; }).has_value());
    cr_assert(!calls.admit(PacedCalls::Priority::High, [&] { served += 'o'; }).has_value());
    cr_assert(served.empty(), "expected no call within the one that adds it");
    cr_assert(runUntil(loop, [&] { return calls.waiting() == 0; }));
    cr_assert(served == "oh", "got %s", served.c_str());
}

Test(PacedCalls, givesOtherWorkItsTurnWhileCallsWait)
{
    EventLoop loop;
    PacedCalls calls(loop, { .slice = { 5 }, .maxWait = { 10'000 } });
    constexpr int slow = 40;
    for (int i = 0; i < slow; ++i)
        calls.resume([] { std::this_thread::sleep_for(std::chrono::milliseconds(2)); });
    std::optional<std::size_t> leftAtTurn;
    const auto other = loop.once({ 1 }, [&] { leftAtTurn = calls.waiting(); });
    cr_assert(runUntil(loop, [&] { return leftAtTurn.has_value(); }));
    cr_assert(*leftAtTurn > 0, "expected the timer to have its turn before all calls are served");
    cr_assert(runUntil(loop, [&] { return calls.waiting() == 0; }));
}

Test(PacedCalls, putsOffWhatWouldWaitTooLong)
{
    EventLoop loop;
    PacedCalls calls(loop, { .maxWait = { 3 }, .initialGap = 1 });
    int served = 0;
    int putOff = 0;
    for (int i = 0; i < 10; ++i)
        putOff += calls.admit(PacedCalls::Priority::Low, [&] { ++served; }).has_value() ? 1 : 0;
    cr_assert(putOff == 6, "expected four to wait, the rest to come again, got %d put off", putOff);
    cr_assert(runUntil(loop, [&] { return calls.waiting() == 0; }));
    cr_assert(served == 4);
}

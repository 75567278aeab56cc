#include "control/PacedCalls.h"

#include "support/RawPeer.h"

#include <criterion/criterion.h>

#include <string>
#include <thread>

using namespace oleanderport;

Test(PacedCalls, servesHighPriorityCallsBeforeLowPriorityCalls)
{
    EventLoop loop;
    PacedCalls calls(loop, {});
    std::string served;
    cr_assert(!calls.admit(PacedCalls::Priority::Low, [&] { served += 'h'; }).has_value());
    cr_assert(!calls.admit(PacedCalls::Priority::High, [&] { served += 'o'; }).has_value());
    cr_assert(served.empty(), "expected no call to be served within admit()");
    cr_assert(runUntil(loop, [&] { return calls.waiting() == 0; }));
    cr_assert(served == "oh", "expected oh, got %s", served.c_str());
}

Test(PacedCalls, givesOtherWorkItsTurnWhileCallsWait)
{
    EventLoop loop;
    PacedCalls calls(loop, { .slice = { 5 }, .maxWait = { 10'000 } });
    constexpr int slow = 40;
    for (int i = 0; i < slow; ++i)
        calls.resume([] { std::this_thread::sleep_for(std::chrono::milliseconds(2)); });
    std::optional<std::size_t> waitingAtTimer;
    const auto other = loop.once({ 1 }, [&] { waitingAtTimer = calls.waiting(); });
    cr_assert(runUntil(loop, [&] { return waitingAtTimer.has_value(); }));
    cr_assert(*waitingAtTimer > 0, "expected the timer to run before all calls are served");
    cr_assert(runUntil(loop, [&] { return calls.waiting() == 0; }));
}

Test(PacedCalls, refusesCallsThatWouldWaitTooLong)
{
    EventLoop loop;
    PacedCalls calls(loop, { .maxWait = { 3 }, .initialGap = 1 });
    int served = 0;
    int refused = 0;
    for (int i = 0; i < 10; ++i)
        refused += calls.admit(PacedCalls::Priority::Low, [&] { ++served; }).has_value() ? 1 : 0;
    cr_assert(refused == 6, "expected 4 calls to be queued and 6 refused, got %d refused", refused);
    cr_assert(runUntil(loop, [&] { return calls.waiting() == 0; }));
    cr_assert(served == 4);
}
